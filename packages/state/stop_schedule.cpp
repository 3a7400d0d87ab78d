#include "state/stop_schedule.h"

#include <algorithm>

namespace zinnianotch
{

bool stop_schedule::completes(milliseconds limit, std::optional<milliseconds> expected,
                              time_point now) const
{
    return std::min(limit, expected.value_or(milliseconds(0))) <= requests_end_at() - now;
}

bool stop_schedule::accepts(milliseconds limit, std::optional<milliseconds> expected,
                            time_point now) const
{
    return completes(limit, in_rotation(now) ? expected : limit, now);
}

} // namespace zinnianotch
