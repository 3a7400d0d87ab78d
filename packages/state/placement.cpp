#include "state/placement.h"

#include "state/shares.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace zinnianotch
{

namespace
{

// Most that is assumed of an engine without a recent report, so that full ones are still avoided.
constexpr double assumed_load_max = 0.6;
// Time after which a reported load is no longer used.
constexpr milliseconds load_report_max_age{2000};
// Weight of the newest response in the moving average of the failure rate.
constexpr double failure_weight = 0.12;
// Penalty on the relative load of endpoints outside the preferred domain: a hop to another domain
// adds a millisecond of latency and transfers the request between domains.
constexpr double remote_domain_penalty = 0.1;
// Relative load at which an endpoint in the domain of large inputs counts as full.
constexpr double preferred_domain_max_load = 0.85;

double slots_of(const placement_candidate& candidate, const placement_query& query)
{
    std::uint32_t slots = candidate.health->slots();
    if (slots == 0)
        slots = candidate.endpoint->slots;
    if (slots == 0)
        slots = query.default_slots;
    return std::max(1.0, static_cast<double>(slots));
}

double relative_load(const placement_candidate& candidate, const placement_query& query,
                     time_point now)
{
    return candidate.health->load(now) / slots_of(candidate, query);
}

// Relative loads of the candidates `from`, in its order. Those without a recent report count at
// least as loaded as the average of those with one.
std::vector<double> relative_loads(const std::vector<placement_candidate>& candidates,
                                   const std::vector<std::size_t>& from,
                                   const placement_query& query, time_point now)
{
    std::vector<double> loads;
    loads.reserve(from.size());
    double sum = 0.0;
    std::size_t reported = 0;
    for (const std::size_t i : from)
    {
        loads.push_back(relative_load(candidates[i], query, now));
        if (!candidates[i].health->has_recent_load(now))
            continue;
        sum += loads.back();
        ++reported;
    }
    if (reported == 0)
        return loads;
    const double assumed = std::min(assumed_load_max, sum / static_cast<double>(reported));
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        if (!candidates[from[n]].health->has_recent_load(now))
            loads[n] = std::max(loads[n], assumed);
    }
    return loads;
}

std::vector<std::size_t> usable(const std::vector<placement_candidate>& candidates, time_point now)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (candidates[i].allowed && candidates[i].health->may_try(now))
            found.push_back(i);
    }
    return found;
}

// Candidates in the preferred domain that are not full.
std::vector<std::size_t> in_preferred(const std::vector<placement_candidate>& candidates,
                                      const std::vector<std::size_t>& from,
                                      const placement_query& query, time_point now)
{
    std::vector<std::size_t> found;
    for (const std::size_t i : from)
    {
        if (candidates[i].endpoint->domain == query.preferred_domain &&
            relative_load(candidates[i], query, now) < preferred_domain_max_load)
            found.push_back(i);
    }
    return found;
}

// `loads` holds the relative loads of `from`.
std::size_t least_loaded(const std::vector<placement_candidate>& candidates,
                         const std::vector<std::size_t>& from, const placement_query& query,
                         const std::vector<double>& loads, time_point now)
{
    std::size_t best = from.front();
    double best_load = std::numeric_limits<double>::max();
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        const std::size_t at = (n + query.tie_breaker) % from.size();
        const std::size_t i = from[at];
        double load = loads[at];
        if (candidates[i].endpoint->domain != query.preferred_domain)
            load += remote_domain_penalty;
        if (candidates[i].health->is_cold(now))
            load += 1.0;
        if (load >= best_load)
            continue;
        best_load = load;
        best = i;
    }
    return best;
}

// First warm endpoint of `from` in the rendezvous order of the affinity whose relative load is at
// most `bound`.
std::optional<std::size_t> first_by_affinity(const std::vector<placement_candidate>& candidates,
                                             const std::vector<std::size_t>& from,
                                             std::string_view affinity, double bound,
                                             const std::vector<double>& loads, time_point now)
{
    std::optional<std::size_t> best;
    std::uint64_t best_weight = 0;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        const placement_candidate& candidate = candidates[from[n]];
        if (loads[n] > bound || candidate.health->is_cold(now))
            continue;
        const std::uint64_t weight = rendezvous_weight(affinity, candidate.endpoint->id);
        if (best && weight <= best_weight)
            continue;
        best = from[n];
        best_weight = weight;
    }
    return best;
}

// First warm endpoint in the rendezvous order of the affinity whose load is within the bound; the
// least loaded one if there is none.
std::size_t choose_by_affinity(const std::vector<placement_candidate>& candidates,
                               const std::vector<std::size_t>& from, const placement_query& query,
                               const std::vector<double>& loads, time_point now)
{
    const double mean =
        std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(from.size());
    const double bound = affinity_load_factor * mean + affinity_load_margin;
    const auto best = first_by_affinity(candidates, from, query.affinity, bound, loads, now);
    return best ? *best : least_loaded(candidates, from, query, loads, now);
}

} // namespace

void endpoint_health::on_sent(time_point now)
{
    ++in_flight_;
    last_sent_ = now;
}

void endpoint_health::on_finished()
{
    in_flight_ -= std::min(in_flight_, 1U);
}

void endpoint_health::on_outcome(bool success, time_point now)
{
    connect_failures_ = 0;
    if (now - failure_rate_at_ > failure_rate_expiry)
        failure_rate_ = 0.0;
    if (success)
    {
        answered_at_ = now;
        failure_rate_ = std::min(failure_rate_, rate_before_silence_.value_or(failure_rate_));
        rate_before_silence_.reset();
    }
    failure_rate_ += failure_weight * ((success ? 0.0 : 1.0) - failure_rate_);
    failure_rate_at_ = now;
}

void endpoint_health::on_silent(time_point progress_at, time_point now)
{
    if (answered_at_ <= progress_at && !rate_before_silence_)
        rate_before_silence_ = failure_rate_;
    on_outcome(false, now);
}

void endpoint_health::on_load(const endpoint_load_report& load, time_point now)
{
    reported_load_ = load;
    reported_at_ = now;
    in_flight_at_report_ = in_flight_;
}

void endpoint_health::on_full(time_point now)
{
    blocked_until_ = std::max(blocked_until_, now + full_backoff);
}

void endpoint_health::on_unreachable(time_point now)
{
    const milliseconds pause = connect_backoff * (1U << std::min(connect_failures_, 5U));
    blocked_until_ = now + std::min(pause, connect_backoff_max);
    ++connect_failures_;
}

void endpoint_health::set_cold_until(time_point until)
{
    cold_until_ = std::max(cold_until_, until);
}

bool endpoint_health::may_try(time_point now) const
{
    return try_at(now) <= now;
}

time_point endpoint_health::try_at(time_point now) const
{
    const time_point unblocked = std::max({now, blocked_until_, paused_until_});
    return is_failing(now) ? std::max(unblocked, last_sent_ + failing_probe_interval) : unblocked;
}

bool endpoint_health::is_failing(time_point now) const
{
    return failure_rate_ > failing_threshold && now - failure_rate_at_ <= failure_rate_expiry;
}

endpoint_use endpoint_health::use(time_point now) const
{
    if (is_failing(now))
        return endpoint_use::failing;
    if (!may_try(now))
        return connect_failures_ > 0 ? endpoint_use::unreachable : endpoint_use::full;
    return is_cold(now) ? endpoint_use::cold : endpoint_use::used;
}

bool endpoint_health::has_recent_load(time_point now) const
{
    return reported_load_.slots != 0 && now - reported_at_ <= load_report_max_age;
}

double endpoint_health::load(time_point now) const
{
    if (!has_recent_load(now))
        return in_flight_;
    const double reported = static_cast<double>(reported_load_.running) + reported_load_.waiting;
    const double since =
        static_cast<double>(in_flight_) - static_cast<double>(in_flight_at_report_);
    return std::max<double>(in_flight_, reported + since);
}

std::optional<std::size_t> home_endpoint(const std::vector<placement_candidate>& candidates,
                                         std::string_view affinity, time_point now)
{
    const std::vector<std::size_t> from = usable(candidates, now);
    const std::vector<double> unloaded(from.size(), 0.0);
    return first_by_affinity(candidates, from, affinity, 0.0, unloaded, now);
}

std::optional<std::size_t> choose_endpoint(const std::vector<placement_candidate>& candidates,
                                           const placement_query& query, time_point now)
{
    std::vector<std::size_t> from = usable(candidates, now);
    if (from.empty())
        return std::nullopt;
    if (query.stay_in_preferred)
    {
        std::vector<std::size_t> near = in_preferred(candidates, from, query, now);
        if (!near.empty())
            from = std::move(near);
    }
    const std::vector<double> loads = relative_loads(candidates, from, query, now);
    if (!query.affinity.empty())
        return choose_by_affinity(candidates, from, query, loads, now);
    return least_loaded(candidates, from, query, loads, now);
}

} // namespace zinnianotch
