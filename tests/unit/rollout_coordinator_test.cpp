// The first VM that judges a roll-out, with the reports of other VMs and a store that answers at
// once.
#include "coordination/rollout_coordinator.h"

#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>

using namespace zinnianotch;

namespace
{

constexpr milliseconds order_time{9000};
constexpr milliseconds step{100};
constexpr std::uint32_t answers_per_step = 40; // of each version and VM
constexpr const char* service = "reading";
constexpr std::uint64_t order = 50;

struct judging_vm
{
    time_point ordered_at = time_point{} + std::chrono::hours(1);
    time_point now = ordered_at;
    boost::asio::io_context io;
    fleet_limits limits;
    std::vector<std::string> vms = rollout_judges(service, {"vm-0", "vm-1", "vm-2"});
    endpoint_directory endpoints{io, vms.front(), "dom-a", limits};
    metrics counters;
    rollout_coordinator coordinator;
    std::optional<rollout_record> stored;
    std::optional<rollout_phase> others_phase; // that they report; the stored one if not set
    std::uint64_t sequence = 0;

    explicit judging_vm(const std::optional<rollout_record>& before = std::nullopt)
        : coordinator(vms.front(), 7, {0.1, 50.0, milliseconds(5000)}, endpoints, counters),
          stored(before)
    {
        endpoints.set_vms(vms);
        for (const char* const version : {"v1", "v2"})
        {
            for (int i = 0; i < 4; ++i)
                add_endpoint(version, i);
        }
        (void)coordinator.refresh(now);
        coordinator.set_orders_known();
        coordinator.on_record(service, stored, std::nullopt, {1, 1}, now);
        coordinator.on_order({service, "v2", order_time, order}, now);
    }

    void add_endpoint(const std::string& version, int number)
    {
        endpoint_record record;
        record.id = version + "-" + std::to_string(number);
        record.service = service;
        record.address = "127.0.0.1:" + std::to_string(9000 + number);
        record.domain = "dom-a";
        record.version = version;
        endpoints.apply(record, nullptr, false, now);
    }
    milliseconds age() const { return std::chrono::duration_cast<milliseconds>(now - ordered_at); }

    // All VMs report sound answers of both versions, and this one judges.
    void advance()
    {
        const auto is_up = [](const std::string&) { return true; };
        now += step;
        ++sequence;
        (void)coordinator.wanted_links(is_up, now);
        (void)coordinator.take_reports(is_up, now);
        for (const std::string& vm : {vms[1], vms[2]})
            (void)coordinator.on_report(report_of(vm), now);
        coordinator.judge(is_up, now);
        while (const auto call = coordinator.next_call(now))
        {
            if (!call->put)
            {
                coordinator.on_read(service, stored, {1, sequence}, now);
                continue;
            }
            stored = call->put;
            stored->revision = 100 + sequence;
            coordinator.on_written(*call, write_outcome::written, now);
        }
    }
    rollout_report report_of(const std::string& vm) const
    {
        rollout_report report;
        report.vm = vm;
        report.lifetime = 1;
        report.sequence = sequence;
        report.service = service;
        report.order = order;
        report.phase = others_phase.value_or(stored ? stored->phase : rollout_phase::canary);
        report.sent = 2 * sequence * answers_per_step;
        report.age = age();
        for (const bool is_candidate : {false, true})
        {
            rollout_counts counts;
            counts.route = "read";
            counts.endpoint = is_candidate ? "v2-0" : "";
            counts.domain = "dom-a";
            counts.is_candidate = is_candidate;
            counts.answers = static_cast<std::uint32_t>(sequence) * answers_per_step;
            counts.by_duration[1] = counts.answers;
            report.counts.push_back(counts);
        }
        return report;
    }
    void advance_until(rollout_phase awaited)
    {
        const auto is_reached = [&]
        { return stored && stored->order == order && stored->phase == awaited; };
        while (!is_reached() && age() < 2 * order_time)
            advance();
        cr_assert(is_reached());
    }
};

rollout_record completed_before()
{
    rollout_record record;
    record.service = service;
    record.version = "v1";
    record.old_version = "v0";
    record.order = 20;
    record.phase = rollout_phase::completed;
    record.revision = 30;
    return record;
}

} // namespace

// Guards against endpoints that stop while VMs that lag still send requests to them.
Test(rollout_coordinator, vms_lag_completion_waits_until_deadline_is_imminent)
{
    judging_vm harness;
    harness.advance_until(rollout_phase::ramp);
    harness.others_phase = rollout_phase::ramp;
    harness.advance_until(rollout_phase::completed);
    cr_assert(harness.age() >= order_time * 96 / 100 && harness.age() <= order_time);
}

// Guards against a completion that is held back although all VMs follow.
Test(rollout_coordinator, vms_follow_completion_is_not_held_back)
{
    judging_vm harness;
    harness.advance_until(rollout_phase::completed);
    cr_assert(harness.age() < order_time * 96 / 100);
}

// Guards against VMs that cannot tell which version serves because they missed the last order's
// end.
Test(rollout_coordinator, order_after_a_completed_one_decisions_and_verdicts_name_its_version)
{
    judging_vm harness(completed_before());
    harness.advance_until(rollout_phase::canary);
    cr_assert(harness.stored->old_version == "v1");
    const auto verdict =
        harness.coordinator.on_report(harness.report_of(harness.vms[1]), harness.now);
    cr_assert(verdict && verdict->old_version == "v1");
    harness.advance_until(rollout_phase::ramp);
    cr_assert(harness.stored->old_version == "v1");
}

// Guards against the version of an order that was rolled back being taken for the old one.
Test(rollout_coordinator, order_after_a_rolled_back_one_keeps_the_version_before)
{
    rollout_record before = completed_before();
    before.phase = rollout_phase::rolled_back;
    judging_vm harness(before);
    harness.advance_until(rollout_phase::canary);
    cr_assert(harness.stored->old_version == "v0");
}
