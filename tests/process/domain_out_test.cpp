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
constexpr std::size_t enough_answers = 40; // shows that the load goes on

deployment_options two_vms_per_domain()
{
    deployment_options options;
    options.vms_per_domain = 2;
    options.endpoint_arguments = {"--work-ms", "20", "--token-ms", "5"};
    return options;
}

// Work that endpoints of dom-b got after the bound that began at `accepted`. The load must go on.
std::uint64_t starts_after_bound(const deployment& all, const background_load& load,
                                 time_point accepted)
{
    wait_until_elapsed(accepted);
    const std::uint64_t before = sum_counter_in_domain(all, "b", "starts");
    cr_assert(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());
    return sum_counter_in_domain(all, "b", "starts") - before;
}

} // namespace

// Guards against new work for a failure domain that is out, work in hand that is cut by the
// change, and endpoints that are overrun when the domain is brought back cold.
Test(domain_out, two_operators_under_load_domain_gets_no_new_work_and_returns_cold)
{
    deployment all(two_vms_per_domain());
    // Streams that last over the change: work in hand.
    all.endpoints.at("generator-b1").restart({"--token-ms", "150"});
    background_load load(callers, pipeline_requests(all, {"vm-a1", "vm-a2", "vm-b1", "vm-b2"}));
    const auto has_streams = [&] { return all.endpoints.at("generator-b1").count("running") > 0; };
    cr_assert(load.wait_for_successes(enough_answers));
    cr_assert(eventually(has_streams));

    http_result first;
    std::thread other_operator([&] { first = set_domain_state(all, "vm-a1", "dom-b", "out"); });
    const http_result second = set_domain_state(all, "vm-b2", "dom-b", "out");
    other_operator.join();
    const time_point accepted = steady_clock::now();
    cr_assert_eq(first.status, 200, "%s", first.body.c_str());
    cr_assert_eq(second.status, 200, "%s", second.body.c_str());
    cr_assert_eq(first.json().at("version").as_integer(), 2);
    cr_assert_eq(second.json().at("version").as_integer(), 2);

    cr_expect_eq(starts_after_bound(all, load, accepted), 0);
    cr_expect(eventually([&] { return sum_counter_in_domain(all, "b", "running") == 0; }));
    cr_expect_eq(sum_counter_in_domain(all, "b", "cancelled"), 0);

    // Back in service with cold endpoints.
    for (auto& [id, endpoint] : all.endpoints)
        if (id.find("-b") != std::string::npos)
            endpoint.control(R"({"phase":"cold"})");
    const std::uint64_t starts = sum_counter_in_domain(all, "b", "starts");
    const http_result back = set_domain_state(all, "vm-b1", "dom-b", "in");
    cr_assert_eq(back.status, 200, "%s", back.body.c_str());
    cr_expect(eventually([&] { return sum_counter_in_domain(all, "b", "starts") >= starts + 20; }));
    cr_expect_eq(sum_counter_in_domain(all, "b", "overruns"), 0);
    for (auto& [id, endpoint] : all.endpoints)
        if (id.find("-b") != std::string::npos)
            endpoint.control(R"({"phase":"warm"})");
    cr_expect(load.wait_for_successes(enough_answers));
    load.stop();
    cr_expect_eq(sum_counter_in_domain(all, "b", "overruns"), 0);
    cr_expect(load.failures().empty(), "%s", load.failures().c_str());
}

// Guards against a change that reaches a VM only through the table: the table goes down right
// after the change was accepted, and a VM that forgot everything starts meanwhile.
Test(domain_out, table_down_after_acceptance_and_vm_restarted_domain_gets_no_new_work)
{
    deployment all(two_vms_per_domain());
    background_load load(callers, pipeline_requests(all, {"vm-a1", "vm-a2", "vm-b2"}));
    cr_assert(load.wait_for_successes(enough_answers));

    const http_result out = set_domain_state(all, "vm-a1", "dom-b", "out");
    const time_point accepted = steady_clock::now();
    all.table.control(R"({"down":true})");
    cr_assert_eq(out.status, 200, "%s", out.body.c_str());
    add_seed_peers(all, "vm-b1", {"vm-b2", "vm-a2"});
    all.vms.at("vm-b1").process->kill();
    all.vms.at("vm-b1").process->wait_exit();
    const auto& restarted = all.start_vm("vm-b1");

    cr_expect_eq(starts_after_bound(all, load, accepted), 0);
    deployment::wait_ready(restarted);
    cr_expect_eq(read_config_version(restarted.caller_port).value_or(0), 2);
    const std::uint64_t before = sum_counter_in_domain(all, "b", "starts");
    for (int number = 0; number < 10; ++number)
    {
        const std::string wrong = call_pipeline(restarted.caller_port, std::to_string(number));
        cr_expect(wrong.empty(), "%s", wrong.c_str());
    }
    cr_expect_eq(sum_counter_in_domain(all, "b", "starts") - before, 0);
    load.stop();
    cr_expect(load.failures().empty(), "%s", load.failures().c_str());
}

// Guards against a VM that goes on with an old configuration because only its own way to the table
// is cut.
Test(domain_out, vm_cut_off_from_table_hears_it_from_a_peer)
{
    deployment_options options = two_vms_per_domain();
    options.start_vms = false;
    deployment all(options);
    const fault_proxy table_of_one(all.table.port());
    replace_in_settings(all, "vm-b1", std::to_string(all.table.port()),
                  std::to_string(table_of_one.port()));
    for (const auto& [name, vm] : all.vms)
        all.start_vm(name);
    for (const auto& [name, vm] : all.vms)
        deployment::wait_ready(vm);
    background_load load(callers, pipeline_requests(all, {"vm-b1"}));
    cr_assert(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());

    table_of_one.command("freeze_all");
    const http_result out = set_domain_state(all, "vm-a1", "dom-b", "out");
    const time_point accepted = steady_clock::now();
    cr_assert_eq(out.status, 200, "%s", out.body.c_str());
    cr_expect_eq(starts_after_bound(all, load, accepted), 0);
    cr_expect_eq(read_config_version(all.vms.at("vm-b1").caller_port).value_or(0), 2);
    load.stop();
    cr_expect(load.failures().empty(), "%s", load.failures().c_str());
}
