// Which requests a stopping VM accepts.
#include "state/stop_schedule.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

struct stopping_vm
{
    time_point began{milliseconds(1000)};
    stop_schedule schedule{began, milliseconds(8000)};

    bool accepts_at(milliseconds since, milliseconds limit,
                    std::optional<milliseconds> expected = std::nullopt) const
    {
        return schedule.accepts(limit, expected, began + since);
    }
};

} // namespace

Test(stop_schedule, deadline_before_end_is_accepted_at_any_time)
{
    const stopping_vm vm;
    cr_assert(vm.accepts_at(milliseconds(0), milliseconds(7600)));
    cr_assert(vm.accepts_at(milliseconds(5600), milliseconds(2000), milliseconds(9000)));
}

// Guards against requests that a VM accepts late and cannot complete.
Test(stop_schedule, out_of_rotation_deadline_after_end_is_refused)
{
    const stopping_vm vm;
    cr_assert_not(vm.accepts_at(balancer_detection_time, milliseconds(6000), milliseconds(100)));
    cr_assert_not(vm.accepts_at(milliseconds(5601), milliseconds(2000)));
    cr_assert_not(vm.accepts_at(milliseconds(7600), milliseconds(1)));
}

Test(stop_schedule, in_rotation_expected_time_decides)
{
    const stopping_vm vm;
    cr_assert(vm.accepts_at(milliseconds(2000), milliseconds(20000)));
    cr_assert(vm.accepts_at(milliseconds(2000), milliseconds(20000), milliseconds(5600)));
    cr_assert_not(vm.accepts_at(milliseconds(2000), milliseconds(20000), milliseconds(5601)));
}

Test(stop_schedule, requests_end_before_exit_and_exit_before_kill)
{
    const stopping_vm vm;
    cr_assert(vm.schedule.requests_end_at() < vm.schedule.exit_at());
    cr_assert(vm.schedule.exit_at() < vm.began + milliseconds(8000));
}

Test(stop_schedule, accepted_request_completes_by_deadline_or_expected_time)
{
    const stopping_vm vm;
    const time_point late = vm.began + milliseconds(6000);
    cr_assert(vm.schedule.completes(milliseconds(9000), milliseconds(1600), late));
    cr_assert(vm.schedule.completes(milliseconds(1600), milliseconds(9000), late));
    cr_assert_not(vm.schedule.completes(milliseconds(9000), milliseconds(1601), late));
}
