// Invariant 2: an endpoint in a cold start receives no more work than it can handle, whatever
// happens to the VMs, the table and the connections. The stand-in counts each request beyond its
// cold capacity of 2 as an overrun and is the judge.
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
constexpr milliseconds promised{5000}; // "a few seconds" of the design page
const std::vector<std::string> vm_names = {"vm-a1", "vm-a2", "vm-a3"};

// Three VMs of one failure domain that call one engine.
class cold_engine
{
public:
    explicit cold_engine(const std::vector<std::string>& engine_arguments, bool proxies = false)
        : all(make_options(engine_arguments, proxies))
    {
        const std::uint16_t table =
            proxies ? all.table_proxies.at("dom-a").port() : all.table.port();
        for (const std::string& name : vm_names)
        {
            const auto own_way = ways_to_table.emplace(name, fault_proxy(table)).first;
            replace_port(all.vms.at(name).settings_file, table, own_way->second.port());
            all.start_vm(name);
        }
        wait_all_ready();
    }

    void wait_all_ready() const
    {
        for (const std::string& name : vm_names)
            deployment::wait_ready(all.vms.at(name));
        cr_assert(wait_view(all, vm_names, vm_names.size()));
    }

    const standin& engine() const { return all.endpoints.at(engine_id); }

    std::uint64_t count(const char* counter) const { return engine().count(counter); }

    // Waits until the engine has begun `more` further requests.
    bool serves(std::uint64_t more) const
    {
        const std::uint64_t before = count("starts");
        return eventually([&] { return count("starts") >= before + more; });
    }

    std::string owner(const std::string& asked) const { return wait_owner(all, asked, engine_id); }

    // Waits until `asked` names another owner than `former`.
    bool owner_changes(const std::string& asked, const std::string& former) const
    {
        return eventually([&] { return owner(asked) != former; });
    }

    bool has_authority(const std::string& vm) const
    {
        const http_result answer = all.admin(all.vms.at(vm), "GET", "/admin/v1/status");
        return answer.status == 200 && answer.json().at("view").at("authority_current").as_bool();
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

    // Ends the load at once: a cold engine serves the waiting callers only slowly.
    void end(load_generator& callers)
    {
        for (const std::string& name : vm_names)
            all.vms.at(name).process->kill();
        callers.stop();
    }

    // The verdict on a run with `callers`, apart from `allowed` overruns.
    void check(const load_generator& callers, const char* name, std::uint64_t allowed = 0) const
    {
        const auto counters = engine().counters();
        std::printf("%s: %s; allowed overruns %llu, engine %s\n", name, callers.summary().c_str(),
                    (unsigned long long)allowed, counters.serialize().c_str());
        cr_assert_eq(callers.count(response_outcome::incorrect), 0, "%s", callers.summary().c_str());
        cr_assert_eq(counters.at("overruns").as_number().to_uint64(), allowed, "%s",
                     counters.serialize().c_str());
    }

    deployment all;
    std::map<std::string, fault_proxy> ways_to_table; // by VM

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

// Guards against three VMs that each send the cold limit, and against a cold endpoint that is not
// used at all.
Test(cold_start, cold_engine_serves_at_its_limit)
{
    cold_engine test({"--cold-ms", "-1", "--token-ms", "2"});
    load_generator callers(test.all, test.load_from_all());
    cr_assert(test.serves(100));
    test.check(callers, "cold engine under load");
    cr_assert_eq(test.count("peak_running_while_cold"), cold_capacity);
    test.end(callers);
}

// Guards against full load on an engine that turned cold without warning. Not counted is what was
// sent before the owner received a report of the phase, even when it arrives a little later: no
// more than one arrival for each call that was in flight.
Test(cold_start, unannounced_turn_to_cold_is_respected)
{
    cold_engine test({"--token-ms", "2"});
    load_generator callers(test.all, test.load_from_all(8));
    cr_assert(eventually([&] { return test.count("peak_running") >= 12; }),
              "the engine never came under full load");
    const std::string owner = test.owner("vm-a1");
    test.engine().control(R"({"phase":"cold"})");
    const auto knows = [&]
    {
        const auto status = endpoint_status(test.all, owner, engine_id);
        return status && status->at("phase").as_string() == "cold";
    };
    cr_assert(eventually(knows, promised), "the owner did not notice the cold engine");
    const std::uint64_t noticed = test.count("overruns");
    // Calls that are served under the cold limit come after all that were admitted before it.
    cr_assert(test.serves(20));
    const std::uint64_t settled = test.count("overruns");
    cr_assert_leq(settled - noticed, test.count("peak_running"));
    std::printf("turn to cold: %llu overruns until the owner knew, %llu late arrivals\n",
                (unsigned long long)noticed, (unsigned long long)(settled - noticed));
    cr_assert(test.serves(100));
    test.check(callers, "turn to cold", settled);
    test.end(callers);
}

// Guards against an owner that goes on under an expired lease, and against a new owner that doesn't
// know of the calls of the former one. The calls take so long that those of the frozen VM are still
// running when its successor takes over.
Test(cold_start, frozen_owner_and_its_successor_stay_within_the_limit)
{
    cold_engine test({"--cold-ms", "-1", "--token-ms", "700"});
    load_generator callers(test.all, test.load_from_all(4));
    cr_assert(eventually([&] { return test.count("running") == cold_capacity; }));
    const std::string frozen = test.owner("vm-a1");
    const std::string other = frozen == "vm-a1" ? "vm-a2" : "vm-a1";
    test.all.vms.at(frozen).process->stop();
    cr_assert(test.owner_changes(other, frozen));
    cr_assert(test.serves(2), "the successor does not use the engine");
    test.all.vms.at(frozen).process->resume();
    cr_assert(wait_view(test.all, vm_names, vm_names.size()));
    cr_assert(test.serves(3));
    test.check(callers, "frozen owner");
    test.end(callers);
}

// Guards against a thawed owner that goes on at the full limit because it cannot read that it was
// replaced: the allowances of both VMs together must stay within the limit. The owner has no calls
// when it is frozen, because those would be counted against its share as well.
Test(cold_start, frozen_owner_without_table_stays_within_its_share)
{
    cold_engine test({"--cold-ms", "-1", "--token-ms", "30"});
    const std::string frozen = test.owner("vm-a1");
    const auto may_serve = [&]
    {
        const auto status = endpoint_status(test.all, frozen, engine_id);
        return status && status->at("limit").as_integer() == static_cast<int>(cold_capacity);
    };
    cr_assert(eventually(may_serve));
    test.all.vms.at(frozen).process->stop();
    test.ways_to_table.at(frozen).command("freeze_all");
    const std::string other = frozen == "vm-a1" ? "vm-a2" : "vm-a1";
    cr_assert(test.owner_changes(other, frozen));
    auto by_others = test.load_from_all();
    std::erase(by_others.vms, frozen);
    load_generator callers(test.all, by_others);
    cr_assert(test.serves(4), "the successor does not use the engine");

    test.all.vms.at(frozen).process->resume();
    cr_assert(eventually([&] { return endpoint_status(test.all, frozen, engine_id).has_value(); }));
    cr_assert(!test.has_authority(frozen));
    auto by_frozen = test.load_from_all();
    by_frozen.vms = {frozen};
    load_generator frozen_callers(test.all, by_frozen);
    cr_assert(test.serves(20));
    test.ways_to_table.at(frozen).command("pass");
    cr_assert(wait_view(test.all, vm_names, vm_names.size()));
    cr_assert(test.serves(10));
    test.check(frozen_callers, "frozen owner without table");
    test.check(callers, "frozen owner without table, others");
    test.end(callers);
}

// Guards against VMs that begin with full limits, or with no account of each other, after all of
// them were restarted under load.
Test(cold_start, restart_of_all_vms_stays_within_the_limit)
{
    cold_engine test({"--cold-ms", "-1", "--token-ms", "20"});
    load_generator callers(test.all, test.load_from_all());
    cr_assert(test.serves(10));
    for (const std::string& name : vm_names)
        test.all.vms.at(name).process->kill();
    for (const std::string& name : vm_names)
        test.all.start_vm(name);
    callers.update_ports();
    test.wait_all_ready();
    cr_assert(test.serves(40));
    test.check(callers, "restart of all VMs");
    test.end(callers);
}

// Guards against a cold engine that is overrun, or left unused, while the table is out of reach and
// after it has come back.
Test(cold_start, table_outage_stays_within_the_limit)
{
    cold_engine test({"--cold-ms", "-1", "--token-ms", "10"}, true);
    load_generator callers(test.all, test.load_from_all());
    cr_assert(test.serves(20));
    const std::string owner = test.owner("vm-a1");
    test.all.table_proxies.at("dom-a").command("freeze_all");
    cr_assert(eventually([&] { return !test.has_authority(owner); }));
    cr_assert(test.serves(20), "the engine is not used while the table is down");
    // While the table is down, the view cannot change, so the death of a VM that is not the owner
    // must not matter.
    const std::string bystander = owner == "vm-a1" ? "vm-a2" : "vm-a1";
    test.all.vms.at(bystander).process->kill();
    cr_assert(test.serves(20));
    test.all.table_proxies.at("dom-a").command("pass");
    cr_assert(eventually([&] { return test.has_authority(owner); }));
    cr_assert(test.serves(20));
    test.check(callers, "table outage");
    test.end(callers);
}

// Guards against a successor that counts only its own calls after the owner was killed.
Test(cold_start, killed_owner_is_replaced_within_the_limit)
{
    cold_engine test({"--cold-ms", "-1", "--token-ms", "20"});
    load_generator callers(test.all, test.load_from_all());
    cr_assert(test.serves(10));
    const std::string owner = test.owner("vm-a1");
    const std::string other = owner == "vm-a1" ? "vm-a2" : "vm-a1";
    test.all.vms.at(owner).process->kill();
    cr_assert(test.owner_changes(other, owner));
    cr_assert(test.serves(40));
    test.check(callers, "killed owner");
    test.end(callers);
}

// Guards against a slot that is given to the next call before the engine has noticed that the last
// one was given up: by a caller that left, or by the owner after its connection broke or went
// silent.
Test(cold_start, abandoned_calls_count_until_the_engine_ends_them)
{
    cold_engine test({"--cold-ms", "-1", "--token-ms", "40"}, true);
    auto options = test.load_from_all();
    options.disconnect_percent = 50;
    load_generator callers(test.all, options);
    cr_assert(eventually([&] { return callers.disconnected() >= 8; }));
    const fault_proxy& proxy = test.all.endpoint_proxies.at(engine_id);
    for (int i = 0; i < 5; ++i)
    {
        cr_assert(test.serves(2));
        proxy.command("cut");
    }
    proxy.command("freeze_established");
    cr_assert(test.serves(6));
    test.check(callers, "abandoned calls");
    test.end(callers);
}

// Guards against a slot that is free again when a silent connection was given up, although the
// engine has not noticed and goes on. Streams are longer than the stage timeout.
Test(cold_start, silent_calls_count_until_the_engine_ends_them)
{
    cold_engine test({"--cold-ms", "-1", "--token-ms", "500"}, true);
    load_generator callers(test.all, test.load_from_all(3));
    for (int i = 0; i < 3; ++i)
    {
        cr_assert(eventually([&] { return test.count("running") == cold_capacity; }));
        test.all.endpoint_proxies.at(engine_id).command("freeze_established");
        cr_assert(test.serves(2));
    }
    test.check(callers, "silent calls");
    test.end(callers);
}
