// Which reports of crashes VMs exchange after their links were down, and how fast.
#include "state/crash_catch_up.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr double link_speed = 1'250'000.0; // 10 Mbit/s

time_point at(std::int64_t ms)
{
    return start + milliseconds(ms);
}

crash_report report_of(std::uint64_t sequence)
{
    crash_report report;
    report.origin = "vm-1";
    report.sequence = sequence;
    report.engines = {{"engine-" + std::to_string(sequence), 1}};
    report.parts = {"first", "part-" + std::to_string(sequence)};
    return report;
}

std::vector<crash_report> reports_of(std::uint64_t count)
{
    std::vector<crash_report> reports;
    for (std::uint64_t i = 0; i < count; ++i)
        reports.push_back(report_of(i));
    return reports;
}

} // namespace

// Guards against a VM that never hears of a crash which was reported while its link was down.
Test(crash_catch_up, link_lost_and_regained_reports_sent_meanwhile_are_repeated)
{
    sent_reports sent;
    crash_catch_up own(start);
    (void)own.on_link_up("vm-2", false, at(0));
    sent.add({report_receivers::all_links, report_of(1)}, at(1000));
    sent.add({report_receivers::all_links, report_of(2)}, at(4000));
    sent.add({report_receivers::accepted_links, report_of(3)}, at(4500));
    own.on_link_down("vm-2", at(4100), at(5100));
    const auto missed = own.on_link_up("vm-2", false, at(5600));
    cr_assert(missed);
    const auto to_accepted = sent.since(at(5600) - *missed, true, at(5600));
    cr_assert(to_accepted && to_accepted->size() == 2);
    cr_assert(to_accepted->front().sequence == 2 && to_accepted->back().sequence == 3);
    cr_assert(to_accepted->front().age == milliseconds(1600));
    const auto to_made = sent.since(at(5600) - *missed, false, at(5600));
    cr_assert(to_made && to_made->size() == 1 && to_made->front().sequence == 2);
}

// Guards against reports that were sent before any link was up, and against VMs that repeat what
// the other one has heard from others.
Test(crash_catch_up, first_link_to_vm_reports_are_missed_only_without_other_links)
{
    crash_catch_up own(start);
    cr_assert(own.on_link_up("vm-2", false, at(400)) == milliseconds(400));
    cr_assert_not(own.on_link_up("vm-3", false, at(500)));
    own.on_link_down("vm-2", at(1000), at(2000));
    cr_assert_not(own.on_link_up("vm-4", false, at(2100)));
    own.on_link_down("vm-3", at(3000), at(4000));
    own.on_link_down("vm-4", at(3100), at(4000));
    cr_assert(own.on_link_up("vm-5", false, at(5000)) == milliseconds(1900));
    own.on_link_down("vm-5", at(6000), at(7000));
    cr_assert(own.on_link_up("vm-6", false, at(60'000)) == isolation_max);
}

// Guards against a gap that is taken for silence: more was sent than is kept.
Test(crash_catch_up, more_sent_than_kept_sent_reports_are_unknown)
{
    sent_reports sent;
    for (std::uint64_t i = 0; i <= max_sent_reports; ++i)
        sent.add({report_receivers::all_links, report_of(i)}, at(static_cast<std::int64_t>(i)));
    cr_assert_not(sent.since(at(0), true, at(2000)));
    cr_assert(sent.since(at(1), true, at(2000))->size() == max_sent_reports);
    sent.add({report_receivers::all_links, report_of(0)}, at(60'000));
    cr_assert_not(sent.since(at(1000), true, at(60'000)));
    cr_assert(sent.since(at(59'000), true, at(60'000))->size() == 1);
}

// Guards against a VM that has started and asks all others for all that they know.
Test(crash_catch_up, vm_starts_asks_few_vms_one_at_a_time_other_domains_first)
{
    crash_catch_up own(start);
    cr_assert_not(own.next_full_query(at(0)));
    for (const char* const vm : {"near-1", "near-2", "near-3", "near-4"})
        (void)own.on_link_up(vm, false, at(10));
    (void)own.on_link_up("far-1", true, at(10));
    cr_assert(own.next_full_query(at(20)) == "far-1");
    cr_assert_not(own.next_full_query(at(40)));
    cr_assert(own.next_full_query(at(1020)) == "near-1");
    cr_assert(own.next_full_query(at(2020)) == "near-2");
    cr_assert_not(own.next_full_query(at(9000)));
}

// Guards against a VM that knows nothing because the one that it asked is gone.
Test(crash_catch_up, asked_vm_is_lost_another_one_is_asked)
{
    crash_catch_up own(start);
    for (const char* const vm : {"vm-2", "vm-3", "vm-4", "vm-5"})
        (void)own.on_link_up(vm, false, at(10));
    cr_assert(own.next_full_query(at(20)) == "vm-2");
    own.on_link_down("vm-2", at(100), at(200));
    cr_assert(own.next_full_query(at(1020)) == "vm-3");
    cr_assert(own.next_full_query(at(2020)) == "vm-4");
    cr_assert(own.next_full_query(at(3020)) == "vm-5");
    cr_assert_not(own.next_full_query(at(9000)));
}

// Guards against VMs that send each other what both know.
Test(crash_catch_up, digest_depends_on_what_reports_say_only)
{
    std::vector<crash_report> reports = reports_of(3);
    const std::uint64_t digest = digest_of(reports);
    std::swap(reports[0], reports[2]);
    std::swap(reports[1].parts[0], reports[1].parts[1]);
    reports[0].age = milliseconds(700);
    cr_assert(digest_of(reports) == digest);
    cr_assert(digest_of({}) == 0);
    reports[1].parts.pop_back();
    cr_assert(digest_of(reports) != digest);
    reports = reports_of(3);
    reports[2].sequence = 77;
    cr_assert(digest_of(reports) != digest);
}

// Guards against a network link that is full of answers, so that a change of the desired state
// waits behind them, and against one VM that waits for all answers to others.
Test(crash_catch_up, many_vms_ask_answers_take_turns_within_share_of_link)
{
    constexpr std::size_t vms = 70;
    constexpr std::uint64_t reports_each = 500;
    paced_answers<std::size_t> answers(link_speed);
    (void)answers.take(start);
    for (std::size_t vm = 0; vm < vms; ++vm)
        cr_assert(answers.add(vm, reports_of(reports_each), start));
    std::vector<std::size_t> received(vms);
    std::size_t bytes = 0;
    for (std::int64_t ms = 20; ms <= 10'000; ms += 20)
    {
        for (const auto& [vm, report] : answers.take(at(ms)))
        {
            ++received[vm];
            bytes += approximate_bytes(report);
            cr_assert(report.age == milliseconds(ms));
        }
    }
    const double rate = link_speed * catch_up_link_share;
    const double burst = rate * static_cast<double>(catch_up_burst.count()) / 1000.0;
    const double last = static_cast<double>(approximate_bytes(report_of(0)));
    cr_assert(static_cast<double>(bytes) <= rate * 10.0 + burst + last);
    cr_assert(static_cast<double>(bytes) >= rate * 10.0);
    const auto [least, most] = std::minmax_element(received.begin(), received.end());
    cr_assert(*most - *least <= 1);
}
