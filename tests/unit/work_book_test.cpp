// When placement by expected time is in force, and how VMs share what they have seen.
#include "protocol/vm_message.h"
#include "state/work_book.h"

#include <criterion/criterion.h>

#include <limits>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

} // namespace

// Guards against another choice of endpoints on services that do not report a pace, before enough
// is known, or long after the last report.
Test(work_book, is_timed_only_with_reported_pace_and_known_times)
{
    work_book book(1);
    for (int i = 0; i < 20; ++i)
    {
        book.rates("s").on_first_byte(100.0 * i, 20.0 + i);
        book.rates("s").on_plain("r", 15.0);
    }
    cr_assert_not(book.is_timed("s", "r", true, start));
    book.on_pace_reported("s", start);
    cr_assert(book.is_timed("s", "r", true, start) && book.is_timed("s", "r", false, start));
    cr_assert_not(book.is_timed("s", "other", false, start));
    cr_assert_not(book.is_timed("other", "r", true, start));
    cr_assert_not(book.is_timed("s", "r", true, start + 2 * pace_report_expiry));
}

// Guards against observations that are counted twice, come back, or circle between VMs.
Test(work_book, pace_reports_reach_each_vm_once)
{
    pace_exchange leaf(1);
    pace_exchange hub(2);
    pace_exchange other_hub(3);
    leaf.add({42, pace_sample_kind::wait, 80.0F});
    const outgoing_pace sent = leaf.take(start);
    cr_assert(sent.to_made.size() == 1 && leaf.take(start).to_made.empty());
    const pace_report& report = sent.to_made.front();
    cr_assert(hub.on_report(report, true, start));
    cr_assert_not(hub.on_report(report, false, start));
    cr_assert_not(leaf.on_report(report, true, start));
    const outgoing_pace passed = hub.take(start);
    cr_assert(passed.to_made.size() == 1 && passed.to_accepted.size() == 1);
    // What came over a link that the VM made itself goes only to those that made links to it.
    cr_assert(other_hub.on_report(report, false, start));
    const outgoing_pace ends = other_hub.take(start);
    cr_assert(ends.to_made.empty() && ends.to_accepted.size() == 1);
}

// Guards against VMs that hear of a limit only from the endpoint itself, which they may not ask.
Test(work_book, limits_are_told_with_the_last_state_of_each_endpoint)
{
    pace_exchange vm(1);
    vm.add_limit({42, 1.0});
    vm.add_limit({43, 0.0});
    vm.add_limit({42, std::nullopt});
    std::string frame = encode_frame(pace_reports{vm.take(start).to_made});
    vm_message message;
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    const pace_report& read = std::get<pace_reports>(message).reports.at(0);
    const std::vector<limit_report> expected = {{43, 0.0}, {42, std::nullopt}};
    cr_assert(read.limits == expected);
    cr_assert(vm.take(start + pace_share_interval).to_made.empty());
    for (const double odd :
         {std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()})
    {
        frame = encode_frame(pace_reports{{{9, 4, {}, {{42, odd}}}}});
        cr_assert(decode_frame(frame, message) == frame_state::invalid);
    }
}

// Guards against samples that are changed on the way, and against odd numbers of another version.
Test(work_book, pace_reports_are_encoded_whole_and_odd_ones_rejected)
{
    const pace_report report{9, 4, {{42, pace_sample_kind::wait, 80.5F}, {43, {}, 1.5F}}, {}};
    std::string frame = encode_frame(pace_reports{{report}});
    vm_message message;
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    const pace_report& read = std::get<pace_reports>(message).reports.at(0);
    cr_assert(read.origin == 9 && read.sequence == 4 && read.samples.size() == 2);
    cr_assert(read.samples[0].kind == pace_sample_kind::wait && read.samples[0].value == 80.5F);
    cr_assert(read.samples[1].endpoint == 43);
    for (const float odd : {-1.0F, 1.0e9F, std::numeric_limits<float>::infinity(),
                            std::numeric_limits<float>::quiet_NaN()})
    {
        frame = encode_frame(pace_reports{{{9, 4, {{42, {}, odd}}, {}}}});
        cr_assert(decode_frame(frame, message) == frame_state::invalid);
    }
}
