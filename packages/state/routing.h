// Choice of an endpoint for a stage attempt, and the budgets that bound retries and deadlines.
#pragma once

#include "state/admission.h"
#include "state/configuration.h"
#include "state/time.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// What a VM knows of an endpoint from its owner's heartbeats, corrected by its own work.
struct endpoint_summary
{
    std::string id;
    std::string domain;
    endpoint_phase phase = endpoint_phase::cold;
    std::uint32_t in_flight = 0;  // as last reported by the owner
    std::uint32_t limit = 0;      // as last reported by the owner
    std::uint32_t own_recent = 0; // sent by this VM since that report
    bool known = false;           // false until a heartbeat named the endpoint
};

// Endpoints of a pool that may be tried now. The caller leaves out domains that are out or
// unreachable, leaving endpoints and endpoints that the request already tried.
struct routing_query
{
    std::string_view own_domain;
    std::uint64_t request_number = 0; // spreads ties and drives round_robin
};

// A policy returns the index of the chosen candidate; candidates is never empty.
template <typename Policy>
concept routing_policy = requires(const Policy policy,
                                  const std::vector<endpoint_summary>& candidates,
                                  const routing_query& query)
{
    {
        policy.choose(candidates, query)
        } -> std::same_as<std::size_t>;
};

// Own domain first while it has room, then the least relative load, own recent work included.
struct least_load
{
    std::size_t choose(const std::vector<endpoint_summary>& candidates,
                       const routing_query& query) const;
};

// Baseline: each endpoint in turn.
struct round_robin
{
    std::size_t choose(const std::vector<endpoint_summary>& candidates,
                       const routing_query& query) const;
};

// Baseline: the least load as reported, without correction.
struct least_reported_load
{
    std::size_t choose(const std::vector<endpoint_summary>& candidates,
                       const routing_query& query) const;
};

static_assert(routing_policy<least_load> && routing_policy<round_robin> &&
              routing_policy<least_reported_load>);

// The policies by name, for the settings and for comparisons in one run.
enum class routing_kind
{
    least_load,
    round_robin,
    least_reported_load
};

std::string_view to_string(routing_kind value);
bool from_string(std::string_view name, routing_kind& out);

// Bounds the retries of one pool: a share of the first attempts plus a small constant, over a
// sliding window, so that a slow stage is not made slower by its own retries.
class retry_budget
{
public:
    void on_first_attempt(time_point now);
    // Takes one retry from the budget; false when it is used up.
    bool try_retry(std::uint32_t retry_percent, time_point now);

private:
    void roll(time_point now);

    time_point window_start_{};
    std::uint32_t attempts_ = 0;
    std::uint32_t previous_attempts_ = 0;
    std::uint32_t retries_ = 0;
    std::uint32_t previous_retries_ = 0;
};

// Median time of each stage as observed by this VM; decides how much time an attempt may take.
class stage_times
{
public:
    void record(const std::string& stage, milliseconds elapsed);
    // Zero until enough attempts were observed.
    milliseconds median(const std::string& stage) const;

private:
    std::map<std::string, std::vector<std::uint32_t>> samples_;
};

// Time that the stage at `index` may take: what is left until the deadline less the median time of
// the stages after it. Zero or less means that the pipeline can no longer finish.
milliseconds stage_time_left(const pipeline_config& pipeline, std::size_t index,
                             const stage_times& times, time_point deadline, time_point now);

} // namespace zinnianotch
