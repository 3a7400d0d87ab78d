#include "state/pause_detector.h"

#include <algorithm>

namespace zinnianotch
{

std::optional<milliseconds> pause_detector::update(time_point now, milliseconds boot_time)
{
    const bool first = !last_boot_time_;
    const milliseconds running = std::chrono::duration_cast<milliseconds>(now - last_);
    const milliseconds passed = first ? milliseconds(0) : boot_time - *last_boot_time_;
    last_ = now;
    last_boot_time_ = boot_time;
    const milliseconds gap = first ? milliseconds(0) : std::max(running, passed);
    return gap >= pause_threshold ? std::optional(gap) : std::nullopt;
}

} // namespace zinnianotch
