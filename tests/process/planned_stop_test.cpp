// Invariant 8: a planned stop interrupts no request.
#include "callers.h"

#include <criterion/criterion.h>

#include <csignal>

using namespace fixture;
using web::json::value;

namespace
{

constexpr std::size_t callers = 6;
constexpr std::size_t enough_answers = 12; // shows that the load goes on

deployment_options with_open_streams()
{
    deployment_options options;
    options.vms_per_domain = 2;
    options.endpoint_arguments = {"--work-ms", "20", "--token-ms", "40"};
    return options;
}

// Callers with kept-alive connections, each of which starts at another of the VMs named.
background_load::request_function kept_load(const deployment& all, const std::vector<std::string>& vms)
{
    auto kept = std::make_shared<std::vector<std::unique_ptr<keep_alive_caller>>>();
    for (std::size_t caller = 0; caller < callers; ++caller)
    {
        std::vector<std::uint16_t> ports;
        for (std::size_t i = 0; i < vms.size(); ++i)
            ports.push_back(all.vms.at(vms[(caller + i) % vms.size()]).caller_port);
        kept->push_back(std::make_unique<keep_alive_caller>(std::move(ports)));
    }
    return [kept](std::size_t caller, std::size_t number)
    {
        return (*kept)[caller]->call("pennant " + std::to_string(caller) + '.' +
                                     std::to_string(number));
    };
}

void expect_clean_exit(deployment& all, const std::string& name)
{
    auto& process = *all.vms.at(name).process;
    const std::optional<int> code = process.wait_exit();
    cr_expect(code.has_value(), "%s did not end", name.c_str());
    cr_expect_eq(code.value_or(-1), 0, "%s: %s", name.c_str(), process.output().c_str());
}

// Work in hand that the stopping VM drops is repeated by the others, so callers do not see it.
void expect_nothing_cancelled(const deployment& all)
{
    for (const std::string letter : {"a", "b"})
        cr_expect_eq(sum_counter_in_domain(all, letter, "cancelled"), 0, "dom-%s", letter.c_str());
}

std::vector<std::string> members_seen_by(const deployment& all, const std::string& name)
{
    const value status = all.admin(all.vms.at(name), "GET", "/admin/v1/status").json();
    std::vector<std::string> names;
    for (const value& member : status.at("view").at("members").as_array())
        names.push_back(member.as_string());
    return names;
}

} // namespace

// Guards against requests that are cut or refused while a VM hands its endpoints over, and while
// the last VM of a failure domain ends.
Test(planned_stop, vms_of_a_domain_one_after_the_other_interrupt_no_request)
{
    deployment all(with_open_streams());
    background_load others(callers, pipeline_requests(all, {"vm-b1", "vm-b2"}));
    background_load kept(callers, kept_load(all, {"vm-a1", "vm-a2", "vm-b1", "vm-b2"}));
    cr_assert(kept.wait_for_successes(enough_answers));
    for (const std::string name : {"vm-a1", "vm-a2"})
    {
        all.vms.at(name).process->signal(SIGTERM);
        expect_clean_exit(all, name);
        cr_expect(kept.wait_for_successes(enough_answers), "%s", kept.failures().c_str());
        cr_expect(others.wait_for_successes(enough_answers), "%s", others.failures().c_str());
    }
    kept.stop();
    others.stop();
    cr_expect(kept.failures().empty(), "kept-alive: %s", kept.failures().c_str());
    cr_expect(others.failures().empty(), "other VMs: %s", others.failures().c_str());
    expect_nothing_cancelled(all);
}

// Guards against a VM that stays away after a rolling restart, or interrupts requests as it comes.
Test(planned_stop, rolling_restart_over_all_vms_interrupts_no_request)
{
    deployment all(with_open_streams());
    for (const std::string name : {"vm-a1", "vm-b1"})
    {
        std::vector<std::string> rest = {"vm-a1", "vm-a2", "vm-b1", "vm-b2"};
        std::erase(rest, name);
        background_load load(callers, pipeline_requests(all, rest));
        cr_assert(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());
        all.vms.at(name).process->signal(SIGTERM);
        expect_clean_exit(all, name);
        deployment::wait_ready(all.start_vm(name));
        cr_expect(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());
        load.stop();
        cr_expect(load.failures().empty(), "%s: %s", name.c_str(), load.failures().c_str());
    }
    expect_nothing_cancelled(all);
}

// Guards against a second signal that cuts the requests in hand, and against an idle kept-alive
// connection that is closed while the VM still runs.
Test(planned_stop, second_signal_skips_only_the_balancer_grace)
{
    deployment_options options = with_open_streams();
    options.start_vms = false;
    options.endpoint_arguments = {"--work-ms", "20", "--token-ms", "200"};
    deployment all(options);
    // Longer than the test waits for the end of the process.
    replace_in_settings(all, "vm-a1", "balancer_grace_ms: 0", "balancer_grace_ms: 60000");
    for (const auto& [name, vm] : all.vms)
        all.start_vm(name);
    for (const auto& [name, vm] : all.vms)
        deployment::wait_ready(vm);
    auto& stopping = all.vms.at("vm-a1");
    keep_alive_connection streaming(stopping.caller_port);
    keep_alive_connection idle(stopping.caller_port);
    cr_assert(streaming.send("in hand"));
    // A VM that has just started may use the endpoints of the other domain.
    const auto has_stream = [&]
    { return sum_counter_in_domain(all, "a", "running") + sum_counter_in_domain(all, "b", "running") > 0; };
    cr_assert(eventually(has_stream));

    stopping.process->signal(SIGTERM);
    stopping.process->wait_for_line("event=draining");
    cr_expect_eq(send_http(stopping.caller_port, "GET", "/readyz").status, 503);
    cr_assert(idle.send("after the signal"));
    const keep_alive_connection::response late = idle.receive();
    const std::string late_wrong =
        check_pipeline_response(late.status, late.body, late.complete, "after the signal");
    cr_expect(late_wrong.empty(), "%s", late_wrong.c_str());
    cr_expect(late.connection_close);
    const keep_alive_connection::response first = streaming.receive();
    const std::string first_wrong =
        check_pipeline_response(first.status, first.body, first.complete, "in hand");
    cr_expect(first_wrong.empty(), "%s", first_wrong.c_str());

    keep_alive_connection last(stopping.caller_port);
    cr_assert(last.send("before the second signal"));
    cr_assert(eventually(has_stream));
    stopping.process->signal(SIGTERM);
    stopping.process->wait_for_line("event=second_signal");
    stopping.process->signal(SIGTERM);
    const keep_alive_connection::response final = last.receive();
    const std::string final_wrong =
        check_pipeline_response(final.status, final.body, final.complete, "before the second signal");
    cr_expect(final_wrong.empty(), "%s", final_wrong.c_str());
    expect_clean_exit(all, "vm-a1");
}

// Guards against a stop that hangs or cuts requests because the VM cannot leave the view, and
// against a member that stays in the view for good.
Test(planned_stop, table_away_interrupts_no_request)
{
    deployment all(with_open_streams());
    background_load others(callers, pipeline_requests(all, {"vm-a2", "vm-b1", "vm-b2"}));
    background_load kept(callers, kept_load(all, {"vm-a1", "vm-b1"}));
    cr_assert(kept.wait_for_successes(enough_answers));
    all.table.control(R"({"down":true})");
    cr_assert(kept.wait_for_successes(enough_answers));
    all.vms.at("vm-a1").process->signal(SIGTERM);
    expect_clean_exit(all, "vm-a1");
    cr_expect(others.wait_for_successes(3 * enough_answers), "%s", others.failures().c_str());
    all.table.control(R"({"down":false})");
    const auto left = [&]
    { return members_seen_by(all, "vm-a2") == std::vector<std::string>{"vm-a2"}; };
    cr_expect(eventually(left));
    cr_expect(others.wait_for_successes(enough_answers), "%s", others.failures().c_str());
    kept.stop();
    others.stop();
    cr_expect(kept.failures().empty(), "kept-alive: %s", kept.failures().c_str());
    cr_expect(others.failures().empty(), "other VMs: %s", others.failures().c_str());
}
