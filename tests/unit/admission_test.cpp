// Phases, limits and counts of the gate of one endpoint.
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

// An owner without predecessors: the handover lies long ago.
admission_context settled_context()
{
    return {};
}

std::uint32_t admit_all(admission_controller& gate, const admission_context& context,
                        time_point now)
{
    std::uint32_t admitted = 0;
    while (admitted < 1000 && gate.try_admit(context, now))
        ++admitted;
    return admitted;
}

reason refused_for(admission_controller& gate, const admission_context& context, time_point now)
{
    const result<void> admitted = gate.try_admit(context, now);
    cr_assert(!admitted);
    cr_assert(admitted.error().outcome == verdict::not_run);
    return admitted.error().why;
}

} // namespace

// Guards against a name that is missing or shared.
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

// Guards against full load on an endpoint of which nothing is known.
Test(admission, try_admit_unknown_endpoint_stops_at_cold_limit)
{
    admission_controller gate;
    cr_assert(admit_all(gate, settled_context(), start) == 2);
    cr_assert(refused_for(gate, settled_context(), start) == reason::busy);
    gate.on_finished(true, after(10));
    cr_assert(gate.in_flight() == 1);
    cr_assert(admit_all(gate, settled_context(), after(10)) == 1);
}

// Guards against work for endpoints that operators have taken out or that are leaving.
Test(admission, try_admit_out_or_leaving_is_refused)
{
    admission_controller gate;
    admission_context context = settled_context();
    context.domain_out = true;
    cr_assert(refused_for(gate, context, start) == reason::domain_out);
    context = settled_context();
    context.leaving = true;
    cr_assert(refused_for(gate, context, start) == reason::endpoint_leaving);
    cr_assert(gate.limit(context, start) == 0);

    load_report leaving = report_of(endpoint_phase::warm);
    leaving.leaving = true;
    gate.on_report(leaving, after(100));
    cr_assert(refused_for(gate, settled_context(), after(100)) == reason::endpoint_leaving);
    gate.on_report(report_of(endpoint_phase::warm), after(600));
    cr_assert(gate.phase() == endpoint_phase::cold);
}

// Guards against a jump from the cold to the warm limit.
Test(admission, on_finished_warming_raises_one_by_one)
{
    admission_controller gate;
    admission_context context = settled_context();
    context.warm_limit = 4;
    gate.on_report(report_of(endpoint_phase::warm), start);
    cr_assert(gate.phase() == endpoint_phase::warming);
    cr_assert(gate.limit(context, start) == 2);

    cr_assert(admit_all(gate, context, start) == 2);
    gate.on_finished(true, after(199));
    cr_assert(gate.limit(context, after(199)) == 2, "raised too early");
    gate.on_finished(true, after(200));
    cr_assert(gate.limit(context, after(200)) == 3);
    cr_assert(admit_all(gate, context, after(201)) == 3);
    gate.on_finished(true, after(210));
    cr_assert(gate.limit(context, after(210)) == 3, "raised twice within the interval");
    gate.on_finished(false, after(500));
    cr_assert(gate.limit(context, after(500)) == 3, "raised by a failure");
    gate.on_finished(true, after(500));
    cr_assert(admit_all(gate, context, after(500)) == 4);
    cr_assert(gate.phase() == endpoint_phase::warm);
}

// Guards against an endpoint without load reports that stays cold for ever.
Test(admission, on_finished_four_successes_without_report_start_warming)
{
    admission_controller gate;
    for (int i = 0; i < 3; ++i)
    {
        cr_assert(gate.try_admit(settled_context(), after(i)));
        gate.on_finished(true, after(i));
    }
    cr_assert(gate.try_admit(settled_context(), after(3)));
    gate.on_finished(false, after(3));
    for (int i = 4; i < 8; ++i)
    {
        cr_assert(gate.phase() == endpoint_phase::cold);
        cr_assert(gate.try_admit(settled_context(), after(i)));
        gate.on_finished(true, after(i));
    }
    cr_assert(gate.phase() == endpoint_phase::warming);
}

// Guards against a few lucky calls that overrule an endpoint that says it is cold.
Test(admission, on_finished_fresh_cold_report_stays_cold)
{
    admission_controller gate;
    gate.on_report(report_of(endpoint_phase::cold), start, start);
    for (int i = 0; i < 10; ++i)
    {
        cr_assert(gate.try_admit(settled_context(), after(i)));
        gate.on_finished(true, after(i));
    }
    cr_assert(gate.phase() == endpoint_phase::cold);
}

// Guards against full load on an endpoint that turned cold without warning.
Test(admission, on_report_cold_or_restarted_drops_limit)
{
    for (const load_report& report :
         {report_of(endpoint_phase::cold), report_of(endpoint_phase::warm, 0, "i2")})
    {
        admission_controller gate;
        admission_context context = settled_context();
        context.warm_limit = 2;
        gate.on_report(report_of(endpoint_phase::warm), start);
        cr_assert(admit_all(gate, context, start) == 2);
        cr_assert(gate.phase() == endpoint_phase::warm);
        gate.on_report(report, after(500));
        cr_assert(gate.phase() == endpoint_phase::cold);
        context.warm_limit = 16;
        cr_assert(gate.limit(context, after(500)) == 2);
    }
}

// Guards against a report from before a restart that lifts the new process out of the cold phase.
Test(admission, on_report_older_than_suspected_restart_does_not_warm)
{
    admission_controller gate;
    gate.on_report(report_of(endpoint_phase::warm), start, start);
    gate.on_restart_suspected(after(1000));
    cr_assert(gate.phase() == endpoint_phase::cold);
    gate.on_report(report_of(endpoint_phase::warm), after(900), after(1100));
    cr_assert(gate.phase() == endpoint_phase::cold);
    gate.on_report(report_of(endpoint_phase::warm), after(2000), after(2010));
    cr_assert(gate.phase() == endpoint_phase::warming);
}

// Guards against reports that arrive in another order than their polls were sent.
Test(admission, on_report_older_poll_is_ignored)
{
    admission_controller gate;
    gate.on_report(report_of(endpoint_phase::cold), after(500), after(600));
    gate.on_report(report_of(endpoint_phase::warm), after(0), after(700));
    cr_assert(gate.phase() == endpoint_phase::cold);
}

// Guards against a new owner that adds its calls to those that its predecessor left.
Test(admission, try_admit_after_handover_counts_foreign_calls)
{
    admission_controller gate;
    admission_context context = settled_context();
    context.cold_limit = 4;
    context.cold_allowance = 4;
    context.handover_at = start;
    cr_assert(refused_for(gate, context, after(10)) == reason::busy, "no report yet");
    gate.on_report(report_of(endpoint_phase::cold, 0), after(900), after(950));
    cr_assert(refused_for(gate, context, after(950)) == reason::busy,
              "the report may be older than the handover");
    gate.on_report(report_of(endpoint_phase::cold, 3), after(1000), after(1050));
    cr_assert(gate.external_in_flight(after(1050)) == 3);
    cr_assert(admit_all(gate, context, after(1050)) == 1);
    gate.on_report(report_of(endpoint_phase::cold, 2), after(1500), after(1550));
    cr_assert(gate.external_in_flight(after(1550)) == 2);
    gate.on_report(report_of(endpoint_phase::cold, 4), after(2000), after(2050));
    cr_assert(gate.external_in_flight(after(2050)) == 2, "own calls count as foreign");
    cr_assert(admit_all(gate, context, after(2050)) == 1);
}

// Guards against an endpoint that never gets work because its load cannot be read.
Test(admission, try_admit_without_reports_waits_for_longest_call)
{
    admission_controller gate;
    admission_context context = settled_context();
    context.handover_at = start;
    cr_assert(!gate.try_admit(context, start + call_max_duration - milliseconds(1)));
    cr_assert(gate.try_admit(context, start + call_max_duration));
}

// Guards against the count of an earlier handover that is used after the next one.
Test(admission, try_admit_second_handover_needs_new_report)
{
    admission_controller gate;
    admission_context context = settled_context();
    context.handover_at = start;
    gate.on_report(report_of(endpoint_phase::cold, 0), after(1000), after(1050));
    cr_assert(gate.try_admit(context, after(1050)));
    context.handover_at = after(1100);
    cr_assert(!gate.try_admit(context, after(1150)));
    gate.on_report(report_of(endpoint_phase::cold, 0), after(2100), after(2150));
    cr_assert(gate.try_admit(context, after(2150)));
}

// Guards against a slot that is given again while the abandoned call still runs.
Test(admission, on_abandoned_call_counts_until_report)
{
    admission_controller gate;
    cr_assert(admit_all(gate, settled_context(), start) == 2);
    gate.on_abandoned(after(100));
    cr_assert(gate.in_flight() == 1);
    cr_assert(gate.external_in_flight(after(100)) == 1);
    cr_assert(!gate.try_admit(settled_context(), after(100)));
    gate.on_report(report_of(endpoint_phase::cold, 0), after(600), after(650));
    cr_assert(!gate.try_admit(settled_context(), after(650)), "the report may be older");
    gate.on_report(report_of(endpoint_phase::cold, 0), after(1100), after(1150));
    cr_assert(gate.try_admit(settled_context(), after(1150)));
}

// Guards against warm endpoints that are held back by the rules for cold ones.
Test(admission, limit_warm_endpoint_ignores_cold_allowance)
{
    admission_controller gate;
    admission_context context = settled_context();
    context.cold_allowance = 0;
    context.handover_at = start;
    cr_assert(gate.limit(context, start) == 0);
    gate.on_report(report_of(endpoint_phase::warm), start, start);
    cr_assert(gate.limit(context, start) == 2);
}

// Guards against an endpoint that fails at once, looks idle and draws all calls of its pool.
Test(admission, endpoint_failing_in_a_row_gets_one_probe_at_a_time)
{
    admission_controller gate;
    const admission_context context = settled_context();
    gate.on_report(report_of(endpoint_phase::warm), after(-100), start);
    for (std::uint32_t i = 0; i < breaker_failure_threshold; ++i)
    {
        cr_assert(gate.try_admit(context, start));
        gate.on_finished(false, start);
    }
    cr_assert_eq(gate.limit(context, start), 0);
    const time_point later = start + breaker_pause;
    cr_assert_eq(admit_all(gate, context, later), 1);
    gate.on_finished(false, later);
    cr_assert_eq(gate.limit(context, later), 0);

    const time_point healed = later + breaker_pause;
    cr_assert_eq(admit_all(gate, context, healed), 1);
    gate.on_finished(true, healed);
    cr_assert_gt(gate.limit(context, healed), 1);
}

// Guards against a caller that leaves being held against the endpoint.
Test(admission, abandoned_calls_are_no_failures)
{
    admission_controller gate;
    const admission_context context = settled_context();
    gate.on_report(report_of(endpoint_phase::warm), after(-100), start);
    for (std::uint32_t i = 0; i < 2 * breaker_failure_threshold; ++i)
    {
        cr_assert(gate.try_admit(context, start));
        gate.on_abandoned(start);
    }
    cr_assert_gt(gate.limit(context, start), 0);
}

// Guards against calls beyond the capacity that an endpoint reports, which it answers with errors.
Test(admission, warm_endpoint_reporting_capacity_is_not_overrun)
{
    admission_controller gate;
    const admission_context context = settled_context();
    load_report report = report_of(endpoint_phase::warm);
    report.capacity = 4;
    time_point now = start;
    gate.on_report(report, now, now);
    for (int i = 0; i < 40; ++i)
    {
        now += ramp_interval;
        cr_assert(gate.try_admit(context, now));
        gate.on_finished(true, now);
    }
    cr_assert_eq(admit_all(gate, context, now), 4);
}

// Guards against an endpoint that turned cold unannounced: each refused call would be followed by
// the next at the warm limit until the load report tells.
Test(admission, endpoint_refusing_a_call_drops_to_cold_limit)
{
    admission_controller gate;
    const admission_context context = settled_context();
    time_point now = start;
    gate.on_report(report_of(endpoint_phase::warm), now, now);
    for (int i = 0; i < 40; ++i)
    {
        now += ramp_interval;
        cr_assert(gate.try_admit(context, now));
        gate.on_finished(true, now);
    }
    cr_assert_eq(gate.limit(context, now), context.warm_limit);
    cr_assert(gate.try_admit(context, now));
    gate.on_overloaded(now);
    cr_assert_leq(gate.limit(context, now), context.cold_limit);
    // The report in hand is from before the turn and must not raise the limit again.
    gate.on_report(report_of(endpoint_phase::warm), now, now);
    cr_assert_leq(gate.limit(context, now), context.cold_limit);
}
