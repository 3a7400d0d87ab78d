// Admission of calls to one endpoint, decided by its owner VM.
#pragma once

#include "state/time.h"
#include "state/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace zinnianotch
{

inline constexpr milliseconds load_poll_interval{500};
inline constexpr milliseconds load_report_max_age{3000};
inline constexpr milliseconds ramp_interval{200}; // least time between two raises of the limit

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
    bool leaving = false;
};

// Inputs of an admission that the endpoint's gate does not keep itself.
struct admission_context
{
    std::uint32_t cold_limit = 2;
    std::uint32_t warm_limit = 16;
    std::uint32_t cold_allowance = 2; // share of cold_limit that this VM may use now
    bool leaving = false;             // by configuration or the VM list
    bool domain_out = false;
};

// Counts the calls in flight to one endpoint and decides whether one more may be sent.
class endpoint_gate
{
public:
    // Admits one call or says why not. An admitted call must be ended by on_finished.
    result<void> try_admit(const admission_context& context, time_point now);

    // Releases the slot of an admitted call and learns from its end.
    void on_finished(bool succeeded, time_point now);

    // The endpoint refused a connection or reset it: it may have restarted and is cold until a
    // report or the ramp says otherwise.
    void on_restart_suspected(time_point now);

    // Adopts a report; a new incarnation or a cold phase drops the limit at once.
    void on_report(const load_report& report, time_point now);

    // Concurrent calls allowed now.
    std::uint32_t limit(const admission_context& context, time_point now) const;

    endpoint_phase phase() const { return phase_; }
    std::uint32_t in_flight() const { return in_flight_; }

    // Calls at the endpoint that this VM did not send, by the last report (a former owner's).
    std::uint32_t foreign(time_point now) const;

private:
    endpoint_phase phase_ = endpoint_phase::cold;
    std::uint32_t in_flight_ = 0;
    std::uint32_t ramp_limit_ = 0;
    std::uint32_t foreign_ = 0;
    time_point last_raise_{};
    time_point reported_at_{};
    bool has_report_ = false;
    std::string incarnation_;
};

} // namespace zinnianotch
