// Capacity that stage_queue reserves by urgency, and the delays that it reports.
#include "state/stage_batch.h"

#include <algorithm>
#include <cmath>

namespace zinnianotch
{

namespace
{

// Bounds what one job adds to the rate of its account.
constexpr std::uint64_t counted_pieces_max = 1'000'000;
// A call with a job whose goal is near is kept short, but not below this share of the batch: each
// call has a fixed cost.
constexpr std::uint32_t short_call_divisor = 2;
// A goal is near if it was fewer than this many full calls away when the job was queued.
constexpr int near_goal_calls = 2;
// A priority with fewer pieces per second is left out of the reported delays.
constexpr double rate_forgotten = 0.2;

} // namespace

void stage_queue::count_asked(const stage_job& job, std::uint32_t refused_pieces, time_point now)
{
    if (!reserving_ || !sharing_)
        return;
    const std::uint64_t pieces = std::uint64_t{job.pieces} + refused_pieces;
    asked_.add(job.account, priority_level(job),
               static_cast<std::uint32_t>(std::min<std::uint64_t>(pieces, counted_pieces_max)),
               now);
}

double stage_queue::capacity_left_to(std::uint32_t priority, time_point now) const
{
    double urgent = 0.0;
    for (const auto& [level, rate] : added_)
    {
        if (level < priority)
            urgent += rate.per_second(now);
    }
    const double total = std::max(capacity(now), 1e-3);
    return std::max(total - urgent, capacity_floor * total);
}

// Jobs that arrive while a job waits and are scheduled before it go ahead of it.
double stage_queue::reserve_factor(std::uint32_t priority, bool is_above_share,
                                   time_point now) const
{
    const double total = std::max(capacity(now), 1e-3);
    double left = capacity_left_to(priority, now);
    if (is_above_share)
    {
        const auto within = added_within_share_.find(priority);
        if (within != added_within_share_.end())
            left = std::max(left - within->second.per_second(now), capacity_floor * total);
    }
    return total / left;
}

std::vector<account_share> stage_queue::find_shares(time_point now) const
{
    std::vector<account_share> shares;
    if (!sharing_)
        return shares;
    for (const std::uint32_t priority : asked_.priorities())
    {
        const double room = shared_capacity * capacity_left_to(priority, now);
        for (const account_share& entry : asked_.above_share(priority, room, now))
        {
            if (shares.size() < account_shares_max)
                shares.push_back(entry);
        }
    }
    return shares;
}

queue_delays stage_queue::delays(time_point now) const
{
    queue_delays result;
    if (!reserving_)
        return result;
    const time_point next_done = next_call_done(now);
    std::map<std::uint32_t, std::uint64_t> within; // pieces of jobs on time
    std::map<std::uint32_t, std::uint64_t> above;
    for (const waiting_part& part : queue_)
    {
        if (next_done <= part.job.goal_at)
            (part.job.is_above_share ? above : within)[priority_level(part.job)] += part.count;
    }
    std::uint64_t ahead = 0;
    for (const auto& [priority, rate] : added_)
    {
        ahead += within[priority];
        const std::uint64_t ahead_if_above = ahead + above[priority];
        const milliseconds expected =
            time_behind(ahead, 1, reserve_factor(priority, false, now), now);
        const milliseconds above_share =
            time_behind(ahead_if_above, 1, reserve_factor(priority, true, now), now);
        ahead = ahead_if_above;
        if (rate.per_second(now) < rate_forgotten)
            continue;
        result.by_priority.push_back({priority, std::min(expected, unbounded_delay),
                                      std::min(above_share, unbounded_delay)});
        if (result.by_priority.size() == queue_delays_max_priorities)
            break;
    }
    result.late = late_delay(now);
    result.shares = find_shares(now);
    return result;
}

milliseconds stage_queue::late_delay(time_point now) const
{
    const milliseconds unhindered = time_behind(waiting_pieces(), 1, 1.0, now);
    if (waiting_pieces() < max_late_rounds * saturated_batch_size() * usable_endpoints(now))
        return unhindered;
    const double total = capacity(now);
    const double spare = total - on_time_.per_second(now);
    if (spare <= 0.0)
        return unbounded_delay;
    return std::min(unbounded_delay, milliseconds(std::llround(
                                         static_cast<double>(unhindered.count()) * total / spare)));
}

// Moves the first job on time of a priority that got less than its floor to the front.
void stage_queue::promote_starved(time_point now)
{
    double all = 0.0;
    for (const auto& [priority, rate] : sent_)
        all += rate.per_second(now);
    const time_point next_done = next_call_done(now);
    std::set<std::uint32_t> seen;
    for (std::size_t i = 0; i < queue_.size(); ++i)
    {
        const stage_job& job = queue_[i].job;
        if (next_done > job.goal_at)
            return; // only late jobs follow
        if (!seen.insert(priority_level(job)).second || i == 0)
            continue;
        const auto sent = sent_.find(priority_level(job));
        const double own = sent == sent_.end() ? 0.0 : sent->second.per_second(now);
        const auto added = added_.find(priority_level(job));
        const double asked = added == added_.end() ? 0.0 : added->second.per_second(now);
        if (own >= capacity_floor * all || own >= asked / 2.0)
            continue;
        const auto at = queue_.begin() + static_cast<std::ptrdiff_t>(i);
        std::rotate(queue_.begin(), at, at + 1);
        return;
    }
}

double stage_queue::short_call_ms(std::uint32_t pieces) const
{
    const std::uint32_t batch = std::max(spec_.batch, 1U);
    const std::uint32_t least = std::max(batch / short_call_divisor, 1U);
    const double configured =
        std::max<double>(static_cast<double>(call_time(saturated_batch_size()).count()), 1.0);
    return static_cast<double>(call_time(std::clamp(pieces, least, batch)).count()) *
           std::min(1.0, saturated_call_ms() / configured);
}

std::uint32_t stage_queue::pieces_by_goal(const waiting_part& part, time_point now) const
{
    const std::uint32_t batch = std::max(spec_.batch, 1U);
    const time_point goal = part.job.goal_at;
    if (!reserving_ || spec_.piece_time_ms <= 0.0 || now >= goal ||
        goal - part.queued_at >= near_goal_calls * call_time(batch))
        return batch;
    const std::chrono::duration<double, std::milli> left = goal - now - spec_.call_time;
    const double fitting = std::max(left.count(), 0.0) / spec_.piece_time_ms;
    const std::uint32_t least = std::min(batch, std::max(batch / short_call_divisor, part.count));
    return std::clamp(static_cast<std::uint32_t>(std::min<double>(fitting, batch)), least, batch);
}

} // namespace zinnianotch
