#include "coordination/membership.h"

#include "protocol/codec.h"
#include "transport/log.h"

#include <algorithm>

namespace zinnianotch
{

namespace
{

// Shorter than view_poll_interval, so that polls do not fall behind.
constexpr milliseconds view_read_timeout{800};
constexpr std::size_t views_per_read = 64;
constexpr milliseconds rejoin_backoff{1000};
constexpr milliseconds pending_heartbeat_retention{60000};
constexpr milliseconds peer_retention{600000};
constexpr std::uint32_t max_rejoin_backoff_doublings = 5;
constexpr std::string_view view_prefix = "view/";

bool has_member(const domain_view& view, const vm_id& id)
{
    return std::any_of(view.members.begin(), view.members.end(),
                       [&](const view_member& member) { return member.id == id; });
}

} // namespace

membership::membership(membership_options options, table_client& table)
    : options_(std::move(options)), table_(table), authority_(options_.self)
{
}

std::vector<heartbeat_target> membership::take_heartbeat_targets(time_point now)
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, bool> targets; // address -> other_domain
    for (const auto& [domain, view] : other_views_)
    {
        const view_member* partner =
            heartbeat_peer(view, options_.self, unresponsive_members(view, now));
        // If no member responds, keep sending to the preferred partner until one responds again.
        if (partner == nullptr)
            partner = heartbeat_peer(view, options_.self, {});
        if (partner != nullptr)
            targets[partner->peer_address] = true;
    }
    // The reply to a heartbeat is itself a heartbeat, so only the member with the lower id of each
    // pair sends.
    for (const view_member& member : authority_.view().members)
    {
        if (options_.self < member.id)
            targets[member.peer_address] = false;
    }
    // A former member may have resumed; it then acknowledges the view that removed it.
    for (const view_member& member : authority_.view().former)
        targets[member.peer_address] = false;
    if (!has_view_)
    {
        for (const std::string& seed : options_.seeds)
            targets[seed] = false;
    }
    targets.erase(options_.peer_address);

    std::vector<heartbeat_target> list;
    for (const auto& [address, other_domain] : targets)
    {
        list.push_back({address, other_domain});
        pending_heartbeat& pending = pending_heartbeats_[address];
        if (pending.awaiting_reply)
            continue;
        pending.awaiting_reply = true;
        pending.unanswered_since = now;
    }
    // Drops addresses that are no longer targets once the retention period has passed.
    std::erase_if(pending_heartbeats_,
                  [&](const auto& entry)
                  {
                      return !targets.contains(entry.first) &&
                             now - entry.second.unanswered_since > pending_heartbeat_retention;
                  });
    return list;
}

void membership::on_heartbeat(const heartbeat& beat, time_point now)
{
    const std::lock_guard lock(mutex_);
    peer_info& peer = peers_[beat.vm.name];
    peer.last_heartbeat = beat;
    peer.last_heard = now;
    // VMs are replaced continually; entries of removed VMs must not accumulate.
    std::erase_if(peers_, [&](const auto& entry)
                  { return now - entry.second.last_heard > peer_retention; });
    const auto pending = pending_heartbeats_.find(beat.address);
    if (pending != pending_heartbeats_.end())
        pending->second.awaiting_reply = false;
    if (beat.domain == options_.domain)
        authority_.on_acknowledged(beat.vm, beat.view_version, now);
}

void membership::poll_view(time_point now)
{
    const std::string key = std::string(view_prefix) + options_.domain;
    result<std::optional<table_row>> row = table_.get(key, view_read_timeout);
    if (!row)
        return;
    const time_point received = steady_clock::now();
    if (row.value())
    {
        result<domain_view> view = parse_view(row.value()->value);
        if (!view)
        {
            log_event(log_level::error, "view_row_invalid", {{"detail", view.error().detail}});
            return;
        }
        adopt_view(view.value(), row.value()->version, now, received);
    }

    std::optional<domain_view> next;
    {
        const std::lock_guard lock(mutex_);
        const domain_view& view = authority_.view();
        view_change_input input;
        input.self = {options_.self, options_.peer_address};
        input.wants_membership = !leaving_ || is_last_member(view, received);
        // Backoff: a VM whose heartbeats do not reach the others would otherwise rejoin and be
        // removed in an endless loop.
        if (!leaving_ && !has_member(view, options_.self) && received < rejoin_at_)
            return;
        input.unresponsive = silent_members(view, received);
        input.stopped = stopped_vms(view);
        for (const vm_id& stopped : input.stopped)
            authority_.on_stopped(stopped, received);
        next = propose_view(view, input);
        // The new owners do not wait for a VM that leaves voluntarily, so it admits no calls from
        // here on, whatever the outcome of the write: a conflict may be with its own write, if the
        // HTTP client sent it twice.
        if (next && !input.wants_membership)
            ownership_relinquished_ = true;
    }
    if (next)
        write_view(*next, received);
}

// Adopts a view read from the table. Reads may complete out of order, so a view older than the
// current one is ignored.
void membership::adopt_view(const domain_view& view, const std::string& row_version,
                            time_point sent, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (has_view_ && view.version < authority_.view().version)
        return;
    const bool changed = !has_view_ || view.version > authority_.view().version;
    const bool was_member = has_view_ && has_member(authority_.view(), options_.self);
    authority_.on_view_read(view, sent, now);
    has_view_ = true;
    row_exists_ = true;
    view_row_version_ = row_version;
    if (!changed)
        return;
    view_changed_at_ = now;
    if (was_member && !has_member(view, options_.self) && !leaving_)
    {
        rejoin_at_ =
            now + rejoin_backoff * (1U << std::min(removal_count_, max_rejoin_backoff_doublings));
        ++removal_count_;
    }
    // Heartbeats received before the view was read may already have acknowledged it.
    for (const auto& [name, peer] : peers_)
    {
        if (peer.last_heartbeat.domain == options_.domain)
            authority_.on_acknowledged(peer.last_heartbeat.vm, peer.last_heartbeat.view_version,
                                       now);
    }
    log_event(log_level::info, "view_adopted",
              {{"version", std::to_string(view.version)},
               {"members", std::to_string(view.members.size())},
               {"former", std::to_string(view.former.size())}});
}

void membership::write_view(const domain_view& next, time_point now)
{
    std::string row_version;
    bool exists = false;
    {
        const std::lock_guard lock(mutex_);
        row_version = view_row_version_;
        exists = row_exists_;
    }
    const std::string key = std::string(view_prefix) + options_.domain;
    const json value = zinnianotch::write_view(next);
    const write_outcome outcome = exists
                                      ? table_.replace(key, row_version, value, view_read_timeout)
                                      : table_.insert(key, value, view_read_timeout);
    log_event(log_level::info, "view_written",
              {{"version", std::to_string(next.version)},
               {"outcome", outcome == write_outcome::written    ? "written"
                           : outcome == write_outcome::conflict ? "conflict"
                                                                : "unknown"}});
    // Whatever the outcome, the next read shows which view is in effect.
    if (outcome != write_outcome::written)
        return;
    result<std::optional<table_row>> row = table_.get(key, view_read_timeout);
    if (!row || !row.value())
        return;
    result<domain_view> view = parse_view(row.value()->value);
    if (view)
        adopt_view(view.value(), row.value()->version, now, steady_clock::now());
}

void membership::poll_other_views()
{
    result<std::vector<table_row>> rows =
        table_.list(std::string(view_prefix), "", views_per_read, view_read_timeout);
    if (!rows)
        return;
    const std::lock_guard lock(mutex_);
    for (const table_row& row : rows.value())
    {
        const std::string domain = row.key.substr(view_prefix.size());
        if (domain == options_.domain)
            continue;
        result<domain_view> view = parse_view(row.value);
        if (view)
            other_views_[domain] = view.value();
    }
}

bool membership::knows_domains(const configuration& config) const
{
    const std::lock_guard lock(mutex_);
    return std::all_of(config.domains.begin(), config.domains.end(),
                       [&](const domain_config& domain) {
                           return domain.id == options_.domain || other_views_.contains(domain.id);
                       });
}

void membership::on_vm_list(const std::set<std::string>& present,
                            const std::set<std::string>& leaving)
{
    const std::lock_guard lock(mutex_);
    listed_vms_ = present;
    ever_listed_vms_.insert(present.begin(), present.end());
    leaving_endpoints_ = leaving;
}

void membership::begin_leaving()
{
    const std::lock_guard lock(mutex_);
    leaving_ = true;
}

void membership::leave_as_last()
{
    const std::lock_guard lock(mutex_);
    may_leave_as_last_ = true;
}

bool membership::is_member() const
{
    const std::lock_guard lock(mutex_);
    return has_view_ && has_member(authority_.view(), options_.self);
}

std::uint64_t membership::view_version() const
{
    const std::lock_guard lock(mutex_);
    return authority_.view().version;
}

bool membership::has_view() const
{
    const std::lock_guard lock(mutex_);
    return has_view_;
}

bool membership::owns(const std::string& endpoint) const
{
    const std::lock_guard lock(mutex_);
    if (ownership_relinquished_)
        return false;
    const view_member* owner = owner_of(authority_.view(), endpoint);
    return owner != nullptr && owner->id == options_.self;
}

std::string membership::owner_address(const std::string& endpoint) const
{
    const std::lock_guard lock(mutex_);
    const view_member* owner = owner_of(authority_.view(), endpoint);
    return owner == nullptr ? std::string() : owner->peer_address;
}

std::uint32_t membership::cold_share(std::uint32_t limit, time_point now) const
{
    const std::lock_guard lock(mutex_);
    return cold_allowance(limit, authority_.unacknowledged(), authority_.is_current(now),
                          authority_.is_takeover_safe(now));
}

time_point membership::handover_at() const
{
    const std::lock_guard lock(mutex_);
    return authority_.handover_at();
}

bool membership::has_current_authority(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return authority_.is_current(now);
}

bool membership::is_endpoint_leaving(const std::string& endpoint) const
{
    const std::lock_guard lock(mutex_);
    return leaving_endpoints_.contains(endpoint);
}

std::string membership::gateway_address(const std::string& domain, time_point now) const
{
    const std::lock_guard lock(mutex_);
    const peer_info* latest = nullptr;
    for (const auto& [name, peer] : peers_)
    {
        if (peer.last_heartbeat.domain != domain || peer.last_heartbeat.state != vm_state::serving)
            continue;
        if (now - peer.last_heard > peer_timeout)
            continue;
        if (latest == nullptr || peer.last_heard > latest->last_heard)
            latest = &peer;
    }
    return latest == nullptr ? std::string() : latest->last_heartbeat.address;
}

std::vector<peer_info> membership::known_peers() const
{
    const std::lock_guard lock(mutex_);
    std::vector<peer_info> known;
    for (const auto& [name, peer] : peers_)
        known.push_back(peer);
    return known;
}

std::vector<peer_info> membership::live_peers(time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<peer_info> live;
    for (const auto& [name, peer] : peers_)
    {
        if (now - peer.last_heard <= peer_timeout)
            live.push_back(peer);
    }
    return live;
}

domain_view membership::view() const
{
    const std::lock_guard lock(mutex_);
    return authority_.view();
}

// Members of the view without a heartbeat within peer_timeout. For a member that just joined, the
// timeout starts at the view change.
std::vector<vm_id> membership::silent_members(const domain_view& view, time_point now) const
{
    std::vector<vm_id> silent;
    for (const view_member& member : view.members)
    {
        if (member.id == options_.self)
            continue;
        time_point last_heard = view_changed_at_;
        const auto peer = peers_.find(member.id.name);
        if (peer != peers_.end() && peer->second.last_heartbeat.vm == member.id)
            last_heard = std::max(last_heard, peer->second.last_heard);
        if (now - last_heard > peer_timeout)
            silent.push_back(member.id);
    }
    return silent;
}

// A failure domain without members serves no calls, so its last member stays in the view until its
// work is complete.
bool membership::is_last_member(const domain_view& view, time_point now) const
{
    const std::vector<vm_id> silent = silent_members(view, now);
    return !may_leave_as_last_ && has_member(view, options_.self) &&
           silent.size() + 1 == view.members.size();
}

std::vector<vm_id> membership::unresponsive_members(const domain_view& view, time_point now) const
{
    std::vector<vm_id> unresponsive;
    for (const view_member& member : view.members)
    {
        if (is_unresponsive(member.peer_address, now))
            unresponsive.push_back(member.id);
    }
    return unresponsive;
}

bool membership::is_unresponsive(const std::string& address, time_point now) const
{
    const auto pending = pending_heartbeats_.find(address);
    return pending != pending_heartbeats_.end() && pending->second.awaiting_reply &&
           now - pending->second.unanswered_since > peer_timeout;
}

// Processes known to have ended: another incarnation runs under the same VM name, or the platform's
// VM list no longer contains the VM.
std::vector<vm_id> membership::stopped_vms(const domain_view& view) const
{
    std::vector<vm_id> stopped;
    const auto check = [&](const view_member& member)
    {
        const bool replaced =
            std::any_of(view.members.begin(), view.members.end(),
                        [&](const view_member& other)
                        { return other.id.name == member.id.name && other.id != member.id; });
        // The list lags behind: a VM that it has never contained may already be running.
        const bool delisted =
            ever_listed_vms_.contains(member.id.name) && !listed_vms_.contains(member.id.name);
        if (replaced || delisted)
            stopped.push_back(member.id);
    };
    for (const view_member& member : view.former)
        check(member);
    for (const view_member& member : view.members)
    {
        if (member.id != options_.self)
            check(member);
    }
    return stopped;
}

} // namespace zinnianotch
