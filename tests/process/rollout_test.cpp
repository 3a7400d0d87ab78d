// Roll-outs of endpoint versions by zinnianotchd processes, with a fake store and fake endpoints.
#include "../unit/rollout_load.h"
#include "fixture.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>

using namespace serving;
using fixture::child_process;
using fixture::reserved_port;

namespace
{

constexpr std::size_t vm_count = 4;
constexpr std::size_t settled_requests = 150; // answered until all VMs follow a roll-back

// A VM as a process, with a settings file that has the bounds of roll-outs.
class vm_process
{
public:
    vm_process(std::size_t number, const std::string& store, const std::string& folder)
    {
        const std::string name = "vm-" + std::to_string(number);
        path_ = folder + "/" + name + ".yaml";
        std::ofstream(path_)
            << "vm: " << name << "\nfailure_domain: dom-a\nlisten: {callers: \""
            << callers_.address() << "\", peers: \"" << peers_.address()
            << "\"}\nplatform: {table: \"http://" << store
            << "\"}\nkeys: {accounts: [], operators: []}\nserving:\n  readiness: \""
            << readiness_.address() << "\"\n  store: \"" << store
            << "\"\n  repeat_slack: 1000\n  rollouts: {exposure_share: 0.1, "
               "exposure_slack: 50, roll_back_ms: 5000}\n";
        process_ = std::make_unique<child_process>(
            std::vector<std::string>{ZINNIANOTCHD_PATH, "--settings", path_});
    }

    child_process& process() { return *process_; }
    const child_process& process() const { return *process_; }
    std::string address() const { return callers_.address(); }
    std::string readiness() const { return readiness_.address(); }

private:
    reserved_port callers_;
    reserved_port peers_;
    reserved_port readiness_;
    std::string path_;
    std::unique_ptr<child_process> process_;
};

struct rollout_processes : rollout_scenario
{
    std::string folder;
    std::vector<std::unique_ptr<vm_process>> processes;

    rollout_processes()
        : rollout_scenario(4, milliseconds(14'000)),
          folder((std::filesystem::temp_directory_path() / "zinnianotch-rollout-XXXXXX").string())
    {
        cr_assert(::mkdtemp(folder.data()) != nullptr);
        old = load.add_endpoints("v1", endpoint_count);
        configure(1);
        for (std::size_t i = 0; i < vm_count; ++i)
            processes.push_back(
                std::make_unique<vm_process>(i, store.address(store.add_listener()), folder));
        for (const auto& process : processes)
        {
            cr_assert(is_ready(*process), "output of %s:\n%s", process->address().c_str(),
                      process->process().output().c_str());
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
    cr_assert(zinnianotch::steady_clock::now() <
              ordered_at + harness.order_time + milliseconds(3000));
}

// Guards against a version that turns bad after it has been sound for a while.
Test(rollout, version_that_turns_bad_later_is_rolled_back)
{
    rollout_processes harness;
    std::size_t served = 0;
    const auto candidates =
        harness.order("v2", [&](fake_endpoint& endpoint)
                      { endpoint.fails = [&](const recorded_request&) { return ++served > 60; }; });
    harness.expect_rolled_back(candidates, settled_requests);
}

// Guards against a version that is bad only while it works on several requests at once.
Test(rollout, slow_version_is_rolled_back)
{
    rollout_processes harness;
    const auto candidates = harness.order("v2", [](fake_endpoint& endpoint)
                                          { endpoint.processing_time = milliseconds(150); });
    harness.expect_rolled_back(candidates, settled_requests);
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
    const auto candidates = harness.order_failing_once("v2", is_bad);
    cr_assert(harness.is_exposed(candidates, 10));
    vm_process& judge = *harness.processes[harness.first_judge()];
    std::erase(harness.load.vms, judge.address());
    judge.process().kill();
    is_bad = true;
    harness.expect_rolled_back(candidates, settled_requests);
}
