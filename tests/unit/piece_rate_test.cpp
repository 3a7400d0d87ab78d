// Tests of the moving average of pieces per second.
#include "state/piece_rate.h"

#include <criterion/criterion.h>

#include <cmath>

using namespace zinnianotch;

namespace
{

constexpr milliseconds window{2000};
constexpr milliseconds step{100};

// Adds ten pieces every 100 ms, which is a rate of 100 a second.
time_point add_steadily(piece_rate& rate, time_point now, int steps)
{
    for (int i = 0; i < steps; ++i, now += step)
        rate.add(10, now);
    return now;
}

bool is_near(double value, double expected)
{
    return std::abs(value - expected) <= expected / 10;
}

} // namespace

// Guards against a rate that is low until its window is full.
Test(piece_rate, steady_pieces_rate_is_known_before_the_window_is_full)
{
    piece_rate rate(window);
    time_point now = time_point{} + milliseconds(5000);
    now = add_steadily(rate, now, 12);
    cr_assert(is_near(rate.per_second(now), 100.0), "%f", rate.per_second(now));
    now = add_steadily(rate, now, 100);
    cr_assert(is_near(rate.per_second(now), 100.0), "%f", rate.per_second(now));
}

// Guards against a rate that outlasts its pieces.
Test(piece_rate, no_further_pieces_rate_is_forgotten)
{
    piece_rate rate(window);
    const time_point now = add_steadily(rate, time_point{} + milliseconds(5000), 50);
    cr_assert(rate.per_second(now + 3 * window) < 10.0);
}

// Guards against pieces that are lost or counted twice as two rates become one.
Test(piece_rate, merged_rates_add_up)
{
    const time_point start = time_point{} + milliseconds(5000);
    piece_rate rate(window, start);
    piece_rate other(window, start);
    const time_point now = add_steadily(rate, start, 50);
    add_steadily(other, start, 50);
    rate.merge(other, now);
    cr_assert(is_near(rate.per_second(now), 200.0), "%f", rate.per_second(now));
}
