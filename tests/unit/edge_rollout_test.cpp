// Roll-outs of endpoint versions by VMs in this process.
#include "rollout_load.h"

#include <criterion/criterion.h>

using namespace serving;
using zinnianotch::rollout_limits;
using zinnianotch::rollout_phase;

namespace
{

// VMs in this process.
struct local_vms : rollout_scenario
{
    explicit local_vms(std::size_t endpoints) : rollout_scenario(endpoints, milliseconds(9000)) {}

    void start_vms(std::size_t count)
    {
        const std::size_t listed = old.size();
        for (std::size_t i = 0; i < count; ++i)
            load.vms.push_back(address(add_vm()));
        for (std::size_t i = 0; i < count; ++i)
            cr_assert(run_until([&] { return is_ready(i) && vm(i).known_endpoints() >= listed; }));
        load.run_requests(200);
    }
    void expect_completed(const std::vector<fake_endpoint*>& candidates)
    {
        rollout_scenario::expect_completed(candidates);
        load.expect_no_failures();
    }
    void set_bounds(const std::optional<rollout_limits>& bounds)
    {
        limits.rollouts = bounds;
        for (std::size_t i = 0; i < load.vms.size(); ++i)
            vm(i).set_limits(limits);
    }
};

struct rollout_deployment : local_vms
{
    explicit rollout_deployment(std::size_t vm_count = 2, bool has_bounds = true,
                                std::size_t endpoints = 4)
        : local_vms(endpoints)
    {
        if (has_bounds)
            limits.rollouts = rollout_test_limits;
        old = load.add_endpoints("v1", endpoints);
        configure(1);
        start_vms(vm_count);
    }
};

// The service that is moved runs the stage of a route, so the VM that batches it calls it for all
// VMs.
struct stage_rollout : local_vms
{
    stage_rollout() : local_vms(4)
    {
        limits.rollouts = rollout_test_limits;
        load.service = "encoders";
        load.request_of = [](std::size_t, const std::string& attempt) {
            return request_text("POST", "/stream/x", attempt, "Pieces: 2\r\nPiece-Key: k\r\n", "x");
        };
        add_stage();
        for (const char* const id : {"engine-1", "engine-2"})
            add_endpoint("engines", id).event_count = 2;
        old = load.add_endpoints("v1", endpoint_count);
        configure(1);
        start_vms(2);
    }
};

void fail_always(fake_endpoint& endpoint)
{
    endpoint.fails = [](const recorded_request&) { return true; };
}

} // namespace

TestSuite(edge_rollout, .timeout = 120);

// Guards against a good version that is not completed, and requests cut when the old one stops.
Test(edge_rollout, good_version_is_completed_without_a_failure)
{
    rollout_deployment harness;
    harness.expect_completed(harness.order("v2"));
}

// Guards against a version that fails and is kept.
Test(edge_rollout, failing_version_is_rolled_back)
{
    rollout_deployment harness;
    harness.expect_rolled_back(harness.order("v2", fail_always));
}

// Guards against a version that is several times slower and is kept.
Test(edge_rollout, slow_version_is_rolled_back)
{
    rollout_deployment harness;
    harness.expect_rolled_back(harness.order("v2", [](fake_endpoint& endpoint)
                                             { endpoint.processing_time = milliseconds(120); }));
    harness.load.expect_no_failures();
}

// Guards against a route that is not judged because others have more requests.
Test(edge_rollout, version_bad_on_one_route_is_rolled_back)
{
    rollout_deployment harness;
    harness.expect_rolled_back(harness.order("v2",
                                             [](fake_endpoint& endpoint) {
                                                 endpoint.fails =
                                                     [](const recorded_request& request)
                                                 { return request.method == "POST"; };
                                             }));
}

// Guards against a bad version that keeps its share while the store is down: its only canary may
// be a faulty endpoint, and to try another one takes a decision in the store.
Test(edge_rollout, store_down_bad_version_with_a_single_canary_loses_its_requests)
{
    rollout_deployment harness(3);
    bool is_bad = false;
    const auto candidates = harness.order_failing_once("v2", is_bad);
    cr_assert(harness.is_exposed(candidates));
    harness.store.refuse_status = 503;
    is_bad = true;
    const auto is_idle = [&]
    {
        const std::size_t received = harness.load.received(candidates);
        harness.load.run_requests(200);
        return harness.load.received(candidates) == received;
    };
    cr_assert(is_idle() || is_idle() || is_idle() || is_idle() || is_idle());
    harness.store.refuse_status = 0;
    harness.expect_rolled_back(candidates);
}

// Guards against a bad version that keeps its requests while the store is down.
Test(edge_rollout, store_down_bad_version_loses_its_requests)
{
    rollout_deployment harness(3, true, 24);
    bool is_bad = false;
    const auto candidates = harness.order_failing_once("v2", is_bad);
    cr_assert(harness.is_exposed(candidates));
    harness.store.refuse_status = 503;
    is_bad = true;
    const auto rolled_back = [&](std::size_t vm)
    { return harness.vm(vm).phase_of(rollout_service) == rollout_phase::rolled_back; };
    cr_assert(
        harness.load.run_until([&] { return rolled_back(0) && rolled_back(1) && rolled_back(2); }));
    cr_assert(harness.rollout_state(rollout_service) == "running");
    const std::size_t received = harness.load.received(candidates);
    harness.load.run_requests(200);
    cr_assert(harness.load.received(candidates) == received);
    harness.store.refuse_status = 0;
    harness.expect_rolled_back(candidates);
}

// Guards against a decision that is written twice because its answer was lost.
Test(edge_rollout, lost_answers_of_the_store_good_version_is_completed)
{
    rollout_deployment harness;
    harness.store.lost_write_answers = 3;
    harness.expect_completed(harness.order("v2"));
    cr_assert(harness.store.lost_write_answers == 0);
}

// Guards against a write that takes effect after a later decision was written.
Test(edge_rollout, write_that_takes_effect_late_undoes_nothing)
{
    rollout_deployment harness(3);
    harness.store.next_write_delay = milliseconds(4000);
    const auto candidates = harness.order("v2");
    harness.expect_completed(candidates);
    cr_assert(harness.load.run_until([&] { return harness.store.conflicts > 0; }));
    harness.load.expect_status_never_goes_back();
}

// Guards against a roll-out that ends with the VM that judges it.
Test(edge_rollout, judging_vm_is_killed_good_version_is_completed)
{
    rollout_deployment harness(3);
    const auto candidates = harness.order("v2");
    cr_assert(harness.is_exposed(candidates));
    const std::string first =
        zinnianotch::rollout_judges(rollout_service, {"vm-0", "vm-1", "vm-2"}).front();
    const auto killed = static_cast<std::size_t>(first.back() - '0');
    const std::string address = harness.load.vms[killed];
    std::erase(harness.load.vms, address);
    const std::size_t failures = harness.load.failures.size();
    harness.kill_vm(killed);
    harness.load.run_requests(20);
    harness.load.failures.clear(); // of requests at the killed VM
    cr_assert(failures == 0);
    harness.expect_completed(candidates);
}

// Guards against an order that goes on beside the one that has replaced it.
Test(edge_rollout, replaced_order_its_version_gets_nothing_more)
{
    rollout_deployment harness;
    const auto first = harness.order("v2");
    cr_assert(harness.is_exposed(first));
    const auto second = harness.order("v3");
    cr_assert(harness.load.run_until(
        [&]
        {
            const auto status = harness.store.get("status", "rollout/plain");
            return !status.is_null() && status.at("to").as_string() == "v3";
        }));
    harness.load.run_requests(50);
    const std::size_t received = harness.load.received(first);
    harness.expect_completed(second);
    cr_assert(harness.load.received(first) == received);
}

// Guards against a completed version that is taken for a replaced one because the next order is
// heard of before the decision.
Test(edge_rollout, order_follows_a_completed_one_at_once)
{
    rollout_deployment harness(3);
    const auto first = harness.order("v2");
    cr_assert(harness.load.run_until_state("completed", harness.old));
    harness.old = first;
    harness.expect_completed(harness.order("v3"));
}

// Guards against a VM that does not know of the roll-out that it starts in.
Test(edge_rollout, vm_starts_in_the_middle_follows_the_decision)
{
    rollout_deployment harness;
    bool is_bad = false;
    const auto candidates = harness.order_failing_once("v2", is_bad);
    cr_assert(harness.is_exposed(candidates));
    const std::size_t during = harness.add_vm();
    is_bad = true;
    harness.expect_rolled_back(candidates);
    const std::size_t after = harness.add_vm();
    for (const std::size_t vm : {during, after})
    {
        cr_assert(harness.load.run_until([&] { return harness.is_ready(vm); }));
        harness.load.vms.push_back(harness.address(vm));
    }
    const std::size_t received = harness.load.received(candidates);
    harness.load.run_requests(200);
    cr_assert(harness.load.received(candidates) == received);
}

// Guards against a status that stays behind in a store that came back from an older copy.
Test(edge_rollout, store_restored_completed_is_written_again)
{
    rollout_deployment harness;
    const auto candidates = harness.order("v2");
    cr_assert(harness.is_exposed(candidates));
    harness.store.save_copy();
    harness.expect_completed(candidates);
    const std::size_t received = harness.load.received(harness.old);
    harness.store.restore_copy();
    cr_assert(harness.rollout_state(rollout_service) == "running");
    cr_assert(harness.load.run_until_state("completed"));
    harness.load.run_requests(100);
    cr_assert(harness.load.received(harness.old) == received);
}

// Guards against requests that are cut because the settings change on the way.
Test(edge_rollout, bounds_removed_on_the_way_good_version_is_completed)
{
    rollout_deployment harness;
    const auto candidates = harness.order("v2");
    cr_assert(harness.is_exposed(candidates));
    harness.set_bounds(std::nullopt);
    harness.expect_completed(candidates);
    cr_assert(harness.load.run_until(
        [&] { return !harness.vm(0).phase_of(rollout_service).has_value(); }));
    harness.load.run_requests(100);
    harness.load.expect_no_failures();
}

// Guards against a bad version that gets requests again because the bounds are gone.
Test(edge_rollout, bounds_removed_on_the_way_bad_version_is_rolled_back)
{
    rollout_deployment harness;
    bool is_bad = false;
    const auto candidates = harness.order_failing_once("v2", is_bad);
    cr_assert(harness.is_exposed(candidates));
    harness.set_bounds(std::nullopt);
    is_bad = true;
    harness.expect_rolled_back(candidates);
}

// Guards against roll-outs where the settings have no bounds for them.
Test(edge_rollout, without_bounds_orders_have_no_effect)
{
    rollout_deployment harness(2, false);
    const auto candidates = harness.order("v2");
    cr_assert(harness.load.run_until([&] { return harness.load.received(candidates) > 200; }));
    harness.load.expect_no_failures();
    cr_assert(harness.rollout_state(rollout_service).empty());
    cr_assert_not(harness.vm(0).phase_of(rollout_service).has_value());
}

// Guards against a stage whose version is not moved, or whose pieces are lost with the old one.
Test(edge_rollout, good_version_of_a_stage_is_completed_without_a_failure)
{
    stage_rollout harness;
    harness.expect_completed(harness.order("v2"));
}

// Guards against a stage that is not judged by the pieces that fail.
Test(edge_rollout, failing_version_of_a_stage_is_rolled_back)
{
    stage_rollout harness;
    harness.expect_rolled_back(harness.order("v2", [](fake_endpoint& endpoint)
                                             { endpoint.piece_failure_reason = "error"; }));
}

// Guards against a stage that is not judged by the time of its calls.
Test(edge_rollout, slow_version_of_a_stage_is_rolled_back)
{
    stage_rollout harness;
    harness.expect_rolled_back(harness.order("v2", [](fake_endpoint& endpoint)
                                             { endpoint.processing_time = milliseconds(150); }));
}
