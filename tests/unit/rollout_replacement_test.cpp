// Versions of orders that were replaced by another order, on a VM that hears of it late.
#include "state/rollout_gate.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

constexpr milliseconds order_time{10'000};

struct replaced_order
{
    time_point now = time_point{} + std::chrono::hours(1);
    rollout_gate gate{"reading", {0.1, 50.0, milliseconds(5000)}, 7};

    // Version v2 is on its way and v3 replaces it.
    explicit replaced_order(const std::vector<std::string>& versions,
                            rollout_phase phase = rollout_phase::ramp)
    {
        gate.set_endpoints({{"v1-0", "dom-a", "v1", 1}}, now);
        now += order_time;
        gate.set_order(rollout_order{"reading", "v2", order_time, 5}, now);
        gate.on_record(record("v2", 5, phase), now);
        std::vector<rollout_endpoint> endpoints;
        endpoints.reserve(versions.size());
        for (const std::string& version : versions)
            endpoints.push_back({version + "-0", "dom-a", version, 2});
        gate.set_endpoints(endpoints, now);
        now += order_time;
        gate.set_order(rollout_order{"reading", "v3", order_time, 9}, now);
    }

    static rollout_record record(const std::string& version, std::uint64_t order,
                                 rollout_phase phase)
    {
        rollout_record made;
        made.service = "reading";
        made.version = version;
        made.order = order;
        made.phase = phase;
        return made;
    }
    bool may_use(const std::string& endpoint)
    {
        return gate.may_use(rollout_pool::old_version, endpoint, now);
    }
};

} // namespace

// Guards against requests to a version whose order was replaced while another one serves.
Test(rollout_replacement, version_before_is_used_and_the_replaced_one_is_not)
{
    replaced_order harness({"v1", "v2", "v3"});
    cr_assert(harness.may_use("v1-0") && !harness.may_use("v2-0") && !harness.may_use("v3-0"));
}

// Guards against a completed version that gets no requests because its decision is read late.
Test(rollout_replacement, completed_version_is_used_once_its_decision_is_read)
{
    replaced_order harness({"v1", "v2", "v3"});
    harness.gate.on_record(harness.record("v2", 5, rollout_phase::completed), harness.now);
    cr_assert(harness.may_use("v2-0") && !harness.may_use("v1-0") && !harness.may_use("v3-0"));
}

// Guards against requests to stopped endpoints, and none to the version that serves, on a VM that
// never reads how the order before has ended.
Test(rollout_replacement, completed_version_is_used_once_the_next_decision_names_it)
{
    replaced_order harness({"v1", "v2", "v3"});
    rollout_record next = harness.record("v3", 9, rollout_phase::canary);
    next.old_version = "v2";
    harness.gate.on_record(next, harness.now);
    cr_assert(harness.may_use("v2-0") && !harness.may_use("v1-0") && !harness.may_use("v3-0"));
}

// Guards against the same on a VM that hears of the decision from a judge first.
Test(rollout_replacement, completed_version_is_used_once_a_verdict_names_it)
{
    replaced_order harness({"v1", "v2", "v3"});
    rollout_verdict next;
    next.order = 9;
    next.old_version = "v2";
    harness.gate.on_verdict(next, harness.now);
    cr_assert(harness.may_use("v2-0") && !harness.may_use("v1-0") && !harness.may_use("v3-0"));
}

// Guards against requests to a version that was rolled back after it had all requests.
Test(rollout_replacement, version_before_is_used_again_once_the_next_decision_names_it)
{
    replaced_order harness({"v1", "v2", "v3"}, rollout_phase::full);
    rollout_record next = harness.record("v3", 9, rollout_phase::canary);
    next.old_version = "v1";
    harness.gate.on_record(next, harness.now);
    cr_assert(harness.may_use("v1-0") && !harness.may_use("v2-0") && !harness.may_use("v3-0"));
}

// Guards against refusals while the old endpoints have stopped and the decision is not read yet.
Test(rollout_replacement, replaced_version_is_the_last_resort_of_the_old_one_only)
{
    replaced_order harness({"v1", "v2", "v3"});
    cr_assert(harness.gate.last_resort(rollout_pool::old_version) == rollout_pool::replaced);
    cr_assert(harness.gate.last_resort(rollout_pool::candidate) == rollout_pool::none);
    const auto may_use = [&](const char* endpoint)
    { return harness.gate.may_use(rollout_pool::replaced, endpoint, harness.now); };
    cr_assert(may_use("v2-0") && !may_use("v1-0") && !may_use("v3-0"));
    harness.gate.on_record(harness.record("v2", 5, rollout_phase::rolled_back), harness.now);
    cr_assert(harness.gate.last_resort(rollout_pool::old_version) == rollout_pool::none);
    cr_assert_not(may_use("v2-0"));
}

// Guards against a VM without any endpoint because it was away when the version was completed.
Test(rollout_replacement, replaced_version_is_used_if_no_other_is_left)
{
    replaced_order harness({"v2", "v3"});
    cr_assert(harness.may_use("v2-0") && !harness.may_use("v3-0"));
    harness.gate.on_record(harness.record("v2", 5, rollout_phase::rolled_back), harness.now);
    cr_assert_not(harness.may_use("v2-0"));
}

// Guards against requests to endpoints that have stopped with a decision that is read late.
Test(rollout_replacement, version_with_all_requests_keeps_them)
{
    replaced_order harness({"v1", "v2", "v3"}, rollout_phase::full);
    cr_assert(harness.may_use("v2-0") && !harness.may_use("v1-0") && !harness.may_use("v3-0"));
    harness.gate.on_record(harness.record("v2", 5, rollout_phase::rolled_back), harness.now);
    cr_assert(harness.may_use("v1-0") && !harness.may_use("v2-0") && !harness.may_use("v3-0"));
}
