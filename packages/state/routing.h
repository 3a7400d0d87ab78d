// Selection of an endpoint for a stage attempt, and the retry and time budgets of stages.
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

// State of an endpoint as seen by a VM: the owner's last heartbeat plus the calls sent since then.
struct endpoint_summary
{
    std::string id;
    std::string domain;
    endpoint_phase phase = endpoint_phase::cold;
    std::uint32_t in_flight = 0;         // as last reported by the owner
    std::uint32_t limit = 0;             // as last reported by the owner
    std::uint32_t sent_since_report = 0; // calls sent by this VM since that report
    bool known = false;                  // true if a recent heartbeat reported the endpoint
};

// Inputs of a routing decision besides the candidates. The candidates are the endpoints of a pool
// that may be tried now: the caller excludes failure domains that are out or unreachable, endpoints
// that are leaving, and endpoints that the request has already tried.
struct routing_query
{
    std::string_view own_domain;
    std::uint64_t request_number = 0; // breaks ties and selects the endpoint in round_robin
};

// choose() returns the index of the chosen candidate. `candidates` is never empty.
template <typename Policy>
concept routing_policy = requires(const Policy policy,
                                  const std::vector<endpoint_summary>& candidates,
                                  const routing_query& query)
{
    {
        policy.choose(candidates, query)
        } -> std::same_as<std::size_t>;
};

// Prefers endpoints of the own failure domain with free capacity, then the lowest load relative to
// the limit. Counts the calls that this VM sent since the last report.
struct least_load
{
    std::size_t choose(const std::vector<endpoint_summary>& candidates,
                       const routing_query& query) const;
};

// Baseline for comparison: each endpoint in turn.
struct round_robin
{
    std::size_t choose(const std::vector<endpoint_summary>& candidates,
                       const routing_query& query) const;
};

// Baseline for comparison: the lowest reported load, without the calls sent since the report.
struct least_reported_load
{
    std::size_t choose(const std::vector<endpoint_summary>& candidates,
                       const routing_query& query) const;
};

static_assert(routing_policy<least_load> && routing_policy<round_robin> &&
              routing_policy<least_reported_load>);

// Selects a policy at run time, by its name in the settings or for comparisons in one run.
enum class routing_kind
{
    least_load,
    round_robin,
    least_reported_load
};

std::string_view to_string(routing_kind value);
bool from_string(std::string_view name, routing_kind& out);

// Limits the retries of one pool to a percentage of its first attempts plus a small constant, over
// a sliding window. Without the limit, retries would add load to a stage that is already slow.
class retry_budget
{
public:
    void on_first_attempt(time_point now);
    // Consumes one retry; returns false if the budget is exhausted.
    bool try_retry(std::uint32_t retry_percent, time_point now);

private:
    void advance_window(time_point now);

    time_point window_start_{};
    std::uint32_t attempts_ = 0;
    std::uint32_t previous_attempts_ = 0;
    std::uint32_t retries_ = 0;
    std::uint32_t previous_retries_ = 0;
};

// Recent durations of each stage as measured by this VM, used to compute stage time budgets.
class stage_durations
{
public:
    void record(const std::string& stage, milliseconds elapsed);
    // Zero until enough attempts have been recorded.
    milliseconds median(const std::string& stage) const;

private:
    std::map<std::string, std::vector<std::uint32_t>> samples_;
};

// Time that the stage at `index` may take: the time left until the deadline minus the median
// durations of the stages after it. Zero or less means that the pipeline cannot finish in time.
milliseconds stage_time_budget(const pipeline_config& pipeline, std::size_t index,
                               const stage_durations& times, time_point deadline, time_point now);

} // namespace zinnianotch
