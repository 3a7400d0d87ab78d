// Phases of a planned stop.
#include "state/drain_schedule.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

constexpr time_point signal_at{std::chrono::hours(1)};
constexpr milliseconds grace{2000};
constexpr milliseconds accept_time{3000};
constexpr drain_load no_load{};
constexpr drain_load steady_load{.requests = 5, .accepted = 3, .calls = 2};
constexpr drain_load refused_load{.requests = 5, .accepted = 0, .calls = 0};

time_point after(milliseconds time)
{
    return signal_at + time;
}

} // namespace

// Guards against a VM without load that waits longer than the balancer needs.
Test(drain_schedule, no_load_ends_with_the_grace_period)
{
    drain_schedule schedule(signal_at, grace, accept_time);
    cr_assert(schedule.update(no_load, after(milliseconds(1999))) == drain_phase::accepting);
    cr_assert(schedule.update(no_load, after(grace)) == drain_phase::ended);
}

// Guards against a VM that accepts requests for as long as they arrive.
Test(drain_schedule, steady_load_refuses_after_accept_time_and_ends)
{
    drain_schedule schedule(signal_at, grace, accept_time);
    cr_assert(schedule.update(steady_load, after(milliseconds(4999))) == drain_phase::accepting);
    cr_assert(schedule.update(steady_load, after(milliseconds(5000))) == drain_phase::refusing);
    cr_assert(schedule.update(steady_load, after(milliseconds(30000))) == drain_phase::refusing);
    cr_assert(schedule.update(refused_load, after(milliseconds(30299))) == drain_phase::refusing);
    cr_assert(schedule.update(refused_load, after(milliseconds(30300))) == drain_phase::closing);
    cr_assert(schedule.update(no_load, after(milliseconds(30599))) == drain_phase::closing);
    cr_assert(schedule.update(no_load, after(milliseconds(30600))) == drain_phase::ended);
}

// Guards against calls of other VMs that are cut off because no request of a caller is in progress.
Test(drain_schedule, calls_in_progress_keep_it_from_ending)
{
    drain_schedule schedule(signal_at, grace, accept_time);
    const drain_load calls_only{.requests = 0, .accepted = 0, .calls = 1};
    cr_assert(schedule.update(calls_only, after(milliseconds(4000))) == drain_phase::accepting);
    cr_assert(schedule.update(calls_only, after(milliseconds(9000))) == drain_phase::refusing);
    cr_assert(schedule.update(calls_only, after(milliseconds(20000))) == drain_phase::refusing);
}

// Guards against callers that keep a stopping VM alive by sending their requests slowly.
Test(drain_schedule, refusals_without_end_closing_phase_is_bounded)
{
    drain_schedule schedule(signal_at, milliseconds(0), milliseconds(0));
    cr_assert(schedule.update(refused_load, after(milliseconds(0))) == drain_phase::refusing);
    cr_assert(schedule.update(refused_load, after(milliseconds(300))) == drain_phase::closing);
    cr_assert(schedule.update(refused_load, after(milliseconds(10299))) == drain_phase::closing);
    cr_assert(schedule.update(refused_load, after(milliseconds(10300))) == drain_phase::ended);
}

// Guards against a second signal that shortens more than the grace period of the balancer.
Test(drain_schedule, skip_grace_requests_are_still_accepted)
{
    drain_schedule schedule(signal_at, grace, accept_time);
    schedule.skip_grace(after(milliseconds(100)));
    cr_assert(schedule.update(steady_load, after(milliseconds(3099))) == drain_phase::accepting);
    cr_assert(schedule.update(steady_load, after(milliseconds(3100))) == drain_phase::refusing);
}
