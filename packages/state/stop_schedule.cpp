#include "state/stop_schedule.h"

namespace zinnianotch
{

bool stop_schedule::accepts(milliseconds limit, std::optional<milliseconds> expected,
                            time_point now) const
{
    const auto left = requests_end_at() - now;
    if (limit <= left)
        return true;
    return in_rotation(now) && expected.value_or(milliseconds(0)) <= left;
}

} // namespace zinnianotch
