#include "state/admission.h"

#include "state/enum_names.h"

#include <algorithm>
#include <array>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 4> endpoint_phase_names = {"cold", "warming", "warm",
                                                                  "leaving"};

// Consecutive successes after which an endpoint without fresh reports counts as warming.
constexpr std::uint32_t warming_successes = 4;

} // namespace

std::string_view to_string(endpoint_phase value)
{
    return name_of(endpoint_phase_names, value);
}

bool from_string(std::string_view name, endpoint_phase& out)
{
    return value_of(endpoint_phase_names, name, out);
}

result<void> admission_controller::try_admit(const admission_context& context, time_point now)
{
    if (context.handover_at != handover_at_)
    {
        external_in_flight_ = external_in_flight_after(context.handover_at, now);
        handover_at_ = context.handover_at;
    }
    if (context.domain_out)
        return not_run(reason::domain_out);
    if (context.leaving || phase_ == endpoint_phase::leaving)
        return not_run(reason::endpoint_leaving);

    const std::uint32_t allowed = limit(context, now);
    if (phase_ == endpoint_phase::warming && allowed >= warm_limit(context))
        phase_ = endpoint_phase::warm;
    if (in_flight_ >= allowed)
        return not_run(reason::busy);
    ++in_flight_;
    return outcome::success();
}

void admission_controller::on_finished(bool succeeded, time_point now)
{
    release_slot();
    if (!succeeded)
    {
        cold_successes_ = 0;
        ++consecutive_failures_;
        next_probe_at_ = now + breaker_pause;
        return;
    }
    consecutive_failures_ = 0;
    if (phase_ == endpoint_phase::cold)
    {
        // A fresh report is more reliable than the success of a few calls.
        if (is_fresh(now))
            cold_successes_ = 0;
        else if (++cold_successes_ >= warming_successes)
        {
            phase_ = endpoint_phase::warming;
            last_raise_ = now;
        }
    }
    else if (phase_ == endpoint_phase::warming && now - last_raise_ >= ramp_interval)
    {
        ++ramp_steps_;
        last_raise_ = now;
    }
}

void admission_controller::on_abandoned(time_point now)
{
    external_in_flight_ = external_in_flight_after(handover_at_, now);
    if (external_in_flight_)
        ++*external_in_flight_;
    abandoned_at_ = now;
    // A timeout or a cancelled call is not evidence of a faulty endpoint, so it is not a failure.
    cold_successes_ = 0;
    release_slot();
}

void admission_controller::on_overloaded(time_point now)
{
    release_slot();
    on_restart_suspected(now);
}

void admission_controller::on_restart_suspected(time_point now)
{
    has_suspected_restart_ = true;
    restart_suspected_at_ = now;
    if (phase_ != endpoint_phase::leaving)
        drop_to_cold();
}

void admission_controller::on_report(const load_report& report, time_point polled_at,
                                     time_point now)
{
    if (has_report_ && polled_at < polled_at_)
        return;
    const bool is_restarted = has_report_ && report.incarnation != incarnation_;
    has_report_ = true;
    polled_at_ = polled_at;
    reported_running_ = report.running;
    reported_capacity_ = report.capacity;
    incarnation_ = report.incarnation;
    if (polled_at >= std::max(handover_at_, abandoned_at_) + load_report_lag)
        external_in_flight_ =
            std::min(external_in_flight_.value_or(reported_running_), reported_running_);

    if (report.leaving || report.phase == endpoint_phase::leaving)
    {
        drop_to_cold();
        phase_ = endpoint_phase::leaving;
        return;
    }
    if (is_restarted || report.phase == endpoint_phase::cold || phase_ == endpoint_phase::leaving)
    {
        drop_to_cold();
        return;
    }
    // A report that predates a suspected restart does not describe the new process.
    const bool is_outdated =
        has_suspected_restart_ && polled_at < restart_suspected_at_ + load_report_lag;
    if (phase_ == endpoint_phase::cold && !is_outdated)
    {
        phase_ = endpoint_phase::warming;
        last_raise_ = now;
    }
}

void admission_controller::on_report(const load_report& report, time_point now)
{
    on_report(report, now - load_poll_interval, now);
}

std::uint32_t admission_controller::limit(const admission_context& context, time_point now) const
{
    if (context.leaving || context.domain_out)
        return 0;
    const std::uint32_t allowed = phase_limit(context, now);
    if (consecutive_failures_ < breaker_failure_threshold)
        return allowed;
    return now < next_probe_at_ ? 0 : std::min(allowed, 1U);
}

std::uint32_t admission_controller::phase_limit(const admission_context& context,
                                                time_point now) const
{
    switch (phase_)
    {
    case endpoint_phase::leaving:
        return 0;
    case endpoint_phase::warm:
        return warm_limit(context);
    case endpoint_phase::warming:
        return std::min(warm_limit(context), context.cold_limit + ramp_steps_);
    case endpoint_phase::cold:
        break;
    }
    const std::optional<std::uint32_t> external_in_flight =
        external_in_flight_after(context.handover_at, now);
    const std::uint32_t allowance = std::min(context.cold_limit, context.cold_allowance);
    return external_in_flight && *external_in_flight < allowance ? allowance - *external_in_flight
                                                                 : 0;
}

std::uint32_t admission_controller::warm_limit(const admission_context& context) const
{
    return reported_capacity_ == 0 ? context.warm_limit
                                   : std::min(context.warm_limit, reported_capacity_);
}

void admission_controller::release_slot()
{
    if (in_flight_ > 0)
        --in_flight_;
}

std::uint32_t admission_controller::external_in_flight(time_point now) const
{
    return external_in_flight_after(handover_at_, now).value_or(0);
}

std::optional<std::uint32_t> admission_controller::external_in_flight_after(time_point handover,
                                                                            time_point now) const
{
    const time_point since = std::max(handover, abandoned_at_);
    if (now - since >= call_max_duration)
        return 0;
    if (handover == handover_at_ && external_in_flight_)
        return external_in_flight_;
    if (has_report_ && polled_at_ >= since + load_report_lag)
        return reported_running_;
    return std::nullopt;
}

bool admission_controller::is_fresh(time_point now) const
{
    return has_report_ && now - polled_at_ <= load_report_max_age;
}

void admission_controller::drop_to_cold()
{
    phase_ = endpoint_phase::cold;
    ramp_steps_ = 0;
    cold_successes_ = 0;
}

} // namespace zinnianotch
