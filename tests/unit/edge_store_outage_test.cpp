// Removed entries of endpoints around outages of the store: of some VMs only, or of all.
#include "serving_fixture.h"

#include <criterion/criterion.h>

using namespace serving;

namespace
{

// Bound on the time from the removal of an endpoint until it gets no more requests.
constexpr milliseconds drain_bound{2000};

// Three VMs of one failure domain that all read the store.
struct three_vm_deployment : deployment
{
    static constexpr std::size_t vm_count = 3;
    fake_endpoint& plain_1 = add_endpoint("plain", "plain-1");
    fake_endpoint& plain_2 = add_endpoint("plain", "plain-2");

    void start()
    {
        configure(1);
        for (std::size_t i = 0; i < vm_count; ++i)
            add_vm();
        cr_assert(run_until([&] { return is_ready(0) && is_ready(1) && is_ready(2); }));
        cr_assert(run_until([&] { return is_linked(0) && is_linked(1) && is_linked(2); }));
    }

    bool is_linked(std::size_t number) { return vm(number).links_up() == vm_count - 1; }
};

} // namespace

// Guards against VMs that lost nothing but take a removal for a lapse, because another VM has just
// regained the store.
Test(edge_store_outage, other_vm_regains_store_removed_endpoint_is_dropped_in_time)
{
    three_vm_deployment harness;
    harness.start();
    cr_assert(harness.lose_store(2, harness.plain_1));
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
    cr_assert(harness.lose_store(2, harness.plain_1));
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
