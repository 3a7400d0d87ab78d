#include "state/timed_placement.h"

#include "state/enum_names.h"
#include "state/hash.h"
#include "state/shares.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace zinnianotch
{

namespace
{

// Time that a cold endpoint takes longer: it is sent requests only if no warm one is left.
constexpr double cold_penalty_ms = 60'000.0;
// Same for an endpoint whose memory is full: requests that run there would be preempted.
constexpr double crowded_penalty_ms = 20'000.0;
// Fraction of an endpoint's memory that requests may fill by the estimates, which are not exact.
constexpr double usable_memory = 0.9;
// Most that is assumed of the load of an endpoint without a recent report, relative to its slots.
constexpr double assumed_load_max = 0.6;

// In the order of placement_cause.
constexpr std::array<std::string_view, 6> cause_names = {"load", "prefix",  "near",
                                                         "time", "crowded", "only"};

struct estimate
{
    double cost_ms = 0.0;
    double expected_ms = 0.0;
    double unread = 0.0;
    double slowness = 1.0;
    bool usable = false;
    bool made = false;
    bool crowded = false;
};

double slots_of(const timed_candidate& candidate, const timed_query& query)
{
    std::uint32_t slots = candidate.base.health->slots();
    if (slots == 0)
        slots = candidate.base.endpoint->slots;
    if (slots == 0)
        slots = query.base.default_slots;
    return std::max<double>(1.0, slots);
}

// Requests of other VMs at the endpoint by its last report.
double others_at(const endpoint_health& health, time_point now)
{
    return std::max(0.0, health.load(now) - health.in_flight());
}

std::uint32_t cached_tokens(const request_work& work, std::uint64_t endpoint)
{
    for (const cached_prompt& cached : work.cached)
    {
        if (cached.endpoint == endpoint)
            return cached.tokens;
    }
    return 0;
}

// Factor by which the endpoint is slower than the average, also by what it still owes.
double current_slowness(const timed_candidate& candidate, time_point now)
{
    const double slowness = candidate.pace->slowness(now);
    const double overdue = candidate.backlog->overdue(now);
    return overdue < late_byte_factor ? slowness
                                      : std::min(slowness_max, std::max(1.0, slowness) * overdue);
}

// Expected times of a request with a prompt.
void estimate_prompt(estimate& to, const timed_candidate& candidate, const timed_query& query,
                     double others, bool is_home, double wait_share, time_point now)
{
    const request_work& work = *query.work;
    const work_rates& rates = *query.rates;
    const double slots = slots_of(candidate, query);
    // Other VMs send requests with this prefix to its home.
    const double cached =
        std::max<double>(cached_tokens(work, candidate.key), is_home ? work.shared_tokens : 0.0);
    to.unread = std::max(0.0, work.prompt_tokens - cached);
    const double ahead = candidate.backlog->unread();
    const double at_endpoint = others + static_cast<double>(candidate.backlog->size());
    double time = rates.first_byte_ms(to.unread + ahead);
    if (at_endpoint >= slots)
        time += rates.total_ms() * (at_endpoint + 1.0 - slots) / slots;
    // A shorter wait than the average is not sought: all VMs know of it and would meet there.
    const double excess = candidate.pace->wait_ms(rates.wait_ms(), now) - rates.wait_ms();
    const double wait = std::max(0.0, rates.wait_ms() + excess * wait_share);
    to.expected_ms = time * to.slowness + wait;
    const double waiting =
        std::min(disturbed_max, wait / std::max(1.0, rates.first_byte_ms(to.unread)));
    const double disturbed = disturbance_share * std::min(1.0, at_endpoint / slots) + waiting;
    to.cost_ms = to.expected_ms + disturbed * to.slowness * rates.token_read_ms() * to.unread;
    to.cost_ms += reread_share * to.slowness * rates.token_read_ms() *
                  std::max(0.0, work.shared_tokens - cached);
    const double memory = candidate.backlog->memory() + others * rates.memory_per_request();
    to.crowded =
        query.memory_tokens != 0 &&
        memory + work.memory_tokens() > usable_memory * static_cast<double>(query.memory_tokens);
    if (work.goal_left.count() > 0)
        to.cost_ms += std::max(0.0, to.expected_ms - static_cast<double>(work.goal_left.count()));
}

void estimate_plain(estimate& to, const timed_candidate& candidate, const timed_query& query,
                    double others)
{
    const double slots = slots_of(candidate, query);
    const double at_endpoint = others + candidate.base.health->in_flight();
    const double queued = std::max(0.0, at_endpoint + 1.0 - slots) / slots;
    to.expected_ms = query.work->plain_ms * to.slowness * (1.0 + queued);
    // The work of others counts before all slots are taken: more arrives than is reported.
    to.cost_ms = to.expected_ms + query.work->plain_ms * to.slowness * at_endpoint / slots;
    if (candidate.base.endpoint->domain != query.base.preferred_domain)
        to.cost_ms += remote_time_share * query.work->plain_ms;
}

// Estimates of the candidates, each made when it is asked for first.
class estimator
{
public:
    estimator(const std::vector<timed_candidate>& candidates, const timed_query& query,
              std::optional<std::size_t> home, time_point now)
        : candidates_(candidates), query_(query), home_(home), now_(now),
          wait_share_(2.0 * static_cast<double>(avalanche(query.salt) >> 11U) * 0x1.0p-53),
          estimates_(candidates.size())
    {
        double sum = 0.0;
        double reported = 0.0;
        for (std::size_t i = 0; i < candidates.size(); ++i)
        {
            const endpoint_health& health = *candidates[i].base.health;
            estimates_[i].usable = candidates[i].base.allowed && health.may_try(now);
            usable_ += estimates_[i].usable ? 1 : 0;
            if (!estimates_[i].usable || !health.has_recent_load(now))
                continue;
            sum += others_at(health, now);
            reported += 1.0;
        }
        assumed_others_ = reported > 0.0 ? sum / reported : 0.0;
    }

    std::size_t usable() const { return usable_; }
    bool is_usable(std::size_t i) const { return estimates_[i].usable; }

    const estimate& at(std::size_t i)
    {
        estimate& to = estimates_[i];
        if (std::exchange(to.made, true))
            return to;
        const timed_candidate& candidate = candidates_[i];
        const endpoint_health& health = *candidate.base.health;
        const double others =
            health.has_recent_load(now_)
                ? others_at(health, now_)
                : std::min(assumed_others_, assumed_load_max * slots_of(candidate, query_));
        to.slowness = current_slowness(candidate, now_);
        if (query_.work->has_prompt())
            estimate_prompt(to, candidate, query_, others, home_ == i, wait_share_, now_);
        else
            estimate_plain(to, candidate, query_, others);
        if (candidate.base.endpoint->domain != query_.base.preferred_domain)
            to.cost_ms += domain_hop_ms;
        if (health.is_cold(now_))
            to.cost_ms += cold_penalty_ms;
        if (to.crowded)
            to.cost_ms += crowded_penalty_ms;
        return to;
    }

    // Lowest cost of all candidates that may be tried.
    double lowest_cost()
    {
        double lowest = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < estimates_.size(); ++i)
        {
            if (is_usable(i))
                lowest = std::min(lowest, at(i).cost_ms);
        }
        return lowest;
    }

private:
    const std::vector<timed_candidate>& candidates_;
    const timed_query& query_;
    std::optional<std::size_t> home_;
    time_point now_;
    double wait_share_;
    double assumed_others_ = 0.0;
    std::size_t usable_ = 0;
    std::vector<estimate> estimates_;
};

// First of the candidates whose cost is at most `bound`, in the order of the affinity, or from the
// tie breaker on.
std::size_t first_within(const std::vector<timed_candidate>& candidates, estimator& estimates,
                         double bound, const placement_query& query)
{
    std::size_t best = candidates.size();
    std::uint64_t best_weight = 0;
    const rendezvous_key key(query.affinity);
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        const std::size_t i = (n + query.tie_breaker) % candidates.size();
        if (!estimates.is_usable(i) || estimates.at(i).cost_ms > bound)
            continue;
        if (query.affinity.empty())
            return i;
        const std::uint64_t weight = key.weight(candidates[i].base.endpoint->id);
        if (best < candidates.size() && weight <= best_weight)
            continue;
        best = i;
        best_weight = weight;
    }
    return best;
}

// The first candidates in the order of the affinity that are warm and may be tried.
std::vector<std::size_t> first_in_order(const std::vector<timed_candidate>& candidates,
                                        std::string_view affinity, std::size_t count,
                                        time_point now)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> first;
    if (affinity.empty())
        return {};
    const rendezvous_key key(affinity);
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const placement_candidate& base = candidates[i].base;
        if (!base.allowed || !base.health->may_try(now) || base.health->is_cold(now))
            continue;
        const std::pair<std::uint64_t, std::size_t> entry{key.weight(base.endpoint->id), i};
        if (first.size() == count && entry <= first.back())
            continue;
        if (first.size() == count)
            first.pop_back();
        first.insert(std::upper_bound(first.begin(), first.end(), entry, std::greater<>()), entry);
    }
    std::vector<std::size_t> indices;
    indices.reserve(first.size());
    for (const auto& [weight, index] : first)
        indices.push_back(index);
    return indices;
}

// The lastingly fastest of the first endpoints in a prefix's order.
std::optional<std::size_t> home_of(const std::vector<timed_candidate>& candidates,
                                   const std::vector<std::size_t>& order, time_point now)
{
    std::optional<std::size_t> home;
    double home_pace = 0.0;
    for (std::size_t n = 0; n < std::min(order.size(), home_choices); ++n)
    {
        const double slowness = candidates[order[n]].pace->lasting_slowness(now);
        const double pace = std::round(std::log(slowness) / home_pace_step);
        if (home && pace >= home_pace)
            continue;
        home = order[n];
        home_pace = pace;
    }
    return home;
}

} // namespace

std::string_view to_string(placement_cause value)
{
    return name_of(cause_names, value);
}

std::optional<std::size_t> timed_home(const std::vector<timed_candidate>& candidates,
                                      std::string_view affinity, time_point now)
{
    return home_of(candidates, first_in_order(candidates, affinity, home_choices, now), now);
}

std::optional<timed_choice> choose_by_time(const std::vector<timed_candidate>& candidates,
                                           const timed_query& query, time_point now)
{
    const std::vector<std::size_t> order =
        first_in_order(candidates, query.base.affinity, prefix_choices, now);
    const std::optional<std::size_t> home = home_of(candidates, order, now);
    estimator estimates(candidates, query, home, now);
    if (estimates.usable() == 0)
        return std::nullopt;
    timed_choice choice;
    choice.index = candidates.size();
    for (const std::size_t i : order)
    {
        if (choice.index == candidates.size() ||
            estimates.at(i).cost_ms < estimates.at(choice.index).cost_ms)
            choice.index = i;
    }
    const double goal_left = static_cast<double>(query.work->goal_left.count());
    const double cost = choice.index < candidates.size() ? estimates.at(choice.index).cost_ms
                                                         : std::numeric_limits<double>::max();
    // Compares with all candidates only if the first ones would miss the goal.
    if (choice.index < candidates.size() &&
        (cost <= goal_left || cost <= leave_prefix_factor * estimates.lowest_cost()))
        choice.cause = home == choice.index ? placement_cause::prefix : placement_cause::near;
    else
    {
        const double equal_share = query.base.affinity.empty() ? 0.0 : equal_time_share;
        const double bound = (1.0 + equal_share) * estimates.lowest_cost();
        choice.index = first_within(candidates, estimates, bound, query.base);
        choice.cause = placement_cause::time;
    }
    const estimate& chosen = estimates.at(choice.index);
    if (chosen.crowded)
        choice.cause = placement_cause::crowded;
    else if (estimates.usable() == 1)
        choice.cause = placement_cause::only;
    choice.expected_ms = chosen.expected_ms;
    choice.tokens_to_read = chosen.unread;
    choice.slowness = chosen.slowness;
    return choice;
}

} // namespace zinnianotch
