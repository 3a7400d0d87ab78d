// Admission control for one endpoint, run by the VM that owns the endpoint.
#pragma once

#include "state/time.h"
#include "state/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinnianotch
{

inline constexpr milliseconds load_poll_interval{500};
inline constexpr milliseconds load_report_max_age{3000};
inline constexpr milliseconds ramp_interval{200}; // minimum time between two increases of the limit
// Circuit breaker. An endpoint that fails immediately looks idle and would attract all calls of its
// pool. After this many consecutive failures it receives one call at a time, at least breaker_pause
// after the last failure, until a call succeeds.
inline constexpr std::uint32_t breaker_failure_threshold = 3;
inline constexpr milliseconds breaker_pause{1000};
// A report may not yet reflect calls and events of this last period before its poll was sent: the
// endpoint's reporting delay plus the transit time of a call.
inline constexpr milliseconds load_report_lag{1000};
// Upper bound on the duration of a call: the maximum deadline of 60 s plus 5 % for the clock drift
// of another VM.
inline constexpr milliseconds call_max_duration{63'000};

enum class endpoint_phase
{
    cold,
    warming,
    warm,
    leaving
};

std::string_view to_string(endpoint_phase value);
bool from_string(std::string_view name, endpoint_phase& out);

// Load reported by an endpoint. A report is delayed and may be missing.
struct load_report
{
    std::string incarnation;
    endpoint_phase phase = endpoint_phase::cold;
    std::uint32_t running = 0;
    std::uint32_t capacity = 0; // concurrent calls that it can serve; 0 if not reported
    bool leaving = false;
};

// Inputs of an admission decision that admission_controller does not store.
struct admission_context
{
    std::uint32_t cold_limit = 2;
    std::uint32_t warm_limit = 16;
    std::uint32_t cold_allowance = 2; // part of cold_limit that this VM may use now
    // authority::handover_at. After this time, a cold endpoint receives no calls until a report
    // polled later shows how many calls other VMs left running there, or until call_max_duration
    // has passed. Those calls are subtracted from the allowance.
    time_point handover_at{};
    bool leaving = false; // by configuration or the VM list
    bool domain_out = false;
};

// Counts the calls in flight to one endpoint and decides whether one more may be sent.
class admission_controller
{
public:
    // Admits one call or returns the reason for the refusal. Each admitted call must be followed by
    // on_finished, on_abandoned or on_overloaded.
    result<void> try_admit(const admission_context& context, time_point now);

    // Releases the slot of an admitted call and updates the state from its result.
    void on_finished(bool succeeded, time_point now);

    // Releases the slot of a call that this VM gives up without a result, after a timeout or a
    // cancellation. The call may still run at the endpoint and counts as external until a report
    // shows otherwise.
    void on_abandoned(time_point now);

    // Releases the slot of a call that the endpoint refused because it is overloaded. The endpoint
    // is treated as cold, whatever it reported.
    void on_overloaded(time_point now);

    // The endpoint refused or reset a connection and may have restarted. It is treated as cold
    // until a later report or enough successful calls show otherwise.
    void on_restart_suspected(time_point now);

    // Applies the report of a poll that was sent at `polled_at`. A new incarnation or a cold phase
    // lowers the limit immediately. Without `polled_at`, the poll is assumed to have been sent one
    // poll interval ago.
    void on_report(const load_report& report, time_point polled_at, time_point now);
    void on_report(const load_report& report, time_point now);

    // Number of concurrent calls allowed now.
    std::uint32_t limit(const admission_context& context, time_point now) const;

    endpoint_phase phase() const { return phase_; }
    std::uint32_t in_flight() const { return in_flight_; }

    // Upper bound on the calls at the endpoint that are not in flight here: calls of former owners
    // and abandoned calls. It is the lowest running count reported since the handover. Calls of
    // this VM are not subtracted, because a call whose answer was lost has ended at the endpoint
    // but not here. Under constant load the bound may therefore stay at half of the allowance until
    // call_max_duration has passed.
    std::uint32_t external_in_flight(time_point now) const;

private:
    // external_in_flight for the given handover time; nullopt until a later report has arrived.
    std::optional<std::uint32_t> external_in_flight_after(time_point handover,
                                                          time_point now) const;
    // Limit for the current phase, without the circuit breaker.
    std::uint32_t phase_limit(const admission_context& context, time_point now) const;
    // The configured warm limit, capped by the capacity that the endpoint reports.
    std::uint32_t warm_limit(const admission_context& context) const;
    void release_slot();
    bool is_fresh(time_point now) const;
    void drop_to_cold();

    endpoint_phase phase_ = endpoint_phase::cold;
    std::uint32_t in_flight_ = 0;
    std::uint32_t ramp_steps_ = 0;     // increases above the cold limit
    std::uint32_t cold_successes_ = 0; // consecutive, while cold
    std::uint32_t reported_running_ = 0;
    std::uint32_t reported_capacity_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    std::optional<std::uint32_t> external_in_flight_;
    time_point handover_at_{};
    time_point abandoned_at_{};
    time_point last_raise_{};
    time_point next_probe_at_{}; // earliest next call while the circuit breaker is open
    time_point polled_at_{};
    time_point restart_suspected_at_{};
    bool has_report_ = false;
    bool has_suspected_restart_ = false;
    std::string incarnation_;
};

} // namespace zinnianotch
