// The decision which prompt part crashes engines, and the reports by which VMs share it.
#include "state/crash_suspects.h"

#include "seeds.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace zinnianotch;
using zinnianotch::testing::random_source;

namespace
{

using part_list = std::vector<std::string>;

constexpr time_point start{std::chrono::hours(1)};
constexpr milliseconds just_begun{100};
const part_list vms = {"vm-0", "vm-1", "vm-2", "vm-3"};

time_point at(std::int64_t ms)
{
    return start + milliseconds(ms);
}

engine_lifetime engine(int number, std::int64_t started_at = 0)
{
    return {"engine-" + std::to_string(number), started_at};
}

std::string domain(int number)
{
    return "domain-" + std::to_string(number % 3);
}

// Crashes of the engines `first` to `last`, one each second, under one request with these parts.
void crash_alone(crash_suspects& suspects, int first, int last, const part_list& parts)
{
    for (int i = first; i <= last; ++i)
        suspects.on_crash(engine(i), domain(i), parts, answer_progress::head, just_begun,
                          at(1000 * i));
}

void deliver(const std::vector<crash_report>& reports, crash_suspects& to, time_point now)
{
    for (const crash_report& report : reports)
        to.on_report(report, now);
}

// True if some VM of `vms` may send the request as a probe.
bool any_may_probe(crash_suspects& suspects, const part_list& parts, time_point now)
{
    return std::any_of(vms.begin(), vms.end(),
                       [&](const std::string& vm)
                       { return suspects.may_probe(parts, vm, vms, now); });
}

} // namespace

// Guards against a part that is never held, and against one held after a single crash.
Test(crash_suspects, held_same_part_at_three_crashes_holds_it)
{
    crash_suspects suspects("vm-0/1");
    crash_alone(suspects, 0, 0, {"first-0", "crashing"});
    cr_assert(!suspects.held({"first-0", "crashing"}, at(100)));
    suspects.on_crash(engine(1), domain(1), {"first-1", "crashing"}, answer_progress::head,
                      just_begun, at(1000));
    suspects.on_crash(engine(2), domain(2), {"first-2", "crashing"}, answer_progress::head,
                      just_begun, at(2000));
    const auto held = suspects.held({"first-3", "crashing"}, at(2000));
    cr_assert(held && held->part == "crashing" && held->retry_after > milliseconds(0));
    cr_assert(!suspects.held({"first-0", "second-1"}, at(2000)));
}

// Guards against sound requests refused because they share one part of the requests that crash.
Test(crash_suspects, held_same_two_parts_at_crashes_holds_their_combination_only)
{
    crash_suspects suspects("vm-0/1");
    crash_alone(suspects, 0, 3, {"first-0", "crashing"});
    cr_assert(suspects.held({"first-0", "crashing"}, at(3000)).has_value());
    cr_assert(!suspects.held({"first-0", "second-1"}, at(3000)));
    cr_assert(!suspects.held({"first-1", "crashing"}, at(3000)));
    suspects.on_sound({"first-0", "second-1"}, at(3100), at(4000));
    cr_assert(!suspects.held({"first-0", "second-1"}, at(4000)));
    const auto held = suspects.held({"first-1", "crashing"}, at(4000));
    cr_assert(held && held->part == "crashing");
}

// Guards against a combination of parts that no single request has, which would hold nothing.
Test(crash_suspects, held_two_engines_crash_at_once_holds_a_combination_that_occurs)
{
    crash_suspects suspects("vm-0/1");
    for (int i = 0; i < 4; ++i)
    {
        for (const int first : {0, 1})
            suspects.on_crash(engine(2 * i + first), domain(first),
                              {"first-" + std::to_string(first), "crashing"}, answer_progress::head,
                              just_begun, at(1000 * i));
    }
    cr_assert(suspects.held({"first-0", "crashing"}, at(3000)).has_value() ||
              suspects.held({"first-1", "crashing"}, at(3000)).has_value());
}

// Guards against parts of requests that were under way at the crashes being held.
Test(crash_suspects, held_requests_not_begun_or_long_begun_are_no_suspects)
{
    crash_suspects suspects("vm-0/1");
    for (int i = 0; i < 4; ++i)
    {
        const std::string other = std::to_string(i);
        const time_point now = at(1000 * i);
        suspects.on_crash(engine(i), domain(i), {"other-" + other, "crashing"},
                          answer_progress::head, just_begun, now);
        suspects.on_crash(engine(i), domain(i), {"waiting"}, answer_progress::no_head,
                          milliseconds(0), now);
        suspects.on_crash(engine(i), domain(i), {"long"}, answer_progress::head, milliseconds(3000),
                          now);
        suspects.on_crash(engine(i), domain(i), {"events"}, answer_progress::events,
                          milliseconds(300), now);
    }
    cr_assert(suspects.held_parts(at(3000)) == part_list{"crashing"});
}

// Guards against a part that is never found because the heads are lost with the connections.
Test(crash_suspects, held_heads_lost_holds_part_later)
{
    crash_suspects suspects("vm-0/1");
    int crashes = 0;
    while (suspects.held_parts(at(1000 * crashes)).empty() && crashes < 30)
    {
        for (const std::string other : {"a", "b", "c"})
            suspects.on_crash(engine(crashes), domain(crashes), {other + std::to_string(crashes)},
                              answer_progress::no_head, milliseconds(0), at(1000 * crashes));
        suspects.on_crash(engine(crashes), domain(crashes), {"crashing"}, answer_progress::no_head,
                          milliseconds(0), at(1000 * crashes));
        ++crashes;
    }
    cr_assert(suspects.held_parts(at(1000 * crashes)) == part_list{"crashing"});
    cr_assert(crashes > 3 && crashes < 30, "%d crashes", crashes);
}

// Guards against a failure domain that goes down being taken for crashes under a shared part.
Test(crash_suspects, held_whole_domain_crashes_holds_nothing)
{
    crash_suspects suspects("vm-0/1");
    for (int i = 0; i < 6; ++i)
        suspects.on_crash(engine(i), "domain-0", {"first-0", "second-" + std::to_string(i)},
                          answer_progress::head, just_begun, at(20 * i));
    cr_assert(suspects.held_parts(at(200)).empty());
}

// Guards against a part that stays unknown while it makes engines of one domain crash in quick
// succession, since these crashes count as one.
Test(crash_suspects, held_same_part_at_crashes_of_one_domain_holds_it_alone)
{
    crash_suspects suspects("vm-0/1");
    for (int i = 0; i < 10; ++i)
    {
        const time_point now = at(60 * i);
        const auto break_off = [&](int first, const std::string& second, milliseconds answering_for)
        {
            suspects.on_crash(engine(i), "domain-0", {"first-" + std::to_string(first % 2), second},
                              answer_progress::head, answering_for, now);
        };
        const std::string second = "second-" + std::to_string(i);
        break_off(i, "crashing", just_begun);
        for (int other = 0; other < 2; ++other)
            break_off(other, second + "-" + std::to_string(other), just_begun);
        for (int other = 2; other < 10; ++other)
            break_off(other, second + "-" + std::to_string(other), milliseconds(1500));
    }
    const auto held = suspects.held({"first-0", "crashing"}, at(600));
    cr_assert(held && held->part == "crashing");
    cr_assert(!suspects.held({"first-0", "second-9"}, at(600)));
    cr_assert(!suspects.held({"first-1", "second-9"}, at(600)));
}

// Guards against requests that all go to one engine after the crash of a domain, since they share a
// popular part.
Test(crash_suspects, suspect_whole_domain_crashes_is_none)
{
    crash_suspects suspects("vm-0/1");
    for (int i = 0; i < 6; ++i)
        suspects.on_crash(engine(i), "domain-0",
                          {"first-" + std::to_string(i % 2), "second-" + std::to_string(i)},
                          answer_progress::head, just_begun, at(20 * i));
    cr_assert(!suspects.suspect({"first-0", "second-9"}, at(200)));
    cr_assert(!suspects.suspect({"first-1", "second-1"}, at(200)));
}

// Guards against suspects that share an engine, which cannot be told apart.
Test(crash_suspects, suspect_same_part_at_two_crashes_is_the_part)
{
    crash_suspects suspects("vm-0/1");
    for (int i = 0; i < 2; ++i)
        suspects.on_crash(engine(i), domain(i), {"first-" + std::to_string(i), "crashing"},
                          answer_progress::head, just_begun, at(1000 * i));
    cr_assert(suspects.suspect({"first-2", "crashing"}, at(2000)) == "crashing");
    cr_assert(!suspects.suspect({"first-2", "second-1"}, at(2000)));
}

// Guards against crashes long past that make a part held at its next crash.
Test(crash_suspects, held_crashes_far_apart_do_not_add_up)
{
    crash_suspects suspects("vm-0/1");
    for (int i = 0; i < 6; ++i)
    {
        const time_point now = start + i * (crash_evidence_max_age + milliseconds(2000));
        suspects.on_crash(engine(i), domain(i), {"rare"}, answer_progress::head, just_begun, now);
        cr_assert(suspects.held_parts(now).empty());
        cr_assert(suspects.crash_count() <= 2);
    }
}

// Guards against a run that was sent before a crash clearing the part that caused it.
Test(crash_suspects, on_sound_run_sent_before_crash_keeps_part_suspect)
{
    crash_suspects suspects("vm-0/1");
    crash_alone(suspects, 0, 3, {"part"});
    suspects.on_sound({"part"}, at(-100), at(3100));
    cr_assert(suspects.held({"part"}, at(3100)).has_value());
    suspects.on_sound({"part"}, at(1500), at(3200));
    cr_assert(suspects.suspect({"part"}, at(3200)) == "part");
    suspects.on_sound({"part"}, at(3300), at(3400));
    cr_assert(!suspects.held({"part"}, at(3400)));
    cr_assert(!suspects.suspect({"part"}, at(3400)));
}

// Guards against VMs that hold different parts, with reports doubled and in any order.
Test(crash_suspects, on_report_any_order_and_duplicates_vms_agree)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        random_source random(seed);
        crash_suspects a("vm-0/1");
        crash_suspects b("vm-1/1");
        crash_suspects c("vm-2/1");
        for (int i = 0; i < 4; ++i)
            (i % 2 == 0 ? a : b)
                .on_crash(engine(i), domain(i), {"first-0", "crashing"}, answer_progress::head,
                          just_begun, at(1000 * i));
        std::vector<crash_report> reports = a.take_reports(at(3500));
        const std::vector<crash_report> others = b.take_reports(at(3500));
        deliver(reports, b, at(3500));
        deliver(others, a, at(3500));
        a.on_sound({"first-0", "second-7"}, at(3600), at(4000));
        const std::vector<crash_report> sound = a.take_reports(at(4000));
        cr_assert(sound.size() == 1 && sound.front().kind == crash_report_kind::sound);
        deliver(sound, b, at(4000));
        reports.insert(reports.end(), others.begin(), others.end());
        reports.insert(reports.end(), sound.begin(), sound.end());
        reports.insert(reports.end(), sound.begin(), sound.end());
        reports.insert(reports.end(), others.begin(), others.end());
        for (std::size_t i = reports.size(); i > 1; --i)
            std::swap(reports[i - 1], reports[random.below(i)]);
        deliver(reports, c, at(4000));
        for (crash_suspects* const vm : {&a, &b, &c})
        {
            cr_assert(vm->held_parts(at(4000)) == part_list{"crashing"}, "seed %d",
                      static_cast<int>(seed));
            for (const crash_report& report : reports)
                cr_assert(!vm->on_report(report, at(4000)), "a known report is no news");
        }
    }
}

// Guards against reports that carry the time of one VM's clock.
Test(crash_suspects, take_reports_later_call_gives_age)
{
    crash_suspects suspects("vm-0/1");
    suspects.on_crash(engine(1), "domain-0", {"part"}, answer_progress::head, just_begun, at(0));
    const auto reports = suspects.take_reports(at(250));
    cr_assert(reports.size() == 1 && reports.front().age == milliseconds(250));
    cr_assert(suspects.take_reports(at(300)).empty());
}

// Guards against a VM that starts during a series and lets its requests through.
Test(crash_suspects, snapshot_new_vm_holds_same_parts_and_probes)
{
    crash_suspects old_vm("vm-0/1");
    crash_alone(old_vm, 0, 5, {"first-0", "crashing"});
    old_vm.on_sound({"first-0"}, at(5100), at(5500));
    old_vm.on_probe({"crashing"}, at(40'000));
    const time_point now = at(120'000);
    cr_assert(old_vm.held({"crashing"}, now).has_value(),
              "the crashes of a held part do not expire");
    crash_suspects new_vm("vm-1/1");
    deliver(old_vm.snapshot(now), new_vm, now);
    cr_assert(new_vm.held_parts(now) == old_vm.held_parts(now));
    cr_assert(new_vm.held({"crashing"}, now)->retry_after ==
              old_vm.held({"crashing"}, now)->retry_after);
    cr_assert(!new_vm.held({"first-0"}, now));
}

// Guards against several VMs that probe the same part at once, and against none that does.
Test(crash_suspects, may_probe_due_one_vm_first_and_all_wait_after_it)
{
    crash_suspects suspects("vm-0/1");
    crash_alone(suspects, 0, 2, {"part"});
    const time_point due = at(2000) + first_probe_interval;
    cr_assert(!any_may_probe(suspects, {"part"}, due - milliseconds(1)));
    cr_assert(std::count_if(vms.begin(), vms.end(),
                            [&](const std::string& vm)
                            { return suspects.may_probe({"part"}, vm, vms, due); }) == 1);
    const time_point all = due + static_cast<std::int64_t>(vms.size()) * probe_rank_delay;
    for (const std::string& vm : vms)
        cr_assert(suspects.may_probe({"part"}, vm, vms, all));
    suspects.on_probe({"part"}, due);
    cr_assert(!any_may_probe(suspects, {"part"}, all));
    crash_suspects other("vm-1/1");
    deliver(suspects.snapshot(due), other, due);
    cr_assert(!any_may_probe(other, {"part"}, all));
}

// Guards against probes of a confirmed part that alone exceed the requests that may reach engines.
Test(crash_suspects, may_probe_confirmed_part_few_probes_in_minutes)
{
    crash_suspects suspects("vm-0/1");
    crash_alone(suspects, 0, 5, {"crashing"});
    int probes = 0;
    for (std::int64_t ms = 5000; ms < 300'000; ms += 100)
    {
        if (!any_may_probe(suspects, {"crashing"}, at(ms)))
            continue;
        ++probes;
        suspects.on_probe({"crashing"}, at(ms));
        suspects.on_crash(engine(0, ms), domain(0), {"crashing"}, answer_progress::head, just_begun,
                          at(ms + 100));
    }
    cr_assert(probes >= 1 && probes <= 3, "%d probes", probes);
}

// Guards against a sound part that stays held after its probe was answered.
Test(crash_suspects, may_probe_answered_releases_part)
{
    crash_suspects a("vm-0/1");
    crash_suspects b("vm-1/1");
    crash_alone(a, 0, 2, {"sound"});
    deliver(a.take_reports(at(2000)), b, at(2000));
    cr_assert(b.held({"sound"}, at(2100)).has_value());
    const time_point probed = at(2000) + first_probe_interval;
    b.on_probe({"sound"}, probed);
    b.on_sound({"sound"}, probed, probed + milliseconds(900));
    deliver(b.take_reports(probed + milliseconds(900)), a, probed + milliseconds(920));
    cr_assert(!a.held({"sound"}, probed + milliseconds(920)));
    cr_assert(!b.held({"sound"}, probed + milliseconds(920)));
}

// Guards against memory that grows with the number of parts and engines, and against a held part
// pushed out by the parts of other crashes.
Test(crash_suspects, on_crash_thousands_of_parts_memory_is_bounded)
{
    crash_suspects suspects("vm-0/1");
    crash_alone(suspects, 0, 4, {"crashing"});
    for (int i = 0; i < 3000; ++i)
    {
        part_list parts;
        for (int part = 0; part < 30; ++part)
            parts.push_back("part-" + std::to_string(i * 30 + part));
        for (int request = 0; request < 3; ++request)
            suspects.on_crash(engine(10 + i), domain(i), parts, answer_progress::no_head,
                              milliseconds(0), at(5000 + 15 * i));
        cr_assert(suspects.crash_count() <= max_crashes);
    }
    const time_point now = at(5000 + 15 * 3000);
    cr_assert(suspects.suspect_count(now) <= max_suspect_parts);
    cr_assert(suspects.held({"crashing"}, now).has_value());
}

// Guards against a part that is never held, since it is behind many others in its prompts.
Test(crash_suspects, held_part_behind_hundreds_of_others_holds_it)
{
    crash_suspects suspects("vm-0/1");
    for (int i = 0; i < 4; ++i)
    {
        part_list parts;
        for (int part = 0; part < 400; ++part)
            parts.push_back("document-" + std::to_string(i * 400 + part));
        parts.emplace_back("crashing");
        crash_alone(suspects, i, i, parts);
    }
    cr_assert(suspects.held({"another", "crashing"}, at(4000)).has_value());
    cr_assert(!suspects.held({"another", "document-7"}, at(4000)));
}

// Guards against a cause that is not recorded, since long prompts of other requests have taken its
// place.
Test(crash_suspects, on_crash_many_long_prompts_likely_cause_is_recorded)
{
    crash_suspects suspects("vm-0/1");
    for (int i = 0; i < 4; ++i)
    {
        for (int request = 0; request < 20; ++request)
        {
            part_list parts;
            for (int part = 0; part < 200; ++part)
                parts.push_back("document-" + std::to_string((20 * i + request) * 200 + part));
            suspects.on_crash(engine(i), domain(i), parts, answer_progress::no_head,
                              milliseconds(0), at(1000 * i));
        }
        crash_alone(suspects, i, i, {"first-" + std::to_string(i), "crashing"});
        cr_assert(suspects.suspect_count(at(1000 * i)) <= max_suspect_parts);
    }
    cr_assert(suspects.held({"another", "crashing"}, at(4000)).has_value());
}

// Guards against names in reports that another VM can't read.
Test(crash_suspects, to_string_each_value_parses_back)
{
    for (const auto value : {answer_progress::no_head, answer_progress::head,
                             answer_progress::first_event, answer_progress::events})
    {
        answer_progress parsed = answer_progress::no_head;
        cr_assert(from_string(to_string(value), parsed) && parsed == value);
    }
    for (const auto value :
         {crash_report_kind::crash, crash_report_kind::sound, crash_report_kind::probe})
    {
        crash_report_kind parsed = crash_report_kind::crash;
        cr_assert(from_string(to_string(value), parsed) && parsed == value);
    }
    answer_progress unchanged = answer_progress::events;
    cr_assert(!from_string("other", unchanged) && unchanged == answer_progress::events);
}
