// Invariant 2: an endpoint in a cold start receives no more work than it can handle, despite faults
// of VMs, the table and connections. The endpoint stand-in counts each request beyond its cold
// capacity of 2 as an overrun.
#include "load.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace fixture;

namespace
{

constexpr const char* engine_id = "generator-a1";
constexpr std::uint64_t cold_capacity = 2;
constexpr milliseconds detection_bound{5000}; // "a few seconds" in the design page
const std::vector<std::string> vm_names = {"vm-a1", "vm-a2", "vm-a3"};

// Three VMs of one failure domain that share one engine, each with its own proxy to the table.
class cold_engine_fixture
{
public:
    explicit cold_engine_fixture(const std::vector<std::string>& engine_arguments,
                                 bool proxies = false)
        : cluster(make_options(engine_arguments, proxies))
    {
        const std::uint16_t table =
            proxies ? cluster.table_proxies.at("dom-a").port() : cluster.table.port();
        for (const std::string& name : vm_names)
        {
            const auto vm_table_proxy = table_proxies_by_vm.emplace(name, fault_proxy(table)).first;
            replace_port(cluster.vms.at(name).settings_file, table, vm_table_proxy->second.port());
            cluster.start_vm(name);
        }
        wait_all_ready();
    }

    void wait_all_ready() const
    {
        for (const std::string& name : vm_names)
            deployment::wait_ready(cluster.vms.at(name));
        cr_assert(wait_view(cluster, vm_names, vm_names.size()));
    }

    const standin& engine() const { return cluster.endpoints.at(engine_id); }

    std::uint64_t count(const char* counter) const { return engine().count(counter); }

    // Waits until the engine has started `more` further requests; false on time-out.
    bool wait_starts(std::uint64_t more) const
    {
        const std::uint64_t before = count("starts");
        return eventually([&] { return count("starts") >= before + more; });
    }

    std::string owner_seen_by(const std::string& vm) const
    {
        return wait_owner(cluster, vm, engine_id);
    }

    // Waits until `vm` reports an owner other than `former`; false on time-out.
    bool wait_owner_change(const std::string& vm, const std::string& former) const
    {
        return eventually([&] { return owner_seen_by(vm) != former; });
    }

    bool has_authority(const std::string& vm) const
    {
        const http_result response = cluster.admin(cluster.vms.at(vm), "GET", "/admin/v1/status");
        return response.status == 200 &&
               response.json().at("view").at("authority_current").as_bool();
    }

    load_options load_from_all(int threads_per_vm = 6) const
    {
        load_options options;
        options.vms = vm_names;
        options.threads_per_vm = threads_per_vm;
        options.deadline = milliseconds{20000};
        options.expected = expected_generated_tokens;
        return options;
    }

    // Kills the VMs first, because a cold engine would serve the waiting callers only slowly.
    void stop_load(load_generator& callers)
    {
        for (const std::string& name : vm_names)
            cluster.vms.at(name).process->kill();
        callers.stop();
    }

    // Checks that no response was incorrect and that the engine counted exactly
    // `expected_overruns`.
    void check(const load_generator& callers, const char* name,
               std::uint64_t expected_overruns = 0) const
    {
        const auto counters = engine().counters();
        std::printf("%s: %s; expected overruns %llu, engine %s\n", name, callers.summary().c_str(),
                    (unsigned long long)expected_overruns, counters.serialize().c_str());
        cr_assert_eq(callers.count(response_outcome::incorrect), 0, "%s",
                     callers.summary().c_str());
        cr_assert_eq(counters.at("overruns").as_number().to_uint64(), expected_overruns, "%s",
                     counters.serialize().c_str());
    }

    deployment cluster;
    std::map<std::string, fault_proxy> table_proxies_by_vm;

private:
    static void replace_port(const std::string& file, std::uint16_t from, std::uint16_t to)
    {
        std::stringstream text;
        text << std::ifstream(file).rdbuf();
        std::string settings = text.str();
        const std::string old = "127.0.0.1:" + std::to_string(from);
        settings.replace(settings.find(old), old.size(), "127.0.0.1:" + std::to_string(to));
        std::ofstream(file) << settings;
    }

    static deployment_options make_options(const std::vector<std::string>& engine_arguments,
                                           bool proxies)
    {
        deployment_options options;
        options.vms_per_domain = static_cast<int>(vm_names.size());
        options.proxies = proxies;
        options.start_vms = false;
        options.endpoint_arguments = engine_arguments;
        options.modify_configuration = [](web::json::value& document)
        {
            keep_generation_only(document, {engine_id});
            keep_first_domain_only(document);
        };
        return options;
    }
};

} // namespace

// Guards against three VMs that each send up to the cold limit, and against a cold endpoint that
// receives no requests at all.
Test(cold_start, cold_engine_serves_at_its_limit)
{
    cold_engine_fixture test({"--cold-ms", "-1", "--token-ms", "2"});
    load_generator callers(test.cluster, test.load_from_all());
    cr_assert(test.wait_starts(100));
    test.check(callers, "cold engine under load");
    cr_assert_eq(test.count("peak_running_while_cold"), cold_capacity);
    test.stop_load(callers);
}

// Guards against full load on an engine that turned cold without notice. Requests sent before the
// owner received a load report with the new phase are exempt, even if they arrive a little later:
// at most one for each call that was in flight.
Test(cold_start, engine_turned_cold_unannounced_is_limited)
{
    cold_engine_fixture test({"--token-ms", "2"});
    load_generator callers(test.cluster, test.load_from_all(8));
    cr_assert(eventually([&] { return test.count("peak_running") >= 12; }),
              "the engine never reached full load");
    const std::string owner = test.owner_seen_by("vm-a1");
    test.engine().control(R"({"phase":"cold"})");
    const auto owner_sees_cold = [&]
    {
        const auto status = endpoint_status(test.cluster, owner, engine_id);
        return status && status->at("phase").as_string() == "cold";
    };
    cr_assert(eventually(owner_sees_cold, detection_bound),
              "the owner did not report the engine as cold in time");
    const std::uint64_t overruns_at_detection = test.count("overruns");
    // Calls admitted under the cold limit start after all calls admitted under the warm limit.
    cr_assert(test.wait_starts(20));
    const std::uint64_t overruns_at_limit = test.count("overruns");
    cr_assert_leq(overruns_at_limit - overruns_at_detection, test.count("peak_running"));
    std::printf("engine turned cold: %llu overruns until the owner knew, %llu late arrivals\n",
                (unsigned long long)overruns_at_detection,
                (unsigned long long)(overruns_at_limit - overruns_at_detection));
    cr_assert(test.wait_starts(100));
    test.check(callers, "engine turned cold", overruns_at_limit);
    test.stop_load(callers);
}

// Guards against an owner that continues under an expired lease, and against a new owner that does
// not count the calls of the former one. The calls take so long that those of the frozen VM are
// still running when its successor takes over.
Test(cold_start, frozen_owner_and_its_successor_stay_within_the_limit)
{
    cold_engine_fixture test({"--cold-ms", "-1", "--token-ms", "700"});
    load_generator callers(test.cluster, test.load_from_all(4));
    cr_assert(eventually([&] { return test.count("running") == cold_capacity; }));
    const std::string frozen = test.owner_seen_by("vm-a1");
    const std::string other = frozen == "vm-a1" ? "vm-a2" : "vm-a1";
    test.cluster.vms.at(frozen).process->stop();
    cr_assert(test.wait_owner_change(other, frozen));
    cr_assert(test.wait_starts(2), "the successor does not use the engine");
    test.cluster.vms.at(frozen).process->resume();
    cr_assert(wait_view(test.cluster, vm_names, vm_names.size()));
    cr_assert(test.wait_starts(3));
    test.check(callers, "frozen owner");
    test.stop_load(callers);
}

// Guards against a resumed owner that continues at the full limit because it cannot read from the
// table that it was replaced: the limits of both VMs together must stay within the cold limit. The
// owner has no calls when it is frozen, because those would also count against its share.
Test(cold_start, frozen_owner_without_table_stays_within_its_share)
{
    cold_engine_fixture test({"--cold-ms", "-1", "--token-ms", "30"});
    const std::string frozen = test.owner_seen_by("vm-a1");
    const auto has_full_limit = [&]
    {
        const auto status = endpoint_status(test.cluster, frozen, engine_id);
        return status && status->at("limit").as_integer() == static_cast<int>(cold_capacity);
    };
    cr_assert(eventually(has_full_limit));
    test.cluster.vms.at(frozen).process->stop();
    test.table_proxies_by_vm.at(frozen).command("freeze_all");
    const std::string other = frozen == "vm-a1" ? "vm-a2" : "vm-a1";
    cr_assert(test.wait_owner_change(other, frozen));
    auto others_options = test.load_from_all();
    std::erase(others_options.vms, frozen);
    load_generator callers(test.cluster, others_options);
    cr_assert(test.wait_starts(4), "the successor does not use the engine");

    test.cluster.vms.at(frozen).process->resume();
    cr_assert(
        eventually([&] { return endpoint_status(test.cluster, frozen, engine_id).has_value(); }));
    cr_assert(!test.has_authority(frozen));
    auto frozen_options = test.load_from_all();
    frozen_options.vms = {frozen};
    load_generator frozen_callers(test.cluster, frozen_options);
    cr_assert(test.wait_starts(20));
    test.table_proxies_by_vm.at(frozen).command("pass");
    cr_assert(wait_view(test.cluster, vm_names, vm_names.size()));
    cr_assert(test.wait_starts(10));
    test.check(frozen_callers, "frozen owner without table");
    test.check(callers, "frozen owner without table, others");
    test.stop_load(callers);
}

// Guards against VMs that start with full limits, or ignore each other's share, after all of them
// were restarted under load.
Test(cold_start, restart_of_all_vms_stays_within_the_limit)
{
    cold_engine_fixture test({"--cold-ms", "-1", "--token-ms", "20"});
    load_generator callers(test.cluster, test.load_from_all());
    cr_assert(test.wait_starts(10));
    for (const std::string& name : vm_names)
        test.cluster.vms.at(name).process->kill();
    for (const std::string& name : vm_names)
        test.cluster.start_vm(name);
    callers.update_ports();
    test.wait_all_ready();
    cr_assert(test.wait_starts(40));
    test.check(callers, "restart of all VMs");
    test.stop_load(callers);
}

// Guards against a cold engine that is overrun, or left unused, while the table is unreachable and
// after it has recovered.
Test(cold_start, table_outage_stays_within_the_limit)
{
    cold_engine_fixture test({"--cold-ms", "-1", "--token-ms", "10"}, true);
    load_generator callers(test.cluster, test.load_from_all());
    cr_assert(test.wait_starts(20));
    const std::string owner = test.owner_seen_by("vm-a1");
    test.cluster.table_proxies.at("dom-a").command("freeze_all");
    cr_assert(eventually([&] { return !test.has_authority(owner); }));
    cr_assert(test.wait_starts(20), "the engine is not used while the table is down");
    // The view cannot change while the table is down, so the loss of a VM that is not the owner
    // must have no effect.
    const std::string non_owner = owner == "vm-a1" ? "vm-a2" : "vm-a1";
    test.cluster.vms.at(non_owner).process->kill();
    cr_assert(test.wait_starts(20));
    test.cluster.table_proxies.at("dom-a").command("pass");
    cr_assert(eventually([&] { return test.has_authority(owner); }));
    cr_assert(test.wait_starts(20));
    test.check(callers, "table outage");
    test.stop_load(callers);
}

// Guards against a new owner that counts only its own calls after the former one was killed.
Test(cold_start, killed_owner_is_replaced_within_the_limit)
{
    cold_engine_fixture test({"--cold-ms", "-1", "--token-ms", "20"});
    load_generator callers(test.cluster, test.load_from_all());
    cr_assert(test.wait_starts(10));
    const std::string owner = test.owner_seen_by("vm-a1");
    const std::string other = owner == "vm-a1" ? "vm-a2" : "vm-a1";
    test.cluster.vms.at(owner).process->kill();
    cr_assert(test.wait_owner_change(other, owner));
    cr_assert(test.wait_starts(40));
    test.check(callers, "killed owner");
    test.stop_load(callers);
}

// Guards against reusing a slot before the engine has noticed that its call was abandoned: by a
// caller that disconnected, or by the owner after its connection broke or became silent.
Test(cold_start, abandoned_calls_count_until_the_engine_ends_them)
{
    cold_engine_fixture test({"--cold-ms", "-1", "--token-ms", "40"}, true);
    auto options = test.load_from_all();
    options.disconnect_percent = 50;
    load_generator callers(test.cluster, options);
    cr_assert(eventually([&] { return callers.disconnected() >= 8; }));
    const fault_proxy& proxy = test.cluster.endpoint_proxies.at(engine_id);
    for (int i = 0; i < 5; ++i)
    {
        cr_assert(test.wait_starts(2));
        proxy.command("cut");
    }
    proxy.command("freeze_established");
    cr_assert(test.wait_starts(6));
    test.check(callers, "abandoned calls");
    test.stop_load(callers);
}

// Guards against reusing a slot as soon as a silent connection is abandoned, although the engine
// has not noticed and continues the call. Streams last longer than the stage timeout.
Test(cold_start, silent_calls_count_until_the_engine_ends_them)
{
    cold_engine_fixture test({"--cold-ms", "-1", "--token-ms", "500"}, true);
    load_generator callers(test.cluster, test.load_from_all(3));
    for (int i = 0; i < 3; ++i)
    {
        cr_assert(eventually([&] { return test.count("running") == cold_capacity; }));
        test.cluster.endpoint_proxies.at(engine_id).command("freeze_established");
        cr_assert(test.wait_starts(2));
    }
    test.check(callers, "silent calls");
    test.stop_load(callers);
}
