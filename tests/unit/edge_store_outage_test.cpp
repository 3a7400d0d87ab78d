// Removed entries of endpoints around outages of the store: of some VMs only, or of all.
#include "coordination/state_follower.h"
#include "serving_fixture.h"

#include <criterion/criterion.h>

using namespace serving;
using web::json::value;
using zinnianotch::steady_clock;

namespace
{

// Bound on the time from the removal of an endpoint until it gets no more requests.
constexpr milliseconds drain_bound{2000};
// Age of its last response at which a VM has lost the store.
constexpr milliseconds lost_response_age =
    zinnianotch::endpoints_timing.long_poll_wait + 2 * zinnianotch::follow_timeout_slack;
constexpr milliseconds heartbeat_interval{100};

// Three VMs of one failure domain that all read the store.
struct three_vm_deployment : deployment
{
    static constexpr std::size_t vm_count = 3;
    fake_endpoint& plain_1 = add_endpoint("plain", "plain-1");
    fake_endpoint& plain_2 = add_endpoint("plain", "plain-2");
    int heartbeats = 0;

    void start()
    {
        configure(1);
        for (std::size_t i = 0; i < vm_count; ++i)
            add_vm();
        cr_assert(run_until([&] { return is_ready(0) && is_ready(1) && is_ready(2); }));
        cr_assert(run_until([&] { return is_linked(0) && is_linked(1) && is_linked(2); }));
    }

    bool is_linked(std::size_t number) { return vm(number).links_up() == vm_count - 1; }

    milliseconds last_response_age(std::size_t number)
    {
        return vm(number).report(steady_clock::now()).tables[1].last_response_age;
    }

    void write_heartbeat()
    {
        value entry = store.get("servers", "plain-1");
        entry["sequence"] = value::number(++heartbeats);
        store.put("servers", "plain-1", entry);
    }

    // Writes heartbeats until the condition holds.
    bool run_with_heartbeats_until(const std::function<bool()>& condition)
    {
        for (int i = 0; i < 100; ++i)
        {
            write_heartbeat();
            if (run_until(condition, heartbeat_interval))
                return true;
        }
        return false;
    }

    // The store fails for one VM and answers it again.
    void lose_store(std::size_t number)
    {
        store.fail_listener(number);
        cr_assert(run_with_heartbeats_until(
            [&] { return last_response_age(number) > lost_response_age; }));
        store.restore_listener(number);
        cr_assert(run_with_heartbeats_until(
            [&] { return last_response_age(number) < milliseconds(500); }));
    }
};

} // namespace

// Guards against VMs that lost nothing but take a removal for a lapse, because another VM has just
// regained the store.
Test(edge_store_outage, other_vm_regains_store_removed_endpoint_is_dropped_in_time)
{
    three_vm_deployment harness;
    harness.start();
    harness.lose_store(2);
    harness.run_for(milliseconds(30));
    harness.store.remove("servers", "plain-2");
    cr_assert(harness.run_until(
        [&] { return !harness.vm(0).routes_to("plain-2") && !harness.vm(1).routes_to("plain-2"); },
        drain_bound));
}

// Guards against a VM that takes the loss of its own connection for an outage of the store, though
// other VMs have read it all the time.
Test(edge_store_outage, own_connection_regained_removed_endpoint_is_dropped_in_time)
{
    three_vm_deployment harness;
    harness.start();
    harness.lose_store(2);
    harness.run_for(milliseconds(30));
    harness.store.remove("servers", "plain-2");
    cr_assert(harness.run_until([&] { return !harness.vm(2).routes_to("plain-2"); }, drain_bound));
}

// Guards against endpoints that are dropped because their entries lapsed while no VM could read the
// store.
Test(edge_store_outage, all_vms_regain_store_endpoints_of_lapsed_entries_stay)
{
    three_vm_deployment harness;
    harness.start();
    harness.store.refuse_status = 503;
    harness.run_for(milliseconds(3700)); // longer than the longest wait of a feed call
    harness.store.remove("servers", "plain-2");
    harness.store.refuse_status = 0;
    harness.run_for(milliseconds(1300));
    for (std::size_t i = 0; i < three_vm_deployment::vm_count; ++i)
        cr_assert(harness.vm(i).routes_to("plain-2"), "VM %zu", i);
    harness.publish_endpoint("plain", harness.plain_2, "dom-a");
    harness.run_for(milliseconds(2000));
    for (std::size_t i = 0; i < three_vm_deployment::vm_count; ++i)
        cr_assert(harness.vm(i).routes_to("plain-2"), "VM %zu", i);
}
