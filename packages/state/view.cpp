#include "state/view.h"

#include "state/hash.h"

#include <algorithm>

namespace zinnianotch
{

namespace
{

// Hashes the number in little-endian byte order, so that the result does not depend on the
// platform.
std::uint64_t fnv_1a_number(std::uint64_t hash, std::uint64_t number)
{
    for (int shift = 0; shift < 64; shift += 8)
    {
        hash ^= (number >> shift) & 0xFF;
        hash *= fnv_prime;
    }
    return hash;
}

// The incarnation, which has a fixed length, separates the two names.
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
        // Ties are broken by the id, so that the result does not depend on the order of the
        // members.
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

void authority::on_view_read(const domain_view& view, time_point sent_at, time_point now)
{
    if (has_view_ && view.version < view_.version)
        return;
    if (has_view_ && view.version == view_.version)
    {
        // Answers may arrive in a different order from that of their requests.
        confirmed_at_ = std::max(confirmed_at_, sent_at);
        return;
    }

    view_ = view;
    has_view_ = true;
    confirmed_at_ = sent_at;
    adopted_at_ = now;
    unacknowledged_changed_at_ = now;
    std::erase_if(acknowledged_, [&](const auto& entry) { return entry.second < view_.version; });
    unacknowledged_.clear();
    for (const auto* group : {&view_.members, &view_.former})
        for (const view_member& member : *group)
            if (member.id != self_ && !has_acknowledged_or_stopped(member.id))
                unacknowledged_.push_back(member.id);
}

void authority::on_acknowledged(const vm_id& vm, std::uint64_t version, time_point now)
{
    std::uint64_t& highest = acknowledged_[vm];
    highest = std::max(highest, version);
    update_unacknowledged(now);
}

void authority::on_stopped(const vm_id& vm, time_point now)
{
    std::uint64_t& latest = stopped_[vm.name];
    latest = std::max(latest, vm.incarnation);
    update_unacknowledged(now);
}

bool authority::is_current(time_point now) const
{
    return has_view_ && now - confirmed_at_ < authority_duration;
}

bool authority::is_takeover_safe(time_point now) const
{
    return has_view_ && (unacknowledged_.empty() || now - adopted_at_ >= takeover_wait);
}

time_point authority::handover_at() const
{
    if (unacknowledged_.empty())
        return unacknowledged_changed_at_;
    return std::max(unacknowledged_changed_at_, adopted_at_ + takeover_wait);
}

bool authority::has_acknowledged_or_stopped(const vm_id& vm) const
{
    const auto stopped = stopped_.find(vm.name);
    if (stopped != stopped_.end() && vm.incarnation <= stopped->second)
        return true;
    const auto found = acknowledged_.find(vm);
    return found != acknowledged_.end() && found->second >= view_.version;
}

void authority::update_unacknowledged(time_point now)
{
    if (std::erase_if(unacknowledged_,
                      [&](const vm_id& vm) { return has_acknowledged_or_stopped(vm); }) > 0)
        unacknowledged_changed_at_ = now;
}

std::uint32_t cold_allowance(std::uint32_t limit, std::size_t unacknowledged,
                             bool authority_current, bool takeover_safe)
{
    if (!takeover_safe)
        return 0;
    std::uint32_t allowance = limit;
    // Halving rounds up, so an allowance of 1 no longer changes.
    for (std::size_t i = 0; i < unacknowledged && allowance > 1; ++i)
        allowance -= allowance / 2;
    return authority_current ? allowance : allowance / 2;
}

} // namespace zinnianotch
