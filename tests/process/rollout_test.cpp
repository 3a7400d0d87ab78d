// Roll-outs of endpoint versions by zinnianotchd processes, with a fake store and fake endpoints.
#include "../unit/rollout_load.h"
#include "fixture.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>

using namespace serving;
using fixture::child_process;
namespace asio = boost::asio;

namespace
{

constexpr milliseconds order_time{14'000};
constexpr std::size_t vm_count = 4;

std::uint16_t free_port()
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address(loopback), 0});
    return acceptor.local_endpoint().port();
}

std::string address_of(std::uint16_t port)
{
    return std::string(loopback) + ":" + std::to_string(port);
}

// A VM as a process, with a settings file that has the bounds of roll-outs.
class vm_process
{
public:
    vm_process(std::size_t number, const std::string& store, const std::string& folder)
        : callers_(free_port()), readiness_(free_port())
    {
        const std::string name = "vm-" + std::to_string(number);
        path_ = folder + "/" + name + ".yaml";
        std::ofstream(path_)
            << "vm: " << name << "\nfailure_domain: dom-a\nlisten: {callers: \""
            << address_of(callers_) << "\", peers: \"" << address_of(free_port())
            << "\"}\nplatform: {table: \"http://" << store
            << "\"}\nkeys: {accounts: [], operators: []}\nserving:\n  readiness: \""
            << address_of(readiness_) << "\"\n  store: \"" << store
            << "\"\n  repeat_slack: 1000\n  rollouts: {exposure_share: 0.1, "
               "exposure_slack: 50, roll_back_ms: 5000}\n";
        process_ = std::make_unique<child_process>(
            std::vector<std::string>{ZINNIANOTCHD_PATH, "--settings", path_});
    }

    child_process& process() { return *process_; }
    std::string address() const { return address_of(callers_); }
    std::string readiness() const { return address_of(readiness_); }

private:
    std::uint16_t callers_;
    std::uint16_t readiness_;
    std::string path_;
    std::unique_ptr<child_process> process_;
};

struct rollout_processes : deployment
{
    rollout_load load{*this};
    std::vector<fake_endpoint*> old;
    std::string folder;
    std::vector<std::unique_ptr<vm_process>> processes;

    rollout_processes()
        : folder((std::filesystem::temp_directory_path() / "zinnianotch-rollout-XXXXXX").string())
    {
        cr_assert(::mkdtemp(folder.data()) != nullptr);
        old = load.add_endpoints("v1", 4);
        configure(1);
        for (std::size_t i = 0; i < vm_count; ++i)
            processes.push_back(
                std::make_unique<vm_process>(i, store.address(store.add_listener()), folder));
        for (const auto& process : processes)
        {
            cr_assert(is_ready(*process));
            load.vms.push_back(process->address());
        }
        load.run_requests(200);
        load.failures.clear(); // until all VMs know of all others
    }
    ~rollout_processes() { std::filesystem::remove_all(folder); }

    bool is_ready(const vm_process& vm)
    {
        return run_until(
            [&]
            {
                client_exchange probe(io, vm.readiness(), request_text("GET", "/ready", "ready"));
                return run_until([&] { return probe.ended(); }) && probe.head.status == 200;
            });
    }
    std::vector<fake_endpoint*> order(const std::string& version,
                                      const std::function<void(fake_endpoint&)>& shape = {})
    {
        order_rollout(rollout_service, version, order_time);
        return load.add_endpoints(version, 4, shape);
    }
    bool is_exposed(const std::vector<fake_endpoint*>& candidates, std::size_t requests)
    {
        return load.run_until([&] { return load.received(candidates) > requests; });
    }
    void expect_completed(const std::vector<fake_endpoint*>& candidates)
    {
        cr_assert(load.run_until_state("completed", old), "state %s",
                  rollout_state(rollout_service).c_str());
        const std::size_t received = load.received(candidates);
        load.run_requests(200);
        load.expect_status_never_goes_back();
        cr_assert(load.received(candidates) >= received + 100);
    }
    void expect_rolled_back(const std::vector<fake_endpoint*>& candidates)
    {
        cr_assert(load.run_until_state("rolled_back"), "state %s",
                  rollout_state(rollout_service).c_str());
        load.run_requests(150);
        const std::size_t received = load.received(candidates);
        load.run_requests(200);
        cr_assert(load.received(candidates) == received);
        load.expect_within_bounds(candidates, old);
        load.expect_status_never_goes_back();
    }
    // The process whose VM judges first, and its address.
    std::size_t first_judge() const
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < vm_count; ++i)
            names.push_back("vm-" + std::to_string(i));
        return static_cast<std::size_t>(
            zinnianotch::rollout_judges(rollout_service, names).front().back() - '0');
    }
};

} // namespace

TestSuite(rollout, .timeout = 180);

// Guards against a good version that is not completed in time, and requests cut on the way.
Test(rollout, good_version_is_completed_without_a_failure)
{
    rollout_processes harness;
    const time_point ordered_at = zinnianotch::steady_clock::now();
    harness.expect_completed(harness.order("v2"));
    harness.load.expect_no_failures();
    cr_assert(zinnianotch::steady_clock::now() < ordered_at + order_time + milliseconds(3000));
}

// Guards against a version that turns bad after it has been sound for a while.
Test(rollout, version_that_turns_bad_later_is_rolled_back)
{
    rollout_processes harness;
    std::size_t served = 0;
    const auto candidates =
        harness.order("v2", [&](fake_endpoint& endpoint)
                      { endpoint.fails = [&](const recorded_request&) { return ++served > 60; }; });
    harness.expect_rolled_back(candidates);
}

// Guards against a version that is bad only while it works on several requests at once.
Test(rollout, slow_version_is_rolled_back)
{
    rollout_processes harness;
    const auto candidates = harness.order("v2", [](fake_endpoint& endpoint)
                                          { endpoint.processing_time = milliseconds(150); });
    harness.expect_rolled_back(candidates);
    harness.load.expect_no_failures();
}

// Guards against a decision that a VM takes before it is frozen and writes when it wakes up.
Test(rollout, judging_vm_is_frozen_and_wakes_up_status_never_goes_back)
{
    rollout_processes harness;
    const auto candidates = harness.order("v2");
    cr_assert(harness.is_exposed(candidates, 10));
    vm_process& judge = *harness.processes[harness.first_judge()];
    std::erase(harness.load.vms, judge.address());
    judge.process().stop();
    cr_assert(harness.load.run_until_state("completed", harness.old));
    judge.process().resume();
    harness.load.failures.clear(); // of requests at the frozen VM
    harness.load.vms.push_back(judge.address());
    harness.load.run_requests(200);
    cr_assert(harness.rollout_state(rollout_service) == "completed");
    harness.load.expect_no_failures();
    harness.load.expect_status_never_goes_back();
}

// Guards against a bad version that is kept because the VM that judged it is gone.
Test(rollout, judging_vm_is_killed_bad_version_is_rolled_back)
{
    rollout_processes harness;
    bool is_bad = false;
    const auto candidates =
        harness.order("v2", [&](fake_endpoint& endpoint)
                      { endpoint.fails = [&](const recorded_request&) { return is_bad; }; });
    cr_assert(harness.is_exposed(candidates, 10));
    vm_process& judge = *harness.processes[harness.first_judge()];
    std::erase(harness.load.vms, judge.address());
    judge.process().kill();
    is_bad = true;
    harness.expect_rolled_back(candidates);
}
