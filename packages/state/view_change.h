// Changes that a VM proposes to its failure domain's view.
#pragma once

#include "state/view.h"

#include <optional>
#include <vector>

namespace zinnianotch
{

// What a VM knows when it decides whether the view must change.
struct view_change_input
{
    view_member self;
    bool wants_membership = true; // false once a planned stop began
    std::vector<vm_id> silent;    // members without a heartbeat for peer_timeout
    std::vector<vm_id> stopped;   // processes that no longer exist
};

// The next view, or nothing when the view needs no change. Only the first member that is not
// silent removes silent ones, so that a failure causes one write and not one for each VM.
std::optional<domain_view> propose_view(const domain_view& view, const view_change_input& input);

// Member of another domain's view with which this VM exchanges heartbeats: the highest rendezvous
// hash for the VM's name among those that are not silent. Null when all are silent.
const view_member* heartbeat_partner(const domain_view& view, const vm_id& self,
                                     const std::vector<vm_id>& silent);

} // namespace zinnianotch
