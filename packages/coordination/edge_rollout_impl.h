// Roll-outs of edge: connects rollout_coordinator to the tables, the other VMs and the store.
#pragma once

#include "coordination/edge.h"
#include "coordination/random_id.h"
#include "transport/log.h"

namespace zinnianotch
{

namespace edge_detail
{

// Number of ticks between steps of roll-outs. A bad version loses its traffic one step late.
inline constexpr std::uint64_t rollout_ticks = 5;

} // namespace edge_detail

// Reads and writes decisions, one call at a time.
template <typename Codec>
class edge<Codec>::rollout_store : private upstream_response_handler
{
public:
    rollout_store(boost::asio::io_context& io, std::string address, edge& owner)
        : address_(std::move(address)), pool_(io, *parse_socket_address(address_)), owner_(owner)
    {
    }
    ~rollout_store() override
    {
        if (call_)
            connection_->cancel();
    }

    bool in_flight() const { return call_.has_value(); }
    void send(rollout_call call, time_point now)
    {
        call_ = std::move(call);
        sent_at_ = now;
        status_ = 0;
        body_.clear();
        connection_ = pool_.start(call_->put ? Codec::encode_rollout_put(address_, *call_->put)
                                             : Codec::encode_rollout_get(address_, call_->service),
                                  *this, default_idle_timeout, now);
    }
    void tick(time_point now)
    {
        pool_.sweep(now);
        if (!call_ || now - sent_at_ <= list_timeout)
            return;
        connection_->cancel();
        fail(now);
    }

private:
    bool matches_request(const message_head&) override { return true; }
    void on_head(message_head& head, body_framing, std::optional<std::uint64_t>) override
    {
        status_ = head.status;
        outcome_ = Codec::decode_write(head);
        era_ = Codec::decode_era(head);
    }
    void on_body(std::string bytes) override
    {
        body_ += bytes;
        if (body_.size() <= store_response_limit)
            return;
        connection_->cancel();
        fail(steady_clock::now());
    }
    void on_end() override
    {
        const time_point now = steady_clock::now();
        if (call_->put)
        {
            const rollout_call ended = *std::exchange(call_, std::nullopt);
            if (owner_.rollouts_)
                owner_.rollouts_->on_written(ended, outcome_, now);
            return;
        }
        const auto page = status_ == 200 ? Codec::decode_page(body_) : std::nullopt;
        if (!page || !era_)
            return fail(now);
        const std::string service = std::exchange(call_, std::nullopt)->service;
        std::optional<rollout_record> stored;
        for (const state_record& record : page->records)
        {
            const auto decoded =
                Codec::is_rollout(record) ? Codec::decode_rollout(record) : std::nullopt;
            if (decoded && decoded->service == service)
                stored = decoded;
        }
        if (owner_.rollouts_)
            owner_.rollouts_->on_read(service, stored, {*era_, page->revision}, now);
    }
    void on_failure(upstream_failure) override { fail(steady_clock::now()); }

    void fail(time_point now)
    {
        const rollout_call failed = *std::exchange(call_, std::nullopt);
        if (owner_.rollouts_)
            owner_.rollouts_->on_call_failed(failed.service, now);
    }

    std::string address_;
    upstream_pool pool_;
    edge& owner_;
    std::shared_ptr<upstream_connection> connection_;
    std::optional<rollout_call> call_; // in flight
    time_point sent_at_{};
    int status_ = 0;
    write_outcome outcome_ = write_outcome::unknown;
    std::optional<std::uint64_t> era_;
    std::string body_;
};

// Begins or ends to take part in roll-outs, as the settings say. New bounds wait until no roll-out
// is running, since its counts would be lost.
template <typename Codec>
void edge<Codec>::update_rollouts(time_point now)
{
    const auto& wanted = options_.limits.rollouts;
    if (rollouts_ && (wanted == rollouts_->limits() || rollouts_->has_running(now)))
        return;
    // A version that was rolled back must not get requests until its endpoints are gone.
    if (rollouts_ && !wanted && rollouts_->bars_endpoints())
        return;
    if (!rollouts_ && !wanted)
        return;
    stage_batcher_.set_rollouts(nullptr);
    rollouts_.reset();
    if (wanted)
    {
        rollouts_ = std::make_unique<rollout_coordinator>(options_.vm, rollout_lifetime_, *wanted,
                                                          endpoints_, counters_);
        stage_batcher_.set_rollouts(rollouts_.get());
        for (const auto& [name, record] : replica(state_table::desired).records())
        {
            const auto change = Codec::decode_desired(record);
            if (const auto* order = change ? std::get_if<rollout_order>(&*change) : nullptr)
                rollouts_->on_order(*order, now);
        }
        for (const auto& [name, record] : replica(state_table::vms).records())
        {
            if (Codec::is_rollout(record))
                apply_rollout_record(record, now);
        }
    }
    if (rollouts_ && state_)
        rollouts_->set_orders_known();
    refresh_stages();
}

// `record` is the decision as far as this VM knows, which the store may have lost.
template <typename Codec>
void edge<Codec>::apply_rollout_record(const state_record& record, time_point now)
{
    const auto known = record.deleted ? std::nullopt : Codec::decode_rollout(record);
    if (!known && !record.deleted)
        log_bad_record(state_table::vms, record);
    if (!rollouts_)
        return;
    const auto& rows = replica(state_table::vms).records();
    const auto row = rows.find(record.name);
    const auto stored = row != rows.end() ? Codec::decode_rollout(row->second) : std::nullopt;
    const std::string service =
        known ? known->service : record.name.substr(record.name.find('/') + 1);
    rollouts_->on_record(service, stored, known != stored ? known : std::nullopt,
                         replica(state_table::vms).position(), now);
}

template <typename Codec>
void edge<Codec>::on_rollout_report(const std::shared_ptr<vm_channel>& from,
                                    const rollout_report& report)
{
    if (!rollouts_)
        return;
    if (const auto verdict = rollouts_->on_report(report, steady_clock::now()))
        from->send(*verdict);
}

template <typename Codec>
void edge<Codec>::on_rollout_verdict(const rollout_verdict& verdict)
{
    if (!rollouts_)
        return;
    const time_point now = steady_clock::now();
    rollouts_->on_verdict(verdict, now);
    if (rollouts_->refresh(now))
        refresh_stages();
}

template <typename Codec>
void edge<Codec>::tick_rollouts(time_point now)
{
    if (!rollouts_)
        return;
    rollout_store_->tick(now);
    if (ticks_ % edge_detail::rollout_ticks != 0)
        return;
    if (is_current(state_table::desired, now) && is_current(state_table::vms, now))
        rollouts_->on_store_contact(now);
    const auto is_up = [this](const std::string& vm) { return stage_router_.is_linked(vm); };
    const std::set<std::string> links = rollouts_->wanted_links(is_up, now);
    if (links != rollout_links_)
    {
        rollout_links_ = links;
        update_state_peers();
    }
    for (const auto& [vm, report] : rollouts_->take_reports(is_up, now))
        stage_router_.send(vm, report);
    rollouts_->judge(is_up, now);
    if (!stop_ && !paused_until_ && !rollout_store_->in_flight())
    {
        if (const auto call = rollouts_->next_call(now))
            rollout_store_->send(*call, now);
    }
    if (rollouts_->refresh(now))
        refresh_stages();
}

// Keeps links to the VMs that the state is taken from and to those that judge roll-outs.
template <typename Codec>
void edge<Codec>::update_state_peers()
{
    std::vector<std::string> peers = state_peers_;
    for (const std::string& vm : rollout_links_)
    {
        if (std::find(peers.begin(), peers.end(), vm) == peers.end())
            peers.push_back(vm);
    }
    stage_router_.set_state_peers(std::move(peers));
}

// Takes an endpoint of the version that the roll-out of the service gives the attempt, or of the
// other one if there is none.
template <typename Codec>
endpoint_ptr edge<Codec>::exchange::acquire(placement_request& request, time_point now)
{
    choose_pool(request, now);
    endpoint_ptr endpoint = acquire_endpoint(request, now);
    if (!endpoint && request.gate != nullptr)
        endpoint = acquire_fallback(request, now);
    if (!endpoint && request.gate != nullptr)
        endpoint = acquire_last_resort(request, now);
    if (endpoint)
        pool_.reset();
    return endpoint;
}

// Without an endpoint, the request keeps the pool for which one is expected.
template <typename Codec>
endpoint_ptr edge<Codec>::exchange::acquire_from(rollout_pool other, placement_request& request,
                                                 time_point now)
{
    const rollout_pool chosen = std::exchange(request.pool, other);
    endpoint_ptr endpoint = acquire_endpoint(request, now);
    if (!endpoint && !owner_.endpoints_.next_available_at(request, now))
        request.pool = chosen;
    return endpoint;
}

// An old endpoint stops as soon as the new version is completed, so it gets no request that could
// not run again.
template <typename Codec>
endpoint_ptr edge<Codec>::exchange::acquire_fallback(placement_request& request, time_point now)
{
    const bool may_be_cut =
        !is_repeatable(*route_) && request.gate->phase(now) == rollout_phase::full;
    const rollout_pool other =
        may_be_cut ? rollout_pool::none : request.gate->fallback(request.pool, now);
    if (other == rollout_pool::none)
        return nullptr;
    return acquire_from(other, request, now);
}

// Endpoints of the pool that this request has tried, or that are only busy, count as reachable
// while another request may try them.
template <typename Codec>
endpoint_ptr edge<Codec>::exchange::acquire_last_resort(placement_request& request, time_point now)
{
    const rollout_pool other = request.gate->last_resort(request.pool);
    if (other == rollout_pool::none)
        return nullptr;
    placement_request of_any = request;
    of_any.excluded_ids = nullptr;
    const auto available_at = owner_.endpoints_.next_available_at(of_any, now);
    if (available_at && *available_at <= now)
        return nullptr;
    return acquire_from(other, request, now);
}

// Chooses once for each attempt, however often it is placed, because each choice counts as a send.
template <typename Codec>
void edge<Codec>::exchange::choose_pool(placement_request& request, time_point now)
{
    if (!owner_.rollouts_)
        return;
    request.gate = owner_.rollouts_->gate(service_name_);
    if (request.gate == nullptr)
        return;
    if (!pool_)
        pool_ = owner_.rollouts_->choose(service_name_, route_->name, attempts_ > 0, now);
    request.pool = request.gate->adjusted(*pool_, now);
}

template <typename Codec>
void edge<Codec>::exchange::begin_rollout_attempt(time_point now)
{
    if (owner_.rollouts_)
        ticket_ = owner_.rollouts_->on_sent(service_name_, *endpoint_, route_->name,
                                            {attempts_ > 1, is_repeatable(*route_)}, now);
}

template <typename Codec>
void edge<Codec>::exchange::count_first_byte(time_point now)
{
    if (ticket_.order != 0 && owner_.rollouts_)
        owner_.rollouts_->on_first_byte(ticket_, now);
}

// Only the first end of an attempt counts.
template <typename Codec>
void edge<Codec>::exchange::end_rollout_attempt(bool has_failed, time_point now)
{
    if (ticket_.order != 0 && owner_.rollouts_)
        owner_.rollouts_->on_ended(ticket_, has_failed, now);
    ticket_ = {};
}

} // namespace zinnianotch
