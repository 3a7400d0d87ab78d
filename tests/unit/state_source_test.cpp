// Which VMs read the store, and when a VM takes the state from another one.
#include "state/state_source.h"

#include <criterion/criterion.h>

#include <set>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr state_table table = state_table::endpoints;

std::vector<weighted_name> domain_of(int vms)
{
    std::vector<weighted_name> list;
    list.reserve(static_cast<std::size_t>(vms));
    for (int i = 0; i < vms; ++i)
        list.push_back({"vm-" + std::to_string(i), 0.12});
    return list;
}

table_copies copies_with(const table_copy& copy)
{
    table_copies all;
    all.fill(copy);
    return all;
}

table_copy in_sync_at(std::uint64_t revision, std::uint64_t digest)
{
    return {true, true, {1, revision}, digest};
}

table_copy in_sync_for(milliseconds time)
{
    table_copy copy = in_sync_at(5, 1);
    copy.in_sync_for = time;
    return copy;
}

} // namespace

// Guards against small deployments in which a VM depends on another one to reach the store.
Test(state_source, state_relays_small_domain_all_vms_read)
{
    cr_assert(state_relays("dom-a", domain_of(1)).size() == 1);
    cr_assert(state_relays("dom-a", domain_of(3)).size() == 3);
    cr_assert(state_relays("dom-a", domain_of(59)).size() == relays_per_domain);
}

// Guards against relays on VMs whose link and processor are too small for them.
Test(state_source, state_relays_prefer_large_vms)
{
    std::vector<weighted_name> vms;
    vms.reserve(60);
    for (int i = 0; i < 57; ++i)
        vms.push_back({"small-" + std::to_string(i), 0.024});
    for (int i = 0; i < 3; ++i)
        vms.push_back({"large-" + std::to_string(i), 0.5});
    std::size_t large = 0;
    for (int domain = 0; domain < 20; ++domain)
    {
        for (const std::string& name : state_relays("dom-" + std::to_string(domain), vms))
            large += name.starts_with("large") ? 1 : 0;
    }
    cr_assert(large > 50, "of 60 relays: %zu", large);
}

// Guards against a change of all relays when one VM leaves.
Test(state_source, state_relays_one_vm_leaves_others_stay)
{
    const auto before = state_relays("dom-a", domain_of(20));
    auto vms = domain_of(20);
    std::erase_if(vms, [&](const weighted_name& vm) { return vm.name == before[1]; });
    const auto after = state_relays("dom-a", vms);
    cr_assert(after[0] == before[0] && after[1] == before[2]);
}

// Guards against a VM that goes on with old state because a relay is cut off from the store, paused
// or gone.
Test(state_source, is_covered_only_by_recent_notice_of_vm_in_sync)
{
    state_sources sources;
    cr_assert_not(sources.is_covered(table, 1, start));
    sources.on_notice("relay-1", copies_with(in_sync_at(5, 1)), start);
    cr_assert(sources.is_covered(table, 1, start + notice_max_age));
    cr_assert_not(sources.is_covered(table, 1, start + notice_max_age + milliseconds(1)));
    table_copy lost = in_sync_at(5, 1);
    lost.in_sync = false;
    sources.on_notice("relay-1", copies_with(lost), start);
    cr_assert_not(sources.is_covered(table, 1, start));
    sources.on_notice("relay-2", copies_with(in_sync_at(5, 1)), start);
    cr_assert(sources.is_covered(table, 1, start));
    sources.remove("relay-2");
    cr_assert_not(sources.is_covered(table, 1, start));
}

// Guards against a VM that takes relays which have lost the store for relays that are gone.
Test(state_source, has_recent_notice_also_of_vm_out_of_sync)
{
    state_sources sources;
    cr_assert_not(sources.has_recent_notice(start));
    table_copy lost = in_sync_at(5, 1);
    lost.in_sync = false;
    sources.on_notice("relay-1", copies_with(lost), start);
    cr_assert(sources.has_recent_notice(start + notice_max_age));
    cr_assert_not(sources.has_recent_notice(start + notice_max_age + milliseconds(1)));
    sources.on_notice("relay-1", copies_with(lost), start);
    sources.remove("relay-1");
    cr_assert_not(sources.has_recent_notice(start));
}

// Guards against hundreds of VMs that fetch what they have, or fetch the same change from each
// relay.
Test(state_source, next_query_asks_one_vm_for_newer_content_only)
{
    state_sources sources;
    const table_copy own = in_sync_at(10, 77);
    sources.on_notice("relay-1", copies_with(in_sync_at(12, 77)), start);
    cr_assert_not(sources.next_query(table, own, start), "same content");
    sources.on_notice("relay-1", copies_with(in_sync_at(9, 5)), start);
    cr_assert_not(sources.next_query(table, own, start), "older content");
    sources.on_notice("relay-1", copies_with(in_sync_at(14, 78)), start);
    sources.on_notice("relay-2", copies_with(in_sync_at(15, 78)), start);
    cr_assert(sources.next_query(table, own, start) == "relay-1");
    cr_assert_not(sources.next_query(table, own, start + milliseconds(10)), "in progress");
    cr_assert(sources.next_query(table, own, start + state_query_timeout) == "relay-2");
    sources.on_answer(table);
    cr_assert_not(sources.next_query(table, in_sync_at(15, 78), start + milliseconds(310)));
}

// Guards against a table that has become empty, with a digest of 0, and is taken for one that was
// queried before.
Test(state_source, next_query_empty_table_is_fetched)
{
    state_sources sources;
    sources.on_notice("relay-1", copies_with(in_sync_at(12, 0)), start);
    cr_assert(sources.next_query(table, in_sync_at(10, 77), start) == "relay-1");
}

// Guards against a copy that is complete but seems old, so that its VM would fetch all of it again.
Test(state_source, confirmed_position_follows_vm_with_same_content)
{
    state_sources sources;
    const table_copy own = in_sync_at(10, 77);
    sources.on_notice("relay-1", copies_with(in_sync_at(30, 77)), start);
    sources.on_notice("relay-2", copies_with(in_sync_at(40, 78)), start);
    cr_assert(sources.confirmed_position(table, own, start) == (store_position{1, 30}));
    cr_assert(sources.confirmed_position(table, own, start + milliseconds(1500)) ==
              (store_position{1, 10}));
}

// Guards against tables that differ but have the same digest, in particular after a change of
// value.
Test(state_source, record_digest_depends_on_name_and_value)
{
    std::set<std::uint64_t> digests;
    digests.insert(record_digest({"a", "1", 5, false}));
    digests.insert(record_digest({"a", "2", 5, false}));
    digests.insert(record_digest({"b", "1", 5, false}));
    digests.insert(record_digest({"", "a1", 5, false}));
    cr_assert(digests.size() == 4);
}

// Guards against relays that stop reading the store, and against other VMs that never stop.
Test(state_source, table_reading_relay_reads_others_stop_when_covered)
{
    table_reading relay{milliseconds(0)};
    table_reading other{milliseconds(0)};
    for (milliseconds t{0}; t < milliseconds(2000); t += milliseconds(20))
    {
        cr_assert(relay.update(true, true, start + t));
        cr_assert(other.update(false, true, start + t) == (t < covered_before_stop));
    }
}

// Guards against a short gap in the notices that sends all VMs to the store, and against all of
// them arriving there at the same moment when the gap stays.
Test(state_source, table_reading_uncovered_vms_start_one_after_another)
{
    std::set<int> starts;
    for (int spread = 0; spread < uncovered_spread.count(); spread += 50)
    {
        table_reading reading{milliseconds(spread)};
        milliseconds t{0};
        for (; t < milliseconds(1000); t += milliseconds(10))
            (void)reading.update(false, true, start + t);
        (void)reading.update(false, false, start + t);
        cr_assert_not(reading.update(false, true, start + t + milliseconds(90)));
        t += milliseconds(2000);
        milliseconds waited{0};
        for (; !reading.update(false, false, start + t + waited); waited += milliseconds(10))
            cr_assert(waited < milliseconds(1000));
        starts.insert(static_cast<int>(waited.count()));
    }
    cr_assert(starts.size() == 8);
}

// Guards against a VM that stays in the era before a restoration, in which its copy has a larger
// revision or the same content.
Test(state_source, next_query_newer_era_asks_despite_larger_revision_and_same_content)
{
    state_sources sources;
    const table_copy own = in_sync_at(50, 77);
    table_copy restored = in_sync_at(20, 77);
    restored.position.era = 2;
    sources.on_notice("relay-1", copies_with(restored), start);
    cr_assert(sources.next_query(table, own, start) == "relay-1");
    cr_assert(sources.confirmed_position(table, own, start) == (store_position{1, 50}));
}

// Guards against a VM that stops reading because of relays that have not noticed a restoration.
Test(state_source, is_covered_vm_of_older_era_does_not_count)
{
    state_sources sources;
    sources.on_notice("relay-1", copies_with(in_sync_at(50, 77)), start);
    cr_assert(sources.is_covered(table, 1, start));
    cr_assert_not(sources.is_covered(table, 2, start));
}

// Guards against endless queries for held records that this VM does not take over.
Test(state_source, next_held_difference_same_content_returned_once)
{
    state_sources sources;
    const table_copy own = in_sync_at(50, 77);
    table_copy holding = own;
    holding.held_digest = 5;
    sources.on_notice("relay-1", copies_with(holding), start);
    const auto difference = sources.next_held_difference(table, own);
    cr_assert(difference && difference->vm == "relay-1" && difference->asks);
    cr_assert_not(sources.next_held_difference(table, own));
    cr_assert_not(state_sources().next_held_difference(table, own));
}

// Guards against a VM that takes another one's outage for one of the store: the VM that has read
// the table longest counts, while its announcement is recent.
Test(state_source, in_sync_since_several_vms_is_that_of_longest)
{
    state_sources sources;
    cr_assert_not(sources.in_sync_since(table, 1, start).has_value());
    sources.on_notice("vm-1", copies_with(in_sync_for(milliseconds(300))), start);
    sources.on_notice("vm-2", copies_with(in_sync_for(milliseconds(9000))), start);
    cr_assert(sources.in_sync_since(table, 1, start) == start - milliseconds(9000));
    const time_point later = start + notice_max_age + milliseconds(1);
    sources.on_notice("vm-1", copies_with(in_sync_for(milliseconds(1301))), later);
    cr_assert(sources.in_sync_since(table, 1, later) == start - milliseconds(300));
    cr_assert_not(sources.in_sync_since(table, 2, later).has_value());
}

// Guards against a VM without the store whose word on it counts.
Test(state_source, in_sync_since_vm_that_lost_store_does_not_count)
{
    state_sources sources;
    table_copy lost = in_sync_for(milliseconds(9000));
    lost.in_sync = false;
    sources.on_notice("vm-1", copies_with(lost), start);
    cr_assert_not(sources.in_sync_since(table, 1, start).has_value());
}
