// Delays in the queues of stages, as told by the VMs that batch them, by urgency.
#pragma once

#include "state/account_shares.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Stands for a delay without an end: more urgent work takes the whole capacity.
inline constexpr milliseconds unbounded_delay{600'000};
// A report that is older than this is ignored: the queue has changed since, or its VM is lost.
inline constexpr milliseconds queue_delays_max_age{1500};
// Bounds a report. Less urgent priorities beyond it count like the last entry.
inline constexpr std::size_t queue_delays_max_priorities = 16;
// Least urgent priority that queues tell apart.
inline constexpr std::uint32_t queue_priority_max = 255;

// Time until completion of a small job that is queued now and can still meet its goal.
struct queue_delay
{
    std::uint32_t priority = 0;
    milliseconds expected{0};
    milliseconds above_share{0}; // if its account is above its share

    bool operator==(const queue_delay&) const = default;
};

// Delays of one queue. Empty if the queue does not reserve capacity by urgency.
struct queue_delays
{
    std::vector<queue_delay> by_priority; // ascending, those that have been seen lately
    milliseconds late{0};                 // of a job that cannot meet its goal
    std::vector<account_share> shares;    // of accounts that ask for more than their share

    bool operator==(const queue_delays&) const = default;
};

// Delay of a job of the priority: that of the nearest priority which is at least as urgent.
std::optional<milliseconds> find_delay(const queue_delays& delays, std::uint32_t priority,
                                       bool is_above_share = false);

// Latest report of each queue.
class queue_delay_reports
{
public:
    void record(const std::string& queue, const queue_delays& delays, time_point now);
    // Null if there is no recent report.
    const queue_delays* find(std::string_view queue, time_point now) const;

private:
    struct report
    {
        queue_delays delays;
        time_point at{};
    };

    std::map<std::string, report, std::less<>> reports_;
};

} // namespace zinnianotch
