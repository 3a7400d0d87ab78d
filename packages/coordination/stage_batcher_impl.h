// Template definitions of stage_batcher; included by the source that instantiates it.
#pragma once

#include "coordination/stage_batcher.h"
#include "transport/log.h"

#include <algorithm>
#include <set>

namespace zinnianotch
{

// One call to an endpoint with a batch of pieces.
template <typename Codec>
class stage_batcher<Codec>::batch_call : public upstream_response_handler
{
public:
    batch_call(stage_batcher& owner, std::string key, endpoint_ptr endpoint, stage_batch batch,
               std::vector<sent_part> parts, time_point now)
        : owner_(owner), key_(std::move(key)), endpoint_(std::move(endpoint)),
          batch_(std::move(batch)), parts_(std::move(parts)), started_(now)
    {
    }

    // The call counts for the roll-out of its service.
    void set_ticket(rollout_ticket ticket) { ticket_ = std::move(ticket); }
    void count_first_byte(time_point now)
    {
        if (owner_.rollouts_ != nullptr)
            owner_.rollouts_->on_first_byte(ticket_, now);
    }
    void count_end(bool has_failed, time_point now)
    {
        if (owner_.rollouts_ != nullptr)
            owner_.rollouts_->on_ended(std::exchange(ticket_, {}), has_failed, now);
    }

    void start(const std::string& request, time_point now)
    {
        // Running a piece twice is safe, so the call may use a kept-alive connection, which can
        // break on reuse.
        connection_ = endpoint_->pool.start(request, *this, default_idle_timeout, now);
    }

    bool matches_request(const message_head&) override { return true; }
    void on_head(message_head& head, body_framing, std::optional<std::uint64_t>) override
    {
        status_ = head.status;
        metadata_ = Codec::decode_answer(head);
        owner_.on_notice_(*endpoint_, metadata_, started_, steady_clock::now());
        // Responses of stages have no id: after a copy of a refusal, the results of this call would
        // answer the next one.
        if (status_ != 200)
            connection_->disable_reuse();
    }
    void on_body(std::string bytes) override
    {
        body_ += bytes;
        if (body_.size() <= result_bytes_base + result_bytes_per_piece * batch_.pieces)
            return;
        failure_ = upstream_failure::invalid_answer;
        cancel();
        owner_.on_call_lost(*this, steady_clock::now());
    }
    void on_end() override
    {
        const time_point now = steady_clock::now();
        if (status_ == 200)
        {
            const auto results = Codec::decode_pieces(body_, batch_.pieces);
            const bool is_own = results && !owner_.holds_any(*results);
            // Without a new result it may be a copy of an earlier response, and the one to this
            // call would be taken for that to the next.
            if (!is_own || !has_result(*results))
                connection_->cancel();
            if (is_own)
                return owner_.on_results(*this, *results, now);
        }
        else if (metadata_.not_run)
            return owner_.on_call_refused(*this, now);
        owner_.on_call_lost(*this, now);
    }
    void on_failure(upstream_failure failure) override
    {
        failure_ = failure;
        owner_.on_call_lost(*this, steady_clock::now());
    }

    bool is_overdue(time_point now) const
    {
        const auto limit = milliseconds(static_cast<std::int64_t>(
            overdue_factor * static_cast<double>(batch_.expected.count())));
        return now - started_ > limit + overdue_allowance;
    }
    void cancel() { connection_->cancel(); }

    const std::string& key() const { return key_; }
    const endpoint_ptr& endpoint() const { return endpoint_; }
    const stage_batch& batch() const { return batch_; }
    const std::vector<sent_part>& parts() const { return parts_; }
    milliseconds elapsed(time_point now) const
    {
        return std::chrono::duration_cast<milliseconds>(now - started_);
    }
    bool was_refused() const { return metadata_.not_run; }
    bool was_answered() const { return status_ != 0; }
    bool was_unreachable() const { return failure_ && is_connect_failure(*failure_); }
    bool was_connection_lost() const { return failure_ == upstream_failure::connection_lost; }
    std::string outcome() const
    {
        if (failure_)
            return std::string(to_string(*failure_));
        return "status " + std::to_string(status_);
    }

private:
    static bool has_result(const std::vector<piece_result>& results)
    {
        return std::any_of(results.begin(), results.end(),
                           [](const piece_result& result)
                           { return std::holds_alternative<std::string>(result); });
    }

    stage_batcher& owner_;
    std::string key_; // of the queue that the pieces come from
    endpoint_ptr endpoint_;
    stage_batch batch_;
    std::vector<sent_part> parts_;
    time_point started_;
    std::shared_ptr<upstream_connection> connection_;
    endpoint_answer metadata_;
    int status_ = 0;
    std::string body_;
    std::optional<upstream_failure> failure_;
    rollout_ticket ticket_;
};

// Releases results on one endpoint. Their memory counts as free once the endpoint has confirmed the
// release or, if the call fails, once the results expire.
template <typename Codec>
class stage_batcher<Codec>::release_call : public upstream_response_handler
{
public:
    release_call(stage_batcher& owner, endpoint_ptr endpoint, std::vector<std::string> handles)
        : owner_(owner), endpoint_(std::move(endpoint)), handles_(std::move(handles))
    {
    }
    void start(const std::string& request, time_point now)
    {
        started_ = now;
        connection_ = endpoint_->pool.start(request, *this, default_idle_timeout, now);
    }
    bool matches_request(const message_head&) override { return true; }
    void on_head(message_head& head, body_framing, std::optional<std::uint64_t>) override
    {
        status_ = head.status;
        owner_.on_notice_(*endpoint_, Codec::decode_answer(head), started_, steady_clock::now());
        if (status_ / 100 != 2)
            connection_->disable_reuse();
    }
    void on_body(std::string) override {}
    void on_end() override
    {
        const auto keep = owner_.release_calls_.extract(this);
        if (status_ / 100 == 2)
            return owner_.on_released(handles_, steady_clock::now());
        owner_.counters_.count("stage_releases_failed_total");
    }
    void on_failure(upstream_failure) override { give_up(); }
    void tick(time_point now)
    {
        if (now - started_ < release_timeout)
            return;
        connection_->cancel();
        give_up();
    }

private:
    void give_up()
    {
        const auto keep = owner_.release_calls_.extract(this);
        owner_.counters_.count("stage_releases_failed_total");
    }

    stage_batcher& owner_;
    endpoint_ptr endpoint_;
    std::vector<std::string> handles_;
    int status_ = 0;
    time_point started_{};
    std::shared_ptr<upstream_connection> connection_;
};

template <typename Codec>
stage_batcher<Codec>::stage_batcher(boost::asio::io_context& io, endpoint_directory& endpoints,
                                    metrics& counters, std::function<bool(time_point)> may_send,
                                    notice_handler on_notice)
    : io_(io), endpoints_(endpoints), counters_(counters), may_send_(std::move(may_send)),
      on_notice_(std::move(on_notice))
{
}

template <typename Codec>
stage_batcher<Codec>::~stage_batcher() = default;

template <typename Codec>
void stage_batcher<Codec>::refresh(const serving_state& state,
                                   const std::set<std::string, std::less<>>& contended)
{
    const time_point now = steady_clock::now();
    for (const auto& [name, service] : state.services)
    {
        if (!service.batch)
            continue;
        std::map<std::string, std::vector<stage_endpoint>> shards;
        for (const endpoint_ptr& endpoint : endpoints_.serving(name))
        {
            const endpoint_record& record = endpoint->record;
            shards[queue_name(name, "")].push_back({record.id, record.domain});
            shards[queue_name(name, record.domain)].push_back({record.id, record.domain});
        }
        for (auto& [key, entry] : queues_)
        {
            if (entry.service == name && !shards.contains(key))
                entry.queue.set_endpoints({});
        }
        for (const auto& [key, listed] : shards)
        {
            service_queue& entry = queues_[key];
            entry.service = name;
            entry.spec = *service.batch;
            entry.queue.set_service(*service.batch);
            entry.queue.set_reserving(contended.contains(name));
            entry.queue.set_sharing(state.accounts.size() >= accounts_sharing_min);
            entry.queue.set_endpoints(listed);
        }
        for (const endpoint_ptr& endpoint : endpoints_.serving(name))
        {
            pause_endpoint(endpoint->record, endpoint->health.paused_until());
            throttle_endpoint(endpoint->record, endpoint->limit.next_call_at(now));
        }
    }
}

template <typename Codec>
void stage_batcher<Codec>::pause_endpoint(const endpoint_record& endpoint, time_point until)
{
    for (auto& [key, entry] : queues_)
    {
        if (entry.service == endpoint.service)
            entry.queue.pause_endpoint(endpoint.id, until);
    }
}

template <typename Codec>
void stage_batcher<Codec>::throttle_endpoint(const endpoint_record& endpoint, time_point until)
{
    for (auto& [key, entry] : queues_)
    {
        if (entry.service == endpoint.service)
            entry.queue.throttle_endpoint(endpoint.id, until);
    }
}

// Queues the stage, or refuses it at once when the work queued before it leaves too little time.
template <typename Codec>
std::uint64_t stage_batcher<Codec>::submit(const stage_request& request, stage_callback done,
                                           time_point now)
{
    const std::uint64_t id = ++next_job_;
    const std::string key = queue_name(request.service, request.shard);
    service_queue& entry = queues_[key];
    const stage_job queued{id,
                           request.pieces,
                           request.priority,
                           request.result_bytes,
                           now + request.goal_left,
                           now + request.deadline_left,
                           request.preferred_domain,
                           !request.inputs.empty(),
                           request.account,
                           request.is_above_share};
    entry.queue.count_asked(queued, request.refused_pieces, now);
    const milliseconds expected = entry.queue.expected_time(queued, now);
    if (!entry.queue.admits(queued, expected, now))
    {
        stage_outcome outcome;
        outcome.end = stage_end::refused;
        outcome.expected = expected;
        outcome.delays = delays_of(entry, now);
        boost::asio::post(io_, [done = std::move(done), outcome = std::move(outcome)]
                          { done(outcome); });
        return id;
    }
    job added;
    added.request = request;
    added.queued = queued;
    added.handles.resize(request.pieces);
    added.missing_pieces = request.pieces;
    added.done = std::move(done);
    entry.queue.add(added.queued, expected, now);
    jobs_.emplace(id, std::move(added));
    endpoints_.count_new_request(request.service, now);
    dispatch(key, now);
    return id;
}

template <typename Codec>
const queue_delays& stage_batcher<Codec>::delays_of(service_queue& entry, time_point now)
{
    if (now - entry.delays_at >= delays_interval)
    {
        entry.delays = entry.queue.delays(now);
        entry.delays_at = now;
    }
    return entry.delays;
}

template <typename Codec>
void stage_batcher<Codec>::cancel(std::uint64_t id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    const stage_request& request = found->second.request;
    queues_[queue_name(request.service, request.shard)].queue.remove(id);
    release_results(found->second);
    jobs_.erase(found);
}

template <typename Codec>
bool stage_batcher<Codec>::cancel_if_waiting(std::uint64_t id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return false;
    const stage_request& request = found->second.request;
    const stage_queue& queue = queues_[queue_name(request.service, request.shard)].queue;
    if (queue.waiting_pieces(id) != request.pieces)
        return false;
    cancel(id);
    return true;
}

// Releases the results that a job has so far when it ends without completing.
template <typename Codec>
void stage_batcher<Codec>::release_results(const job& ended)
{
    std::vector<std::string> completed;
    for (const std::string& handle : ended.handles)
    {
        if (!handle.empty())
            completed.push_back(handle);
    }
    release(completed);
}

template <typename Codec>
void stage_batcher<Codec>::release(const std::vector<std::string>& handles)
{
    bool at_once = false;
    for (const std::string& handle : handles)
    {
        const std::string producer = Codec::producer_address(handle);
        if (producer.empty())
            continue;
        const auto found = held_.find(handle);
        at_once = at_once ||
                  (found != held_.end() && queues_[found->second.queue].queue.has_waiting_pieces());
        pending_releases_[producer].push_back(handle);
    }
    if (!at_once || release_flush_posted_)
        return;
    release_flush_posted_ = true;
    boost::asio::post(io_,
                      [this]
                      {
                          release_flush_posted_ = false;
                          flush_releases();
                      });
}

template <typename Codec>
void stage_batcher<Codec>::add_held_result(const std::string& key, const std::string& endpoint,
                                           const std::string& handle, std::uint64_t bytes,
                                           time_point now)
{
    held_[handle] = {key, endpoint, bytes, now + queues_[key].spec.result_lifetime};
}

// True if one of the results is known already: the response is then a copy of an earlier one on the
// same connection, and its results belong to the pieces of that call.
template <typename Codec>
bool stage_batcher<Codec>::holds_any(const std::vector<piece_result>& results) const
{
    return std::any_of(results.begin(), results.end(),
                       [&](const piece_result& result)
                       {
                           const auto* handle = std::get_if<std::string>(&result);
                           return handle != nullptr &&
                                  (held_.contains(*handle) || freed_.contains(*handle));
                       });
}

template <typename Codec>
std::optional<std::string> stage_batcher<Codec>::free_result(const std::string& handle)
{
    const auto found = held_.find(handle);
    if (found == held_.end())
        return std::nullopt;
    const held_result freed = std::move(found->second);
    held_.erase(found);
    if (freed_.insert(handle).second)
        freed_expiries_.push_back({freed.expires_at + freed_handle_retention, handle});
    queues_[freed.queue].queue.on_result_bytes_released(freed.endpoint, freed.bytes);
    return freed.queue;
}

template <typename Codec>
void stage_batcher<Codec>::on_released(const std::vector<std::string>& handles, time_point now)
{
    std::set<std::string> queues_with_freed_memory;
    for (const std::string& handle : handles)
    {
        if (const auto queue = free_result(handle))
            queues_with_freed_memory.insert(*queue);
    }
    for (const std::string& queue : queues_with_freed_memory)
        dispatch(queue, now);
}

// Fails expired jobs, then sends calls for as long as an endpoint is free and pieces are waiting.
template <typename Codec>
void stage_batcher<Codec>::dispatch(const std::string& key, time_point now)
{
    stage_queue& queue = queues_[key].queue;
    for (const std::uint64_t id : queue.take_expired(now))
        fail(id, piece_failure::late);
    if (!may_send_(now))
        return;
    while (auto batch = next_batch(queues_[key], now))
        send(key, std::move(*batch), now);
}

// During a roll-out, the version that takes the next call is chosen first.
template <typename Codec>
std::optional<stage_batch> stage_batcher<Codec>::next_batch(service_queue& entry, time_point now)
{
    const rollout_gate* const gate =
        rollouts_ != nullptr ? rollouts_->gate(entry.service) : nullptr;
    if (gate == nullptr || !gate->phase(now))
        return entry.queue.next(now);
    if (!entry.queue.has_waiting_pieces())
        return std::nullopt;
    if (!entry.next_pool || now - entry.pool_chosen_at >= stage_pool_max_age)
    {
        entry.next_pool = rollouts_->choose(entry.service, entry.service, false, now);
        entry.pool_chosen_at = now;
    }
    const rollout_pool chosen = gate->adjusted(*entry.next_pool, now);
    for (const rollout_pool pool : {chosen, gate->fallback(chosen, now)})
    {
        auto batch = entry.queue.next(now, [&](const std::string& id)
                                      { return gate->may_use(pool, id, now); });
        if (!batch)
            continue;
        entry.next_pool.reset();
        return batch;
    }
    return std::nullopt;
}

template <typename Codec>
void stage_batcher<Codec>::send(const std::string& key, stage_batch batch, time_point now)
{
    const endpoint_ptr endpoint = endpoints_.find(batch.endpoint);
    if (!endpoint)
    {
        for (const batch_part& part : batch.parts)
            requeue_part(key, part, false, now);
        return;
    }
    std::vector<stage_piece> pieces;
    std::vector<sent_part> parts;
    for (const batch_part& part : batch.parts)
    {
        const auto found = jobs_.find(part.job);
        if (found == jobs_.end())
            continue;
        const stage_request& request = found->second.request;
        const auto left =
            std::chrono::duration_cast<milliseconds>(found->second.queued.deadline_at - now);
        parts.push_back({part, request.result_bytes});
        if (!request.preferred_domain.empty())
            counters_.count(request.preferred_domain == endpoint->record.domain
                                ? "stage_pieces_in_domain_total"
                                : "stage_pieces_spilled_total",
                            part.count);
        for (std::uint32_t i = 0; i < part.count; ++i)
            pieces.push_back({request.attempt, request.stage, part.first + i, left, request.key,
                              request.inputs});
    }
    endpoint->limit.on_sent(now);
    throttle_endpoint(endpoint->record, endpoint->limit.next_call_at(now));
    counters_.count("stage_calls_total");
    counters_.count("stage_pieces_total", pieces.size());
    const std::string text =
        Codec::encode_pieces(endpoint->record.address, endpoint->record.id, pieces);
    const auto call =
        std::make_shared<batch_call>(*this, key, endpoint, std::move(batch), std::move(parts), now);
    calls_.emplace(call.get(), call);
    if (rollouts_ != nullptr)
    {
        const std::string& service = queues_[key].service;
        call->set_ticket(rollouts_->on_sent(service, *endpoint, service, {}, now));
    }
    call->start(text, now);
}

template <typename Codec>
std::shared_ptr<typename stage_batcher<Codec>::batch_call>
stage_batcher<Codec>::remove_call(batch_call& call)
{
    const auto found = calls_.find(&call);
    if (found == calls_.end())
        return nullptr;
    auto kept = found->second;
    calls_.erase(found);
    return kept;
}

template <typename Codec>
void stage_batcher<Codec>::on_results(batch_call& call, const std::vector<piece_result>& results,
                                      time_point now)
{
    const auto keep = remove_call(call);
    stage_queue& queue = queues_[call.key()].queue;
    queue.on_done(call.endpoint()->record.id, call.batch(), call.elapsed(now));
    std::size_t next_result = 0;
    bool result_memory_full = false;
    const std::string& producer = call.endpoint()->record.id;
    call.count_first_byte(now);
    call.count_end(std::find(results.begin(), results.end(), piece_result(piece_failure::failed)) !=
                       results.end(),
                   now);
    for (const sent_part& sent : call.parts())
    {
        const batch_part& part = sent.part;
        std::vector<std::string> unused;
        std::optional<piece_failure> why;
        for (std::uint32_t i = 0; i < part.count; ++i, ++next_result)
        {
            const std::uint32_t piece = part.first + i;
            // Looked up for each piece, because a failed piece may have ended the job.
            const auto found = jobs_.find(part.job);
            if (const auto* handle = std::get_if<std::string>(&results[next_result]))
            {
                add_held_result(call.key(), producer, *handle, sent.result_bytes, now);
                if (found == jobs_.end() || !found->second.handles[piece].empty())
                {
                    unused.push_back(*handle);
                    continue;
                }
                --found->second.missing_pieces;
                found->second.handles[piece] = *handle;
                continue;
            }
            queue.on_result_bytes_released(producer, sent.result_bytes);
            const piece_failure failure = std::get<piece_failure>(results[next_result]);
            result_memory_full = result_memory_full || failure == piece_failure::no_room;
            if (failure == piece_failure::late || failure == piece_failure::input_gone)
                why = failure;
            else
                requeue_part(call.key(), {part.job, piece, 1}, failure != piece_failure::no_room,
                             now);
        }
        release(unused);
        if (!unused.empty())
            counters_.count("stage_results_unused_total", unused.size());
        if (why)
            fail(part.job, *why);
        else if (const auto current = jobs_.find(part.job);
                 current != jobs_.end() && current->second.missing_pieces == 0)
        {
            stage_outcome outcome;
            outcome.end = stage_end::done;
            outcome.handles = std::move(current->second.handles);
            complete(part.job, std::move(outcome));
        }
    }
    if (result_memory_full)
        queue.on_memory_full(call.endpoint()->record.id, now);
    dispatch(call.key(), now);
}

template <typename Codec>
void stage_batcher<Codec>::on_call_refused(batch_call& call, time_point now)
{
    const auto keep = remove_call(call);
    counters_.count("stage_calls_refused_total");
    requeue_call(call, now);
}

template <typename Codec>
void stage_batcher<Codec>::on_call_lost(batch_call& call, time_point now)
{
    const auto keep = remove_call(call);
    if (!keep)
        return;
    counters_.count("stage_calls_lost_total");
    log_event(log_level::warning, "stage_call_lost",
              {{"endpoint", call.endpoint()->record.id},
               {"queue", call.key()},
               {"pieces", std::to_string(call.batch().pieces)},
               {"elapsed_ms", std::to_string(call.elapsed(now).count())},
               {"expected_ms", std::to_string(call.batch().expected.count())},
               {"why", call.outcome()}});
    requeue_call(call, now);
}

// Queues the pieces of a call that ended without results again.
template <typename Codec>
void stage_batcher<Codec>::requeue_call(batch_call& call, time_point now)
{
    stage_queue& queue = queues_[call.key()].queue;
    const std::string& endpoint = call.endpoint()->record.id;
    call.count_end(!call.was_refused() && !call.was_unreachable() && !call.was_connection_lost(),
                   now);
    if (call.was_connection_lost())
        queue.on_call_dropped(endpoint);
    else
        queue.on_failed(endpoint, now);
    if (call.was_answered())
        queue.on_answered(endpoint);
    // Without a connection no piece has reached the endpoint, so neither a failure nor a retry is
    // counted for the jobs.
    const bool reached_endpoint = !call.was_unreachable();
    for (const sent_part& sent : call.parts())
    {
        queue.on_result_bytes_released(endpoint, sent.part.count * sent.result_bytes);
        requeue_part(call.key(), sent.part, reached_endpoint, now);
    }
    dispatch(call.key(), now);
}

// Queues pieces again. A job whose pieces keep failing is ended, because retrying it would take
// endpoint time from other jobs.
template <typename Codec>
void stage_batcher<Codec>::requeue_part(const std::string& key, const batch_part& part,
                                        bool counts_as_failure, time_point now)
{
    const auto found = jobs_.find(part.job);
    if (found == jobs_.end())
        return;
    job& owner = found->second;
    if (counts_as_failure)
    {
        ++owner.failures;
        if (owner.failures >= max_piece_attempts * owner.request.pieces ||
            !endpoints_.try_acquire_stage_retry(owner.request.service, now))
            return fail(part.job, piece_failure::failed);
    }
    queues_[key].queue.requeue(owner.queued, part);
}

template <typename Codec>
void stage_batcher<Codec>::fail(std::uint64_t id, piece_failure why)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    const stage_request& request = found->second.request;
    queues_[queue_name(request.service, request.shard)].queue.remove(id);
    release_results(found->second);
    stage_outcome outcome;
    outcome.why = why;
    complete(id, std::move(outcome));
}

// Calls back from the event loop, because the callback may submit or cancel other jobs.
template <typename Codec>
void stage_batcher<Codec>::complete(std::uint64_t id, stage_outcome outcome)
{
    const auto found = jobs_.find(id);
    const stage_callback done = std::move(found->second.done);
    const stage_request& request = found->second.request;
    outcome.delays =
        delays_of(queues_[queue_name(request.service, request.shard)], steady_clock::now());
    jobs_.erase(found);
    boost::asio::post(io_, [done, outcome = std::move(outcome)] { done(outcome); });
}

template <typename Codec>
void stage_batcher<Codec>::tick(time_point now)
{
    std::vector<std::shared_ptr<batch_call>> overdue;
    for (const auto& [pointer, call] : calls_)
    {
        if (call->is_overdue(now))
            overdue.push_back(call);
    }
    for (const auto& call : overdue)
    {
        call->cancel();
        queues_[call->key()].queue.on_overdue(call->endpoint()->record.id, call->batch(),
                                              call->elapsed(now));
        on_call_lost(*call, now);
    }
    for (auto& [name, entry] : queues_)
    {
        if (entry.queue.waiting_pieces() > 0)
            dispatch(name, now);
    }
    std::vector<std::shared_ptr<release_call>> releases;
    for (const auto& [pointer, call] : release_calls_)
        releases.push_back(call);
    for (const auto& call : releases)
        call->tick(now);
    if (now - last_release_flush_ >= release_flush_interval)
        flush_releases();
    if (now - last_expiry_check_ < result_expiry_interval)
        return;
    last_expiry_check_ = now;
    std::vector<std::string> expired;
    for (const auto& [handle, result] : held_)
    {
        if (now >= result.expires_at)
            expired.push_back(handle);
    }
    for (const std::string& handle : expired)
        (void)free_result(handle);
    if (!expired.empty())
        counters_.count("stage_results_expired_total", expired.size());
    while (!freed_expiries_.empty() && now >= freed_expiries_.front().at)
    {
        freed_.erase(freed_expiries_.front().handle);
        freed_expiries_.pop_front();
    }
}

// To an endpoint with a limit, calls go before releases, whose results expire anyway.
template <typename Codec>
bool stage_batcher<Codec>::may_release(const known_endpoint& endpoint, time_point now) const
{
    if (!endpoint.limit.limit())
        return true;
    const bool has_calls = std::any_of(queues_.begin(), queues_.end(),
                                       [&](const auto& entry)
                                       {
                                           return entry.second.service == endpoint.record.service &&
                                                  entry.second.queue.has_waiting_pieces();
                                       });
    return !has_calls && endpoint.limit.next_call_at(now) <= now;
}

template <typename Codec>
void stage_batcher<Codec>::flush_releases()
{
    last_release_flush_ = steady_clock::now();
    const auto pending = std::move(pending_releases_);
    pending_releases_.clear();
    for (const auto& [address, handles] : pending)
    {
        const endpoint_ptr endpoint = endpoints_.find_address(address);
        if (!endpoint)
            continue; // the results were lost with the endpoint
        if (endpoint->health.is_paused(last_release_flush_) ||
            !may_release(*endpoint, last_release_flush_))
        {
            pending_releases_[address] = handles;
            continue;
        }
        endpoint->limit.on_sent(last_release_flush_);
        throttle_endpoint(endpoint->record, endpoint->limit.next_call_at(last_release_flush_));
        const auto call = std::make_shared<release_call>(*this, endpoint, handles);
        release_calls_.emplace(call.get(), call);
        call->start(Codec::encode_release(address, handles), last_release_flush_);
    }
}

} // namespace zinnianotch
