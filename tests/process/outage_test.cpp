// Requests served while the platform's table or the other failure domain is unreachable.
#include "callers.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <future>

using namespace fixture;
using web::json::value;
using zinnianotch::steady_clock;
using zinnianotch::time_point;

namespace
{

constexpr milliseconds outage{15000};
constexpr milliseconds settle_time{5000}; // by then authority, time-outs and pools have reacted
constexpr milliseconds planned_owner_change{1500}; // takes less, unlike one after a failure
constexpr std::size_t callers = 6;
constexpr std::size_t enough_answers = 40; // shows that requests are still being answered
// Allowance for the allocator and for connections in use. Growth with the duration of the outage or
// with the number of requests exceeds these.
constexpr std::uint64_t memory_slack_kb = 16 * 1024;
constexpr std::size_t descriptor_slack = 64;
constexpr std::uint64_t thread_slack = 32;

struct resource_usage
{
    std::uint64_t memory_kb = 0;
    std::uint64_t threads = 0;
    std::size_t descriptors = 0;
};

resource_usage read_usage(const child_process& process)
{
    const std::string folder = "/proc/" + std::to_string(process.pid());
    resource_usage used;
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with("VmRSS:"))
            used.memory_kb = std::stoull(line.substr(6));
        if (line.starts_with("Threads:"))
            used.threads = std::stoull(line.substr(8));
    }
    const auto descriptors = std::filesystem::directory_iterator(folder + "/fd");
    used.descriptors = static_cast<std::size_t>(std::distance(begin(descriptors), {}));
    return used;
}

void expect_error(const http_result& answer, int status, const std::string& reason)
{
    cr_assert_eq(answer.status, status, "%s", answer.body.c_str());
    const value error = answer.json().at("error");
    cr_expect(error.at("reason").as_string() == reason, "%s", answer.body.c_str());
    cr_expect(error.at("verdict").as_string() == "not_run", "%s", answer.body.c_str());
}

// A refused change (503) must report not_run, one with an unknown outcome (504) may_have_run.
void expect_change_failed(const http_result& answer)
{
    cr_assert(answer.status == 503 || answer.status == 504, "%s", answer.body.c_str());
    const value error = answer.json().at("error");
    const std::string expected = answer.status == 503 ? "not_run" : "may_have_run";
    cr_expect(error.at("verdict").as_string() == expected, "%s", answer.body.c_str());
}

std::uint64_t run_count(const deployment& cluster, const std::string& order)
{
    std::uint64_t runs = 0;
    for (const std::string id : {"loans-a1", "loans-b1"})
    {
        const value runs_by_operation = cluster.endpoints.at(id).counters().at("runs");
        if (runs_by_operation.has_field("place") && runs_by_operation.at("place").has_field(order))
            runs += runs_by_operation.at("place").at(order).as_number().to_uint64();
    }
    return runs;
}

// A stage that is sent to the unreachable domain first needs more than one attempt.
void expect_own_domain_only(const deployment& cluster, const std::string& vm)
{
    const http_stream_result answer = cluster.run_pipeline(cluster.vms.at(vm), "own");
    cr_assert(answer.complete && !answer.lines.empty(), "%s", answer.body.c_str());
    const value end = value::parse(answer.lines.back());
    cr_assert(end.at("type").as_string() == "end", "%s", answer.lines.back().c_str());
    for (const value& stage : end.at("stages").as_array())
        cr_expect_eq(stage.at("attempts").as_integer(), 1, "%s", answer.lines.back().c_str());
}

deployment_options short_stage_options()
{
    deployment_options options;
    options.vms_per_domain = 2;
    options.endpoint_arguments = {"--work-ms", "20", "--token-ms", "5"};
    return options;
}

const std::vector<std::string> all_vms = {"vm-a1", "vm-a2", "vm-b1", "vm-b2"};

// Injects `fault` into the table for 15 s under load, ends it with `recovery`, and checks what was
// served, refused and accumulated meanwhile.
void check_table_outage(const std::string& fault, const std::string& recovery)
{
    const deployment cluster(short_stage_options());
    background_load pipelines(callers, pipeline_requests(cluster, all_vms));
    background_load services(2,
                             [&](std::size_t caller, std::size_t) {
                                 return call_status_operation(
                                     cluster.vms.at(all_vms[caller % all_vms.size()]).caller_port);
                             });
    cr_assert(pipelines.wait_for_successes(enough_answers), "%s", pipelines.failures().c_str());
    cr_assert(services.wait_for_successes(enough_answers), "%s", services.failures().c_str());

    cluster.table.control(fault);
    const time_point start = steady_clock::now();
    std::size_t orders = 0;
    const auto expect_refusals = [&]
    {
        const auto& vm = cluster.vms.at(all_vms[orders % all_vms.size()]);
        const std::string order = "during-" + std::to_string(orders++);
        expect_error(cluster.place_order(vm, order, order), 503, "order_store_unavailable");
        expect_change_failed(set_domain_state(cluster, vm.name, "dom-a", "out"));
    };
    while (steady_clock::now() < start + settle_time)
        expect_refusals();
    std::map<std::string, resource_usage> settled;
    for (const auto& [name, vm] : cluster.vms)
        settled[name] = read_usage(*vm.process);
    const std::size_t pipelines_at_settle = pipelines.succeeded();
    const std::size_t services_at_settle = services.succeeded();
    while (steady_clock::now() < start + outage)
        expect_refusals();
    cr_expect_geq(pipelines.succeeded(), pipelines_at_settle + enough_answers);
    cr_expect_geq(services.succeeded(), services_at_settle + enough_answers);
    for (const auto& [name, vm] : cluster.vms)
    {
        const resource_usage now = read_usage(*vm.process);
        const resource_usage& before = settled[name];
        cr_expect_leq(now.memory_kb, before.memory_kb + memory_slack_kb, "%s", name.c_str());
        cr_expect_leq(now.threads, before.threads + thread_slack, "%s", name.c_str());
        cr_expect_leq(now.descriptors, before.descriptors + descriptor_slack, "%s", name.c_str());
        cr_expect_leq(read_gauge(vm.caller_port, "order_records_pending").value_or(0), orders, "%s",
                      name.c_str());
    }

    cluster.table.control(recovery);
    for (const auto& [name, vm] : cluster.vms)
    {
        const std::string order = "after-" + name;
        const auto placed = [&, &vm = vm]
        { return cluster.place_order(vm, order, order).status == 200; };
        cr_expect(eventually(placed), "%s", name.c_str());
        cr_expect_eq(run_count(cluster, order), 1, "%s", name.c_str());
        const auto no_records_pending = [&, &vm = vm]
        { return read_gauge(vm.caller_port, "order_records_pending") == 0U; };
        cr_expect(eventually(no_records_pending), "%s", name.c_str());
    }
    for (std::size_t number = 0; number < orders; ++number)
        cr_expect_eq(run_count(cluster, "during-" + std::to_string(number)), 0);
    // No refused change took effect.
    cr_expect(all_have_config_version(cluster, 1));
    const http_result changed = set_domain_state(cluster, "vm-b1", "dom-a", "out");
    cr_expect_eq(changed.status, 200, "%s", changed.body.c_str());
    cr_expect(eventually([&] { return all_have_config_version(cluster, 2); }));
    pipelines.stop();
    services.stop();
    cr_expect(pipelines.failures().empty(), "%s", pipelines.failures().c_str());
    cr_expect(services.failures().empty(), "%s", services.failures().c_str());
}

} // namespace

// Guards against pipelines and idempotent calls that fail together with the table, orders that run
// without a record, queues that grow during the outage, and a VM that does not recover.
Test(outage, table_down_for_15_s_serves_pipelines_and_refuses_orders)
{
    check_table_outage(R"({"down":true})", R"({"down":false})");
}

// Guards against a failure domain that needs the other one to serve its own requests.
Test(outage, failure_domain_isolated_serves_its_own_requests)
{
    deployment_options options = short_stage_options();
    options.proxies = true;
    const deployment cluster(options);
    background_load load(callers, pipeline_requests(cluster, {"vm-b1", "vm-b2"}));
    cr_assert(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());
    const auto sees_other_domain = [&]
    {
        const value status =
            cluster.admin(cluster.vms.at("vm-b1"), "GET", "/admin/v1/status").json();
        for (const value& peer : status.at("peers").as_array())
            if (peer.at("failure_domain").as_string() == "dom-a" && peer.at("reachable").as_bool())
                return true;
        return false;
    };
    cr_assert(eventually(sees_other_domain));
    // Makes the VMs and endpoints of dom-a, and the table, unreachable for dom-b.
    for (const std::string name : {"vm-a1", "vm-a2"})
        cluster.vms.at(name).process->stop();
    for (const auto& [id, proxy] : cluster.endpoint_proxies)
        if (id.find("-a") != std::string::npos)
            proxy.command("freeze_all");
    cluster.table_proxies.at("dom-b").command("freeze_all");
    cr_expect(eventually([&] { return !sees_other_domain(); }));
    cr_expect(load.wait_for_successes(3 * enough_answers), "%s", load.failures().c_str());
    load.stop();
    for (int number = 0; number < 20; ++number)
        expect_own_domain_only(cluster, number % 2 == 0 ? "vm-b1" : "vm-b2");
    expect_error(cluster.place_order(cluster.vms.at("vm-b1"), "isolated", "isolated"), 503,
                 "order_store_unavailable");
    cr_expect_eq(run_count(cluster, "isolated"), 0);

    background_load load_during_recovery(callers, pipeline_requests(cluster, {"vm-b1", "vm-b2"}));
    for (const auto& [id, proxy] : cluster.endpoint_proxies)
        proxy.command("pass");
    cluster.table_proxies.at("dom-b").command("pass");
    for (const std::string name : {"vm-a1", "vm-a2"})
        cluster.vms.at(name).process->resume();
    cr_expect(eventually(sees_other_domain));
    cr_expect(load_during_recovery.wait_for_successes(enough_answers), "%s",
              load_during_recovery.failures().c_str());
    const std::string error = call_pipeline(cluster.vms.at("vm-a1").caller_port, "after recovery");
    cr_expect(error.empty(), "%s", error.c_str());
    load_during_recovery.stop();
    cr_expect(load.failures().empty(), "%s", load.failures().c_str());
    cr_expect(load_during_recovery.failures().empty(), "%s",
              load_during_recovery.failures().c_str());
}

// Guards against a request that uses up the retries of its pool while no live VM is known that
// reaches its endpoints: the owner here was killed, and the other failure domain has been silent.
Test(outage, owner_gone_and_other_domain_silent_request_waits_for_its_return)
{
    deployment_options options;
    options.vms_per_domain = 2;
    deployment cluster(options);
    const deployment::vm& asked = cluster.vms.at("vm-a1");
    const auto reachable_peers = [&]
    {
        const value status = cluster.admin(asked, "GET", "/admin/v1/status").json();
        const auto& peers = status.at("peers").as_array();
        return std::count_if(peers.begin(), peers.end(),
                             [](const value& peer) { return peer.at("reachable").as_bool(); });
    };
    // The other VM of the domain, and a partner in the other one.
    cr_assert(eventually([&] { return reachable_peers() >= 2; }));
    cluster.table.control(R"({"down":true})");
    cluster.vms.at("vm-a2").process->kill();
    for (const char* const name : {"vm-b1", "vm-b2"})
        cluster.vms.at(name).process->stop();
    cr_assert(eventually([&] { return reachable_peers() == 0; }));
    std::future<std::string> call =
        std::async(std::launch::async, [&] { return call_pipeline(asked.caller_port, "waits"); });
    const time_point sent = steady_clock::now();
    cr_assert(eventually(
        [&]
        {
            return steady_clock::now() - sent > planned_owner_change ||
                   call.wait_for(milliseconds(0)) == std::future_status::ready;
        }));
    for (const char* const name : {"vm-b1", "vm-b2"})
        cluster.vms.at(name).process->resume();
    const std::string error = call.get();
    cr_assert(error.empty(), "%s", error.c_str());
}
