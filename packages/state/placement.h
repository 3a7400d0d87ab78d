// Selects an endpoint for a request, from this VM's own observations of each endpoint.
//
// With few engines behind many VMs, load reports are stale and all VMs read the same ones, so each
// VM adds the requests that it has sent since. Rendezvous hashing routes requests that share a
// prompt prefix to the same engine without communication between the VMs.
#pragma once

#include "state/serving.h"
#include "state/time.h"
#include "state/vm_report.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Load that an endpoint reports with its responses.
struct endpoint_load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // Factor by which work takes longer than usual at the moment; nothing if not told.
    std::optional<double> pace = std::nullopt;
};

// Thresholds and backoff times of endpoint_health.
inline constexpr double failing_threshold = 0.4;            // failure rate above which it fails
inline constexpr milliseconds failing_probe_interval{1500}; // between requests to a failing one
inline constexpr milliseconds failure_rate_expiry{6000};    // of a rate that is not updated
// After a refused or unanswered connection; doubles with each consecutive failure to connect.
inline constexpr milliseconds connect_backoff{400};
inline constexpr milliseconds connect_backoff_max{3000};
inline constexpr milliseconds full_backoff{150}; // after a refusal for lack of capacity

// Health and load of one lifetime of an endpoint, as observed through this VM's own requests.
class endpoint_health
{
public:
    void on_sent(time_point now);
    // A request that was sent has ended, successfully or not.
    void on_finished();
    // Outcome of a request that was sent. An error response, a broken connection and a missing
    // response are failures.
    void on_outcome(bool success, time_point now);
    // A request has had no progress since `progress_at`. If no other request has had an answer
    // since, the endpoint was silent for all of them, and its failure rate is restored by its next
    // answer.
    void on_silent(time_point progress_at, time_point now);
    void on_load(const endpoint_load_report& load, time_point now);
    // The endpoint refused the request because it is at capacity.
    void on_full(time_point now);
    // The endpoint wants no requests until this time.
    void pause_until(time_point until) { paused_until_ = std::max(paused_until_, until); }
    // The connection failed, or broke before a response: the endpoint may have restarted.
    void on_unreachable(time_point now);
    // Marks the endpoint as cold until this time, unless it is marked until a later one already.
    void set_cold_until(time_point until);

    bool is_cold(time_point now) const { return now < cold_until_; }
    bool is_paused(time_point now) const { return now < paused_until_; }
    time_point paused_until() const { return paused_until_; }
    bool may_try(time_point now) const;
    // Earliest time at which may_try becomes true without further events.
    time_point try_at(time_point now) const;
    bool is_failing(time_point now) const;
    // Current state of the endpoint, for status reports.
    endpoint_use use(time_point now) const;
    std::uint32_t in_flight() const { return in_flight_; }
    // Estimated requests at the endpoint: its last report plus the change in this VM's
    // requests in flight since then.
    double load(time_point now) const;
    // True if the endpoint has reported its load recently. Otherwise `load` counts only this VM's
    // own requests.
    bool has_recent_load(time_point now) const;
    std::uint32_t slots() const { return reported_load_.slots; }

private:
    endpoint_load_report reported_load_;
    time_point reported_at_{};
    std::uint32_t in_flight_ = 0;
    std::uint32_t in_flight_at_report_ = 0;
    std::uint32_t connect_failures_ = 0;
    double failure_rate_ = 0.0;
    time_point failure_rate_at_{};
    std::optional<double> rate_before_silence_;
    time_point answered_at_{};
    time_point last_sent_{};
    time_point blocked_until_{};
    time_point paused_until_{};
    time_point cold_until_{};
};

struct placement_candidate
{
    const endpoint_record* endpoint = nullptr;
    const endpoint_health* health = nullptr;
    bool allowed = true; // false if the cold share is used up; excludes it
};

struct placement_query
{
    std::string_view affinity;         // equal for requests that share a prompt prefix
    std::string_view preferred_domain; // domain that holds the inputs, or own domain
    bool stay_in_preferred = false;    // large inputs: leave the domain only if it is full
    std::uint32_t default_slots = 1;   // for an endpoint that reports none
    std::uint64_t tie_breaker = 0;     // rotates the candidates, to break ties
};

// Bounded-load rendezvous hashing: a request goes to the next engine in its order if the relative
// load exceeds affinity_load_factor times the average of the candidates plus affinity_load_margin.
// A candidate that has not reported its load recently counts as loaded as the average of those that
// have: with many VMs, each VM hears from few engines, and those must not seem overloaded next to
// the others.
inline constexpr double affinity_load_factor = 1.3;
inline constexpr double affinity_load_margin = 0.06; // as a fraction of the slots

// Index of the candidate that requests with this affinity go to while its load is within the bound;
// nothing if no candidate may be tried. Cold candidates are skipped.
std::optional<std::size_t> home_endpoint(const std::vector<placement_candidate>& candidates,
                                         std::string_view affinity, time_point now);

// Index of the candidate preferred by the query's affinity, or of the least loaded one if the query
// has no affinity. Nothing if no candidate may be tried.
std::optional<std::size_t> choose_endpoint(const std::vector<placement_candidate>& candidates,
                                           const placement_query& query, time_point now);

} // namespace zinnianotch
