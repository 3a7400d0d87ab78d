#include "state/queue_delay.h"

#include <algorithm>

namespace zinnianotch
{

std::optional<milliseconds> find_delay(const queue_delays& delays, std::uint32_t priority,
                                       bool is_above_share)
{
    std::optional<milliseconds> found;
    for (const queue_delay& entry : delays.by_priority)
    {
        if (entry.priority <= priority)
            found = is_above_share ? std::max(entry.expected, entry.above_share) : entry.expected;
    }
    return found;
}

void queue_delay_reports::record(const std::string& queue, const queue_delays& delays,
                                 time_point now)
{
    std::erase_if(reports_,
                  [&](const auto& entry) { return now - entry.second.at > queue_delays_max_age; });
    reports_[queue] = {delays, now};
}

const queue_delays* queue_delay_reports::find(std::string_view queue, time_point now) const
{
    const auto found = reports_.find(queue);
    if (found == reports_.end() || now - found->second.at > queue_delays_max_age)
        return nullptr;
    return &found->second.delays;
}

} // namespace zinnianotch
