// Invariant 8: a planned stop interrupts no request.
#include "callers.h"

#include <criterion/criterion.h>

#include <csignal>

using namespace fixture;
using web::json::value;

namespace
{

constexpr std::size_t callers = 6;
constexpr std::size_t enough_answers = 12; // shows that requests are still being answered

deployment_options slow_stream_options()
{
    deployment_options options;
    options.vms_per_domain = 2;
    options.endpoint_arguments = {"--work-ms", "20", "--token-ms", "40"};
    return options;
}

// Callers with keep-alive connections. Their first VMs are spread over `vms`.
background_load::request_function keep_alive_load(const deployment& cluster,
                                                  const std::vector<std::string>& vms)
{
    auto keep_alive_callers = std::make_shared<std::vector<std::unique_ptr<keep_alive_caller>>>();
    for (std::size_t caller = 0; caller < callers; ++caller)
    {
        std::vector<std::uint16_t> ports;
        for (std::size_t i = 0; i < vms.size(); ++i)
            ports.push_back(cluster.vms.at(vms[(caller + i) % vms.size()]).caller_port);
        keep_alive_callers->push_back(std::make_unique<keep_alive_caller>(std::move(ports)));
    }
    return [keep_alive_callers](std::size_t caller, std::size_t number)
    {
        return (*keep_alive_callers)[caller]->call("pennant " + std::to_string(caller) + '.' +
                                                   std::to_string(number));
    };
}

void expect_clean_exit(deployment& cluster, const std::string& name)
{
    auto& process = *cluster.vms.at(name).process;
    const std::optional<int> code = process.wait_exit();
    cr_expect(code.has_value(), "%s did not exit", name.c_str());
    cr_expect_eq(code.value_or(-1), 0, "%s: %s", name.c_str(), process.output().c_str());
}

// Work dropped by a stopping VM would be repeated by the others and so be invisible to callers; the
// endpoints count it as cancelled.
void expect_nothing_cancelled(const deployment& cluster)
{
    for (const std::string letter : {"a", "b"})
        cr_expect_eq(sum_counter_in_domain(cluster, letter, "cancelled"), 0, "dom-%s",
                     letter.c_str());
}

std::vector<std::string> members_seen_by(const deployment& cluster, const std::string& name)
{
    const value status = cluster.admin(cluster.vms.at(name), "GET", "/admin/v1/status").json();
    std::vector<std::string> names;
    for (const value& member : status.at("view").at("members").as_array())
        names.push_back(member.as_string());
    return names;
}

} // namespace

// Guards against requests that are interrupted or refused while a VM hands over its endpoints, and
// while the last VM of a failure domain stops.
Test(planned_stop, vms_of_a_domain_one_after_the_other_interrupt_no_request)
{
    deployment cluster(slow_stream_options());
    background_load other_vms_load(callers, pipeline_requests(cluster, {"vm-b1", "vm-b2"}));
    background_load keep_alive(callers,
                               keep_alive_load(cluster, {"vm-a1", "vm-a2", "vm-b1", "vm-b2"}));
    cr_assert(keep_alive.wait_for_successes(enough_answers));
    for (const std::string name : {"vm-a1", "vm-a2"})
    {
        cluster.vms.at(name).process->signal(SIGTERM);
        expect_clean_exit(cluster, name);
        cr_expect(keep_alive.wait_for_successes(enough_answers), "%s",
                  keep_alive.failures().c_str());
        cr_expect(other_vms_load.wait_for_successes(enough_answers), "%s",
                  other_vms_load.failures().c_str());
    }
    keep_alive.stop();
    other_vms_load.stop();
    cr_expect(keep_alive.failures().empty(), "keep-alive: %s", keep_alive.failures().c_str());
    cr_expect(other_vms_load.failures().empty(), "other VMs: %s",
              other_vms_load.failures().c_str());
    expect_nothing_cancelled(cluster);
}

// Guards against a VM that does not rejoin after a rolling restart, or interrupts requests when it
// does.
Test(planned_stop, rolling_restart_over_all_vms_interrupts_no_request)
{
    deployment cluster(slow_stream_options());
    for (const std::string name : {"vm-a1", "vm-b1"})
    {
        std::vector<std::string> other_vms = {"vm-a1", "vm-a2", "vm-b1", "vm-b2"};
        std::erase(other_vms, name);
        background_load load(callers, pipeline_requests(cluster, other_vms));
        cr_assert(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());
        cluster.vms.at(name).process->signal(SIGTERM);
        expect_clean_exit(cluster, name);
        deployment::wait_ready(cluster.start_vm(name));
        cr_expect(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());
        load.stop();
        cr_expect(load.failures().empty(), "%s: %s", name.c_str(), load.failures().c_str());
    }
    expect_nothing_cancelled(cluster);
}

// Guards against a second signal that interrupts the requests in progress, and against closing an
// idle keep-alive connection while the VM still runs.
Test(planned_stop, second_signal_skips_only_the_balancer_grace)
{
    deployment_options options = slow_stream_options();
    options.start_vms = false;
    options.endpoint_arguments = {"--work-ms", "20", "--token-ms", "200"};
    deployment cluster(options);
    // Longer than the test waits for the process to exit.
    replace_in_settings(cluster, "vm-a1", "balancer_grace_ms: 0", "balancer_grace_ms: 60000");
    for (const auto& [name, vm] : cluster.vms)
        cluster.start_vm(name);
    for (const auto& [name, vm] : cluster.vms)
        deployment::wait_ready(vm);
    auto& stopping = cluster.vms.at("vm-a1");
    keep_alive_connection streaming(stopping.caller_port);
    keep_alive_connection idle(stopping.caller_port);
    cr_assert(streaming.send("in progress"));
    // A VM that has just started may still use endpoints of the other failure domain.
    const auto has_stream = [&]
    {
        return sum_counter_in_domain(cluster, "a", "running") +
                   sum_counter_in_domain(cluster, "b", "running") >
               0;
    };
    cr_assert(eventually(has_stream));

    stopping.process->signal(SIGTERM);
    stopping.process->wait_for_line("event=draining");
    cr_expect_eq(send_http(stopping.caller_port, "GET", "/readyz").status, 503);
    cr_assert(idle.send("after the signal"));
    const keep_alive_connection::response idle_answer = idle.receive();
    const std::string idle_error = check_pipeline_response(
        idle_answer.status, idle_answer.body, idle_answer.complete, "after the signal");
    cr_expect(idle_error.empty(), "%s", idle_error.c_str());
    cr_expect(idle_answer.connection_close);
    const keep_alive_connection::response streaming_answer = streaming.receive();
    const std::string streaming_error = check_pipeline_response(
        streaming_answer.status, streaming_answer.body, streaming_answer.complete, "in progress");
    cr_expect(streaming_error.empty(), "%s", streaming_error.c_str());

    keep_alive_connection last(stopping.caller_port);
    cr_assert(last.send("before the second signal"));
    cr_assert(eventually(has_stream));
    stopping.process->signal(SIGTERM);
    stopping.process->wait_for_line("event=second_signal");
    stopping.process->signal(SIGTERM);
    const keep_alive_connection::response last_answer = last.receive();
    const std::string last_error = check_pipeline_response(
        last_answer.status, last_answer.body, last_answer.complete, "before the second signal");
    cr_expect(last_error.empty(), "%s", last_error.c_str());
    expect_clean_exit(cluster, "vm-a1");
}

// Guards against a VM that never stops while new requests keep arriving, so that its supervisor
// kills it with requests in progress.
Test(planned_stop, callers_keep_sending_vm_refuses_new_requests_and_exits)
{
    deployment_options options = slow_stream_options();
    options.start_vms = false;
    deployment cluster(options);
    replace_in_settings(cluster, "vm-a1", "balancer_grace_ms: 0",
                        "balancer_grace_ms: 0\nstop_accept_ms: 500");
    for (const auto& [name, vm] : cluster.vms)
        cluster.start_vm(name);
    for (const auto& [name, vm] : cluster.vms)
        deployment::wait_ready(vm);
    auto& stopping = cluster.vms.at("vm-a1");
    const std::uint16_t port = stopping.caller_port;
    std::atomic<std::size_t> refused{0};
    const auto request_on_new_connection = [&](std::size_t caller, std::size_t number)
    {
        const std::string input = std::to_string(caller) + '.' + std::to_string(number);
        keep_alive_connection connection(port);
        if (!connection.is_open())
            return std::string(); // not accepted, so certainly not run
        if (!connection.send(input))
            return std::string("the request could not be sent");
        const keep_alive_connection::response answer = connection.receive();
        if (answer.status != 503)
            return check_pipeline_response(answer.status, answer.body, answer.complete, input);
        const value error = value::parse(answer.body).at("error");
        if (!answer.connection_close || error.at("reason").as_string() != "draining" ||
            error.at("verdict").as_string() != "not_run")
            return "refused as " + answer.body;
        ++refused;
        return std::string();
    };
    background_load load(callers, request_on_new_connection);
    cr_assert(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());
    stopping.process->signal(SIGTERM);
    expect_clean_exit(cluster, "vm-a1");
    load.stop();
    cr_expect(load.failures().empty(), "%s", load.failures().c_str());
    cr_expect_gt(refused.load(), 0);
    expect_nothing_cancelled(cluster);
}

// Guards against a stop that hangs or interrupts requests because the VM cannot leave the view, and
// against a member that stays in the view permanently.
Test(planned_stop, table_down_interrupts_no_request)
{
    deployment cluster(slow_stream_options());
    background_load other_vms_load(callers,
                                   pipeline_requests(cluster, {"vm-a2", "vm-b1", "vm-b2"}));
    background_load keep_alive(callers, keep_alive_load(cluster, {"vm-a1", "vm-b1"}));
    cr_assert(keep_alive.wait_for_successes(enough_answers));
    cluster.table.control(R"({"down":true})");
    cr_assert(keep_alive.wait_for_successes(enough_answers));
    cluster.vms.at("vm-a1").process->signal(SIGTERM);
    expect_clean_exit(cluster, "vm-a1");
    cr_expect(other_vms_load.wait_for_successes(3 * enough_answers), "%s",
              other_vms_load.failures().c_str());
    cluster.table.control(R"({"down":false})");
    const auto has_left = [&]
    { return members_seen_by(cluster, "vm-a2") == std::vector<std::string>{"vm-a2"}; };
    cr_expect(eventually(has_left));
    cr_expect(other_vms_load.wait_for_successes(enough_answers), "%s",
              other_vms_load.failures().c_str());
    keep_alive.stop();
    other_vms_load.stop();
    cr_expect(keep_alive.failures().empty(), "keep-alive: %s", keep_alive.failures().c_str());
    cr_expect(other_vms_load.failures().empty(), "other VMs: %s",
              other_vms_load.failures().c_str());
}
