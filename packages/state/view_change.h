// Proposes changes to the membership view of a VM's failure domain.
#pragma once

#include "state/view.h"

#include <optional>
#include <vector>

namespace zinnianotch
{

// Inputs of propose_view.
struct view_change_input
{
    view_member self;
    bool wants_membership = true;    // false after a planned shutdown has begun
    std::vector<vm_id> unresponsive; // members without a heartbeat for peer_timeout
    std::vector<vm_id> stopped;      // processes that no longer exist
};

// Returns the next view, or nullopt if the view needs no change. Only the responsive member with
// the lowest id removes unresponsive and stopped ones, so that a failure causes one write instead
// of one per VM.
std::optional<domain_view> propose_view(const domain_view& view, const view_change_input& input);

// Returns the member of another domain's view with which this VM exchanges heartbeats: the one with
// the highest rendezvous hash for this VM's name among the responsive members, or null if there is
// none.
const view_member* heartbeat_peer(const domain_view& view, const vm_id& self,
                                  const std::vector<vm_id>& unresponsive);

} // namespace zinnianotch
