#include "state/view.h"

#include "state/hash.h"

#include <algorithm>

namespace zinnianotch
{

namespace
{

// Adds the number byte by byte from the lowest, so that the result does not depend on the machine.
std::uint64_t fnv_1a_number(std::uint64_t hash, std::uint64_t number)
{
    for (int shift = 0; shift < 64; shift += 8)
    {
        hash ^= (number >> shift) & 0xFF;
        hash *= fnv_prime;
    }
    return hash;
}

// The incarnation has a fixed length and separates the two names.
std::uint64_t rendezvous_hash(const vm_id& vm, std::string_view endpoint)
{
    std::uint64_t hash = fnv_1a(fnv_offset_basis, vm.name);
    hash = fnv_1a_number(hash, vm.incarnation);
    return avalanche(fnv_1a(hash, endpoint));
}

std::size_t erase_id(std::vector<view_member>& members, const vm_id& id)
{
    return std::erase_if(members, [&](const view_member& member) { return member.id == id; });
}

} // namespace

const view_member* owner_of(const domain_view& view, std::string_view endpoint)
{
    const view_member* owner = nullptr;
    std::uint64_t highest = 0;
    for (const view_member& member : view.members)
    {
        const std::uint64_t hash = rendezvous_hash(member.id, endpoint);
        // Equal hashes are decided by the id, so that the order of the members does not matter.
        if (owner != nullptr && (hash < highest || (hash == highest && member.id < owner->id)))
            continue;
        owner = &member;
        highest = hash;
    }
    return owner;
}

domain_view with_member(const domain_view& view, const view_member& joining)
{
    for (const auto* group : {&view.members, &view.former})
        for (const view_member& member : *group)
            if (member.id.name == joining.id.name && member.id.incarnation > joining.id.incarnation)
                return view;
    if (std::find(view.members.begin(), view.members.end(), joining) != view.members.end())
        return view;

    domain_view changed = view;
    const auto same_name = [&](const view_member& member)
    { return member.id.name == joining.id.name; };
    std::erase_if(changed.members, same_name);
    std::erase_if(changed.former, same_name);
    changed.members.push_back(joining);
    ++changed.version;
    return changed;
}

domain_view without_member(const domain_view& view, const vm_id& leaving, bool stopped)
{
    domain_view changed = view;
    const auto found =
        std::find_if(changed.members.begin(), changed.members.end(),
                     [&](const view_member& member) { return member.id == leaving; });
    if (found != changed.members.end())
    {
        if (!stopped)
            changed.former.push_back(*found);
        changed.members.erase(found);
    }
    else if (!stopped || erase_id(changed.former, leaving) == 0)
        return view;
    ++changed.version;
    return changed;
}

authority::authority(vm_id self) : self_(std::move(self)) {}

void authority::on_view_read(const domain_view& view, time_point sent, time_point now)
{
    if (known_ && view.version < view_.version)
        return;
    if (known_ && view.version == view_.version)
    {
        // Answers may arrive in another order than their reads were sent.
        confirmed_at_ = std::max(confirmed_at_, sent);
        return;
    }

    view_ = view;
    known_ = true;
    confirmed_at_ = sent;
    adopted_at_ = now;
    settled_at_ = now;
    std::erase_if(acknowledged_, [&](const auto& entry) { return entry.second < view_.version; });
    unsettled_.clear();
    for (const auto* group : {&view_.members, &view_.former})
        for (const view_member& member : *group)
            if (member.id != self_ && !is_settled(member.id))
                unsettled_.push_back(member.id);
}

void authority::on_acknowledged(const vm_id& vm, std::uint64_t version, time_point now)
{
    std::uint64_t& highest = acknowledged_[vm];
    highest = std::max(highest, version);
    settle(now);
}

void authority::on_stopped(const vm_id& vm, time_point now)
{
    std::uint64_t& latest = stopped_[vm.name];
    latest = std::max(latest, vm.incarnation);
    settle(now);
}

bool authority::is_current(time_point now) const
{
    return known_ && now - confirmed_at_ < authority_duration;
}

bool authority::is_takeover_safe(time_point now) const
{
    return known_ && (unsettled_.empty() || now - adopted_at_ >= takeover_wait);
}

time_point authority::handover_at() const
{
    if (unsettled_.empty())
        return settled_at_;
    return std::max(settled_at_, adopted_at_ + takeover_wait);
}

bool authority::is_settled(const vm_id& vm) const
{
    const auto stopped = stopped_.find(vm.name);
    if (stopped != stopped_.end() && vm.incarnation <= stopped->second)
        return true;
    const auto found = acknowledged_.find(vm);
    return found != acknowledged_.end() && found->second >= view_.version;
}

void authority::settle(time_point now)
{
    if (std::erase_if(unsettled_, [&](const vm_id& vm) { return is_settled(vm); }) > 0)
        settled_at_ = now;
}

std::uint32_t cold_allowance(std::uint32_t limit, std::size_t unsettled, bool authority_current,
                             bool takeover_safe)
{
    if (!takeover_safe)
        return 0;
    std::uint32_t allowance = limit;
    // One is the fixed point of the halving below.
    for (std::size_t i = 0; i < unsettled && allowance > 1; ++i)
        allowance -= allowance / 2;
    return authority_current ? allowance : allowance / 2;
}

} // namespace zinnianotch
