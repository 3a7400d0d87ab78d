// What is served while the platform's table or the other failure domain is away.
#include "callers.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>

using namespace fixture;
using web::json::value;
using zinnianotch::steady_clock;
using zinnianotch::time_point;

namespace
{

constexpr milliseconds outage{15000};
constexpr milliseconds settled_after{5000}; // authority, timeouts and pools have reacted by then
constexpr std::size_t callers = 6;
constexpr std::size_t enough_answers = 40; // shows that the load goes on
// Allocator slack and connections in the middle of a call; growth with the length of the outage or
// the number of requests exceeds these.
constexpr std::uint64_t memory_slack_kb = 16 * 1024;
constexpr std::size_t descriptor_slack = 64;
constexpr std::uint64_t thread_slack = 32;

struct usage
{
    std::uint64_t memory_kb = 0;
    std::uint64_t threads = 0;
    std::size_t descriptors = 0;
};

usage usage_of(const child_process& process)
{
    const std::string folder = "/proc/" + std::to_string(process.pid());
    usage used;
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

// A refused change is certainly not made; one with an unknown outcome says so.
void expect_no_change(const http_result& answer)
{
    cr_assert(answer.status == 503 || answer.status == 504, "%s", answer.body.c_str());
    const value error = answer.json().at("error");
    const std::string expected = answer.status == 503 ? "not_run" : "may_have_run";
    cr_expect(error.at("verdict").as_string() == expected, "%s", answer.body.c_str());
}

std::uint64_t runs_of(const deployment& all, const std::string& order)
{
    std::uint64_t runs = 0;
    for (const std::string id : {"loans-a1", "loans-b1"})
    {
        const value counted = all.endpoints.at(id).counters().at("runs");
        if (counted.has_field("place") && counted.at("place").has_field(order))
            runs += counted.at("place").at(order).as_number().to_uint64();
    }
    return runs;
}

// A stage that is tried at the other domain first takes more than one attempt.
void expect_own_domain_only(const deployment& all, const std::string& vm)
{
    const http_stream_result answer = all.run_pipeline(all.vms.at(vm), "own");
    cr_assert(answer.complete && !answer.lines.empty(), "%s", answer.body.c_str());
    const value end = value::parse(answer.lines.back());
    cr_assert(end.at("type").as_string() == "end", "%s", answer.lines.back().c_str());
    for (const value& stage : end.at("stages").as_array())
        cr_expect_eq(stage.at("attempts").as_integer(), 1, "%s", answer.lines.back().c_str());
}

deployment_options some_work()
{
    deployment_options options;
    options.vms_per_domain = 2;
    options.endpoint_arguments = {"--work-ms", "20", "--token-ms", "5"};
    return options;
}

const std::vector<std::string> all_vms = {"vm-a1", "vm-a2", "vm-b1", "vm-b2"};

// The table goes away as `fault` says, for 15 s under load, and comes back.
void outlast_outage(const std::string& fault, const std::string& recovery)
{
    const deployment all(some_work());
    background_load pipelines(callers, pipeline_requests(all, all_vms));
    background_load services(
        2, [&](std::size_t caller, std::size_t)
        { return call_status_operation(all.vms.at(all_vms[caller % all_vms.size()]).caller_port); });
    cr_assert(pipelines.wait_for_successes(enough_answers), "%s", pipelines.failures().c_str());
    cr_assert(services.wait_for_successes(enough_answers), "%s", services.failures().c_str());

    all.table.control(fault);
    const time_point start = steady_clock::now();
    std::size_t orders = 0;
    const auto refuse_some = [&]
    {
        const auto& vm = all.vms.at(all_vms[orders % all_vms.size()]);
        const std::string order = "during-" + std::to_string(orders++);
        expect_error(all.place_order(vm, order, order), 503, "order_store_unavailable");
        expect_no_change(set_domain_state(all, vm.name, "dom-a", "out"));
    };
    while (steady_clock::now() < start + settled_after)
        refuse_some();
    std::map<std::string, usage> settled;
    for (const auto& [name, vm] : all.vms)
        settled[name] = usage_of(*vm.process);
    const std::size_t answered = pipelines.succeeded();
    const std::size_t called = services.succeeded();
    while (steady_clock::now() < start + outage)
        refuse_some();
    cr_expect_geq(pipelines.succeeded(), answered + enough_answers);
    cr_expect_geq(services.succeeded(), called + enough_answers);
    for (const auto& [name, vm] : all.vms)
    {
        const usage now = usage_of(*vm.process);
        const usage& before = settled[name];
        cr_expect_leq(now.memory_kb, before.memory_kb + memory_slack_kb, "%s", name.c_str());
        cr_expect_leq(now.threads, before.threads + thread_slack, "%s", name.c_str());
        cr_expect_leq(now.descriptors, before.descriptors + descriptor_slack, "%s", name.c_str());
        cr_expect_leq(read_gauge(vm.caller_port, "order_records_pending").value_or(0), orders, "%s",
                      name.c_str());
    }

    all.table.control(recovery);
    for (const auto& [name, vm] : all.vms)
    {
        const std::string order = "after-" + name;
        const auto placed = [&, &vm = vm] { return all.place_order(vm, order, order).status == 200; };
        cr_expect(eventually(placed), "%s", name.c_str());
        cr_expect_eq(runs_of(all, order), 1, "%s", name.c_str());
        const auto settled_all = [&, &vm = vm]
        { return read_gauge(vm.caller_port, "order_records_pending") == 0U; };
        cr_expect(eventually(settled_all), "%s", name.c_str());
    }
    for (std::size_t number = 0; number < orders; ++number)
        cr_expect_eq(runs_of(all, "during-" + std::to_string(number)), 0);
    // Each change that was refused was not made.
    cr_expect(all_have_config_version(all, 1));
    const http_result changed = set_domain_state(all, "vm-b1", "dom-a", "out");
    cr_expect_eq(changed.status, 200, "%s", changed.body.c_str());
    cr_expect(eventually([&] { return all_have_config_version(all, 2); }));
    pipelines.stop();
    services.stop();
    cr_expect(pipelines.failures().empty(), "%s", pipelines.failures().c_str());
    cr_expect(services.failures().empty(), "%s", services.failures().c_str());
}

} // namespace

// Guards against pipelines and idempotent calls that fail with the table, orders that run without
// a record, queues that grow with the outage, and a VM that does not recover.
Test(outage, table_away_for_15_s_serves_pipelines_and_refuses_orders)
{
    outlast_outage(R"({"down":true})", R"({"down":false})");
}

// Guards against a failure domain that depends on the other one for its own requests.
Test(outage, failure_domain_cut_off_serves_its_own)
{
    deployment_options options = some_work();
    options.proxies = true;
    const deployment all(options);
    background_load load(callers, pipeline_requests(all, {"vm-b1", "vm-b2"}));
    cr_assert(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());
    const auto hears_other_domain = [&]
    {
        const value status = all.admin(all.vms.at("vm-b1"), "GET", "/admin/v1/status").json();
        for (const value& peer : status.at("peers").as_array())
            if (peer.at("failure_domain").as_string() == "dom-a" && peer.at("reachable").as_bool())
                return true;
        return false;
    };
    cr_assert(eventually(hears_other_domain));
    // The peers, the endpoints and the table are out of reach.
    for (const std::string name : {"vm-a1", "vm-a2"})
        all.vms.at(name).process->stop();
    for (const auto& [id, proxy] : all.endpoint_proxies)
        if (id.find("-a") != std::string::npos)
            proxy.command("freeze_all");
    all.table_proxies.at("dom-b").command("freeze_all");
    cr_expect(eventually([&] { return !hears_other_domain(); }));
    cr_expect(load.wait_for_successes(3 * enough_answers), "%s", load.failures().c_str());
    load.stop();
    for (int number = 0; number < 20; ++number)
        expect_own_domain_only(all, number % 2 == 0 ? "vm-b1" : "vm-b2");
    expect_error(all.place_order(all.vms.at("vm-b1"), "cut-off", "cut-off"), 503,
                 "order_store_unavailable");
    cr_expect_eq(runs_of(all, "cut-off"), 0);

    background_load again(callers, pipeline_requests(all, {"vm-b1", "vm-b2"}));
    for (const auto& [id, proxy] : all.endpoint_proxies)
        proxy.command("pass");
    all.table_proxies.at("dom-b").command("pass");
    for (const std::string name : {"vm-a1", "vm-a2"})
        all.vms.at(name).process->resume();
    cr_expect(eventually(hears_other_domain));
    cr_expect(again.wait_for_successes(enough_answers), "%s", again.failures().c_str());
    const std::string wrong = call_pipeline(all.vms.at("vm-a1").caller_port, "met again");
    cr_expect(wrong.empty(), "%s", wrong.c_str());
    again.stop();
    cr_expect(load.failures().empty(), "%s", load.failures().c_str());
    cr_expect(again.failures().empty(), "%s", again.failures().c_str());
}
