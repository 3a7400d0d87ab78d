#include "state/view_change.h"

#include <algorithm>

namespace zinnianotch
{

namespace
{

bool contains(const std::vector<vm_id>& ids, const vm_id& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool is_member(const domain_view& view, const vm_id& id)
{
    return std::any_of(view.members.begin(), view.members.end(),
                       [&](const view_member& member) { return member.id == id; });
}

// Returns the member that is responsible for removing unresponsive ones.
const view_member* first_live_member(const domain_view& view,
                                     const std::vector<vm_id>& unresponsive)
{
    const view_member* first = nullptr;
    for (const view_member& member : view.members)
    {
        if (contains(unresponsive, member.id))
            continue;
        if (first == nullptr || member.id < first->id)
            first = &member;
    }
    return first;
}

} // namespace

std::optional<domain_view> propose_view(const domain_view& view, const view_change_input& input)
{
    domain_view next = view;
    if (input.wants_membership && !is_member(next, input.self.id))
        next = with_member(next, input.self);
    if (!input.wants_membership && is_member(next, input.self.id))
        next = without_member(next, input.self.id, true);

    const view_member* first = first_live_member(next, input.unresponsive);
    if (first != nullptr && first->id == input.self.id)
    {
        for (const vm_id& id : input.unresponsive)
        {
            if (is_member(next, id))
                next = without_member(next, id, contains(input.stopped, id));
        }
    }
    const auto is_stopped = [&](const view_member& member)
    { return contains(input.stopped, member.id); };
    if (first != nullptr && first->id == input.self.id)
        std::erase_if(next.former, is_stopped);

    if (next.members == view.members && next.former == view.former)
        return std::nullopt;
    next.version = view.version + 1;
    return next;
}

const view_member* heartbeat_peer(const domain_view& view, const vm_id& self,
                                  const std::vector<vm_id>& unresponsive)
{
    domain_view live = view;
    std::erase_if(live.members,
                  [&](const view_member& member) { return contains(unresponsive, member.id); });
    const view_member* chosen = owner_of(live, self.name);
    if (chosen == nullptr)
        return nullptr;
    for (const view_member& member : view.members)
    {
        if (member.id == chosen->id)
            return &member;
    }
    return nullptr;
}

} // namespace zinnianotch
