#include "state/piece_rate.h"

#include <algorithm>
#include <cmath>

namespace zinnianotch
{

namespace
{

// Least time over which the rate is averaged after the first pieces.
constexpr milliseconds covered_min{1000};

} // namespace

void piece_rate::add(std::uint32_t pieces, time_point now)
{
    if (since_ == time_point{})
        since_ = now;
    pieces_ = decayed(now) + pieces;
    at_ = now;
}

void piece_rate::merge(const piece_rate& other, time_point now)
{
    pieces_ = decayed(now) + other.decayed(now);
    at_ = now;
}

double piece_rate::decayed(time_point now) const
{
    const std::chrono::duration<double> age = now - at_;
    return pieces_ * std::exp(-age / window_);
}

double piece_rate::per_second(time_point now) const
{
    const std::chrono::duration<double> covered =
        std::max<time_point::duration>(now - since_, covered_min);
    const std::chrono::duration<double> window = window_;
    return decayed(now) / (window.count() * (1.0 - std::exp(-covered / window)));
}

} // namespace zinnianotch
