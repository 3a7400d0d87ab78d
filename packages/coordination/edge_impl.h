// Member definitions of edge, included by the source that instantiates it.
#pragma once

#include "coordination/edge_exchange_impl.h"
#include "coordination/edge_report_impl.h"
#include "coordination/edge_response_impl.h"
#include "coordination/edge_rollout_impl.h"
#include "coordination/edge_state_impl.h"
#include "coordination/random_id.h"
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
      rollout_lifetime_(rendezvous_weight(options_.vm, random_id())),
      stage_batcher_(
          io, endpoints_, counters_, [this](time_point now) { return is_state_confirmed(now); },
          [this](known_endpoint& endpoint, const endpoint_answer& answer, time_point sent_at,
                 time_point now) { on_endpoint_notice(endpoint, answer, sent_at, now); }),
      stage_router_(io, options_.vm, stage_batcher_, counters_,
                    [this](const std::string& vm, const vm_message& message)
                    { on_peer_state(vm, message); }),
      reading_(state_table_count, table_reading(edge_detail::spread_of(options_.vm))),
      crash_suspects_(options_.vm + "/" + random_id()), crashing_requests_(options_.vm),
      crash_outbox_(options_.link_speed), crash_answers_(options_.link_speed),
      share_marker_(rollout_lifetime_), work_(random_number()), tick_timer_(io)
{
    memory_->ledger.set_bound(held_memory_bound(options_.memory_bytes));
    stage_router_.set_memory(memory_);
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
    callers_->set_memory(memory_);
    callers_->on_refused = [this](int status)
    { counters_.count("requests_malformed_" + std::to_string(status) + "_total"); };
    callers_->on_unanswered_close = [this](close_reason why, request_progress progress)
    {
        counters_.count("unanswered_closes_" + std::string(to_string(why)) + "_total");
        log_event(
            why == close_reason::client_left ? log_level::info : log_level::warning,
            "unanswered_close",
            {{"why", std::string(to_string(why))}, {"progress", std::string(to_string(progress))}});
    };
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
        [this](const std::shared_ptr<vm_channel>& from, const link_history& history)
        { stage_router_.on_closed(from, history); });
    peers_->set_memory(memory_);
    peers_->on_accepted = [this](const std::shared_ptr<vm_channel>& channel)
    {
        if (reads_any_table() && !stop_)
            channel->send(state_notice{copies(steady_clock::now())});
    };
    stage_router_.on_link_up = [this](const std::string& vm)
    {
        const time_point up_at = steady_clock::now();
        const auto known = known_vms_.find(vm);
        const bool is_remote = known != known_vms_.end() && known->second.domain != options_.domain;
        // A link is made from one side only, which also sends what the other has missed.
        if (const auto missed = crash_catch_up_.on_link_up(vm, is_remote, up_at))
        {
            stage_router_.send(vm, crash_query{missed});
            answer_crash_query(vm, crash_query{missed}, up_at);
        }
        if (rollouts_)
            rollouts_->on_link_up(vm);
    };
    stage_router_.on_link_down = [this](const std::string& vm, time_point received_at)
    { crash_catch_up_.on_link_down(vm, received_at, steady_clock::now()); };
    const auto follow = [this](state_table table, const follow_timing& pace)
    {
        return std::make_unique<state_follower<Codec>>(io_, options_.store, table, pace,
                                                       [this, table](const table_update& update)
                                                       { apply_update(table, update); });
    };
    desired_follower_ = follow(state_table::desired, desired_timing);
    endpoints_follower_ = follow(state_table::endpoints, endpoints_timing);
    vms_follower_ = follow(state_table::vms, vms_timing);
    stage_router_.set_seeds(options_.seeds);
    registration_ = std::make_unique<registration>(io_, options_.store);
    rollout_store_ = std::make_unique<rollout_store>(io_, options_.store, *this);
    const time_point now = steady_clock::now();
    update_rollouts(now);
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
    update_rollouts(steady_clock::now());
}

template <typename Codec>
bool edge<Codec>::is_ready() const
{
    return !stop_ && state_ && endpoints_.size() > 0 && knows_held_records_;
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
    if (is_state_confirmed(steady_clock::now()))
        serve(client, std::move(request));
    else
        deferred_requests_.emplace_back(client, std::move(request));
}

template <typename Codec>
bool edge<Codec>::is_state_confirmed(time_point now)
{
    check_pause(now);
    return !paused_until_;
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
    if (rollouts_)
        rollouts_->on_pause();
    for (const state_table table : all_state_tables)
        follower(table).call_again(now);
}

template <typename Codec>
void edge<Codec>::serve_deferred_requests(time_point now)
{
    if (!paused_until_)
        return;
    // Decisions on roll-outs are in the table of VMs.
    const bool follows_rollouts = rollouts_ && rollouts_->has_running(now);
    const bool confirmed = is_current(state_table::desired, now) &&
                           is_current(state_table::endpoints, now) &&
                           (!follows_rollouts || is_current(state_table::vms, now));
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
void edge<Codec>::send_crash_reports(time_point now)
{
    for (crash_report& report : crash_suspects_.take_reports(now))
        crash_outbox_.add(std::move(report), report_receivers::all_links, now);
    for (crash_report& report : crashing_requests_.take_reports(now))
        crash_outbox_.add(std::move(report), report_receivers::all_links, now);
    const std::size_t accepted = peers_->connections();
    for (const outgoing_report& each : crash_outbox_.take(
             {accepted, accepted + stage_router_.links_up(), endpoints_.vms().size()}, now))
    {
        peers_->broadcast(each.report);
        if (each.to == report_receivers::all_links)
            stage_router_.broadcast(each.report);
        sent_crash_reports_.add(each, now);
        counters_.count("crash_reports_sent_total");
    }
}

// Passes news on: this VM may be the only way from the sender to some of those linked to it.
template <typename Codec>
void edge<Codec>::on_crash_report(const crash_report& report, report_receivers to)
{
    const time_point now = steady_clock::now();
    counters_.count("crash_reports_received_total");
    const bool is_news = report.subject == crash_report_subject::requests
                             ? crashing_requests_.on_report(report, now)
                             : crash_suspects_.on_report(report, now);
    if (is_news && !report.is_known)
        crash_outbox_.add(report, to, now);
}

template <typename Codec>
void edge<Codec>::send_pace_reports(time_point now)
{
    outgoing_pace outgoing = work_.exchange().take(now);
    if (is_relay_ && !outgoing.to_accepted.empty())
        peers_->broadcast(pace_reports{std::move(outgoing.to_accepted)});
    if (outgoing.to_made.empty())
        return;
    const pace_reports message{std::move(outgoing.to_made)};
    for (const std::string& relay : state_peers_)
        stage_router_.send(relay, message);
    counters_.count("pace_reports_sent_total");
}

template <typename Codec>
void edge<Codec>::on_pace_reports(const pace_reports& message, bool from_accepted)
{
    const time_point now = steady_clock::now();
    std::unordered_map<std::uint64_t, endpoint_ptr> by_key;
    for (const pace_report& report : message.reports)
    {
        if (!work_.exchange().on_report(report, from_accepted, now))
            continue;
        if (by_key.empty())
            by_key = endpoints_.by_key();
        for (const limit_report& each : report.limits)
        {
            const auto found = by_key.find(each.endpoint);
            if (found == by_key.end())
                continue;
            endpoints_.on_limit_report(*found->second, each.limit, now);
            stage_batcher_.throttle_endpoint(found->second->record,
                                             found->second->limit.next_call_at(now));
        }
        for (const pace_sample& sample : report.samples)
        {
            const auto found = by_key.find(sample.endpoint);
            if (found == by_key.end())
                continue;
            known_endpoint& endpoint = *found->second;
            if (sample.kind == pace_sample_kind::factor)
                endpoint.pace.on_shared_sample(sample.value, 1.0, now);
            else
            {
                endpoint.pace.on_wait(sample.value, shared_wait_weight, now);
                work_.rates(endpoint.record.service).on_wait(sample.value);
            }
        }
    }
}

template <typename Codec>
std::vector<crash_report> edge<Codec>::crash_snapshot(time_point now)
{
    std::vector<crash_report> reports = crash_suspects_.snapshot(now);
    const std::vector<crash_report> of_requests = crashing_requests_.snapshot(now);
    reports.insert(reports.end(), of_requests.begin(), of_requests.end());
    return reports;
}

template <typename Codec>
void edge<Codec>::answer_crash_query(const report_receiver& from, const crash_query& query,
                                     time_point now)
{
    const bool to_accepted = std::holds_alternative<std::weak_ptr<vm_channel>>(from);
    auto reports = query.since ? sent_crash_reports_.since(now - *query.since, to_accepted, now)
                               : std::nullopt;
    if (!reports)
    {
        reports = crash_snapshot(now);
        if (!query.since && digest_of(*reports) == query.digest)
            return;
        for (crash_report& report : *reports)
            report.is_known = !query.since;
    }
    if (!crash_answers_.add(from, std::move(*reports), now))
        counters_.count("crash_queries_dropped_total");
}

template <typename Codec>
void edge<Codec>::exchange_missed_reports(time_point now)
{
    if (const auto vm = crash_catch_up_.next_full_query(now))
        stage_router_.send(*vm, crash_query{std::nullopt, digest_of(crash_snapshot(now))});
    for (const auto& [receiver, report] : crash_answers_.take(now))
    {
        if (const auto* name = std::get_if<std::string>(&receiver))
            stage_router_.send(*name, report);
        else if (const auto channel = std::get<std::weak_ptr<vm_channel>>(receiver).lock())
            channel->send(report);
        counters_.count("crash_reports_repeated_total");
    }
}

// Lets the slowest holders give way while memory is short.
template <typename Codec>
void edge<Codec>::relieve_memory(time_point now)
{
    const std::uint64_t before = memory_->ledger.total();
    for (const yielding_holder& each : memory_->relieve(now))
    {
        counters_.count("memory_yields_" + std::string(to_string(each.kind)) + "_total");
        log_event(log_level::warning, "memory_yield",
                  {{"kind", std::string(to_string(each.kind))},
                   {"bytes", std::to_string(each.bytes)},
                   {"idle_ms", edge_detail::milliseconds_text(each.idle)},
                   {"held", std::to_string(before)},
                   {"bound", std::to_string(memory_->ledger.bound())}});
    }
}

template <typename Codec>
void edge<Codec>::log_held_parts(time_point now)
{
    const std::vector<std::string> held = crash_suspects_.held_parts(now);
    for (const std::string& part : held)
    {
        if (!logged_held_parts_.insert(part).second)
            continue;
        counters_.count("prompt_parts_held_total");
        log_event(log_level::warning, "prompt_part_held",
                  {{"part", part}, {"crashes", std::to_string(crash_suspects_.crash_count())}});
    }
    std::erase_if(logged_held_parts_,
                  [&](const std::string& part)
                  {
                      if (std::find(held.begin(), held.end(), part) != held.end())
                          return false;
                      log_event(log_level::info, "prompt_part_released", {{"part", part}});
                      return true;
                  });
}

template <typename Codec>
void edge<Codec>::refresh_stages()
{
    if (rollouts_)
        (void)rollouts_->refresh(steady_clock::now());
    if (!state_)
        return;
    stage_batcher_.refresh(*state_, contended_services_);
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
void edge<Codec>::on_vm_message(const std::shared_ptr<vm_channel>& from, vm_message&& message)
{
    if (const auto* query = std::get_if<state_query>(&message))
        return answer_query(from, *query);
    if (const auto* held = std::get_if<held_records>(&message))
        return on_held_records(*held);
    if (const auto* report = std::get_if<crash_report>(&message))
        return on_crash_report(*report, report_receivers::all_links);
    if (const auto* missed = std::get_if<crash_query>(&message))
        return answer_crash_query(std::weak_ptr(from), *missed, steady_clock::now());
    if (const auto* paces = std::get_if<pace_reports>(&message))
        return on_pace_reports(*paces, true);
    if (const auto* report = std::get_if<rollout_report>(&message))
        return on_rollout_report(from, *report);
    stage_router_.on_message(from, std::move(message));
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
    // The store's row counts: this VM may still be known to others although the store has lost it.
    const auto& rows = replica(state_table::vms).records();
    const auto row = rows.find(own.name);
    const bool is_listed = row != rows.end() && Codec::decode_vm(row->second) == own;
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
    update_endpoints_outage(now);
    desired_follower_->tick(now);
    endpoints_follower_->tick(now);
    vms_follower_->tick(now);
    endpoints_.probe_domains(now);
    stage_batcher_.tick(now);
    stage_router_.tick(now);
    peers_->tick(now);
    update_reading(now);
    send_notices(now);
    query_peers(now);
    expire_held_records(now);
    check_held_records_known(now);
    send_crash_reports(now);
    exchange_missed_reports(now);
    send_pace_reports(now);
    tick_rollouts(now);
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
    relieve_memory(now);
    remove_lapsed_endpoints(now);
    if (ticks_ % edge_detail::sweep_ticks == 0)
    {
        callers_->sweep(now);
        readiness_->sweep(now);
        endpoints_.sweep(now);
        counters_.set_gauge("domains_unreachable",
                            static_cast<std::int64_t>(endpoints_.unreachable_domains()));
        register_vm(now);
        update_rollouts(now);
        log_held_parts(now);
        log_held_requests(now);
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
                      callers_->busy_count() == 0 && stage_router_.peer_job_count() == 0 &&
                      !stage_batcher_.has_releases();
    if (idle || now >= stop_->requests_end_at())
        callers_->stop_accepting();
    if ((!idle || callers_->connections() > 0) && now < stop_->exit_at())
        return;
    log_event(log_level::info, "stopped",
              {{"given_up", std::to_string(requests_given_up_)},
               {"after_ms", edge_detail::milliseconds_text(
                                std::chrono::duration_cast<milliseconds>(now - stop_->began()))},
               {"open_responses", std::to_string(callers_->busy_count())}});
    callers_->close_all();
    io_.stop();
}

} // namespace zinnianotch
