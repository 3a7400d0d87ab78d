// Domain view, endpoint ownership and the authority of a VM to act under a view.
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
inline constexpr milliseconds peer_timeout{2500}; // five heartbeats, rides out one lost connection
inline constexpr milliseconds view_poll_interval{1000};
inline constexpr milliseconds authority_duration{3000};
// Authority plus 5 %, so that a VM whose clock runs slower has stopped before a successor starts.
inline constexpr milliseconds takeover_wait{3150};

// One process on an entry VM. The incarnation rises with each start of the process.
struct vm_id
{
    std::string name;
    std::uint64_t incarnation = 0;

    bool operator==(const vm_id&) const = default;
    // Written out, because clang-tidy takes the defaulted one for a use of the null pointer 0.
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

// Members of one failure domain as agreed in the platform's table.
struct domain_view
{
    std::uint64_t version = 0;
    std::vector<view_member> members;
    std::vector<view_member> former; // removed members that are not known to have stopped
};

// Owner of an endpoint: the member with the highest rendezvous hash. Null for an empty view.
const view_member* owner_of(const domain_view& view, std::string_view endpoint);

// Returns the view with the VM added; an older incarnation of the same name is dropped, because a
// VM runs one process at a time. The version is raised by one. A view that has this member or a
// newer incarnation of it is returned unchanged.
domain_view with_member(const domain_view& view, const view_member& joining);

// Returns the view with the VM moved to the former members, or dropped when it is known to have
// stopped; a stopped VM is dropped from the former members too. The version is raised by one,
// unless nothing changes. A VM that leaves by itself stops admitting calls before it writes the
// view.
domain_view without_member(const domain_view& view, const vm_id& leaving, bool stopped);

// What a VM knows about its right to act under its domain's view.
class authority
{
public:
    // Without an id, the VM acknowledges each view for itself by on_acknowledged.
    authority() = default;
    explicit authority(vm_id self);

    // Records a read of the view row that was sent at `sent`, received at `now` and showed `view`.
    // A view older than the one known is ignored. A member that leaves in a view without having
    // stopped, and every other member, counts as unsettled until it acknowledges the view.
    void on_view_read(const domain_view& view, time_point sent, time_point now);

    // Records that a VM adopted the view version (heard by heartbeat).
    void on_acknowledged(const vm_id& vm, std::uint64_t version, time_point now);

    // Records that the process of a VM no longer exists (VM list, or a newer incarnation seen).
    void on_stopped(const vm_id& vm, time_point now);

    // True while the last confirmed read is younger than authority_duration.
    bool is_current(time_point now) const;

    // True when no earlier owner may still hold authority: all acknowledged, or takeover_wait
    // passed.
    bool is_takeover_safe(time_point now) const;

    // Earliest time at which the present allowance holds: the last change of the view or of the
    // unsettled VMs, or the end of the takeover wait. A call that another VM started before it may
    // still run; see admission_context::handover_at.
    time_point handover_at() const;

    // Number of other VMs that may still act under an older view.
    std::size_t unsettled() const { return unsettled_.size(); }

    const domain_view& view() const { return view_; }

private:
    bool is_settled(const vm_id& vm) const;
    void settle(time_point now);

    vm_id self_;
    domain_view view_;
    time_point adopted_at_{};
    time_point confirmed_at_{};
    time_point settled_at_{};
    bool known_ = false;
    std::vector<vm_id> unsettled_;
    std::map<vm_id, std::uint64_t> acknowledged_;  // an acknowledgement may precede the own read
    std::map<std::string, std::uint64_t> stopped_; // highest incarnation by VM name
};

// Concurrent calls that the owner may have at a cold endpoint with the given limit. The limit is
// halved for each unsettled predecessor, which may go on with its half, and once more while the own
// authority has lapsed. The sum over all VMs never exceeds the limit.
std::uint32_t cold_allowance(std::uint32_t limit, std::size_t unsettled, bool authority_current,
                             bool takeover_safe);

} // namespace zinnianotch
