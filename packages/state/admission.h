// Admission of calls to one endpoint, decided by its owner VM.
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
inline constexpr milliseconds ramp_interval{200}; // least time between two raises of the limit
// An endpoint that fails at once looks idle and would draw all calls of its pool: after so many
// failures in a row it gets one call at a time, breaker_pause apart, until one succeeds.
inline constexpr std::uint32_t breaker_failures = 3;
inline constexpr milliseconds breaker_pause{1000};
// A report may miss calls sent and events since this long before its poll: the endpoint's own lag
// plus the transit of a call.
inline constexpr milliseconds load_report_lag{1000};
// No call runs longer: the longest deadline of 60 s plus 5 % for the rate of another VM's clock.
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

// What an endpoint says of itself; arrives late and may be missing.
struct load_report
{
    std::string incarnation;
    endpoint_phase phase = endpoint_phase::cold;
    std::uint32_t running = 0;
    std::uint32_t capacity = 0; // concurrent calls that it serves; 0 when it does not say
    bool leaving = false;
};

// Inputs of an admission that the endpoint's gate does not keep itself.
struct admission_context
{
    std::uint32_t cold_limit = 2;
    std::uint32_t warm_limit = 16;
    std::uint32_t cold_allowance = 2; // share of cold_limit that this VM may use now
    // authority::handover_at. A cold endpoint gets no work until a report polled after it shows the
    // calls that other VMs left there; these come off the allowance.
    time_point handover_at{};
    bool leaving = false; // by configuration or the VM list
    bool domain_out = false;
};

// Counts the calls in flight to one endpoint and decides whether one more may be sent.
class endpoint_gate
{
public:
    // Admits one call or says why not. An admitted call must be ended by on_finished or
    // on_abandoned.
    result<void> try_admit(const admission_context& context, time_point now);

    // Releases the slot of an admitted call and learns from its end.
    void on_finished(bool succeeded, time_point now);

    // Releases the slot of a call that this VM gives up without knowing its end, after a timeout or
    // a cancellation. The call may go on at the endpoint and counts as foreign until a report shows
    // otherwise.
    void on_abandoned(time_point now);

    // The endpoint refused the call because it has too many: it turned cold, whatever it reported.
    void on_overloaded(time_point now);

    // The endpoint refused a connection or reset it: it may have restarted and is cold until a
    // report or the ramp says otherwise.
    void on_restart_suspected(time_point now);

    // Adopts the report of a poll sent at `polled`; a new incarnation or a cold phase drops the
    // limit at once. Without `polled`, the poll counts as sent one poll interval ago.
    void on_report(const load_report& report, time_point polled, time_point now);
    void on_report(const load_report& report, time_point now);

    // Concurrent calls allowed now.
    std::uint32_t limit(const admission_context& context, time_point now) const;

    endpoint_phase phase() const { return phase_; }
    std::uint32_t in_flight() const { return in_flight_; }

    // Upper bound of the calls at the endpoint that are not in flight here: those of former owners
    // and abandoned ones. It is the least running count of the reports since the handover. Own
    // calls are not subtracted, because an own call whose answer was lost has ended at the endpoint
    // but not here; under constant load the bound may therefore stay at half of the allowance until
    // call_max_duration has passed.
    std::uint32_t foreign(time_point now) const;

private:
    // The bound above for the given handover, or nothing before the first report after it.
    std::optional<std::uint32_t> foreign_after(time_point handover, time_point now) const;
    // Limit by phase, without regard to recent failures.
    std::uint32_t phase_limit(const admission_context& context, time_point now) const;
    // The configured warm limit, or the capacity that the endpoint reports if that is lower.
    std::uint32_t warm_limit(const admission_context& context) const;
    void release_slot();
    bool is_fresh(time_point now) const;
    void drop_to_cold();

    endpoint_phase phase_ = endpoint_phase::cold;
    std::uint32_t in_flight_ = 0;
    std::uint32_t ramp_steps_ = 0; // raises above the cold limit
    std::uint32_t successes_ = 0;  // in a row while cold
    std::uint32_t running_ = 0;    // by the last report
    std::uint32_t capacity_ = 0;   // by the last report
    std::uint32_t failures_ = 0;   // in a row
    std::optional<std::uint32_t> foreign_;
    time_point handover_at_{};
    time_point abandoned_at_{};
    time_point last_raise_{};
    time_point probe_at_{}; // earliest next call after breaker_failures failures
    time_point polled_at_{};
    time_point suspected_at_{};
    bool has_report_ = false;
    bool has_suspicion_ = false;
    std::string incarnation_;
};

} // namespace zinnianotch
