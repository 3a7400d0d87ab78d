// Unit tests of endpoint ownership, view changes, authority and the cold allowance.
#include "state/view.h"

#include <criterion/criterion.h>

#include <map>
#include <string>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

view_member member(const std::string& name, std::uint64_t incarnation = 1)
{
    return {{name, incarnation}, "127.0.0.1:1"};
}

domain_view view_of(std::uint64_t version, std::vector<view_member> members)
{
    return {version, std::move(members), {}};
}

} // namespace

// Guards against owners that differ between builds or processes: the expected owners are fixed.
Test(view, owner_of_known_view_is_stable)
{
    const domain_view view = view_of(1, {member("vm-a"), member("vm-b"), member("vm-c")});
    std::string owners;
    for (int i = 0; i < 12; ++i)
        owners += owner_of(view, "engine-" + std::to_string(i))->id.name.back();
    cr_assert(owners == "cacabababbab", "owners are %s", owners.c_str());
}

// Guards against an owner that depends on the order of the members in the row.
Test(view, owner_of_reordered_view_is_same)
{
    const domain_view one = view_of(1, {member("vm-a"), member("vm-b"), member("vm-c")});
    const domain_view other = view_of(1, {member("vm-c"), member("vm-a"), member("vm-b")});
    for (int i = 0; i < 200; ++i)
    {
        const std::string endpoint = "engine-" + std::to_string(i);
        cr_assert(owner_of(one, endpoint)->id == owner_of(other, endpoint)->id);
    }
}

// Guards against a hash that assigns most endpoints with consecutive ids to one VM.
Test(view, owner_of_many_endpoints_spreads_evenly)
{
    domain_view view = view_of(1, {});
    for (int i = 0; i < 9; ++i)
        view.members.push_back(member("vm-" + std::to_string(i)));
    std::map<vm_id, int> owned;
    for (int i = 0; i < 9000; ++i)
        ++owned[owner_of(view, "engine-" + std::to_string(i))->id];
    for (const view_member& vm : view.members)
        cr_assert(owned[vm.id] > 800 && owned[vm.id] < 1200, "%s owns %d of 9000",
                  vm.id.name.c_str(), owned[vm.id]);
}

// Guards against a view change that moves endpoints between the remaining members.
Test(view, owner_of_leaving_member_moves_only_its_endpoints)
{
    const domain_view before = view_of(1, {member("vm-a"), member("vm-b"), member("vm-c")});
    const domain_view after = without_member(before, {"vm-b", 1}, true);
    for (int i = 0; i < 200; ++i)
    {
        const std::string endpoint = "engine-" + std::to_string(i);
        const vm_id owner = owner_of(before, endpoint)->id;
        if (owner.name != "vm-b")
            cr_assert(owner_of(after, endpoint)->id == owner);
    }
}

// Guards against an owner other than null in a view without members, as at the start of a
// deployment.
Test(view, owner_of_empty_view_is_null)
{
    cr_assert(owner_of(domain_view{}, "engine-1") == nullptr);
}

// Guards against two incarnations of a VM as members, of which the older one would never answer.
Test(view, with_member_newer_incarnation_replaces_older)
{
    domain_view view = view_of(4, {member("vm-a", 1), member("vm-b", 1)});
    view.former = {member("vm-a", 0)};
    const domain_view changed = with_member(view, member("vm-a", 2));
    cr_assert(changed.version == 5);
    cr_assert(changed.members.size() == 2);
    cr_assert(changed.members.back().id == (vm_id{"vm-a", 2}));
    cr_assert(changed.former.empty());
}

// Guards against a delayed join of a dead process that removes its successor.
Test(view, with_member_older_incarnation_changes_nothing)
{
    const domain_view view = view_of(4, {member("vm-a", 2)});
    const domain_view changed = with_member(view, member("vm-a", 1));
    cr_assert(changed.version == 4);
    cr_assert(changed.members == view.members);
}

// Guards against writing the view row when nothing changes.
Test(view, with_member_present_member_changes_nothing)
{
    const domain_view view = view_of(4, {member("vm-a")});
    cr_assert(with_member(view, member("vm-a")).version == 4);
}

// Guards against dropping a VM that was declared dead but may still act.
Test(view, without_member_not_stopped_is_kept_as_former)
{
    const domain_view view = view_of(4, {member("vm-a"), member("vm-b")});
    const domain_view removed = without_member(view, {"vm-a", 1}, false);
    cr_assert(removed.version == 5);
    cr_assert(removed.members.size() == 1 && removed.former.size() == 1);

    const domain_view repeated = without_member(removed, {"vm-a", 1}, false);
    cr_assert(repeated.version == 5 && repeated.former.size() == 1);

    const domain_view dropped = without_member(removed, {"vm-a", 1}, true);
    cr_assert(dropped.version == 6 && dropped.former.empty());
}

// Guards against a VM that was declared dead by mistake and stays a former member after it
// rejoined.
Test(view, with_member_former_member_rejoins)
{
    domain_view view = view_of(4, {member("vm-b")});
    view.former = {member("vm-a")};
    const domain_view changed = with_member(view, member("vm-a"));
    cr_assert(changed.members.size() == 2 && changed.former.empty());
}

// Guards against measuring the authority from the arrival of the answer instead of the sending of
// the request.
Test(authority, is_current_slow_answer_counts_from_send)
{
    authority own_authority({"vm-a", 1});
    cr_assert(!own_authority.is_current(start));
    const domain_view view = view_of(1, {member("vm-a")});
    own_authority.on_view_read(view, start, start + milliseconds(2900));
    cr_assert(own_authority.is_current(start + milliseconds(2999)));
    cr_assert(!own_authority.is_current(start + authority_duration));
}

// Guards against a delayed answer that replaces a newer one.
Test(authority, on_view_read_answers_out_of_order_keep_newest)
{
    authority own_authority({"vm-a", 1});
    const domain_view older = view_of(1, {member("vm-a")});
    const domain_view newer = view_of(2, {member("vm-a"), member("vm-b")});
    own_authority.on_view_read(newer, start + milliseconds(1000), start + milliseconds(1010));
    own_authority.on_view_read(newer, start, start + milliseconds(1500));
    cr_assert(own_authority.is_current(start + milliseconds(3500)));
    own_authority.on_view_read(older, start + milliseconds(2000), start + milliseconds(2010));
    cr_assert(own_authority.view().version == 2);
    cr_assert(!own_authority.is_current(start + milliseconds(4000)));
}

// Guards against a takeover while a former owner may still act, and against an unnecessary wait.
Test(authority, is_takeover_safe_after_all_acknowledged_or_wait)
{
    authority own_authority({"vm-a", 1});
    cr_assert(!own_authority.is_takeover_safe(start));
    domain_view view = view_of(3, {member("vm-a"), member("vm-b")});
    view.former = {member("vm-c")};
    own_authority.on_view_read(view, start, start);
    cr_assert(own_authority.unacknowledged() == 2);
    cr_assert(!own_authority.is_takeover_safe(start + takeover_wait - milliseconds(1)));
    cr_assert(own_authority.is_takeover_safe(start + takeover_wait));
    cr_assert(own_authority.handover_at() == start + takeover_wait);

    own_authority.on_acknowledged({"vm-b", 1}, 2, start + milliseconds(400));
    cr_assert(own_authority.unacknowledged() == 2);
    own_authority.on_acknowledged({"vm-b", 1}, 3, start + milliseconds(500));
    cr_assert(own_authority.unacknowledged() == 1);
    own_authority.on_stopped({"vm-c", 1}, start + milliseconds(600));
    cr_assert(own_authority.unacknowledged() == 0);
    cr_assert(own_authority.is_takeover_safe(start + milliseconds(600)));
    cr_assert(own_authority.handover_at() == start + milliseconds(600));
}

// Guards against losing an acknowledgement that arrives before this VM has read the view.
Test(authority, on_acknowledged_before_own_read_counts)
{
    authority own_authority({"vm-a", 1});
    own_authority.on_acknowledged({"vm-b", 1}, 7, start);
    own_authority.on_view_read(view_of(7, {member("vm-a"), member("vm-b")}), start, start);
    cr_assert(own_authority.unacknowledged() == 0);
    own_authority.on_view_read(view_of(8, {member("vm-a"), member("vm-b")}), start, start);
    cr_assert(own_authority.unacknowledged() == 1);
}

// Guards against the stop of one incarnation counting for the next one.
Test(authority, on_stopped_older_incarnation_keeps_newer_unacknowledged)
{
    authority own_authority({"vm-a", 1});
    own_authority.on_stopped({"vm-b", 1}, start);
    own_authority.on_view_read(view_of(1, {member("vm-a"), member("vm-b", 2)}), start, start);
    cr_assert(own_authority.unacknowledged() == 1);
    own_authority.on_stopped({"vm-b", 2}, start);
    cr_assert(own_authority.unacknowledged() == 0);
}

// Guards against allowances whose sum exceeds the limit: a sequence of lapsed owners, each with one
// more unacknowledged predecessor, and one current owner.
Test(cold_allowance, any_chain_of_owners_sums_to_limit)
{
    for (std::uint32_t limit = 1; limit <= 64; ++limit)
    {
        std::uint32_t lapsed = 0;
        for (std::size_t predecessors = 0; predecessors < 8; ++predecessors)
        {
            const std::uint32_t current = cold_allowance(limit, predecessors, true, true);
            cr_assert(lapsed + current == limit, "limit %u, %zu predecessors: %u and %u", limit,
                      predecessors, lapsed, current);
            lapsed += cold_allowance(limit, predecessors, false, true);
        }
    }
}

// Guards against deviating from the values that the design document states for small limits.
Test(cold_allowance, small_limits_match_design)
{
    cr_assert(cold_allowance(2, 0, true, true) == 2);
    cr_assert(cold_allowance(2, 0, false, true) == 1);
    cr_assert(cold_allowance(2, 1, true, true) == 1);
    cr_assert(cold_allowance(1, 0, false, true) == 0);
    cr_assert(cold_allowance(1, 1, true, true) == 1);
    cr_assert(cold_allowance(8, 1, true, false) == 0);
    cr_assert(cold_allowance(8, 1000000, true, true) == 1);
}
