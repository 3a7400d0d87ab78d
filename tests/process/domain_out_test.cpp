// Invariant 3: a failure domain that operators have taken out of service receives no new work
// after a few seconds.
#include "callers.h"

#include <criterion/criterion.h>

#include <thread>

using namespace fixture;
using zinnianotch::steady_clock;
using zinnianotch::time_point;

namespace
{

constexpr std::size_t callers = 8;
constexpr std::size_t enough_answers = 40; // shows that requests are still being answered

deployment_options two_vms_per_domain()
{
    deployment_options options;
    options.vms_per_domain = 2;
    options.endpoint_arguments = {"--work-ms", "20", "--token-ms", "5"};
    return options;
}

// Number of requests that endpoints of dom-b started later than the bound after `accepted`. Fails
// if the load is no longer answered.
std::uint64_t starts_after_bound(const deployment& cluster, const background_load& load,
                                 time_point accepted)
{
    wait_until_elapsed(accepted);
    const std::uint64_t before = sum_counter_in_domain(cluster, "b", "starts");
    cr_assert(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());
    return sum_counter_in_domain(cluster, "b", "starts") - before;
}

} // namespace

// Guards against new work for a failure domain that is out of service, requests in progress that
// the change interrupts, and endpoints that are overrun when the domain returns with cold
// endpoints.
Test(domain_out, two_operators_under_load_domain_gets_no_new_work_and_returns_cold)
{
    deployment cluster(two_vms_per_domain());
    // Streams long enough to be in progress during the change.
    cluster.endpoints.at("generator-b1").restart({"--token-ms", "150"});
    background_load load(callers, pipeline_requests(cluster, {"vm-a1", "vm-a2", "vm-b1", "vm-b2"}));
    const auto has_streams = [&]
    { return cluster.endpoints.at("generator-b1").count("running") > 0; };
    cr_assert(load.wait_for_successes(enough_answers));
    cr_assert(eventually(has_streams));

    http_result first;
    std::thread other_operator([&] { first = set_domain_state(cluster, "vm-a1", "dom-b", "out"); });
    const http_result second = set_domain_state(cluster, "vm-b2", "dom-b", "out");
    other_operator.join();
    const time_point accepted = steady_clock::now();
    cr_assert_eq(first.status, 200, "%s", first.body.c_str());
    cr_assert_eq(second.status, 200, "%s", second.body.c_str());
    cr_assert_eq(first.json().at("version").as_integer(), 2);
    cr_assert_eq(second.json().at("version").as_integer(), 2);

    cr_expect_eq(starts_after_bound(cluster, load, accepted), 0);
    cr_expect(eventually([&] { return sum_counter_in_domain(cluster, "b", "running") == 0; }));
    cr_expect_eq(sum_counter_in_domain(cluster, "b", "cancelled"), 0);

    // The domain returns to service with cold endpoints.
    for (auto& [id, endpoint] : cluster.endpoints)
        if (id.find("-b") != std::string::npos)
            endpoint.control(R"({"phase":"cold"})");
    const std::uint64_t starts = sum_counter_in_domain(cluster, "b", "starts");
    const http_result back = set_domain_state(cluster, "vm-b1", "dom-b", "in");
    cr_assert_eq(back.status, 200, "%s", back.body.c_str());
    cr_expect(
        eventually([&] { return sum_counter_in_domain(cluster, "b", "starts") >= starts + 20; }));
    cr_expect_eq(sum_counter_in_domain(cluster, "b", "overruns"), 0);
    for (auto& [id, endpoint] : cluster.endpoints)
        if (id.find("-b") != std::string::npos)
            endpoint.control(R"({"phase":"warm"})");
    cr_expect(load.wait_for_successes(enough_answers));
    load.stop();
    cr_expect_eq(sum_counter_in_domain(cluster, "b", "overruns"), 0);
    cr_expect(load.failures().empty(), "%s", load.failures().c_str());
}

// Guards against a change that reaches VMs only through the table: the table goes down right after
// the change was accepted, and then a VM restarts without any state.
Test(domain_out, table_down_after_acceptance_and_vm_restarted_domain_gets_no_new_work)
{
    deployment cluster(two_vms_per_domain());
    background_load load(callers, pipeline_requests(cluster, {"vm-a1", "vm-a2", "vm-b2"}));
    cr_assert(load.wait_for_successes(enough_answers));

    const http_result out = set_domain_state(cluster, "vm-a1", "dom-b", "out");
    const time_point accepted = steady_clock::now();
    cluster.table.control(R"({"down":true})");
    cr_assert_eq(out.status, 200, "%s", out.body.c_str());
    add_seed_peers(cluster, "vm-b1", {"vm-b2", "vm-a2"});
    cluster.vms.at("vm-b1").process->kill();
    cluster.vms.at("vm-b1").process->wait_exit();
    const auto& restarted = cluster.start_vm("vm-b1");

    cr_expect_eq(starts_after_bound(cluster, load, accepted), 0);
    deployment::wait_ready(restarted);
    cr_expect_eq(read_config_version(restarted.caller_port).value_or(0), 2);
    const std::uint64_t before = sum_counter_in_domain(cluster, "b", "starts");
    for (int number = 0; number < 10; ++number)
    {
        const std::string error = call_pipeline(restarted.caller_port, std::to_string(number));
        cr_expect(error.empty(), "%s", error.c_str());
    }
    cr_expect_eq(sum_counter_in_domain(cluster, "b", "starts") - before, 0);
    load.stop();
    cr_expect(load.failures().empty(), "%s", load.failures().c_str());
}

// Guards against a VM that continues with an old configuration because only its own connection to
// the table is down.
Test(domain_out, vm_cut_off_from_table_learns_change_from_a_peer)
{
    deployment_options options = two_vms_per_domain();
    options.start_vms = false;
    deployment cluster(options);
    const fault_proxy vm_table_proxy(cluster.table.port());
    replace_in_settings(cluster, "vm-b1", std::to_string(cluster.table.port()),
                        std::to_string(vm_table_proxy.port()));
    for (const auto& [name, vm] : cluster.vms)
        cluster.start_vm(name);
    for (const auto& [name, vm] : cluster.vms)
        deployment::wait_ready(vm);
    background_load load(callers, pipeline_requests(cluster, {"vm-b1"}));
    cr_assert(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());

    vm_table_proxy.command("freeze_all");
    const http_result out = set_domain_state(cluster, "vm-a1", "dom-b", "out");
    const time_point accepted = steady_clock::now();
    cr_assert_eq(out.status, 200, "%s", out.body.c_str());
    cr_expect_eq(starts_after_bound(cluster, load, accepted), 0);
    cr_expect_eq(read_config_version(cluster.vms.at("vm-b1").caller_port).value_or(0), 2);
    load.stop();
    cr_expect(load.failures().empty(), "%s", load.failures().c_str());
}
