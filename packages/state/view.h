// Membership view of a failure domain, endpoint ownership, and the authority of a VM (a
// time-limited lease) to act under a view.
#pragma once

#include "state/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace zinnianotch
{

inline constexpr milliseconds heartbeat_interval{500};
inline constexpr milliseconds peer_timeout{2500}; // five heartbeats; tolerates one lost connection
inline constexpr milliseconds view_poll_interval{1000};
inline constexpr milliseconds authority_duration{3000};
// authority_duration plus 5 %, so that a VM with a slower clock has stopped before its successor
// starts.
inline constexpr milliseconds takeover_wait{3150};

// One process on an entry VM. The incarnation increases with each start of the process.
struct vm_id
{
    std::string name;
    std::uint64_t incarnation = 0;

    bool operator==(const vm_id&) const = default;
    // Not defaulted: clang-tidy reports the defaulted operator as a use of 0 as a null pointer.
    std::strong_ordering operator<=>(const vm_id& other) const
    {
        return std::tie(name, incarnation) <=> std::tie(other.name, other.incarnation);
    }
};

struct view_member
{
    vm_id id;
    std::string peer_address; // IP:PORT of the RPC listener

    bool operator==(const view_member&) const = default;
};

// Members of one failure domain, as stored in the platform's table.
struct domain_view
{
    std::uint64_t version = 0;
    std::vector<view_member> members;
    std::vector<view_member> former; // removed members that are not known to have stopped
};

// Returns the owner of an endpoint: the member with the highest rendezvous hash, or null if the
// view has no members.
const view_member* owner_of(const domain_view& view, std::string_view endpoint);

// Returns the view with the VM added and the version incremented. An older incarnation of the same
// name is removed, because a VM runs one process at a time. A view that already has this member or
// a newer incarnation of it is returned unchanged.
domain_view with_member(const domain_view& view, const view_member& joining);

// Returns the view with the VM moved to the former members, or removed if it is known to have
// stopped. A stopped VM is also removed from the former members. The version is incremented unless
// nothing changes. A VM that leaves on its own stops admitting calls before it writes the view.
domain_view without_member(const domain_view& view, const vm_id& leaving, bool stopped);

// Tracks whether a VM may act under the view of its failure domain, and which other VMs may still
// act under an older one.
class authority
{
public:
    // Without an id, the VM must report its own acknowledgement of each view by on_acknowledged.
    authority() = default;
    explicit authority(vm_id self);

    // Records a read of the view row that was sent at `sent_at` and returned `view` at `now`. A
    // view older than the current one is ignored. Every other member, and every former member that
    // is not known to have stopped, counts as unacknowledged until it acknowledges the view.
    void on_view_read(const domain_view& view, time_point sent_at, time_point now);

    // Records that a VM adopted the view version, as reported by its heartbeat.
    void on_acknowledged(const vm_id& vm, std::uint64_t version, time_point now);

    // Records that the process of a VM no longer exists (by the VM list or a newer incarnation).
    void on_stopped(const vm_id& vm, time_point now);

    // True while less than authority_duration has passed since the last confirmed read was sent.
    bool is_current(time_point now) const;

    // True if no earlier owner can still hold authority: all other VMs have acknowledged the view
    // or stopped, or takeover_wait has passed.
    bool is_takeover_safe(time_point now) const;

    // Time from which the current allowance applies: the last change of the view or of the
    // unacknowledged VMs, or the end of the takeover wait. Calls that other VMs started earlier may
    // still run; see admission_context::handover_at.
    time_point handover_at() const;

    // Number of other VMs that may still act under an older view.
    std::size_t unacknowledged() const { return unacknowledged_.size(); }

    const domain_view& view() const { return view_; }

private:
    bool has_acknowledged_or_stopped(const vm_id& vm) const;
    void update_unacknowledged(time_point now);

    vm_id self_;
    domain_view view_;
    time_point adopted_at_{};
    time_point confirmed_at_{};
    time_point unacknowledged_changed_at_{};
    bool has_view_ = false;
    std::vector<vm_id> unacknowledged_;
    std::map<vm_id, std::uint64_t> acknowledged_;  // may arrive before this VM reads the view
    std::map<std::string, std::uint64_t> stopped_; // highest incarnation by VM name
};

// Number of concurrent calls that the owner may have at a cold endpoint with the given limit. The
// limit is halved for each unacknowledged VM, which may continue to use its half, and once more
// while the owner's authority has lapsed. The sum over all VMs never exceeds the limit.
std::uint32_t cold_allowance(std::uint32_t limit, std::size_t unacknowledged,
                             bool authority_current, bool takeover_safe);

} // namespace zinnianotch
