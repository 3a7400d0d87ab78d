// Unit tests of admission_controller: phases, limits and call counts of one endpoint.
#include "state/admission.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

time_point after(int ms)
{
    return start + milliseconds(ms);
}

load_report report_of(endpoint_phase phase, std::uint32_t running = 0,
                      const std::string& incarnation = "i1")
{
    return {incarnation, phase, running, 0, false};
}

// Context of an owner without predecessors: handover_at is long past.
admission_context context_without_handover()
{
    return {};
}

std::uint32_t admit_all(admission_controller& controller, const admission_context& context,
                        time_point now)
{
    std::uint32_t admitted = 0;
    while (admitted < 1000 && controller.try_admit(context, now))
        ++admitted;
    return admitted;
}

reason refusal_reason(admission_controller& controller, const admission_context& context,
                      time_point now)
{
    const result<void> admitted = controller.try_admit(context, now);
    cr_assert(!admitted);
    cr_assert(admitted.error().outcome == verdict::not_run);
    return admitted.error().why;
}

} // namespace

// Guards against a phase without a name, or two phases with the same name.
Test(admission, endpoint_phase_every_value_has_unique_name)
{
    for (int i = 0; i < 4; ++i)
    {
        const auto value = static_cast<endpoint_phase>(i);
        endpoint_phase parsed{};
        cr_assert(from_string(to_string(value), parsed) && parsed == value);
    }
    endpoint_phase parsed{};
    cr_assert(!from_string("hot", parsed));
}

// Guards against full load on an endpoint that has not reported its state.
Test(admission, try_admit_unknown_endpoint_stops_at_cold_limit)
{
    admission_controller controller;
    cr_assert(admit_all(controller, context_without_handover(), start) == 2);
    cr_assert(refusal_reason(controller, context_without_handover(), start) == reason::busy);
    controller.on_finished(true, after(10));
    cr_assert(controller.in_flight() == 1);
    cr_assert(admit_all(controller, context_without_handover(), after(10)) == 1);
}

// Guards against calls to endpoints in a failure domain that is out of service, or that are
// leaving.
Test(admission, try_admit_domain_out_or_leaving_is_refused)
{
    admission_controller controller;
    admission_context context = context_without_handover();
    context.domain_out = true;
    cr_assert(refusal_reason(controller, context, start) == reason::domain_out);
    context = context_without_handover();
    context.leaving = true;
    cr_assert(refusal_reason(controller, context, start) == reason::endpoint_leaving);
    cr_assert(controller.limit(context, start) == 0);

    load_report leaving = report_of(endpoint_phase::warm);
    leaving.leaving = true;
    controller.on_report(leaving, after(100));
    cr_assert(refusal_reason(controller, context_without_handover(), after(100)) ==
              reason::endpoint_leaving);
    controller.on_report(report_of(endpoint_phase::warm), after(600));
    cr_assert(controller.phase() == endpoint_phase::cold);
}

// Guards against a limit that rises from cold to warm in one step.
Test(admission, on_finished_warming_raises_one_by_one)
{
    admission_controller controller;
    admission_context context = context_without_handover();
    context.warm_limit = 4;
    controller.on_report(report_of(endpoint_phase::warm), start);
    cr_assert(controller.phase() == endpoint_phase::warming);
    cr_assert(controller.limit(context, start) == 2);

    cr_assert(admit_all(controller, context, start) == 2);
    controller.on_finished(true, after(199));
    cr_assert(controller.limit(context, after(199)) == 2, "raised too early");
    controller.on_finished(true, after(200));
    cr_assert(controller.limit(context, after(200)) == 3);
    cr_assert(admit_all(controller, context, after(201)) == 3);
    controller.on_finished(true, after(210));
    cr_assert(controller.limit(context, after(210)) == 3, "raised twice within the interval");
    controller.on_finished(false, after(500));
    cr_assert(controller.limit(context, after(500)) == 3, "raised by a failure");
    controller.on_finished(true, after(500));
    cr_assert(admit_all(controller, context, after(500)) == 4);
    cr_assert(controller.phase() == endpoint_phase::warm);
}

// Guards against an endpoint without load reports that stays cold forever.
Test(admission, on_finished_four_successes_without_report_start_warming)
{
    admission_controller controller;
    for (int i = 0; i < 3; ++i)
    {
        cr_assert(controller.try_admit(context_without_handover(), after(i)));
        controller.on_finished(true, after(i));
    }
    cr_assert(controller.try_admit(context_without_handover(), after(3)));
    controller.on_finished(false, after(3));
    for (int i = 4; i < 8; ++i)
    {
        cr_assert(controller.phase() == endpoint_phase::cold);
        cr_assert(controller.try_admit(context_without_handover(), after(i)));
        controller.on_finished(true, after(i));
    }
    cr_assert(controller.phase() == endpoint_phase::warming);
}

// Guards against successful calls that override a current report of the cold phase.
Test(admission, on_finished_fresh_cold_report_stays_cold)
{
    admission_controller controller;
    controller.on_report(report_of(endpoint_phase::cold), start, start);
    for (int i = 0; i < 10; ++i)
    {
        cr_assert(controller.try_admit(context_without_handover(), after(i)));
        controller.on_finished(true, after(i));
    }
    cr_assert(controller.phase() == endpoint_phase::cold);
}

// Guards against full load on an endpoint that became cold without notice.
Test(admission, on_report_cold_or_restarted_drops_limit)
{
    for (const load_report& report :
         {report_of(endpoint_phase::cold), report_of(endpoint_phase::warm, 0, "i2")})
    {
        admission_controller controller;
        admission_context context = context_without_handover();
        context.warm_limit = 2;
        controller.on_report(report_of(endpoint_phase::warm), start);
        cr_assert(admit_all(controller, context, start) == 2);
        cr_assert(controller.phase() == endpoint_phase::warm);
        controller.on_report(report, after(500));
        cr_assert(controller.phase() == endpoint_phase::cold);
        context.warm_limit = 16;
        cr_assert(controller.limit(context, after(500)) == 2);
    }
}

// Guards against a report polled before a restart that ends the cold phase of the new process.
Test(admission, on_report_older_than_suspected_restart_does_not_warm)
{
    admission_controller controller;
    controller.on_report(report_of(endpoint_phase::warm), start, start);
    controller.on_restart_suspected(after(1000));
    cr_assert(controller.phase() == endpoint_phase::cold);
    controller.on_report(report_of(endpoint_phase::warm), after(900), after(1100));
    cr_assert(controller.phase() == endpoint_phase::cold);
    controller.on_report(report_of(endpoint_phase::warm), after(2000), after(2010));
    cr_assert(controller.phase() == endpoint_phase::warming);
}

// Guards against reports that arrive in a different order than their polls were sent.
Test(admission, on_report_older_poll_is_ignored)
{
    admission_controller controller;
    controller.on_report(report_of(endpoint_phase::cold), after(500), after(600));
    controller.on_report(report_of(endpoint_phase::warm), after(0), after(700));
    cr_assert(controller.phase() == endpoint_phase::cold);
}

// Guards against a new owner that uses the whole limit while calls of its predecessor are still
// running.
Test(admission, try_admit_after_handover_counts_external_calls)
{
    admission_controller controller;
    admission_context context = context_without_handover();
    context.cold_limit = 4;
    context.cold_allowance = 4;
    context.handover_at = start;
    cr_assert(refusal_reason(controller, context, after(10)) == reason::busy, "no report yet");
    controller.on_report(report_of(endpoint_phase::cold, 0), after(900), after(950));
    cr_assert(refusal_reason(controller, context, after(950)) == reason::busy,
              "the report may be older than the handover");
    controller.on_report(report_of(endpoint_phase::cold, 3), after(1000), after(1050));
    cr_assert(controller.external_in_flight(after(1050)) == 3);
    cr_assert(admit_all(controller, context, after(1050)) == 1);
    controller.on_report(report_of(endpoint_phase::cold, 2), after(1500), after(1550));
    cr_assert(controller.external_in_flight(after(1550)) == 2);
    controller.on_report(report_of(endpoint_phase::cold, 4), after(2000), after(2050));
    cr_assert(controller.external_in_flight(after(2050)) == 2, "own calls are counted as external");
    cr_assert(admit_all(controller, context, after(2050)) == 1);
}

// Guards against an endpoint that never receives calls because its load cannot be read.
Test(admission, try_admit_without_reports_waits_for_longest_call)
{
    admission_controller controller;
    admission_context context = context_without_handover();
    context.handover_at = start;
    cr_assert(!controller.try_admit(context, start + call_max_duration - milliseconds(1)));
    cr_assert(controller.try_admit(context, start + call_max_duration));
}

// Guards against using the running count of an earlier handover after the next one.
Test(admission, try_admit_second_handover_needs_new_report)
{
    admission_controller controller;
    admission_context context = context_without_handover();
    context.handover_at = start;
    controller.on_report(report_of(endpoint_phase::cold, 0), after(1000), after(1050));
    cr_assert(controller.try_admit(context, after(1050)));
    context.handover_at = after(1100);
    cr_assert(!controller.try_admit(context, after(1150)));
    controller.on_report(report_of(endpoint_phase::cold, 0), after(2100), after(2150));
    cr_assert(controller.try_admit(context, after(2150)));
}

// Guards against a slot that is reused while the abandoned call still runs at the endpoint.
Test(admission, on_abandoned_call_counts_until_report)
{
    admission_controller controller;
    cr_assert(admit_all(controller, context_without_handover(), start) == 2);
    controller.on_abandoned(after(100));
    cr_assert(controller.in_flight() == 1);
    cr_assert(controller.external_in_flight(after(100)) == 1);
    cr_assert(!controller.try_admit(context_without_handover(), after(100)));
    controller.on_report(report_of(endpoint_phase::cold, 0), after(600), after(650));
    cr_assert(!controller.try_admit(context_without_handover(), after(650)),
              "the report may be older");
    controller.on_report(report_of(endpoint_phase::cold, 0), after(1100), after(1150));
    cr_assert(controller.try_admit(context_without_handover(), after(1150)));
}

// Guards against applying the cold allowance and the handover wait to warm endpoints.
Test(admission, limit_warm_endpoint_ignores_cold_allowance)
{
    admission_controller controller;
    admission_context context = context_without_handover();
    context.cold_allowance = 0;
    context.handover_at = start;
    cr_assert(controller.limit(context, start) == 0);
    controller.on_report(report_of(endpoint_phase::warm), start, start);
    cr_assert(controller.limit(context, start) == 2);
}

// Guards against an endpoint that fails immediately, therefore looks idle and attracts all calls of
// its pool.
Test(admission, endpoint_failing_repeatedly_gets_one_probe_at_a_time)
{
    admission_controller controller;
    const admission_context context = context_without_handover();
    controller.on_report(report_of(endpoint_phase::warm), after(-100), start);
    for (std::uint32_t i = 0; i < breaker_failure_threshold; ++i)
    {
        cr_assert(controller.try_admit(context, start));
        controller.on_finished(false, start);
    }
    cr_assert_eq(controller.limit(context, start), 0);
    const time_point later = start + breaker_pause;
    cr_assert_eq(admit_all(controller, context, later), 1);
    controller.on_finished(false, later);
    cr_assert_eq(controller.limit(context, later), 0);

    const time_point recovered = later + breaker_pause;
    cr_assert_eq(admit_all(controller, context, recovered), 1);
    controller.on_finished(true, recovered);
    cr_assert_gt(controller.limit(context, recovered), 1);
}

// Guards against counting calls that their callers abandoned as failures of the endpoint.
Test(admission, abandoned_calls_do_not_open_circuit_breaker)
{
    admission_controller controller;
    const admission_context context = context_without_handover();
    controller.on_report(report_of(endpoint_phase::warm), after(-100), start);
    for (std::uint32_t i = 0; i < 2 * breaker_failure_threshold; ++i)
    {
        cr_assert(controller.try_admit(context, start));
        controller.on_abandoned(start);
    }
    cr_assert_gt(controller.limit(context, start), 0);
}

// Guards against calls beyond the capacity that an endpoint reports, which it answers with errors.
Test(admission, warm_endpoint_reporting_capacity_is_not_overrun)
{
    admission_controller controller;
    const admission_context context = context_without_handover();
    load_report report = report_of(endpoint_phase::warm);
    report.capacity = 4;
    time_point now = start;
    controller.on_report(report, now, now);
    for (int i = 0; i < 40; ++i)
    {
        now += ramp_interval;
        cr_assert(controller.try_admit(context, now));
        controller.on_finished(true, now);
    }
    cr_assert_eq(admit_all(controller, context, now), 4);
}

// Guards against continuing at the warm limit after an endpoint became cold without notice: calls
// would be refused until the next load report.
Test(admission, endpoint_refusing_a_call_drops_to_cold_limit)
{
    admission_controller controller;
    const admission_context context = context_without_handover();
    time_point now = start;
    controller.on_report(report_of(endpoint_phase::warm), now, now);
    for (int i = 0; i < 40; ++i)
    {
        now += ramp_interval;
        cr_assert(controller.try_admit(context, now));
        controller.on_finished(true, now);
    }
    cr_assert_eq(controller.limit(context, now), context.warm_limit);
    cr_assert(controller.try_admit(context, now));
    controller.on_overloaded(now);
    cr_assert_leq(controller.limit(context, now), context.cold_limit);
    // A report polled before the refusal must not raise the limit again.
    controller.on_report(report_of(endpoint_phase::warm), now, now);
    cr_assert_leq(controller.limit(context, now), context.cold_limit);
}
