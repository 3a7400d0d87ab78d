// Choice of an endpoint for a request, from what this VM has seen of each endpoint itself.
//
// It answers the load of a few engines behind many VMs: reports are late and all VMs read the same
// ones, so a VM adds what it has sent since, and requests that share the start of their prompt meet
// at the same engine without a message between the VMs.
#pragma once

#include "state/serving.h"
#include "state/time.h"
#include "state/vm_report.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Load that an endpoint reports with its answers.
struct endpoint_load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

// Figures by which an endpoint is left alone; see endpoint_health.
inline constexpr double failing_threshold = 0.4;        // share of failed requests
inline constexpr milliseconds failing_probe_interval{1500};  // between trials of a failing endpoint
inline constexpr milliseconds failure_rate_expiry{6000}; // a share without news for so long is dropped
inline constexpr milliseconds connect_backoff{400};   // after a refused or unanswered connection
inline constexpr milliseconds connect_backoff_max{3000};
inline constexpr milliseconds full_backoff{150}; // after a refusal for want of room

// What this VM has learned of one lifetime of an endpoint from its own requests.
class endpoint_health
{
public:
    void on_sent(time_point now);
    // A request that was sent has ended, however it did.
    void on_finished();
    // The endpoint answered, or broke off, after the request was sent.
    void on_answered(bool good, time_point now);
    void on_load(const endpoint_load_report& load, time_point now);
    // The endpoint refused the request because it is full.
    void on_full(time_point now);
    // No connection, or one that broke before an answer: it may have restarted.
    void on_unreachable(time_point now);
    // The endpoint is cold until then; a later time extends an earlier one.
    void set_cold_until(time_point until);

    bool is_cold(time_point now) const { return now < cold_until_; }
    bool may_try(time_point now) const;
    // Earliest time at which may_try holds, if nothing new is learned.
    time_point try_at(time_point now) const;
    bool is_failing(time_point now) const;
    // What the endpoint's own answers make of it, for reports.
    endpoint_use use(time_point now) const;
    std::uint32_t in_flight() const { return in_flight_; }
    // Requests at the endpoint as far as this VM can tell: its last word and own sends since.
    double load(time_point now) const;
    std::uint32_t slots() const { return reported_load_.slots; }

private:
    endpoint_load_report reported_load_;
    time_point reported_at_{};
    std::uint32_t in_flight_ = 0;
    std::uint32_t in_flight_at_report_ = 0;
    std::uint32_t connect_failures_ = 0;
    double failure_rate_ = 0.0;
    time_point failure_rate_at_{};
    time_point last_sent_{};
    time_point blocked_until_{};
    time_point cold_until_{};
};

struct placement_candidate
{
    const endpoint_record* endpoint = nullptr;
    const endpoint_health* health = nullptr;
    bool allowed = true; // within the cold share; false leaves it out
};

struct placement_query
{
    std::string_view affinity;       // requests with the same text share parts of their prompt
    std::string_view preferred_domain;      // failure domain that holds the request's inputs, or ours
    bool stay_in_preferred = false;  // its inputs are large: leave the domain only when it is full
    std::uint32_t default_slots = 1; // of an endpoint that has not said how many it has
    std::uint64_t tie_breaker = 0;        // breaks ties
};

// An engine may be loaded so much above the average of its service before the requests that share
// its parts go to the next one.
inline constexpr double affinity_load_factor = 1.3;
inline constexpr double affinity_load_margin = 0.06; // part of its slots allowed beside the slack

// Endpoint with the shared parts of the prompt, or the least loaded one when the query names none.
// Nothing when no candidate may be tried.
std::optional<std::size_t> choose_endpoint(const std::vector<placement_candidate>& candidates,
                                           const placement_query& query, time_point now);

} // namespace zinnianotch
