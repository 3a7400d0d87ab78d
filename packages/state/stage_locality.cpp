// Members of stage_queue that choose where a part runs: in the failure domain that it prefers, or
// in another one.
#include "state/stage_batch.h"

#include <algorithm>

namespace zinnianotch
{

namespace
{

// An endpoint in the preferred domain is taken if its slowdown exceeds the lowest one of a free
// endpoint by no more than this.
constexpr double near_slowdown_margin = 0.5;
// A job does not wait if an endpoint in its preferred domain becomes free more rarely than this.
constexpr milliseconds locality_wait_max_expected{80};

} // namespace

// First part in queue order that an endpoint can take. An endpoint that would stay idle takes one
// that has waited for its domain long enough.
std::optional<stage_queue::call_start>
stage_queue::choose_start(const std::vector<std::string>& free, const std::set<std::string>& full,
                          time_point now) const
{
    if (full.size() >= free.size())
        return std::nullopt;
    for (const bool is_idle_otherwise : {false, true})
    {
        for (std::size_t i = 0; i < queue_.size(); ++i)
        {
            const waiting_part& part = queue_[i];
            const bool leaves =
                is_idle_otherwise ? has_waited_for_domain(part, now) : part.may_leave_domain;
            std::string endpoint = choose_endpoint_for(part, free, full, leaves);
            if (endpoint.empty())
                continue;
            // The job of a probe is delayed if the domain is still unreachable.
            const bool is_probe = domains_.is_unreachable(endpoints_.find(endpoint)->second.domain);
            return call_start{std::move(endpoint), is_probe ? queue_.size() - 1 : i};
        }
    }
    return std::nullopt;
}

// Time that the part may spend to run in its preferred domain.
milliseconds stage_queue::locality_allowance(const waiting_part& part, time_point now) const
{
    if (part.queued_at == time_point{})
        return milliseconds(0);
    const time_point done = next_call_done(now);
    const time_point latest = done <= part.job.goal_at ? part.job.goal_at : part.job.deadline_at;
    const auto spare = std::chrono::duration_cast<milliseconds>(latest - done);
    return std::clamp(spare / locality_slack_divisor, milliseconds(0), locality_wait);
}

bool stage_queue::has_waited_for_domain(const waiting_part& part, time_point now) const
{
    return now - part.queued_at >= locality_allowance(part, now);
}

// Delay scheduling: a job with a preferred domain waits for an endpoint there, which saves the
// transfer of large results between domains. It may leave if the pieces ahead of it that prefer the
// same domain keep the endpoints there busy for longer than it may wait, so load that is uneven
// spreads over all domains, while load that is even does not leave them in a burst either.
void stage_queue::update_locality(time_point now)
{
    struct backlog
    {
        double call_interval_ms = 0.0; // between the ends of two calls; 0 if too long to wait for
        std::uint64_t pieces = 0;
    };
    std::map<std::string_view, backlog> backlogs;
    for (waiting_part& part : queue_)
    {
        part.may_leave_domain = true;
        if (part.job.preferred_domain.empty())
            continue;
        const auto [entry, added] = backlogs.try_emplace(part.job.preferred_domain);
        backlog& ahead = entry->second;
        if (added)
        {
            const auto found = endpoints_by_domain_.find(part.job.preferred_domain);
            const auto call_ms = static_cast<double>(call_time(spec_.batch).count());
            if (found != endpoints_by_domain_.end() && !domains_.is_unreachable(found->first))
                ahead.call_interval_ms = call_ms / static_cast<double>(found->second);
            if (ahead.call_interval_ms > static_cast<double>(locality_wait_max_expected.count()))
                ahead.call_interval_ms = 0.0;
        }
        if (ahead.call_interval_ms > 0.0)
        {
            const double calls =
                0.5 + static_cast<double>(ahead.pieces) / std::max(spec_.batch, 1U);
            part.may_leave_domain = ahead.call_interval_ms * calls >=
                                    static_cast<double>(locality_allowance(part, now).count());
        }
        ahead.pieces += part.count;
    }
}

// A free endpoint for the part, the fastest one unless one in the preferred domain is nearly as
// fast; empty if there is none now.
std::string stage_queue::choose_endpoint_for(const waiting_part& part,
                                             const std::vector<std::string>& free,
                                             const std::set<std::string>& full,
                                             bool leaves_domain) const
{
    std::string fastest;
    double lowest = 0.0;
    for (const std::string& id : free)
    {
        if (full.contains(id))
            continue;
        const endpoint_state& endpoint = endpoints_.find(id)->second;
        if (fastest.empty())
        {
            fastest = id;
            lowest = endpoint.slowdown;
        }
        if (!part.job.preferred_domain.empty() && endpoint.domain == part.job.preferred_domain &&
            endpoint.slowdown <= lowest + near_slowdown_margin)
            return id;
    }
    return leaves_domain ? fastest : std::string();
}

} // namespace zinnianotch
