// The state of the store on VMs that do not read it themselves: they take it from the relays of
// their failure domain.
#include "coordination/state_follower.h"
#include "serving_fixture.h"

#include <criterion/criterion.h>

using namespace serving;
using web::json::value;
using zinnianotch::state_table;

namespace
{

// Bound on the time from a change in the store until all VMs apply it, 3 s on the sites of this
// size.
constexpr milliseconds config_bound{3000};
// Bound on the time from the removal of an endpoint until it gets no more requests.
constexpr milliseconds drain_bound{2000};

// One failure domain with three relays and two other VMs; start() waits until these two take the
// state from the relays.
struct relayed_deployment : deployment
{
    static constexpr std::size_t vm_count = 5;
    fake_endpoint& plain_1 = add_endpoint("plain", "plain-1");
    fake_endpoint& plain_2 = add_endpoint("plain", "plain-2");
    std::vector<std::size_t> relays;
    std::vector<std::size_t> others;

    void start()
    {
        configure(1);
        for (std::size_t i = 0; i < vm_count; ++i)
            add_vm();
        cr_assert(run_until([&] { return ready_with_relays(); }));
        for (std::size_t i = 0; i < vm_count; ++i)
            (vm(i).is_relay() ? relays : others).push_back(i);
    }

    bool ready_with_relays()
    {
        std::size_t reading = 0;
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            if (!is_ready(i))
                return false;
            for (const state_table table : zinnianotch::all_state_tables)
                reading += vm(i).reads_store(table) ? 1 : 0;
        }
        return reading == zinnianotch::relays_per_domain * zinnianotch::state_table_count;
    }

    bool all_have_version(std::uint64_t version)
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            if (vm(i).desired_version() != version)
                return false;
        }
        return true;
    }

    std::uint64_t store_calls_of_others() const
    {
        std::uint64_t calls = 0;
        for (const std::size_t vm : others)
            calls += store.calls_at(vm);
        return calls;
    }

    // Value of a counter of the VM; 0 if it is not there yet.
    std::uint64_t counter(std::size_t vm, const std::string& name)
    {
        const std::string page = get_from_metrics_port(vm, "/metrics")->body;
        const std::string line = "\nzinnianotch_" + name + " ";
        const std::size_t found = page.find(line);
        return found == std::string::npos ? 0 : std::stoull(page.substr(found + line.size()));
    }

    // Makes `reports` crashes known to all VMs, as news from a VM that is not in the list.
    void report_crashes(std::size_t reports)
    {
        namespace ip = boost::asio::ip;
        bool is_up = false;
        zinnianotch::vm_link link(
            io, {ip::make_address(loopback), vm(relays[0]).peers_port()},
            [](zinnianotch::vm_message&&) {}, [&] { is_up = true; },
            [](const zinnianotch::link_history&) {});
        link.tick(zinnianotch::steady_clock::now());
        cr_assert(run_until([&] { return is_up; }));
        for (std::size_t i = 0; i < reports; ++i)
        {
            zinnianotch::crash_report report;
            report.origin = "elsewhere";
            report.sequence = i + 1;
            report.engines = {{"engine-" + std::to_string(i), 1}};
            report.domain = "dom-a";
            report.age = milliseconds(500) * i; // without a common cause
            report.parts = {"part-" + std::to_string(i % 7), "own-" + std::to_string(i)};
            link.send(report);
        }
        cr_assert(run_until(
            [&]
            {
                for (std::size_t i = 0; i < vm_count; ++i)
                {
                    if (counter(i, "crash_reports_received_total") < reports)
                        return false;
                }
                return true;
            }));
        run_for(milliseconds(500)); // copies on their way arrive
    }

    bool any_routes_to(const std::string& endpoint)
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            if (vm(i).routes_to(endpoint))
                return true;
        }
        return false;
    }
};

} // namespace

// Guards against hundreds of VMs that each follow the tables of the store.
Test(edge_relay, other_vms_changes_arrive_without_calls_to_store)
{
    relayed_deployment harness;
    harness.start();
    harness.run_for(milliseconds(3600)); // polls in progress end
    const std::uint64_t before = harness.store_calls_of_others();
    harness.configure(2);
    cr_assert(harness.run_until([&] { return harness.all_have_version(2); }, config_bound));
    harness.publish_endpoint("plain", harness.plain_1, "dom-a", "draining");
    cr_assert(harness.run_until([&] { return !harness.any_routes_to("plain-1"); }, config_bound));
    const std::uint64_t after = harness.store_calls_of_others();
    cr_assert(after == before);
}

// Guards against VMs that go on with old state when no relay reaches the store any more, whether
// the store rejects their calls or does not answer them.
Test(edge_relay, relays_rejected_by_store_others_read_it_themselves)
{
    relayed_deployment harness;
    harness.start();
    for (const std::size_t vm : harness.relays)
        harness.store.fail_listener(vm);
    harness.configure(2);
    cr_assert(harness.run_until([&] { return harness.all_have_version(2); }, config_bound));
}

Test(edge_relay, relays_unanswered_by_store_others_read_it_themselves)
{
    relayed_deployment harness;
    harness.start();
    for (const std::size_t vm : harness.relays)
        harness.store.silence_listener(vm);
    harness.configure(2);
    cr_assert(harness.run_until([&] { return harness.all_have_version(2); }, config_bound));
}

// Guards against calls that are given up while their response arrives, each after the same part of
// it, so that a large configuration never takes effect.
Test(edge_relay, response_of_store_arrives_slowly_version_takes_effect)
{
    relayed_deployment harness;
    harness.start();
    harness.run_for(milliseconds(3600)); // polls in progress end
    for (const std::size_t vm : harness.relays)
        harness.store.fail_listener(vm);
    harness.store.slow_responses("op", 2 * zinnianotch::follow_timeout_slack);
    harness.configure(2);
    cr_assert(harness.run_until(
        [&]
        {
            return harness.vm(harness.others[0]).desired_version() == 2 &&
                   harness.vm(harness.others[1]).desired_version() == 2;
        }));
}

// Guards against hundreds of VMs that keep calling a store that is down: each may try each table
// three times in three seconds.
Test(edge_relay, store_down_for_all_others_rarely_call_it)
{
    relayed_deployment harness;
    harness.start();
    const std::uint64_t before = harness.store_calls_of_others();
    for (std::size_t vm = 0; vm < relayed_deployment::vm_count; ++vm)
        harness.store.fail_listener(vm);
    harness.run_for(milliseconds(3000));
    const std::uint64_t after = harness.store_calls_of_others();
    const std::uint64_t tables = harness.others.size() * zinnianotch::state_table_count;
    cr_assert(after > before && after - before <= 3 * tables, "%lu calls for %lu tables",
              static_cast<unsigned long>(after - before), static_cast<unsigned long>(tables));
}

// Guards against a change that is missed when the only relay that has it dies.
Test(edge_relay, relays_die_others_read_store)
{
    relayed_deployment harness;
    harness.start();
    for (const std::size_t vm : harness.relays)
        harness.kill_vm(vm);
    harness.configure(2);
    cr_assert(harness.run_until(
        [&]
        {
            return harness.vm(harness.others[0]).desired_version() == 2 &&
                   harness.vm(harness.others[1]).desired_version() == 2;
        },
        config_bound));
}

// Guards against a VM without relays that calls the store again only after the bound on a change.
Test(edge_relay, relays_die_and_store_fails_for_others_change_after_its_return_is_in_time)
{
    relayed_deployment harness;
    harness.start();
    const std::size_t watched = harness.others[0];
    for (const std::size_t vm : harness.relays)
        harness.kill_vm(vm);
    for (const std::size_t vm : harness.others)
        harness.store.fail_listener(vm);
    harness.run_for(milliseconds(6000)); // until the delays between calls no longer grow
    const std::uint64_t calls = harness.store.calls_at(watched);
    cr_assert(harness.run_until([&] { return harness.store.calls_at(watched) > calls; }));
    harness.run_for(milliseconds(100)); // until its other tables are refused as well
    for (const std::size_t vm : harness.others)
        harness.store.restore_listener(vm);
    harness.configure(2);
    cr_assert(harness.run_until([&] { return harness.vm(watched).desired_version() == 2; },
                                config_bound));
}

// Guards against links that are full of copies of what is known of crashes: each VM that a new one
// is linked to sends all of it.
Test(edge_relay, vm_joins_after_crashes_hears_of_each_about_once)
{
    constexpr std::size_t reports = 100;
    relayed_deployment harness;
    harness.start();
    harness.report_crashes(reports);
    const std::size_t joined = harness.add_vm();
    cr_assert(harness.run_until([&] { return harness.is_ready(joined); }));
    cr_assert(harness.run_until(
        [&] { return harness.counter(joined, "crash_reports_received_total") >= reports; }));
    harness.run_for(milliseconds(4000));
    const std::uint64_t received = harness.counter(joined, "crash_reports_received_total");
    cr_assert(received <= reports + reports / 2, "%lu reports",
              static_cast<unsigned long>(received));
}

// Guards against a table without records that other VMs do not adopt: the last endpoint of all has
// left, and would get requests from VMs that do not read the store.
Test(edge_relay, all_endpoints_gone_no_vm_keeps_them)
{
    relayed_deployment harness;
    harness.start();
    harness.store.remove("servers", "plain-1");
    harness.store.remove("servers", "plain-2");
    cr_assert(harness.run_until(
        [&] { return !harness.any_routes_to("plain-1") && !harness.any_routes_to("plain-2"); },
        config_bound));
}

// Guards against a restarted VM that uses an endpoint or a key which was withdrawn while it was
// down: it takes its state from VMs that have seen the change.
Test(edge_relay, vm_starts_after_withdrawal_knows_neither_key_nor_endpoint)
{
    relayed_deployment harness;
    value account = value::object();
    account["name"] = value::string("acme");
    account["api_keys"] = value::array({value::string("key-1"), value::string("key-2")});
    harness.accounts = value::array({account});
    harness.start();
    account["api_keys"] = value::array({value::string("key-2")});
    harness.accounts = value::array({account});
    harness.store.remove("servers", "plain-1");
    harness.configure(2);
    cr_assert(harness.run_until([&] { return harness.all_have_version(2); }, config_bound));
    const std::size_t started = harness.add_vm();
    cr_assert(harness.run_until([&] { return harness.is_ready(started); }));
    const auto with_key = [](const std::string& attempt, const std::string& key)
    { return request_text("GET", "/read/1", attempt, "Authorization: Bearer " + key + "\r\n"); };
    cr_assert(harness.send_and_wait(started, with_key("a1", "key-1"))->head.status == 401);
    cr_assert(harness.send_and_wait(started, with_key("a2", "key-2"))->head.status == 200);
    cr_assert_not(harness.vm(started).routes_to("plain-1"));
    cr_assert(harness.plain_1.requests.empty());
}

// Guards against VMs that keep a removed endpoint because one of their relays has just regained the
// store, though the others have read it all the time.
Test(edge_relay, one_relay_regains_store_removed_endpoint_is_dropped_in_time)
{
    relayed_deployment harness;
    harness.start();
    cr_assert(harness.lose_store(harness.relays[0], harness.plain_1));
    harness.run_for(milliseconds(30));
    harness.store.remove("servers", "plain-2");
    cr_assert(harness.run_until(
        [&]
        {
            return !harness.vm(harness.others[0]).routes_to("plain-2") &&
                   !harness.vm(harness.others[1]).routes_to("plain-2");
        },
        drain_bound));
}

// Guards against endpoints that are dropped because their entries lapsed during an outage of the
// store, on VMs that learn of both from a relay.
Test(edge_relay, entries_lapse_during_outage_endpoints_stay_on_other_vms)
{
    relayed_deployment harness;
    harness.start();
    harness.store.unresponsive = true;
    harness.store.remove("servers", "plain-1");
    const auto any_current = [&]
    {
        for (const std::size_t vm : harness.relays)
        {
            const auto report = harness.vm(vm).report(zinnianotch::steady_clock::now());
            if (report.tables[1].is_current)
                return true;
        }
        return false;
    };
    cr_assert(harness.run_until([&] { return !any_current(); }));
    harness.store.unresponsive = false;
    cr_assert(harness.run_until(any_current));
    harness.run_for(milliseconds(1000));
    for (const std::size_t vm : harness.others)
        cr_assert(harness.vm(vm).routes_to("plain-1"), "within the grace period");
    harness.publish_endpoint("plain", harness.plain_1, "dom-a");
    harness.run_for(milliseconds(3000));
    for (const std::size_t vm : harness.others)
        cr_assert(harness.vm(vm).routes_to("plain-1"), "its entry is back");
}
