// Membership: heartbeats between the VMs, the failure domain's view and the right to act under it.
#pragma once

#include "coordination/table.h"
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
    std::vector<std::string> seeds; // peers to ask while the table is down at the start
};

// What is known of another VM by its heartbeats.
struct peer_info
{
    heartbeat last;
    time_point heard{};
};

struct heartbeat_target
{
    std::string address;
    bool other_domain = false; // gets the load of the whole domain
};

class membership
{
public:
    membership(membership_options options, table_client& table);

    // The address at which peers reach this VM, known once it is bound. Called before any other
    // use.
    void set_peer_address(std::string address) { options_.peer_address = std::move(address); }

    const vm_id& self() const { return options_.self; }
    const std::string& domain() const { return options_.domain; }

    // Addresses to send a heartbeat to now; records the sending.
    std::vector<heartbeat_target> take_heartbeat_targets(time_point now);

    // Records a heartbeat or the answer to one.
    void on_heartbeat(const heartbeat& beat, time_point now);

    // Reads the view row, adopts it and writes the change that it needs, if any.
    void poll_view(time_point now);

    // Reads the views of the other failure domains.
    void poll_other_views();
    // True when the views of all failure domains of the configuration are known.
    bool knows_domains(const configuration& config) const;

    // Adopts the platform's VM list: names that are gone, and endpoints that are leaving.
    void on_vm_list(const std::set<std::string>& present, const std::set<std::string>& leaving);

    // A planned stop began: leaves the view at the next poll.
    void begin_leaving();
    // All work is done: leaves the view even as its last member.
    void leave_as_last();
    bool is_member() const;
    std::uint64_t view_version() const;
    bool has_view() const;

    // The owner of an endpoint of this failure domain by the view in force.
    bool owns(const std::string& endpoint) const;
    std::string owner_address(const std::string& endpoint) const;

    // Share of a cold endpoint's limit that this VM may use now as its owner.
    std::uint32_t cold_share(std::uint32_t limit, time_point now) const;
    // Earliest time at which that share holds, see authority::handover_at.
    time_point handover_at() const;
    bool has_current_authority(time_point now) const;

    // True when the VM list says that the endpoint is leaving.
    bool is_endpoint_leaving(const std::string& endpoint) const;

    // A serving VM of another failure domain that was heard within peer_timeout; empty if none.
    std::string gateway_address(const std::string& domain, time_point now) const;

    // All VMs heard of in the last ten minutes, for the status page.
    std::vector<peer_info> known_peers() const;

    // VMs heard within peer_timeout.
    std::vector<peer_info> live_peers(time_point now) const;

    domain_view view() const;

private:
    // Heartbeats to an address that were sent since its last answer.
    struct contact
    {
        time_point unanswered_since{};
        bool waiting = false;
    };

    std::vector<vm_id> silent_members(const domain_view& view, time_point now) const;
    bool is_last_member(const domain_view& view, time_point now) const;
    std::vector<vm_id> silent_contacts(const domain_view& view, time_point now) const;
    bool is_contact_silent(const std::string& address, time_point now) const;
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
    bool leaves_as_last_ = false;
    bool relinquished_ = false;
    std::uint32_t removals_ = 0;
    time_point rejoin_at_{};
    time_point view_changed_at_{};
    std::map<std::string, domain_view> other_views_;
    std::map<std::string, peer_info> peers_; // by VM name
    std::map<std::string, contact> contacts_;
    std::set<std::string> listed_vms_;
    std::set<std::string> once_listed_vms_;
    std::set<std::string> leaving_endpoints_;
};

} // namespace zinnianotch
