// Membership: heartbeats between VMs, the membership view of the failure domain, and the authority
// to own endpoints under that view.
#pragma once

#include "coordination/table_client.h"
#include "state/configuration.h"
#include "state/routing.h"
#include "state/view.h"
#include "state/view_change.h"
#include "transport/rpc.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace zinnianotch
{

struct membership_options
{
    vm_id self;
    std::string domain;
    std::string peer_address;
    // Peer addresses that receive heartbeats while no view has been read, as with the table down at
    // the start.
    std::vector<std::string> seeds;
};

// Most recent heartbeat received from another VM.
struct peer_info
{
    heartbeat last_heartbeat;
    time_point last_heard{};
};

struct heartbeat_target
{
    std::string address;
    bool other_domain = false; // receives the load of the sender's whole failure domain
};

class membership
{
public:
    membership(membership_options options, table_client& table);

    // The address at which peers reach this VM, known once the port is bound. Must be set before
    // any other member is called.
    void set_peer_address(std::string address) { options_.peer_address = std::move(address); }

    const vm_id& self() const { return options_.self; }
    const std::string& domain() const { return options_.domain; }

    // Returns the addresses to send a heartbeat to now and records them as awaiting a reply.
    std::vector<heartbeat_target> take_heartbeat_targets(time_point now);

    // Records a received heartbeat, or the reply to one that was sent.
    void on_heartbeat(const heartbeat& beat, time_point now);

    // Reads the view row, adopts it, and writes the next view if a change is needed.
    void poll_view(time_point now);

    // Reads the views of the other failure domains from the table.
    void poll_other_views();
    // True when a view is known for every failure domain in the configuration.
    bool knows_domains(const configuration& config) const;

    // Updates from the platform's VM list: `present` holds all listed names, `leaving` those in
    // state "leaving".
    void on_vm_list(const std::set<std::string>& present, const std::set<std::string>& leaving);

    // Starts a planned stop: this VM leaves the view at the next poll.
    void begin_leaving();
    // All work is complete: this VM may leave the view even as its last member.
    void leave_as_last();
    bool is_member() const;
    std::uint64_t view_version() const;
    bool has_view() const;

    // Ownership of an endpoint of this failure domain under the current view.
    bool owns(const std::string& endpoint) const;
    std::string owner_address(const std::string& endpoint) const;

    // Portion of a cold endpoint's limit that this VM may use now as its owner.
    std::uint32_t cold_share(std::uint32_t limit, time_point now) const;
    // Earliest time at which that portion applies; see authority::handover_at.
    time_point handover_at() const;
    bool has_current_authority(time_point now) const;

    // True when the platform's VM list reports the endpoint as leaving.
    bool is_endpoint_leaving(const std::string& endpoint) const;

    // Address of the serving VM of the failure domain with the most recent heartbeat within
    // peer_timeout; empty if none.
    std::string gateway_address(const std::string& domain, time_point now) const;

    // All VMs that sent a heartbeat in the last ten minutes, for the status page.
    std::vector<peer_info> known_peers() const;

    // VMs that sent a heartbeat within peer_timeout.
    std::vector<peer_info> live_peers(time_point now) const;

    domain_view view() const;

private:
    // Reply status of the heartbeats sent to one address.
    struct pending_heartbeat
    {
        time_point unanswered_since{};
        bool awaiting_reply = false;
    };

    std::vector<vm_id> silent_members(const domain_view& view, time_point now) const;
    bool is_last_member(const domain_view& view, time_point now) const;
    std::vector<vm_id> unresponsive_members(const domain_view& view, time_point now) const;
    bool is_unresponsive(const std::string& address, time_point now) const;
    void write_view(const domain_view& next, time_point now);
    void adopt_view(const domain_view& view, const std::string& row_version, time_point sent,
                    time_point now);
    std::vector<vm_id> stopped_vms(const domain_view& view) const;

    membership_options options_;
    table_client& table_;

    mutable std::mutex mutex_;
    authority authority_;
    bool has_view_ = false;
    std::string view_row_version_;
    bool row_exists_ = false;
    bool leaving_ = false;
    bool may_leave_as_last_ = false;
    bool ownership_relinquished_ = false;
    std::uint32_t removal_count_ = 0;
    time_point rejoin_at_{};
    time_point view_changed_at_{};
    std::map<std::string, domain_view> other_views_;
    std::map<std::string, peer_info> peers_; // by VM name
    std::map<std::string, pending_heartbeat> pending_heartbeats_;
    std::set<std::string> listed_vms_;
    std::set<std::string> ever_listed_vms_;
    std::set<std::string> leaving_endpoints_;
};

} // namespace zinnianotch
