// Signs of life between two VMs.
#include "state/link_liveness.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

constexpr time_point start{milliseconds(1'000'000)};

} // namespace

// Guards against an end that is silent because it hears the other one.
Test(link_liveness, end_receives_often_and_sends_nothing_pings)
{
    link_liveness end(link_ping_interval, start);
    for (milliseconds at{0}; at < link_ping_interval; at += milliseconds(10))
    {
        end.on_received(start + at);
        cr_assert(end.next_action(start + at) == link_action::none);
    }
    cr_assert(end.next_action(start + link_ping_interval) == link_action::send_ping);
    end.on_sent(start + link_ping_interval);
    cr_assert(end.next_action(start + link_ping_interval) == link_action::none);
}

// Guards against a lost peer that is kept because this end goes on sending.
Test(link_liveness, end_sends_often_and_receives_nothing_closes)
{
    link_liveness end(link_ping_interval, start);
    end.on_sent(start + link_idle_timeout);
    cr_assert(end.next_action(start + link_idle_timeout) == link_action::none);
    cr_assert(end.next_action(start + link_idle_timeout + milliseconds(1)) == link_action::close);
}

// Guards against a peer that counts as lost although two of its pings fit into the timeout.
Test(link_liveness, intervals_leave_room_for_one_late_ping)
{
    cr_assert(2 * link_ping_interval < link_idle_timeout);
    cr_assert(2 * link_accepted_ping_interval < link_idle_timeout);
    cr_assert(link_ping_interval < link_accepted_ping_interval);
}
