// Member definitions of edge, included by the source that instantiates it.
#pragma once

#include "coordination/edge_exchange_impl.h"
#include "coordination/edge_report_impl.h"
#include "coordination/stage_router_impl.h"
#include "coordination/state_follower_impl.h"

namespace zinnianotch
{

namespace edge_detail
{

// Number of ticks between sweeps of connections and pools.
inline constexpr std::uint64_t sweep_ticks = 10;
// Minimum interval between two writes of this VM's own record.
inline constexpr milliseconds min_registration_interval{1000};

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

    void put(const vm_record& vm, time_point now) { send(Codec::encode_vm_put(address_, vm), now); }
    void remove(const vm_record& vm, time_point now)
    {
        send(Codec::encode_vm_remove(address_, vm), now);
    }
    bool in_flight() const { return in_flight_; }
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
    void on_head(message_head&, body_framing, std::optional<std::uint64_t>) override {}
    void on_body(std::string) override {}
    void on_end() override { in_flight_ = false; }
    void on_failure(upstream_failure) override { in_flight_ = false; }

    std::string address_;
    upstream_pool pool_;
    std::shared_ptr<upstream_connection> connection_;
    bool in_flight_ = false;
    time_point sent_at_{};
};

template <typename Codec>
edge<Codec>::edge(boost::asio::io_context& io, edge_options options)
    : io_(io), options_(std::move(options)),
      endpoints_(io, options_.vm, options_.domain, options_.limits),
      stage_batcher_(io, endpoints_, counters_),
      stage_router_(io, options_.vm, stage_batcher_, counters_,
                    [this](const state_answer& answer) { on_state_answer(answer); }),
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
                update_table_cache(table, records, is_snapshot, follower(table).revision());
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
    return !stopping_ && state_ && endpoints_.size() > 0;
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
    std::uint64_t& logged = logged_bad_records_[record.name];
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

// Removes an endpoint whose entry is gone. Shortly after a store outage the removal is delayed by
// lapse_grace, since the entry may only have lapsed.
template <typename Codec>
void edge<Codec>::drop_endpoint(const std::string& id, time_point now)
{
    const time_point until = endpoints_follower_->regained_at() + lapse_grace;
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
void edge<Codec>::update_table_cache(state_table table, const std::vector<state_record>& records,
                                     bool is_snapshot, std::uint64_t revision)
{
    table_cache& cache = table_caches_[static_cast<std::size_t>(table)];
    if (is_snapshot)
        cache.records.clear();
    for (const state_record& record : records)
    {
        if (record.deleted)
            cache.records.erase(record.name);
        else
            cache.records[record.name] = record;
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
    const table_cache& cache = table_caches_[static_cast<std::size_t>(query.table)];
    state_answer answer;
    answer.table = query.table;
    answer.loaded = cache.loaded;
    answer.revision = std::max(cache.revision, follower(query.table).revision());
    if (cache.loaded && cache.revision > query.revision)
    {
        for (const auto& [name, record] : cache.records)
            answer.records.push_back(record);
    }
    from->send(answer);
}

// Applies the table content of a peer if it is newer than the local copy.
template <typename Codec>
void edge<Codec>::on_state_answer(const state_answer& answer)
{
    table_cache& cache = table_caches_[static_cast<std::size_t>(answer.table)];
    if (!answer.loaded || answer.records.empty() || answer.revision <= cache.revision)
        return;
    log_event(log_level::info, "state_from_vm",
              {{"table", std::string(to_string(answer.table))},
               {"revision", std::to_string(answer.revision)},
               {"before", std::to_string(cache.revision)}});
    update_table_cache(answer.table, answer.records, true, answer.revision);
    follower(answer.table).follow_from(answer.revision);
    apply_table(answer.table, answer.records, true);
}

// Asks peers for changes to the tables that this VM currently cannot follow in the store.
template <typename Codec>
void edge<Codec>::query_peers(time_point now)
{
    if (now - peers_queried_at_ < peer_query_interval)
        return;
    peers_queried_at_ = now;
    for (const state_table table : {state_table::desired, state_table::endpoints, state_table::vms})
    {
        if (!follower(table).in_sync())
            stage_router_.query_state(
                {table, table_caches_[static_cast<std::size_t>(table)].revision});
    }
}

template <typename Codec>
void edge<Codec>::register_vm(time_point now)
{
    registration_->tick(now);
    if (stopping_ || !vms_follower_->in_sync() || !registration_->may_send(now))
        return;
    const vm_record own{options_.vm, options_.domain,
                        options_.peers.host + ":" + std::to_string(peers_->port()),
                        options_.capacity};
    const auto known = known_vms_.find(own.name);
    if (known == known_vms_.end() || !(known->second == own))
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
    const time_point now = steady_clock::now();
    ++ticks_;
    desired_follower_->tick(now);
    endpoints_follower_->tick(now);
    vms_follower_->tick(now);
    stage_batcher_.tick(now);
    stage_router_.tick(now);
    peers_->tick(now);
    query_peers(now);
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
    if (stopping_)
        tick_stop(now);
    if (!io_.stopped())
        schedule_tick();
}

template <typename Codec>
void edge<Codec>::begin_stop()
{
    if (stopping_)
        return;
    stopping_ = true;
    stop_began_ = steady_clock::now();
    log_event(log_level::info, "stopping",
              {{"in_flight", std::to_string(exchanges_.size())},
               {"grace_ms", std::to_string(options_.stop_grace.count())}});
    registration_->remove({options_.vm, options_.domain, ""}, stop_began_);
    peers_->broadcast(leaving_message{});
}

// Stops the event loop once the load balancer has removed this VM and no work is in flight, or when
// the grace period is over.
template <typename Codec>
void edge<Codec>::tick_stop(time_point now)
{
    const auto since = now - stop_began_;
    const bool grace_over = since >= options_.stop_grace - stop_reserve;
    if (grace_over)
    {
        const auto all = exchanges_;
        for (const auto& [pointer, active] : all)
            active->end_on_stop(now);
    }
    if (since >= balancer_detection_time)
        callers_->close_connections_when_idle();
    const bool idle =
        exchanges_.empty() && callers_->busy_count() == 0 && stage_router_.peer_job_count() == 0;
    if ((since < balancer_detection_time || !idle) && !grace_over)
        return;
    log_event(log_level::info, "stopped", {{"in_flight", std::to_string(exchanges_.size())}});
    io_.stop();
}

} // namespace zinnianotch
