// Shares of a roll-out's versions, its decisions and the samples they rest on.
#include "state/rollout_gate.h"
#include "state/rollout_judge.h"
#include "state/rollout_samples.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
const rollout_limits limits{0.1, 50.0, milliseconds(5000)};

rollout_order order_to(const std::string& version, std::uint64_t revision)
{
    return {"generate", version, milliseconds(12'000), revision};
}

rollout_record record_of(const rollout_order& order, rollout_phase phase, std::uint32_t step = 0,
                         double share = 0.05)
{
    rollout_record record;
    record.service = order.service;
    record.version = order.version;
    record.order = order.revision;
    record.phase = phase;
    record.step = step;
    record.shares.usual = share;
    record.shares.bound = 1.0;
    record.revision = 100 * static_cast<std::uint64_t>(phase) + step + 1;
    return record;
}

std::vector<rollout_endpoint> endpoints_of(const std::string& version, std::size_t count,
                                           std::int64_t started_at)
{
    std::vector<rollout_endpoint> list;
    for (std::size_t i = 0; i < count; ++i)
        list.push_back({version + "-" + std::to_string(i),
                        std::string(1, static_cast<char>('a' + i % 3)), version, started_at});
    return list;
}

std::vector<rollout_endpoint> both_versions(std::size_t count)
{
    std::vector<rollout_endpoint> list = endpoints_of("v1", count, 100);
    for (const rollout_endpoint& each : endpoints_of("v2", count, 200))
        list.push_back(each);
    return list;
}

// A VM that knows both versions' endpoints and an order to the second one.
rollout_gate gate_with_order(std::uint64_t seed = 1, std::size_t count = 60)
{
    rollout_gate gate("generate", limits, seed);
    gate.set_endpoints(endpoints_of("v1", count, 100), start - milliseconds(60'000));
    gate.set_order(order_to("v2", 7), start);
    gate.set_endpoints(both_versions(count), start);
    return gate;
}

std::size_t usable(const rollout_gate& gate, rollout_pool pool, const std::string& version,
                   time_point now, std::size_t count = 60)
{
    std::size_t result = 0;
    for (const rollout_endpoint& each : endpoints_of(version, count, 0))
        result += gate.may_use(pool, each.id, now) ? 1 : 0;
    return result;
}

// Feeds a judge with reports of VMs whose answers are given as shares of bad ones.
class judged_rollout
{
public:
    rollout_judge judge{limits};
    rollout_order order = order_to("v2", 7);
    std::uint64_t revision = 10;
    std::size_t vms = 3;
    std::uint64_t sent_each = 300; // requests of a VM between two reports
    std::uint32_t old_slow = 0;    // of 40 answers of the old version
    std::uint32_t slow = 0;        // of the successes of each new endpoint, three times the usual
    std::optional<rollout_record> stored;

    explicit judged_rollout() { judge.set_order(order, start); }

    // One interval of answers; `failures` of the new version's ones fail at each endpoint.
    void report(milliseconds at, std::uint32_t answers, std::uint32_t failures,
                std::size_t candidates = 4)
    {
        for (std::size_t vm = 0; vm < vms; ++vm)
        {
            rollout_report report;
            report.vm = "vm-" + std::to_string(vm);
            report.lifetime = vm + 1;
            report.sequence = ++sequence_;
            report.service = order.service;
            report.order = order.revision;
            report.phase = stored ? stored->phase : rollout_phase::canary;
            report.age = vm == 0 ? at : milliseconds(0); // the others have started late
            sent_[vm] += sent_each;
            candidate_sent_[vm] += answers * candidates;
            report.sent = sent_[vm];
            report.candidate_sent = candidate_sent_[vm];
            rollout_counts& old = old_[vm];
            old.route = "chat";
            old.domain = "a";
            old.answers += 40;
            old.by_duration[5] += 40 - old_slow;
            old.by_duration[8] += old_slow;
            report.counts.push_back(old);
            for (std::size_t i = 0; i < candidates; ++i)
            {
                rollout_counts& each = new_[{vm, i}];
                each.route = "chat";
                each.domain = "a";
                each.endpoint = "v2-" + std::to_string(i);
                each.is_candidate = true;
                each.answers += answers;
                each.failures += failures;
                each.by_duration[5] += answers - failures - slow;
                each.by_duration[8] += slow;
                report.counts.push_back(each);
            }
            judge.on_report(report, start + at);
            last = report;
        }
    }

    std::optional<rollout_record> propose(milliseconds at, std::size_t rank = 0)
    {
        return judge.propose({60, 60, vms, rank}, start + at);
    }

    void store(rollout_record record, milliseconds at)
    {
        record.revision = ++revision;
        stored = record;
        judge.set_record(record, start + at);
    }

    // Reports and stores all proposals until this time.
    void run(milliseconds from, milliseconds until, std::uint32_t answers, std::uint32_t failures)
    {
        for (milliseconds at = from; at < until; at += milliseconds(100))
        {
            if (at.count() % 500 == 0)
                report(at, answers, failures);
            if (const auto next = propose(at))
                store(*next, at);
        }
    }

    rollout_report last;

private:
    std::uint64_t sequence_ = 0;
    std::map<std::size_t, std::uint64_t> sent_;
    std::map<std::size_t, std::uint64_t> candidate_sent_;
    std::map<std::size_t, rollout_counts> old_;
    std::map<std::pair<std::size_t, std::size_t>, rollout_counts> new_;
};

} // namespace

Test(rollout_gate, no_order_all_known_versions_are_unrestricted)
{
    rollout_gate gate("generate", limits, 1);
    gate.set_endpoints(endpoints_of("v1", 3, 100), start);
    cr_assert(gate.choose("chat", false, start) == rollout_pool::unrestricted);
    cr_assert(usable(gate, rollout_pool::unrestricted, "v1", start, 3) == 3);
    cr_assert(!gate.may_use(rollout_pool::unrestricted, "v9-0", start));
}

// Guards against requests at a new version whose order arrives after its endpoints.
Test(rollout_gate, unknown_version_without_order_is_held_then_usable)
{
    rollout_gate gate("generate", limits, 1);
    gate.set_endpoints(endpoints_of("v1", 3, 100), start - milliseconds(60'000));
    gate.set_endpoints(both_versions(3), start);
    cr_assert(usable(gate, rollout_pool::unrestricted, "v2", start + milliseconds(2400), 3) == 0);
    cr_assert(usable(gate, rollout_pool::unrestricted, "v1", start, 3) == 3);
    cr_assert(usable(gate, rollout_pool::unrestricted, "v2", start + milliseconds(2500), 3) == 3);
}

// Guards against a VM without endpoints of the old version when it starts during a roll-out.
Test(rollout_gate, vm_starts_during_rollout_uses_oldest_version_at_once)
{
    rollout_gate gate("generate", limits, 1);
    gate.set_order(order_to("v2", 7), start);
    gate.set_endpoints(both_versions(3), start);
    cr_assert(gate.choose("chat", false, start) == rollout_pool::old_version);
    cr_assert(usable(gate, rollout_pool::old_version, "v1", start, 3) == 3);
    cr_assert(usable(gate, rollout_pool::candidate, "v2", start, 3) == 0);
}

// Guards against VMs with few requests that all round their share up or down.
Test(rollout_gate, many_vms_few_requests_send_share_in_sum)
{
    std::size_t sent = 0;
    for (std::uint64_t seed = 1; seed <= 3000; ++seed)
    {
        rollout_gate gate = gate_with_order(seed);
        gate.on_record(record_of(order_to("v2", 7), rollout_phase::canary), start);
        for (int i = 0; i < 4; ++i)
            sent += gate.choose("chat", false, start) == rollout_pool::candidate ? 1 : 0;
    }
    cr_assert(sent > 500 && sent < 700, "%zu", sent);
}

Test(rollout_gate, one_vm_many_requests_sends_share_of_each_route)
{
    rollout_gate gate = gate_with_order();
    rollout_record record = record_of(order_to("v2", 7), rollout_phase::canary);
    record.shares.routes = {{"rare", 0.25}};
    gate.on_record(record, start);
    std::size_t usual = 0;
    std::size_t rare = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        usual += gate.choose("chat", false, start) == rollout_pool::candidate ? 1 : 0;
        if (i % 10 == 0)
            rare += gate.choose("rare", false, start) == rollout_pool::candidate ? 1 : 0;
    }
    cr_assert(usual > 930 && usual < 1070, "%zu", usual);
    cr_assert(rare > 440 && rare < 560, "%zu", rare);
}

// Guards against a step that overstays its time, as when the store is down.
Test(rollout_gate, step_overstays_requests_end_at_bound)
{
    rollout_gate gate = gate_with_order();
    rollout_record record = record_of(order_to("v2", 7), rollout_phase::ramp, 4, 0.35);
    record.shares.bound = 0.1;
    gate.on_record(record, start);
    std::size_t sent = 0;
    for (int i = 0; i < 12'000; ++i)
    {
        const time_point now = start + milliseconds(i);
        gate.on_verdict({"generate", 7, rollout_phase::ramp, 4, record.shares, milliseconds(i)},
                        now);
        sent += gate.choose("chat", false, now) == rollout_pool::candidate ? 1 : 0;
    }
    cr_assert(sent <= 1201, "%zu", sent);
}

Test(rollout_gate, canaries_are_few_equal_on_all_vms_and_rotate)
{
    std::set<std::string> first;
    for (const std::uint64_t seed : {1, 2})
    {
        rollout_gate gate = gate_with_order(seed);
        gate.on_record(record_of(order_to("v2", 7), rollout_phase::canary), start);
        std::set<std::string> canaries;
        for (const rollout_endpoint& each : endpoints_of("v2", 60, 0))
        {
            if (gate.may_use(rollout_pool::candidate, each.id, start))
                canaries.insert(each.id);
        }
        cr_assert(canaries.size() == 3);
        cr_assert(first.empty() || first == canaries);
        first = canaries;
        gate.on_record(record_of(order_to("v2", 7), rollout_phase::canary, 1), start);
        for (const std::string& id : canaries)
            cr_assert(!gate.may_use(rollout_pool::candidate, id, start));
        cr_assert(usable(gate, rollout_pool::candidate, "v2", start) == 3);
    }
}

Test(rollout_gate, lease_without_word_lapses_until_verdict)
{
    rollout_gate gate = gate_with_order();
    const rollout_record record = record_of(order_to("v2", 7), rollout_phase::canary, 0, 1.0);
    gate.on_record(record, start);
    cr_assert(gate.choose("chat", false, start) == rollout_pool::candidate);
    cr_assert(gate.choose("chat", true, start) == rollout_pool::old_version);
    const time_point later = start + milliseconds(1600);
    cr_assert(gate.choose("chat", false, later) == rollout_pool::old_version);
    cr_assert(usable(gate, rollout_pool::candidate, "v2", later) == 0);
    gate.on_store_contact(later);
    cr_assert(gate.choose("chat", false, later) == rollout_pool::candidate);
    gate.on_store_contact(start + milliseconds(3100));
    cr_assert(gate.choose("chat", false, start + milliseconds(3100)) == rollout_pool::old_version);
    gate.on_verdict({"generate", 7, rollout_phase::canary, 0, record.shares, milliseconds(3200)},
                    start + milliseconds(3200));
    cr_assert(gate.choose("chat", false, start + milliseconds(3200)) == rollout_pool::candidate);
}

Test(rollout_gate, roll_back_by_verdict_holds_against_older_records)
{
    rollout_gate gate = gate_with_order();
    const rollout_order order = order_to("v2", 7);
    gate.on_record(record_of(order, rollout_phase::ramp, 0, 1.0), start);
    gate.on_verdict({"generate", 7, rollout_phase::rolled_back, 0, {}, milliseconds(10)}, start);
    gate.on_record(record_of(order, rollout_phase::full), start);
    cr_assert(gate.choose("chat", false, start) == rollout_pool::old_version);
    for (const rollout_pool pool : {rollout_pool::candidate, rollout_pool::unrestricted})
        cr_assert(usable(gate, pool, "v2", start) == 0);
    // Neither does the end of the order let the version back in.
    gate.set_order(std::nullopt, start + milliseconds(60'000));
    cr_assert(usable(gate, rollout_pool::unrestricted, "v2", start + milliseconds(60'000)) == 0);
    cr_assert(usable(gate, rollout_pool::unrestricted, "v1", start + milliseconds(60'000)) == 60);
}

// Guards against a store that comes back from an older copy.
Test(rollout_gate, completed_older_record_comes_back_stays_completed)
{
    rollout_gate gate = gate_with_order();
    const rollout_order order = order_to("v2", 7);
    gate.on_record(record_of(order, rollout_phase::completed), start);
    gate.on_record(record_of(order, rollout_phase::canary), start);
    cr_assert(gate.choose("chat", false, start) == rollout_pool::candidate);
    cr_assert(gate.fallback(rollout_pool::candidate, start) == rollout_pool::none);
    cr_assert(usable(gate, rollout_pool::candidate, "v2", start) == 60);
    gate.set_order(std::nullopt, start);
    gate.on_record(record_of(order, rollout_phase::canary), start);
    cr_assert(usable(gate, rollout_pool::unrestricted, "v2", start + milliseconds(5000)) == 60);
    cr_assert(usable(gate, rollout_pool::unrestricted, "v1", start + milliseconds(5000)) == 0);
}

Test(rollout_gate, order_withdrawn_or_replaced_first_version_gets_nothing)
{
    rollout_gate gate = gate_with_order();
    gate.on_record(record_of(order_to("v2", 7), rollout_phase::full), start);
    gate.set_order(std::nullopt, start);
    cr_assert(usable(gate, rollout_pool::unrestricted, "v2", start + milliseconds(9000)) == 0);

    rollout_gate other = gate_with_order();
    other.on_record(record_of(order_to("v2", 7), rollout_phase::ramp), start);
    other.set_order(order_to("v3", 9), start);
    cr_assert(usable(other, rollout_pool::old_version, "v2", start) == 0);
    cr_assert(usable(other, rollout_pool::old_version, "v1", start) == 60);
    // Ordered once more, the version starts anew.
    other.set_order(order_to("v2", 11), start);
    other.on_record(record_of(order_to("v2", 11), rollout_phase::canary), start);
    cr_assert(usable(other, rollout_pool::candidate, "v2", start) == 3);
}

Test(rollout_gate, full_old_version_is_fallback)
{
    rollout_gate gate = gate_with_order();
    gate.on_record(record_of(order_to("v2", 7), rollout_phase::full), start);
    cr_assert(gate.choose("chat", true, start) == rollout_pool::candidate);
    cr_assert(gate.fallback(rollout_pool::candidate, start) == rollout_pool::old_version);
    cr_assert(usable(gate, rollout_pool::old_version, "v1", start) == 60);
    cr_assert(gate.fallback(rollout_pool::old_version, start) == rollout_pool::none);
}

Test(rollout, supersedes_final_phase_is_never_replaced)
{
    const rollout_order order = order_to("v2", 7);
    const auto completed = record_of(order, rollout_phase::completed);
    const auto rolled_back = record_of(order, rollout_phase::rolled_back);
    cr_assert(!supersedes(completed, rolled_back) && !supersedes(rolled_back, completed));
    cr_assert(supersedes(record_of(order, rollout_phase::ramp, 4),
                         record_of(order, rollout_phase::ramp, 0)));
    cr_assert(!supersedes(record_of(order, rollout_phase::canary, 3),
                          record_of(order, rollout_phase::ramp, 0)));
    cr_assert(supersedes(record_of(order_to("v3", 9), rollout_phase::canary), completed));
}

Test(rollout_judge, good_version_is_completed_by_deadline)
{
    judged_rollout played;
    played.run(milliseconds(0), milliseconds(12'000), 2, 0);
    cr_assert(played.stored->phase == rollout_phase::completed);
}

Test(rollout_judge, failing_version_is_rolled_back_and_verdict_precedes_store)
{
    judged_rollout played;
    played.run(milliseconds(0), milliseconds(1000), 2, 0);
    played.report(milliseconds(1100), 4, 4);
    const auto next = played.propose(milliseconds(1150));
    cr_assert(next && next->phase == rollout_phase::rolled_back && !next->why.empty());
    // The store can not be written.
    const auto verdict = played.judge.verdict(start + milliseconds(1200));
    cr_assert(verdict && verdict->phase == rollout_phase::rolled_back);
    cr_assert(played.propose(milliseconds(2000)) == next ||
              played.propose(milliseconds(2000))->phase == rollout_phase::rolled_back);
}

// Guards against a move that leaves no old version to compare with while there is time. 1800
// requests a second at 60 endpoints, 48 answers a second of the new version.
Test(rollout_judge, good_version_all_requests_move_late)
{
    judged_rollout played;
    played.run(milliseconds(0), milliseconds(10'300), 2, 0);
    cr_assert(played.stored->phase == rollout_phase::ramp);
    played.run(milliseconds(10'300), milliseconds(10'800), 2, 0);
    cr_assert(played.stored->phase == rollout_phase::full);
}

// Guards against a large share that ends before all requests move, since too few are left of the
// exposure bound. 1800 requests a second, of which the new version gets 120 instead of 50.
Test(rollout_judge, exposure_used_early_last_share_begins_later)
{
    const auto last_share_begins = [](std::uint32_t answers)
    {
        judged_rollout played;
        int at = 0;
        while (played.stored.value_or(rollout_record{}).step < rollout_rotations && at < 12'000)
        {
            played.run(milliseconds(at), milliseconds(at + 100), answers, 0);
            at += 100;
        }
        return at;
    };
    const int early = last_share_begins(2);
    const int late = last_share_begins(5);
    cr_assert(early < late && late <= 10'400, "%d and %d", early, late);
}

// Guards against a version that is completed because no route alone condemns it in time: 1 slow
// answer of 16 at 6 a second.
Test(rollout_judge, suspect_when_requests_are_to_move_is_rolled_back)
{
    judged_rollout played;
    played.run(milliseconds(0), milliseconds(9000), 1, 0);
    cr_assert(played.stored->phase == rollout_phase::ramp);
    played.slow = 1;
    played.report(milliseconds(9000), 1, 0, 1);
    played.slow = 0;
    played.run(milliseconds(9100), milliseconds(10'200), 1, 0);
    const auto worst = played.judge.assessments().back().evidence;
    cr_assert(worst < bad_evidence(), "%.1f", worst);
}

// Guards against rare routes of which the new version gets too few answers to be judged. 1000
// requests a second, 20 of them at the rare route.
Test(rollout_judge, rare_route_gets_larger_share)
{
    judged_rollout played;
    played.run(milliseconds(0), milliseconds(2000), 2, 0);
    rollout_report report = played.last;
    report.vm = "vm-9";
    report.counts.resize(1);
    report.counts.front().route = "rare";
    report.counts.front().answers = 20;
    played.judge.on_report(report, start + milliseconds(2000));
    const auto shares = played.judge.verdict(start + milliseconds(2000))->shares;
    cr_assert(shares.routes.size() == 2 && shares.routes[1].route == "rare");
    cr_assert(shares.routes[1].share == route_share_max);
    cr_assert(shares.routes[0].share < shares.usual);
}

// Guards against a slow domain or a faulty endpoint of the old version that hides a version which
// is worse: a third of the old version's answers is slow, and all of the new one's. 12 answers a
// second at two endpoints.
Test(rollout_judge, old_version_slow_in_part_slow_version_is_rolled_back)
{
    judged_rollout played;
    played.vms = 1;
    played.old_slow = 13;
    played.slow = 3;
    for (int at = 0; at < 8000; at += 500)
    {
        played.report(milliseconds(at), 3, 0, 2);
        if (const auto next = played.propose(milliseconds(at)))
            played.store(*next, milliseconds(at));
    }
    cr_assert(played.stored->phase == rollout_phase::rolled_back);
}

Test(rollout_judge, reports_repeated_count_once)
{
    judged_rollout played;
    played.run(milliseconds(0), milliseconds(1000), 2, 0);
    played.propose(milliseconds(1000));
    const auto before = played.judge.assessments().front().answers;
    for (int i = 0; i < 20; ++i)
        played.judge.on_report(played.last, start + milliseconds(1010));
    played.propose(milliseconds(1020));
    cr_assert(played.judge.assessments().front().answers == before);
}

// Guards against a VM that advances a roll-out on the word of few VMs.
Test(rollout_judge, most_vms_silent_does_not_advance)
{
    judged_rollout played;
    played.run(milliseconds(0), milliseconds(6000), 2, 0);
    played.vms = 7;
    const auto phase = played.stored->phase;
    for (int at = 6000; at < 12'000; at += 100)
        cr_assert(!played.propose(milliseconds(at)));
    cr_assert(played.stored->phase == phase);
}

// Guards against a proposal by a VM that was frozen since it decided.
Test(rollout_judge, proposal_names_record_that_it_is_based_on)
{
    judged_rollout played;
    const auto first = played.propose(milliseconds(0));
    cr_assert(first && first->phase == rollout_phase::canary && first->revision == 0);
    played.run(milliseconds(0), milliseconds(1000), 2, 0);
    played.report(milliseconds(1100), 4, 4);
    cr_assert(played.propose(milliseconds(1150))->revision == played.stored->revision);
}

Test(rollout_judge, lower_rank_proposes_later)
{
    judged_rollout played;
    cr_assert(!played.propose(milliseconds(0), 1));
    cr_assert(!played.propose(milliseconds(900), 1));
    cr_assert(played.propose(milliseconds(1000), 1));
}

Test(rollout_judge, store_comes_back_older_proposes_furthest_decision)
{
    judged_rollout played;
    played.run(milliseconds(0), milliseconds(12'000), 2, 0);
    rollout_record older = record_of(played.order, rollout_phase::canary);
    older.revision = 5;
    played.judge.set_record(older, start + milliseconds(13'000));
    const auto next = played.propose(milliseconds(13'000));
    cr_assert(next && next->phase == rollout_phase::completed && next->revision == 5);
    played.judge.set_record(std::nullopt, start + milliseconds(13'000));
    cr_assert(played.propose(milliseconds(13'000))->revision == 0);
}

Test(rollout_judge, order_replaced_starts_anew)
{
    judged_rollout played;
    played.run(milliseconds(0), milliseconds(8000), 2, 0);
    played.judge.set_order(order_to("v3", 9), start + milliseconds(8000));
    const auto next = played.propose(milliseconds(8000));
    cr_assert(next && next->version == "v3" && next->phase == rollout_phase::canary);
    cr_assert(next->revision == played.stored->revision);
}

Test(rollout_judge, order_withdrawn_is_rolled_back)
{
    judged_rollout played;
    played.run(milliseconds(0), milliseconds(3000), 2, 0);
    played.judge.set_order(std::nullopt, start + milliseconds(3000));
    cr_assert(!played.propose(milliseconds(4900)));
    const auto next = played.propose(milliseconds(5000));
    cr_assert(next && next->phase == rollout_phase::rolled_back && next->order == 7);
}

// Guards against a judge that was started late and knows neither the age nor the first answers. One
// of three VMs knows the age.
Test(rollout_judge, judge_starts_in_the_middle_continues)
{
    judged_rollout played;
    played.run(milliseconds(0), milliseconds(7000), 2, 0);
    judged_rollout late;
    late.revision = played.revision;
    late.judge.set_order(std::nullopt, start + milliseconds(6900));
    late.judge.set_order(late.order, start + milliseconds(7000));
    late.store(*played.stored, milliseconds(7000));
    late.run(milliseconds(7000), milliseconds(12'000), 2, 0);
    cr_assert(late.stored->phase == rollout_phase::completed);
}

Test(rollout_samples, report_has_changes_since_last_one_to_receiver)
{
    rollout_samples samples("vm-1", 5, "generate", 7);
    const auto number = samples.on_sent({"chat", "v2-0", "a", true, true, false}, start);
    samples.on_first_byte(number, start + milliseconds(50));
    samples.on_ended(number);
    const auto at = start + milliseconds(100);
    const auto first = samples.report("vm-2", rollout_phase::canary, milliseconds(100), at);
    cr_assert(first.counts.size() == 1 && first.counts[0].by_duration[3] == 1);
    cr_assert(first.candidate_sent == 1 && first.sent == 1);
    cr_assert(samples.report("vm-2", rollout_phase::canary, milliseconds(100), at).counts.empty());
    cr_assert(samples.report("vm-3", rollout_phase::canary, milliseconds(100), at).counts.size() ==
              1);
    samples.on_report_lost("vm-2");
    cr_assert(samples.report("vm-2", rollout_phase::canary, milliseconds(100), at).counts.size() ==
              1);
}

Test(rollout_samples, many_entries_reports_are_bounded_and_complete)
{
    rollout_samples samples("vm-1", 5, "generate", 7);
    for (std::size_t i = 0; i < 300; ++i)
        samples.on_failed(
            samples.on_sent({"chat", "v2-" + std::to_string(i), "a", true, true, false}, start),
            start);
    std::set<std::string> seen;
    for (int i = 0; i < 3; ++i)
    {
        const auto report = samples.report("vm-2", rollout_phase::canary, milliseconds(0), start);
        cr_assert(report.counts.size() <= rollout_max_counts);
        for (const rollout_counts& each : report.counts)
            seen.insert(each.endpoint);
    }
    cr_assert(seen.size() == 300);
}

// Guards against a version that answers nothing and so leaves no durations.
Test(rollout_samples, attempt_without_answer_counts_as_slow_once)
{
    rollout_samples samples("vm-1", 5, "generate", 7);
    for (int i = 0; i < 8; ++i)
    {
        const auto number = samples.on_sent({"chat", "v1-0", "a", false, false, false}, start);
        cr_assert(
            samples.report("vm-9", rollout_phase::full, milliseconds(0), start).old_unrepeatable ==
            1);
        samples.on_first_byte(number, start + milliseconds(50));
        samples.on_ended(number);
    }
    const auto waiting = samples.on_sent({"chat", "v2-0", "a", true, true, false}, start);
    const auto at = start + milliseconds(1000);
    auto report = samples.report("vm-2", rollout_phase::canary, milliseconds(0), at);
    const auto entry = std::find_if(report.counts.begin(), report.counts.end(),
                                    [](const auto& each) { return each.is_candidate; });
    cr_assert(entry != report.counts.end() && entry->answers == 1 && entry->by_duration[10] == 1);
    samples.on_first_byte(waiting, at + milliseconds(500));
    report = samples.report("vm-3", rollout_phase::canary, milliseconds(0), at);
    cr_assert(report.counts.back().answers == 1 && report.old_in_flight == 0);
}
