// Moving average of pieces per second.
#pragma once

#include "state/time.h"

#include <cstdint>

namespace zinnianotch
{

// Rate of pieces per second, as a moving average with a time constant.
class piece_rate
{
public:
    // Averages over the time since `since` while that is shorter than the window; by default since
    // the first pieces.
    explicit piece_rate(milliseconds window, time_point since = {}) : window_(window), since_(since)
    {
    }

    void add(std::uint32_t pieces, time_point now);
    // Adds the pieces of a rate with the same window and start.
    void merge(const piece_rate& other, time_point now);
    double per_second(time_point now) const;

private:
    double decayed(time_point now) const;

    milliseconds window_;
    double pieces_ = 0.0;
    time_point at_{};
    time_point since_;
};

} // namespace zinnianotch
