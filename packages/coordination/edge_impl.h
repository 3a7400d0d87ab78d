// Member definitions of edge, included by the source that instantiates it.
#pragma once

#include "coordination/edge_exchange_impl.h"
#include "coordination/edge_report_impl.h"
#include "coordination/stage_router_impl.h"
#include "coordination/state_follower_impl.h"
#include "transport/event_loop.h"

namespace zinnianotch
{

namespace edge_detail
{

// Number of ticks between sweeps of connections and pools.
inline constexpr std::uint64_t sweep_ticks = 10;
// Minimum interval between two writes of this VM's own record.
inline constexpr milliseconds min_registration_interval{1000};
// Number of changes of a table that are kept for VMs that take the state from this one.
inline constexpr std::size_t max_kept_changes = 2000;

// This VM's part of uncovered_spread.
inline milliseconds spread_of(std::string_view vm)
{
    const auto range = static_cast<std::uint64_t>(uncovered_spread.count());
    return milliseconds(static_cast<std::int64_t>(rendezvous_weight("spread", vm) % range));
}

} // namespace edge_detail

// Writes this VM's record to the store and removes it on shutdown.
template <typename Codec>
class edge<Codec>::registration : private upstream_response_handler
{
public:
    registration(boost::asio::io_context& io, std::string address)
        : address_(std::move(address)), pool_(io, *parse_socket_address(address_))
    {
    }
    ~registration() override
    {
        if (in_flight_)
            connection_->cancel();
    }

    void put(const vm_record& vm, time_point now)
    {
        removes_ = false;
        send(Codec::encode_vm_put(address_, vm), now);
    }
    void remove(const vm_record& vm, time_point now)
    {
        removes_ = true;
        send(Codec::encode_vm_remove(address_, vm), now);
    }
    bool in_flight() const { return in_flight_; }
    // True once the store has confirmed the removal.
    bool is_removed() const { return removed_; }
    void tick(time_point now)
    {
        if (in_flight_ && now - sent_at_ > list_timeout)
        {
            connection_->cancel();
            in_flight_ = false;
        }
    }
    bool may_send(time_point now) const
    {
        return !in_flight_ && now - sent_at_ >= edge_detail::min_registration_interval;
    }

private:
    void send(const std::string& text, time_point now)
    {
        in_flight_ = true;
        sent_at_ = now;
        connection_ = pool_.start(text, *this, default_idle_timeout, now);
    }
    bool matches_request(const message_head&) override { return true; }
    void on_head(message_head& head, body_framing, std::optional<std::uint64_t>) override
    {
        status_ = head.status;
    }
    void on_body(std::string) override {}
    void on_end() override
    {
        in_flight_ = false;
        removed_ = removes_ && status_ / 100 == 2;
    }
    void on_failure(upstream_failure) override { in_flight_ = false; }

    std::string address_;
    upstream_pool pool_;
    std::shared_ptr<upstream_connection> connection_;
    bool in_flight_ = false;
    bool removes_ = false; // the last call
    bool removed_ = false;
    int status_ = 0;
    time_point sent_at_{};
};

template <typename Codec>
edge<Codec>::edge(boost::asio::io_context& io, edge_options options)
    : io_(io), options_(std::move(options)),
      endpoints_(io, options_.vm, options_.domain, options_.limits),
      stage_batcher_(io, endpoints_, counters_),
      stage_router_(io, options_.vm, stage_batcher_, counters_,
                    [this](const std::string& vm, const vm_message& message)
                    { on_peer_state(vm, message); }),
      reading_(state_table_count, table_reading(edge_detail::spread_of(options_.vm))),
      tick_timer_(io)
{
}

template <typename Codec>
edge<Codec>::~edge() = default;

template <typename Codec>
void edge<Codec>::start()
{
    callers_ = std::make_unique<server_listener>(
        io_, options_.callers.host, options_.callers.port,
        [this](const std::shared_ptr<server_connection>& client, received_request&& request)
        { on_request(client, std::move(request)); });
    callers_->set_max_connections(options_.max_connections);
    callers_->on_refused = [this](int status)
    { counters_.count("requests_malformed_" + std::to_string(status) + "_total"); };
    readiness_ = std::make_unique<server_listener>(
        io_, options_.readiness.host, options_.readiness.port,
        [this](const std::shared_ptr<server_connection>& client, received_request&&)
        { send_text_response(client, is_ready() ? 200 : 503, ""); });
    if (!options_.metrics.host.empty())
    {
        metrics_listener_ = std::make_unique<server_listener>(
            io_, options_.metrics.host, options_.metrics.port,
            [this](const std::shared_ptr<server_connection>& client, received_request&& request)
            { serve_operator_request(client, request.head.target); });
    }
    peers_ = std::make_unique<vm_listener>(
        io_, options_.peers.host, options_.peers.port,
        [this](const std::shared_ptr<vm_channel>& from, vm_message&& message)
        { on_vm_message(from, std::move(message)); },
        [this](const std::shared_ptr<vm_channel>& from) { stage_router_.on_closed(from); });
    const auto follow = [this](state_table table, const follow_timing& pace)
    {
        return std::make_unique<state_follower<Codec>>(
            io_, options_.store, table, pace,
            [this, table](const std::vector<state_record>& records, bool is_snapshot)
            {
                const std::uint64_t revision = follower(table).revision();
                // Another VM has told of newer changes while the call was in progress.
                if (cache_of(table).loaded && revision <= cache_of(table).revision)
                    return;
                update_table_cache(table, records, is_snapshot, revision);
                if (is_snapshot || !records.empty())
                    apply_table(table, records, is_snapshot);
            });
    };
    desired_follower_ = follow(state_table::desired, desired_timing);
    endpoints_follower_ = follow(state_table::endpoints, endpoints_timing);
    vms_follower_ = follow(state_table::vms, vms_timing);
    stage_router_.set_seeds(options_.seeds);
    registration_ = std::make_unique<registration>(io_, options_.store);
    const time_point now = steady_clock::now();
    desired_follower_->start(now);
    endpoints_follower_->start(now);
    vms_follower_->start(now);
    schedule_tick();
}

template <typename Codec>
void edge<Codec>::set_limits(const fleet_limits& limits)
{
    options_.limits = limits;
    endpoints_.set_limits(limits);
}

template <typename Codec>
bool edge<Codec>::is_ready() const
{
    return !stop_ && state_ && endpoints_.size() > 0;
}

template <typename Codec>
void edge<Codec>::send_text_response(const std::shared_ptr<server_connection>& client, int status,
                                     const std::string& body)
{
    client->send("HTTP/1.1 " + std::to_string(status) + " " +
                 std::string(edge_detail::reason_phrase(status)) +
                 "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
    client->end(true);
}

template <typename Codec>
void edge<Codec>::on_request(const std::shared_ptr<server_connection>& client,
                             received_request&& request)
{
    check_pause(steady_clock::now());
    if (paused_until_)
        deferred_requests_.emplace_back(client, std::move(request));
    else
        serve(client, std::move(request));
}

template <typename Codec>
void edge<Codec>::check_pause(time_point now)
{
    const auto pause = pauses_.update(now, boot_time());
    if (!pause)
        return;
    log_event(log_level::warning, "paused", {{"ms", std::to_string(pause->count())}});
    counters_.count("pauses_total");
    paused_until_ = now;
    sources_ = state_sources();
    for (const state_table table : all_state_tables)
        follower(table).call_again(now);
}

template <typename Codec>
void edge<Codec>::serve_deferred_requests(time_point now)
{
    if (!paused_until_)
        return;
    const bool confirmed =
        is_current(state_table::desired, now) && is_current(state_table::endpoints, now);
    if (!confirmed && now - *paused_until_ < confirmation_timeout)
        return;
    end_deferral();
}

template <typename Codec>
void edge<Codec>::end_deferral()
{
    paused_until_.reset();
    auto requests = std::move(deferred_requests_);
    deferred_requests_.clear();
    for (auto& [client, request] : requests)
    {
        if (client->is_closed())
            counters_.count("callers_left_total");
        else
            serve(client, std::move(request));
    }
}

template <typename Codec>
void edge<Codec>::serve(const std::shared_ptr<server_connection>& client,
                        received_request&& request)
{
    const time_point now = steady_clock::now();
    counters_.count("requests_total");
    const auto connection = find_field(request.head, "Connection");
    const bool http11 = request.head.version >= 11;
    const bool keep_alive = http11 ? !(connection && equals_ignore_case(*connection, "close"))
                                   : (connection && equals_ignore_case(*connection, "keep-alive"));
    const auto added = std::make_shared<exchange>(
        *this, client, Codec::decode_call(request.head, std::move(request.body)), keep_alive,
        http11, request.received_at);
    exchanges_.emplace(added.get(), added);
    added->begin(now);
}

template <typename Codec>
void edge<Codec>::log_bad_record(state_table table, const state_record& record)
{
    std::uint64_t& logged = logged_bad_records_[{table, record.name}];
    if (logged == record.revision && logged != 0)
        return;
    logged = record.revision;
    log_event(log_level::warning, "bad_record",
              {{"table", std::string(to_string(table))},
               {"name", record.name},
               {"revision", std::to_string(record.revision)}});
}

template <typename Codec>
void edge<Codec>::on_desired(const std::vector<state_record>& records, bool is_snapshot)
{
    std::set<std::string> out;
    for (const state_record& record : records)
    {
        const auto change = Codec::decode_desired(record);
        if (!change)
        {
            log_bad_record(state_table::desired, record);
            continue;
        }
        if (const auto* domain = std::get_if<domain_out>(&*change))
        {
            endpoints_.set_domain_out(domain->domain, !record.deleted);
            out.insert(domain->domain);
            continue;
        }
        const auto* next = std::get_if<serving_state>(&*change);
        // A page may hold an older version than the one in effect; versions must only increase.
        if (next == nullptr || (state_ && next->version <= state_->version))
            continue;
        state_ = std::make_shared<const serving_state>(*next);
        state_since_ = steady_clock::now();
        std::erase_if(response_times_,
                      [&](const auto& entry) { return !has_route(*state_, entry.first); });
        const client_limits& limits = state_->limits;
        callers_->set_limits(
            {limits.header_bytes, limits.body_bytes, limits.header_timeout, limits.idle_timeout});
        log_event(log_level::info, "desired_state",
                  {{"version", std::to_string(state_->version)},
                   {"revision", std::to_string(record.revision)},
                   {"routes", std::to_string(state_->routes.size())},
                   {"services", std::to_string(state_->services.size())},
                   {"accounts", std::to_string(state_->accounts.size())}});
    }
    if (is_snapshot)
        endpoints_.retain_domains_out(out);
    refresh_stages();
}

template <typename Codec>
void edge<Codec>::apply_endpoint(const state_record& record, bool is_snapshot, time_point now)
{
    if (record.deleted)
        return drop_endpoint(record.name, now);
    lapsed_endpoints_.erase(record.name);
    const auto endpoint = Codec::decode_endpoint(record);
    if (!endpoint)
    {
        log_bad_record(state_table::endpoints, record);
        return endpoints_.remove(record.name);
    }
    const service_spec* const service = state_ ? find_service(*state_, endpoint->service) : nullptr;
    endpoints_.apply(*endpoint, service, !is_snapshot, now);
}

template <typename Codec>
void edge<Codec>::on_endpoints(const std::vector<state_record>& records, bool is_snapshot)
{
    const time_point now = steady_clock::now();
    std::set<std::string> ids;
    for (const state_record& record : records)
    {
        ids.insert(record.name);
        apply_endpoint(record, is_snapshot, now);
    }
    if (is_snapshot)
    {
        for (const std::string& id : endpoints_.missing_from(ids))
            drop_endpoint(id, now);
    }
    refresh_stages();
}

// When the endpoints could be read again after an outage of the store, by this VM or by the one
// that it takes the state from.
template <typename Codec>
time_point edge<Codec>::store_regained_at() const
{
    return std::max(endpoints_follower_->regained_at(), endpoints_regained_at_);
}

// Removes an endpoint whose entry is gone. Shortly after a store outage the removal is delayed by
// lapse_grace, since the entry may only have lapsed.
template <typename Codec>
void edge<Codec>::drop_endpoint(const std::string& id, time_point now)
{
    const time_point until = store_regained_at() + lapse_grace;
    if (now >= until)
        return endpoints_.remove(id);
    if (lapsed_endpoints_.emplace(id, until).second)
        log_event(log_level::info, "endpoint_lapsed", {{"endpoint", id}});
}

template <typename Codec>
void edge<Codec>::remove_lapsed_endpoints(time_point now)
{
    const auto due = std::erase_if(lapsed_endpoints_,
                                   [&](const auto& entry)
                                   {
                                       if (now < entry.second)
                                           return false;
                                       endpoints_.remove(entry.first);
                                       return true;
                                   });
    if (due > 0)
        refresh_stages();
}

template <typename Codec>
void edge<Codec>::on_vms(const std::vector<state_record>& records, bool is_snapshot)
{
    if (is_snapshot)
        known_vms_.clear();
    for (const state_record& record : records)
    {
        const auto vm = record.deleted ? std::nullopt : Codec::decode_vm(record);
        if (!vm && !record.deleted)
            log_bad_record(state_table::vms, record);
        if (vm)
            known_vms_[record.name] = *vm;
        else
            known_vms_.erase(record.name);
    }
    std::vector<std::string> names;
    for (const auto& [name, vm] : known_vms_)
        names.push_back(name);
    endpoints_.set_vms(names);
    stage_router_.set_vms(known_vms_);
    choose_relays();
}

// Determines the VMs that this one takes the state from: the relays of its failure domain and some
// of another one.
template <typename Codec>
void edge<Codec>::choose_relays()
{
    std::map<std::string, std::vector<weighted_name>> by_domain;
    for (const auto& [name, vm] : known_vms_)
    {
        if (name != options_.vm)
            by_domain[vm.domain].push_back({name, vm.capacity});
    }
    by_domain[options_.domain].push_back({options_.vm, options_.capacity});
    std::vector<std::string> peers;
    std::vector<std::string> remote;
    for (const auto& [domain, vms] : by_domain)
    {
        const std::vector<std::string> relays = state_relays(domain, vms);
        auto& list = domain == options_.domain ? peers : remote;
        list.insert(list.end(), relays.begin(), relays.end());
    }
    is_relay_ = std::find(peers.begin(), peers.end(), options_.vm) != peers.end();
    has_followers_ = is_relay_ && by_domain[options_.domain].size() > peers.size();
    std::erase(peers, options_.vm);
    remote = rendezvous_order("state/" + options_.vm, remote);
    remote.resize(std::min(remote.size(), remote_relays));
    peers.insert(peers.end(), remote.begin(), remote.end());
    stage_router_.set_state_peers(std::move(peers));
    const milliseconds wait = has_followers_ ? relay_long_poll_wait : desired_timing.long_poll_wait;
    desired_follower_->set_long_poll_wait(wait);
    endpoints_follower_->set_long_poll_wait(wait);
    for (const state_table table : all_state_tables)
        follower(table).set_retry_delays(is_relay_ ? retry_delays{} : retry_delays_of_many);
}

template <typename Codec>
void edge<Codec>::refresh_stages()
{
    if (!state_)
        return;
    stage_batcher_.refresh(*state_);
    std::vector<routed_queue> queues;
    for (const auto& [name, service] : state_->services)
    {
        if (!service.batch)
            continue;
        std::map<std::string, std::size_t> endpoints;
        for (const endpoint_ptr& endpoint : endpoints_.serving(name))
            ++endpoints[endpoint->record.domain];
        shards_[name] = stage_shards(endpoints);
        for (const stage_shard& shard : shards_[name])
            queues.push_back({queue_name(name, shard.domain), shard.domain});
    }
    stage_router_.set_queues(queues);
}

template <typename Codec>
const std::vector<stage_shard>& edge<Codec>::shards_of(const std::string& service) const
{
    static const std::vector<stage_shard> none;
    const auto found = shards_.find(service);
    return found == shards_.end() ? none : found->second;
}

template <typename Codec>
state_follower<Codec>& edge<Codec>::follower(state_table table)
{
    switch (table)
    {
    case state_table::desired:
        return *desired_follower_;
    case state_table::endpoints:
        return *endpoints_follower_;
    case state_table::vms:
        break;
    }
    return *vms_follower_;
}

template <typename Codec>
typename edge<Codec>::table_cache& edge<Codec>::cache_of(state_table table)
{
    return table_caches_[static_cast<std::size_t>(table)];
}

template <typename Codec>
void edge<Codec>::update_table_cache(state_table table, const std::vector<state_record>& records,
                                     bool is_snapshot, std::uint64_t revision)
{
    table_cache& cache = cache_of(table);
    if (is_snapshot)
    {
        cache.records.clear();
        cache.digest = 0;
        cache.changes.clear();
        cache.changes_from = revision;
    }
    for (const state_record& record : records)
    {
        if (const auto known = cache.records.find(record.name); known != cache.records.end())
        {
            cache.digest ^= record_digest(known->second);
            cache.records.erase(known);
        }
        if (record.deleted)
            logged_bad_records_.erase({table, record.name});
        else
        {
            cache.records[record.name] = record;
            cache.digest ^= record_digest(record);
        }
        if (!is_snapshot)
            cache.changes.push_back({revision, record});
    }
    if (is_snapshot)
        std::erase_if(
            logged_bad_records_, [&](const auto& entry)
            { return entry.first.first == table && !cache.records.contains(entry.first.second); });
    // Changes of one page are dropped together, so that `changes` never begins within a page.
    while (cache.changes.size() > edge_detail::max_kept_changes)
    {
        cache.changes_from = cache.changes.front().revision;
        while (!cache.changes.empty() && cache.changes.front().revision == cache.changes_from)
            cache.changes.pop_front();
    }
    cache.revision = revision;
    cache.loaded = true;
}

template <typename Codec>
void edge<Codec>::apply_table(state_table table, const std::vector<state_record>& records,
                              bool is_snapshot)
{
    switch (table)
    {
    case state_table::desired:
        return on_desired(records, is_snapshot);
    case state_table::endpoints:
        return on_endpoints(records, is_snapshot);
    case state_table::vms:
        return on_vms(records, is_snapshot);
    }
}

template <typename Codec>
void edge<Codec>::on_vm_message(const std::shared_ptr<vm_channel>& from, vm_message&& message)
{
    if (const auto* query = std::get_if<state_query>(&message))
        return answer_query(from, *query);
    stage_router_.on_message(from, std::move(message));
}

template <typename Codec>
void edge<Codec>::answer_query(const std::shared_ptr<vm_channel>& from, const state_query& query)
{
    const table_cache& cache = cache_of(query.table);
    state_answer answer;
    answer.table = query.table;
    answer.loaded = cache.loaded;
    answer.revision = cache.revision;
    answer.after = query.revision;
    if (store_regained_at() != time_point{})
        answer.regained_ago = edge_detail::since(store_regained_at(), steady_clock::now());
    answer.is_snapshot = query.revision < cache.changes_from;
    if (answer.is_snapshot)
    {
        for (const auto& [name, record] : cache.records)
            answer.records.push_back(record);
    }
    else
    {
        for (const auto& change : cache.changes)
        {
            if (change.revision > query.revision)
                answer.records.push_back(change.record);
        }
    }
    from->send(answer);
}

template <typename Codec>
void edge<Codec>::on_peer_state(const std::string& vm, const vm_message& message)
{
    if (const auto* answer = std::get_if<state_answer>(&message))
        return on_state_answer(vm, *answer);
    if (const auto* notice = std::get_if<state_notice>(&message))
        return on_state_notice(vm, *notice);
    if (std::holds_alternative<leaving_message>(message))
        sources_.remove(vm);
}

template <typename Codec>
void edge<Codec>::on_state_notice(const std::string& vm, const state_notice& notice)
{
    const time_point now = steady_clock::now();
    sources_.on_notice(vm, notice.copies, now);
    query_newer_copies(now);
}

// Asks VMs that know more than this one for what it lacks, and notes what they confirm.
template <typename Codec>
void edge<Codec>::query_newer_copies(time_point now)
{
    for (const state_table table : all_state_tables)
    {
        const table_copy own = copy_of(table, now);
        cache_of(table).revision = sources_.confirmed_revision(table, own, now);
        if (const auto vm = sources_.next_query(table, own, now))
            stage_router_.query_state(*vm, {table, own.revision});
    }
}

// Applies the records of another VM if they are newer than the local copy.
template <typename Codec>
void edge<Codec>::on_state_answer(const std::string& vm, const state_answer& answer)
{
    table_cache& cache = cache_of(answer.table);
    sources_.on_answer(answer.table);
    // Changes after a revision that this VM has not reached would leave a gap.
    const bool has_gap = !answer.is_snapshot && (!cache.loaded || answer.after > cache.revision);
    if (!answer.loaded || has_gap || (cache.loaded && answer.revision <= cache.revision))
        return;
    if (answer.table == state_table::endpoints && answer.regained_ago)
        endpoints_regained_at_ =
            std::max(endpoints_regained_at_, steady_clock::now() - *answer.regained_ago);
    if (answer.is_snapshot || !answer.records.empty())
    {
        log_event(log_level::info, "state_from_vm",
                  {{"table", std::string(to_string(answer.table))},
                   {"vm", vm},
                   {"revision", std::to_string(answer.revision)},
                   {"before", std::to_string(cache.revision)},
                   {"records", std::to_string(answer.records.size())},
                   {"snapshot", answer.is_snapshot ? "true" : "false"}});
        update_table_cache(answer.table, answer.records, answer.is_snapshot, answer.revision);
        apply_table(answer.table, answer.records, answer.is_snapshot);
    }
    cache.revision = answer.revision;
    if (follower(answer.table).is_reading())
        follower(answer.table).follow_from(answer.revision);
    query_newer_copies(steady_clock::now());
}

template <typename Codec>
table_copy edge<Codec>::copy_of(state_table table, time_point now)
{
    const table_cache& cache = cache_of(table);
    const state_follower<Codec>& own = follower(table);
    table_copy copy;
    copy.loaded = cache.loaded;
    copy.in_sync = own.in_sync_at(now);
    copy.revision = cache.revision;
    copy.digest = cache.digest;
    return copy;
}

template <typename Codec>
table_copies edge<Codec>::copies(time_point now)
{
    table_copies all;
    for (const state_table table : all_state_tables)
        all[static_cast<std::size_t>(table)] = copy_of(table, now);
    return all;
}

template <typename Codec>
bool edge<Codec>::is_current(state_table table, time_point now)
{
    return follower(table).in_sync_at(now) || sources_.is_covered(table, now);
}

// Announces this VM's copies to the VMs connected to it, at once after a change. A VM that does not
// read the store announces nothing: its copies are no newer than those of its own sources.
template <typename Codec>
void edge<Codec>::send_notices(time_point now)
{
    const bool reads = std::any_of(reading_.begin(), reading_.end(),
                                   [](const table_reading& table) { return table.reads(); });
    if (!reads || stop_)
        return;
    const table_copies own = copies(now);
    bool changed = false;
    for (std::size_t i = 0; i < own.size(); ++i)
        changed = changed || own[i].digest != noticed_copies_[i].digest ||
                  own[i].in_sync != noticed_copies_[i].in_sync;
    if (!changed && now - noticed_at_ < notice_interval)
        return;
    noticed_copies_ = own;
    noticed_at_ = now;
    peers_->broadcast(state_notice{own});
}

// Starts or stops reading each table from the store.
template <typename Codec>
void edge<Codec>::update_reading(time_point now)
{
    for (const state_table table : all_state_tables)
    {
        table_reading& reading = reading_[static_cast<std::size_t>(table)];
        const bool reads = reading.update(is_relay_, sources_.is_covered(table, now), now);
        state_follower<Codec>& own = follower(table);
        if (reads && !own.is_reading())
            own.resume(cache_of(table).revision, now);
        else if (!reads && own.is_reading())
            own.pause();
        log_state_source(table, now);
    }
}

template <typename Codec>
void edge<Codec>::log_state_source(state_table table, time_point now)
{
    std::string source = "none";
    if (follower(table).in_sync_at(now))
        source = "store";
    else if (const auto origin = sources_.newest(table, now))
        source = "vms";
    std::string& logged = logged_sources_[static_cast<std::size_t>(table)];
    if (source == logged)
        return;
    counters_.count("state_source_changes_total");
    log_event(source == "none" ? log_level::warning : log_level::info, "state_source",
              {{"table", std::string(to_string(table))},
               {"source", source},
               {"before", logged.empty() ? "none" : logged},
               {"relay", is_relay_ ? "true" : "false"},
               {"revision", std::to_string(cache_of(table).revision)}});
    logged = source;
}

// Asks any VM for changes to the tables that neither the store nor a VM in touch with it provides.
template <typename Codec>
void edge<Codec>::query_peers(time_point now)
{
    if (now - peers_queried_at_ < peer_query_interval)
        return;
    peers_queried_at_ = now;
    for (const state_table table : all_state_tables)
    {
        if (!is_current(table, now))
            stage_router_.query_state({table, cache_of(table).revision});
    }
}

template <typename Codec>
void edge<Codec>::register_vm(time_point now)
{
    registration_->tick(now);
    if (!registration_->may_send(now))
        return;
    const vm_record own{options_.vm, options_.domain,
                        options_.peers.host + ":" + std::to_string(peers_->port()),
                        options_.capacity};
    const bool is_list_current = is_current(state_table::vms, now);
    const auto known = known_vms_.find(own.name);
    const bool is_listed = known != known_vms_.end() && known->second == own;
    if (stop_)
    {
        // A registration that had no response may take effect after the removal.
        if (!registration_->is_removed() || (is_list_current && is_listed))
            registration_->remove(own, now);
        return;
    }
    if (is_list_current && !is_listed)
        registration_->put(own, now);
}

template <typename Codec>
void edge<Codec>::schedule_tick()
{
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                tick();
        });
}

template <typename Codec>
void edge<Codec>::tick()
{
    // Also scheduled when a step throws: without ticks no timeout would fire any more.
    const struct reschedule
    {
        edge& owner;
        ~reschedule()
        {
            if (!owner.io_.stopped())
                owner.schedule_tick();
        }
    } guard{*this};
    const time_point now = steady_clock::now();
    ++ticks_;
    check_pause(now);
    desired_follower_->tick(now);
    endpoints_follower_->tick(now);
    vms_follower_->tick(now);
    stage_batcher_.tick(now);
    stage_router_.tick(now);
    peers_->tick(now);
    update_reading(now);
    send_notices(now);
    query_peers(now);
    serve_deferred_requests(now);
    if (!exchanges_.empty())
    {
        std::vector<std::shared_ptr<exchange>> all;
        all.reserve(exchanges_.size());
        for (const auto& [pointer, active] : exchanges_)
            all.push_back(active);
        for (const auto& active : all)
            active->tick(now);
    }
    remove_lapsed_endpoints(now);
    if (ticks_ % edge_detail::sweep_ticks == 0)
    {
        callers_->sweep(now);
        readiness_->sweep(now);
        endpoints_.sweep(now);
        register_vm(now);
        if (is_ready() != ready_logged_)
        {
            ready_logged_ = !ready_logged_;
            log_event(log_level::info, ready_logged_ ? "ready" : "not_ready",
                      {{"version", state_ ? std::to_string(state_->version) : "-"},
                       {"endpoints", std::to_string(endpoints_.size())}});
        }
    }
    if (stop_)
        tick_stop(now);
}

template <typename Codec>
void edge<Codec>::begin_stop()
{
    if (stop_)
        return;
    const time_point now = steady_clock::now();
    stop_.emplace(now, options_.stop_grace);
    log_event(log_level::info, "stopping",
              {{"in_flight", std::to_string(exchanges_.size())},
               {"grace_ms", std::to_string(options_.stop_grace.count())}});
    // Otherwise register_vm removes the record once the registration in flight has ended.
    if (!registration_->in_flight())
        registration_->remove({options_.vm, options_.domain, ""}, now);
    peers_->announce(leaving_message{});
    stage_router_.begin_stop();
}

// Stops the event loop once the load balancer has removed this VM and no work is in flight, or when
// the grace period is over and the last responses are written.
template <typename Codec>
void edge<Codec>::tick_stop(time_point now)
{
    if (now >= stop_->requests_end_at())
    {
        end_deferral();
        const auto all = exchanges_;
        requests_given_up_ += all.size();
        for (const auto& [pointer, active] : all)
            active->end_on_stop(now);
    }
    if (stop_->in_rotation(now) && now < stop_->requests_end_at())
        return;
    callers_->close_connections_when_idle(now);
    const bool idle = exchanges_.empty() && deferred_requests_.empty() &&
                      callers_->busy_count() == 0 && stage_router_.peer_job_count() == 0;
    if (idle || now >= stop_->requests_end_at())
        callers_->stop_accepting();
    if ((!idle || callers_->connections() > 0) && now < stop_->exit_at())
        return;
    log_event(log_level::info, "stopped",
              {{"given_up", std::to_string(requests_given_up_)},
               {"after_ms", edge_detail::milliseconds_text(
                                std::chrono::duration_cast<milliseconds>(now - stop_->began()))},
               {"open_responses", std::to_string(callers_->busy_count())}});
    io_.stop();
}

} // namespace zinnianotch
