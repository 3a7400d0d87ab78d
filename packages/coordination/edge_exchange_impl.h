// Member definitions of edge::exchange, included by the source that instantiates edge.
#pragma once

#include "coordination/edge_crashing_request_impl.h"
#include "coordination/edge_exchange.h"
#include "coordination/edge_transfers_impl.h"

namespace zinnianotch
{

namespace edge_detail
{

inline std::string milliseconds_text(std::chrono::milliseconds time)
{
    return std::to_string(time.count());
}

// Formats as seconds with three decimals, e.g. 0.250.
inline std::string seconds_text(milliseconds time)
{
    std::array<char, 32> text{};
    (void)std::snprintf(text.data(), text.size(), "%lld.%03lld",
                        static_cast<long long>(time.count() / 1000),
                        static_cast<long long>(time.count() % 1000));
    return text.data();
}

inline std::string_view reason_phrase(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Error";
    }
}

// True for status codes that tell the client that its request has not run and will not.
inline bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace edge_detail

template <typename Codec>
edge<Codec>::exchange::exchange(edge& owner, std::shared_ptr<server_connection> client,
                                client_call call, bool keep_alive, bool chunked_allowed,
                                time_point received)
    : owner_(owner), client_(std::move(client)), call_(std::move(call)), keep_alive_(keep_alive),
      chunked_allowed_(chunked_allowed), received_(received)
{
}

// Admits the request and submits its first stages, or refuses it.
template <typename Codec>
void edge<Codec>::exchange::begin(time_point now)
{
    client_->on_disconnect = [self = this->weak_from_this()]
    {
        if (const auto alive = self.lock())
            alive->on_client_disconnected();
    };
    if (owner_.memory_->ledger.is_bounded())
        held_partial_response_ =
            held_bytes(owner_.memory_, held_kind::partial_response, nullptr, now);
    if (!admit(now))
        return;
    owner_.endpoints_.count_new_request(service_name_, now);
    start_stages(now);
}

template <typename Codec>
bool edge<Codec>::exchange::admit(time_point now)
{
    state_ = owner_.state_;
    if (!state_)
    {
        refuse(reason::not_ready, "desired state not read yet", retry_after_not_ready, now);
        return false;
    }
    route_ = find_route(*state_, call_.host, call_.target);
    if (route_ == nullptr)
    {
        owner_.log_denial(call_.attempt, "route", now);
        fail(reason::not_found, verdict::not_run, "no route matches host and target", now);
        return false;
    }
    account_ = call_.key.empty() ? nullptr : find_account(*state_, call_.key);
    if (account_ == nullptr && state_->needs_keys() && !route_->anonymous)
    {
        owner_.log_denial(call_.attempt, "key", now);
        fail(reason::unauthorized, verdict::not_run, "missing or unknown API key", now);
        return false;
    }
    if (!call_.has_valid_pieces && !route_->stages.empty())
    {
        fail(reason::bad_request, verdict::not_run, "unreadable numbers of pieces", now);
        return false;
    }
    const milliseconds limit = std::min(call_.time_left.value_or(route_->timeout), route_->timeout);
    deadline_ = received_ + limit;
    service_name_ = choose_service();
    service_ = find_service(*state_, service_name_);
    if (limit.count() <= 0)
    {
        refuse(reason::deadline_unreachable, "deadline had passed on arrival", retry_after_min,
               now);
        return false;
    }
    if (owner_.stop_ && !owner_.stop_->accepts(remaining(now), expected_time(), now))
    {
        refuse(reason::draining, "VM is stopping", retry_after_min, now);
        return false;
    }
    return !is_held(now);
}

template <typename Codec>
std::optional<held_request> edge<Codec>::exchange::find_hold(time_point now)
{
    if (!is_generation())
        return std::nullopt;
    return owner_.crash_suspects_.held(call_.prompt_parts, now);
}

// Refuses the request if engines crash under a part of its prompt and this VM may not probe it now.
template <typename Codec>
bool edge<Codec>::exchange::is_held(time_point now)
{
    if (is_request_held(now))
        return true;
    const auto held = find_hold(now);
    if (!held || owner_.crash_suspects_.may_probe(call_.prompt_parts, owner_.options_.vm,
                                                  owner_.endpoints_.vms(), now))
        return false;
    refuse(reason::crashing_prompt, "prompt part " + held->part, held->retry_after, now);
    return true;
}

// Duration of recent successful responses of the route; nothing if there was none.
template <typename Codec>
std::optional<milliseconds> edge<Codec>::exchange::expected_time() const
{
    const auto found = owner_.response_times_.find(route_->name);
    if (found == owner_.response_times_.end())
        return std::nullopt;
    return found->second.total.upper_bound();
}

// The same from the end of its stages on.
template <typename Codec>
std::optional<milliseconds> edge<Codec>::exchange::expected_time_after_stages() const
{
    const auto found = owner_.response_times_.find(route_->name);
    if (found == owner_.response_times_.end())
        return std::nullopt;
    return found->second.after_stages.upper_bound();
}

// False if an attempt that is sent now will probably be given up because this VM stops. A response
// that has begun cannot move to another VM, so it is continued in any case.
template <typename Codec>
bool edge<Codec>::exchange::ends_before_stop(time_point now) const
{
    return !owner_.stop_ || head_sent_ ||
           owner_.stop_->completes(remaining(now), expected_time_after_stages(), now);
}

// Distributes requests over the services of the route by weight. A service without endpoints gets
// none; its share goes to the others.
template <typename Codec>
const std::string& edge<Codec>::exchange::choose_service() const
{
    static const std::string none;
    std::uint64_t sum = 0;
    for (const weighted_service& entry : route_->services)
    {
        if (!owner_.endpoints_.serving(entry.service).empty())
            sum += entry.weight;
    }
    if (sum == 0)
        return route_->services.empty() ? none : route_->services.front().service;
    std::uint64_t at = rendezvous_weight(call_.attempt, route_->name) % sum;
    for (const weighted_service& entry : route_->services)
    {
        if (owner_.endpoints_.serving(entry.service).empty())
            continue;
        if (at < entry.weight)
            return entry.service;
        at -= entry.weight;
    }
    return route_->services.front().service;
}

template <typename Codec>
std::uint32_t edge<Codec>::exchange::priority() const
{
    if (account_ != nullptr && account_->priority)
        return *account_->priority;
    return route_->priority;
}

template <typename Codec>
void edge<Codec>::exchange::start_stages(time_point now)
{
    stages_.assign(route_->stages.size(), {});
    if (!stages_.empty() && is_generation())
        home_domain_ = owner_.endpoints_.home_domain(
            service_name_, call_.prompt_prefix,
            owner_.work_.is_timed(service_name_, route_->name, true, now), now);
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        stages_[i].pieces = i < call_.pieces.size() ? call_.pieces[i] : 0;
        stages_[i].done = stages_[i].pieces == 0;
    }
    if (!stages_rerun_ && !admit_chain(now))
        return;
    submit_ready(now);
}

template <typename Codec>
bool edge<Codec>::exchange::stages_done() const
{
    return std::all_of(stages_.begin(), stages_.end(),
                       [](const stage_progress& stage) { return stage.done; });
}

// Stage time computed from the service's configured batch times, with an allowance for queueing.
template <typename Codec>
milliseconds edge<Codec>::exchange::nominal_stage_time(std::size_t index) const
{
    const service_spec* const service = find_service(*state_, route_->stages[index].service);
    if (service == nullptr || !service->batch || stages_[index].pieces == 0)
        return milliseconds(0);
    const batch_spec& batch = *service->batch;
    const std::uint32_t pieces = std::min(stages_[index].pieces, batch.batch);
    const double time = static_cast<double>(batch.call_time.count()) + batch.piece_time_ms * pieces;
    return milliseconds(static_cast<std::int64_t>(time * queueing_factor));
}

// Stage time in the fastest shard according to recent measurements.
template <typename Codec>
milliseconds edge<Codec>::exchange::expected_stage_time(std::size_t index, time_point now) const
{
    const std::string& service = route_->stages[index].service;
    const milliseconds nominal = nominal_stage_time(index);
    milliseconds shortest = milliseconds::max();
    for (const stage_shard& shard : owner_.shards_of(service))
        shortest =
            std::min(shortest,
                     owner_.stage_times_.expected(queue_name(service, shard.domain), nominal, now));
    return shortest == milliseconds::max() ? nominal : shortest;
}

// Failure domain whose endpoints run the stage: the preferred one if there is one, otherwise one by
// the request's hash, unless another domain is faster. Empty when all endpoints form one pool.
template <typename Codec>
std::string edge<Codec>::exchange::choose_stage_shard(std::size_t index,
                                                      const std::string& preferred_domain,
                                                      time_point now) const
{
    const std::string& service = route_->stages[index].service;
    std::vector<shard_option> options;
    for (const stage_shard& shard : owner_.shards_of(service))
        options.push_back(
            {shard.domain, owner_.stage_times_.expected(queue_name(service, shard.domain),
                                                        nominal_stage_time(index), now)});
    if (options.empty())
        return {};
    const std::uint64_t hash = rendezvous_weight(call_.attempt, service);
    return choose_shard(options, preferred_domain.empty()
                                     ? shard_for_hash(owner_.shards_of(service), hash)
                                     : preferred_domain);
}

// Failure domain in which the stage saves transfers between domains: the one that holds its large
// inputs, or the one of the engine that will read its large results. The engine stays in the domain
// of large results, so results made elsewhere would take the request away from its cached prefix.
template <typename Codec>
std::string edge<Codec>::exchange::preferred_stage_domain(std::size_t index) const
{
    const stage_spec& spec = route_->stages[index];
    std::string domain = results_domain(spec.after, stages_[index].pieces);
    if (domain.empty() && spec.result_bytes * stages_[index].pieces >= large_results_bytes)
        domain = home_domain_;
    return domain;
}

// True if a stage of the request runs in a service whose capacity is reserved by urgency.
template <typename Codec>
bool edge<Codec>::exchange::is_contended() const
{
    return std::any_of(route_->stages.begin(), route_->stages.end(),
                       [&](const stage_spec& stage)
                       { return owner_.contended_services_.contains(stage.service); });
}

template <typename Codec>
std::uint32_t edge<Codec>::exchange::stage_priority(std::size_t index) const
{
    if (!owner_.contended_services_.contains(route_->stages[index].service))
        return priority();
    return urgency_rank(account_ != nullptr ? account_->priority : std::nullopt, route_->priority);
}

template <typename Codec>
milliseconds edge<Codec>::exchange::first_byte_time() const
{
    const auto own = owner_.route_first_byte_times_.find(route_->name);
    return own == owner_.route_first_byte_times_.end() ? first_byte_default
                                                       : own->second.upper_bound();
}

// Uses the fastest shard that its batching VM has reported lately.
template <typename Codec>
chain_estimate edge<Codec>::exchange::estimate_stage(std::size_t index, time_point now) const
{
    const std::string& service = route_->stages[index].service;
    const std::uint32_t own_priority = stage_priority(index);
    std::optional<chain_estimate> best;
    for (const stage_shard& shard : owner_.shards_of(service))
    {
        const queue_delays* const delays =
            owner_.queue_delays_.find(queue_name(service, shard.domain), now);
        const auto delay =
            delays == nullptr ? std::nullopt : find_delay(*delays, own_priority, is_above_share_);
        if (delay && (!best || *delay < best->on_time))
            best = chain_estimate{*delay, std::max(*delay, delays->late)};
    }
    const milliseconds nominal = nominal_stage_time(index);
    if (!best && !owner_.contended_services_.contains(service))
    {
        const milliseconds observed = expected_stage_time(index, now);
        return {observed, observed};
    }
    if (!best)
        return {nominal, nominal};
    return {std::max(nominal, best->on_time), std::max(nominal, best->late)};
}

template <typename Codec>
chain_estimate edge<Codec>::exchange::estimate_after(std::size_t index, time_point now) const
{
    chain_estimate longest;
    bool followed = false;
    for (std::size_t i = index + 1; i < stages_.size(); ++i)
    {
        const auto& after = route_->stages[i].after;
        if (stages_[i].pieces == 0 || std::find(after.begin(), after.end(), index) == after.end())
            continue;
        followed = true;
        const chain_estimate own = estimate_stage(i, now);
        const chain_estimate rest = estimate_after(i, now);
        longest.on_time = std::max(longest.on_time, own.on_time + rest.on_time);
        longest.late = std::max(longest.late, own.late + rest.late);
    }
    return followed ? longest : chain_estimate{first_byte_time(), first_byte_time()};
}

// True if the capacity of the stage is shared among the client accounts.
template <typename Codec>
bool edge<Codec>::exchange::shares_accounts(std::size_t index) const
{
    return state_->accounts.size() >= accounts_sharing_min &&
           owner_.contended_services_.contains(route_->stages[index].service);
}

template <typename Codec>
std::uint64_t edge<Codec>::exchange::own_account_key() const
{
    return account_ != nullptr ? account_key(account_->name) : 0;
}

// Queue that the stage would be submitted to now.
template <typename Codec>
std::string edge<Codec>::exchange::first_choice_queue(std::size_t index, time_point now) const
{
    return queue_name(route_->stages[index].service,
                      choose_stage_shard(index, preferred_stage_domain(index), now));
}

// Decides whether the request counts as above the share of its account, in all its stages: by the
// queue that leaves the account the smallest share.
template <typename Codec>
void edge<Codec>::exchange::mark_share(time_point now)
{
    account_share_ = 1.0;
    std::uint32_t scarcest_priority = 0;
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        if (stages_[i].done || !shares_accounts(i))
            continue;
        const queue_delays* const delays =
            owner_.queue_delays_.find(first_choice_queue(i, now), now);
        if (delays == nullptr)
            continue;
        const double share = share_of(delays->shares, own_account_key(), stage_priority(i));
        if (share >= account_share_)
            continue;
        account_share_ = share;
        scarcest_priority = stage_priority(i);
    }
    is_above_share_ =
        !owner_.share_marker_.is_within_share(own_account_key(), scarcest_priority, account_share_);
    if (is_above_share_)
        owner_.counters_.count_for_account("account_requests_above_share_total", account_name());
}

// The queues learn of the refused pieces with the next job of the account.
template <typename Codec>
void edge<Codec>::exchange::count_chain_refusal(time_point now)
{
    owner_.counters_.count("chain_refusals_total");
    owner_.counters_.count_for_account("account_chain_refusals_total", account_name());
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        if (!stages_[i].done && shares_accounts(i))
            owner_.refused_pieces_.add(first_choice_queue(i, now), own_account_key(),
                                       stage_priority(i), stages_[i].pieces);
    }
}

// Refuses a request that does not fit through all its stages, before the first one is queued.
template <typename Codec>
bool edge<Codec>::exchange::admit_chain(time_point now)
{
    if (!is_contended())
        return true;
    mark_share(now);
    chain_estimate whole;
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        if (stages_[i].done || !route_->stages[i].after.empty())
            continue;
        const chain_estimate own = estimate_stage(i, now);
        const chain_estimate rest = estimate_after(i, now);
        whole.on_time = std::max(whole.on_time, own.on_time + rest.on_time);
        whole.late = std::max(whole.late, own.late + rest.late);
    }
    const chain_verdict verdict = decide_chain(whole, goal() - elapsed(now), remaining(now));
    if (verdict.decision != chain_decision::refused)
        return true;
    count_chain_refusal(now);
    std::string detail =
        "all stages take " + edge_detail::milliseconds_text(whole.on_time) + " ms:";
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        if (!stages_[i].done)
            detail += " " + edge_detail::milliseconds_text(estimate_stage(i, now).on_time);
    }
    detail += " and " + edge_detail::milliseconds_text(first_byte_time());
    if (is_above_share_)
        detail += ", account above its share";
    refuse(reason::overloaded, detail, verdict.retry_after, now);
    return false;
}

// Expected time from the end of this stage to the first byte of the response.
template <typename Codec>
milliseconds edge<Codec>::exchange::time_after(std::size_t index, time_point now) const
{
    if (is_contended())
        return estimate_after(index, now).on_time;
    milliseconds longest{0};
    bool followed = false;
    for (std::size_t i = index + 1; i < stages_.size(); ++i)
    {
        const auto& after = route_->stages[i].after;
        if (stages_[i].pieces == 0 || std::find(after.begin(), after.end(), index) == after.end())
            continue;
        followed = true;
        longest = std::max(longest, expected_stage_time(i, now) + time_after(i, now));
    }
    if (followed)
        return longest;
    const auto found = owner_.first_byte_times_.find(service_name_);
    return found == owner_.first_byte_times_.end() ? first_byte_default
                                                   : found->second.upper_bound();
}

template <typename Codec>
void edge<Codec>::exchange::submit_ready(time_point now)
{
    const bool was_moving = is_moving_; // a submission may end the move
    for (std::size_t i = 0; i < stages_.size() && !closed_ && is_moving_ == was_moving; ++i)
    {
        if (stages_[i].done || stages_[i].submitted)
            continue;
        const auto& after = route_->stages[i].after;
        const bool ready = std::all_of(
            after.begin(), after.end(),
            [&](std::uint32_t before) { return before >= stages_.size() || stages_[before].done; });
        if (ready)
            submit_stage(i, now);
    }
    if (!closed_ && is_moving_ == was_moving && stages_done())
    {
        stages_done_at_ = now;
        if (is_moving_)
            return complete_move(now);
        place(now);
    }
}

template <typename Codec>
void edge<Codec>::exchange::submit_stage(std::size_t index, time_point now)
{
    const stage_spec& spec = route_->stages[index];
    stage_request request;
    request.attempt = call_.attempt;
    request.service = spec.service;
    request.stage = static_cast<std::uint32_t>(index);
    request.priority = stage_priority(index);
    request.pieces = stages_[index].pieces;
    request.result_bytes = spec.result_bytes;
    if (spec.after.empty())
        request.key = call_.piece_key;
    else
        request.inputs = inputs_of(spec.after);
    request.preferred_domain = preferred_stage_domain(index);
    request.shard = choose_stage_shard(index, request.preferred_domain, now);
    stages_[index].queue = queue_name(request.service, request.shard);
    if (shares_accounts(index))
    {
        request.account = own_account_key();
        request.is_above_share = is_above_share_;
        request.refused_pieces =
            owner_.refused_pieces_.take(stages_[index].queue, request.account, request.priority);
        owner_.counters_.count_for_account("account_pieces_total", account_name(), request.pieces);
        if (is_above_share_)
            owner_.counters_.count_for_account("account_pieces_above_share_total", account_name(),
                                               request.pieces);
    }
    const milliseconds rest = time_after(index, now);
    request.goal_left = goal() - elapsed(now) - rest;
    request.deadline_left = remaining(now) - rest;
    stages_[index].submitted = true;
    stages_[index].submitted_at = now;
    stages_[index].in_time = request.goal_left > milliseconds(0);
    stages_[index].job = owner_.stage_router_.submit(
        request,
        [self = this->weak_from_this(), index](const stage_outcome& outcome)
        {
            if (const auto alive = self.lock())
                alive->on_stage_outcome(index, outcome);
        },
        now);
}

template <typename Codec>
void edge<Codec>::exchange::on_stage_outcome(std::size_t index, const stage_outcome& outcome)
{
    const time_point now = steady_clock::now();
    if (!outcome.delays.by_priority.empty())
        owner_.queue_delays_.record(stages_[index].queue, outcome.delays, now);
    if (closed_)
    {
        owner_.stage_router_.release(stages_[index].queue, outcome.handles);
        return;
    }
    if (outcome.end == stage_end::done)
    {
        stage_progress& stage = stages_[index];
        stage.handles = outcome.handles;
        stage.done = true;
        if (stage.in_time)
            owner_.stage_times_.record(
                stage.queue, std::chrono::duration_cast<milliseconds>(now - stage.submitted_at),
                now);
        count_stage_result_bytes(index);
        for (const std::uint32_t before : route_->stages[index].after)
            release_consumed_results(before);
        return submit_ready(now);
    }
    const std::string where = "stage " + std::to_string(index);
    // The recorded time makes later requests avoid an unreachable or overloaded domain for a while.
    const bool refused = outcome.end == stage_end::refused;
    owner_.stage_times_.record(stages_[index].queue, refused ? outcome.expected : failed_stage_time,
                               now);
    if (is_moving_)
        return cancel_move(now);
    if (refused)
        return refuse(reason::overloaded, where + " has no time left in its queue",
                      outcome.expected / 2, now);
    if (outcome.why == piece_failure::input_gone && !stages_rerun_)
        return rerun_stages(now);
    const std::string detail = where + ": " + std::string(to_string(outcome.why));
    refuse(outcome.why == piece_failure::late ? reason::deadline_unreachable
                                              : reason::endpoint_error,
           detail, retry_after_min, now);
}

template <typename Codec>
std::vector<std::string>
edge<Codec>::exchange::inputs_of(const std::vector<std::uint32_t>& stages) const
{
    std::vector<std::string> inputs;
    for (const std::uint32_t index : stages)
    {
        if (index < stages_.size())
            inputs.insert(inputs.end(), stages_[index].handles.begin(),
                          stages_[index].handles.end());
    }
    return inputs;
}

// Stages whose results are inputs of the request itself rather than of another stage.
template <typename Codec>
std::vector<std::uint32_t> edge<Codec>::exchange::last_stages() const
{
    std::vector<std::uint32_t> last;
    for (std::uint32_t i = 0; i < stages_.size(); ++i)
    {
        const bool followed = std::any_of(
            route_->stages.begin(), route_->stages.end(),
            [&](const stage_spec& stage)
            { return std::find(stage.after.begin(), stage.after.end(), i) != stage.after.end(); });
        if (!followed)
            last.push_back(i);
    }
    return last;
}

// Runs all stages again because results are no longer available: the endpoint that held one lost
// it, or they were released when an earlier attempt began to respond.
template <typename Codec>
void edge<Codec>::exchange::rerun_stages(time_point now)
{
    owner_.counters_.count("stages_remade_total");
    stages_rerun_ = true;
    release_results();
    start_stages(now);
}

template <typename Codec>
void edge<Codec>::exchange::release_results()
{
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        if (stages_[i].submitted && !stages_[i].done)
            owner_.stage_router_.cancel(stages_[i].job);
        owner_.stage_router_.release(stages_[i].queue, stages_[i].handles);
        stages_[i].handles.clear();
    }
}

// Counts the pieces of stages that ran for a request which ends before an engine read them.
template <typename Codec>
void edge<Codec>::exchange::count_unused_results(bool client_left)
{
    if (first_byte_at_ != time_point{})
        return;
    std::uint64_t pieces = 0;
    for (const stage_progress& stage : stages_)
        pieces += stage.submitted && stage.done ? stage.pieces : 0;
    if (pieces > 0)
        owner_.counters_.count(client_left ? "stage_pieces_of_left_clients_total"
                                           : "stage_pieces_of_refused_requests_total",
                               pieces);
}

// Releases the results of a stage once all stages that read them are done.
template <typename Codec>
void edge<Codec>::exchange::release_consumed_results(std::size_t index)
{
    if (index >= stages_.size())
        return;
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        const auto& after = route_->stages[i].after;
        if (!stages_[i].done && std::find(after.begin(), after.end(), index) != after.end())
            return;
    }
    owner_.stage_router_.release(stages_[index].queue, stages_[index].handles);
    stages_[index].handles.clear();
}

template <typename Codec>
void edge<Codec>::exchange::place(time_point now)
{
    if (!ends_before_stop(now))
        return refuse(reason::draining, "VM is stopping", retry_after_min, now);
    if (!owner_.is_state_confirmed(now))
    {
        waiting_for_endpoint_ = true;
        waiting_since_ = now;
        return;
    }
    if (is_held(now))
        return;
    placement_request request = make_placement(now);
    endpoint_ptr endpoint;
    if (silent_.empty() || attempts_ < route_->attempts)
        endpoint = acquire(request, now);
    if (!endpoint && !silent_.empty())
    {
        request.gate = nullptr;
        request.excluded_ids = nullptr;
        request.only_ids = &silent_;
        endpoint = acquire_endpoint(request, now);
    }
    if (endpoint)
    {
        waiting_for_endpoint_ = false;
        return send(endpoint, now);
    }
    if (!waiting_for_endpoint_)
    {
        waiting_for_endpoint_ = true;
        waiting_since_ = now;
    }
    // Waits only if an endpoint may become available before the placement timeout.
    const auto available_at = owner_.endpoints_.next_available_at(request, now);
    if (available_at && *available_at < waiting_since_ + placement_timeout &&
        now - waiting_since_ < placement_timeout)
        return;
    if (has_left_sound_endpoint())
        return;
    const milliseconds retry_after =
        available_at ? std::chrono::duration_cast<milliseconds>(*available_at - now)
                     : retry_after_not_ready;
    refuse(reason::no_endpoint, owner_.endpoints_.describe_availability(service_name_, now),
           retry_after, now);
}

// The request as it is placed: where its inputs or its prompt prefix are.
template <typename Codec>
placement_request edge<Codec>::exchange::make_placement(time_point now)
{
    inputs_domain_ = results_domain(last_stages(), 1);
    placement_request request;
    request.service = service_name_;
    if (is_generation())
    {
        // Requests with different suspect parts go to different engines, which tells them apart.
        affinity_ =
            owner_.crash_suspects_.suspect(call_.prompt_parts, now).value_or(call_.prompt_prefix);
        request.affinity = affinity_;
    }
    request.preferred_domain = inputs_domain_;
    // Reading a prompt prefix again takes an engine longer than fetching the results from another
    // domain, so a request with a prefix goes where this is cached.
    request.stay_in_preferred = !inputs_domain_.empty() && request.affinity.empty();
    request.excluded_ids = &tried_;
    if (owner_.work_.is_observed(service_name_, now) || bounds_endpoint_memory())
    {
        work_ = owner_.work_.estimate(service_name_, route_->name, call_.size,
                                      goal() - elapsed(now), now);
        if (service_ != nullptr && service_->memory_tokens != 0)
            work_.limit_to(service_->memory_tokens);
    }
    if (owner_.work_.is_timed(service_name_, route_->name, work_.has_prompt(), now))
    {
        request.work = &work_;
        request.rates = &owner_.work_.rates(service_name_);
    }
    if (bounds_endpoint_memory())
    {
        request.memory_tokens = work_.memory_tokens();
        request.memory_per_request = owner_.work_.rates(service_name_).memory_per_request();
    }
    return request;
}

// True if the request must fit into the memory of its endpoint beside the others there.
template <typename Codec>
bool edge<Codec>::exchange::bounds_endpoint_memory() const
{
    return owner_.memory_->ledger.is_bounded() && is_generation() && service_->memory_tokens != 0 &&
           (!call_.size.parts.empty() || call_.size.prompt_tokens != 0);
}

// Takes an endpoint and notes why it was chosen.
template <typename Codec>
endpoint_ptr edge<Codec>::exchange::acquire_endpoint(const placement_request& request,
                                                     time_point now)
{
    timed_choice choice;
    endpoint_ptr endpoint = owner_.endpoints_.acquire(request, service_, now, &choice);
    if (endpoint)
        choice_ = choice;
    return endpoint;
}

// Begins to move a request whose endpoint is silent to another endpoint. The silent one may be
// sound, so it keeps the request until the other can take it.
template <typename Codec>
void edge<Codec>::exchange::move_from_silent_endpoint(time_point now)
{
    if (is_moving_ || now < move_retry_at_ || !may_retry(now) || !owner_.is_state_confirmed(now))
        return;
    // An endpoint that takes no new requests could not be returned to.
    if (!owner_.endpoints_.is_serving(endpoint_->record.id) &&
        now - progress_at_ < progress_timeout() + leaving_endpoint_allowance)
        return;
    if (!may_complete_move(now))
        return cancel_move(now);
    if (holds_inputs())
        return complete_move(now);
    is_moving_ = true;
    rerun_stages(now);
}

// False if no other endpoint can take the request now, or no retry is left.
template <typename Codec>
bool edge<Codec>::exchange::may_complete_move(time_point now)
{
    std::set<std::string> excluded = tried_;
    excluded.insert(endpoint_->record.id);
    placement_request request = make_placement(now);
    request.excluded_ids = &excluded;
    choose_pool(request, now);
    const auto available_at = owner_.endpoints_.next_available_at(request, now);
    return available_at && *available_at <= now && owner_.endpoints_.may_retry(service_name_, now);
}

template <typename Codec>
void edge<Codec>::exchange::complete_move(time_point now)
{
    std::set<std::string> excluded = tried_;
    excluded.insert(endpoint_->record.id);
    placement_request request = make_placement(now);
    request.excluded_ids = &excluded;
    // An endpoint that is acquired and not used would miss a probe or a part of its cold share.
    if (!ends_before_stop(now) || !owner_.is_state_confirmed(now) || find_hold(now) ||
        find_request_hold(now) || !owner_.endpoints_.may_retry(service_name_, now))
        return cancel_move(now);
    const endpoint_ptr next = acquire(request, now);
    if (!next)
        return cancel_move(now);
    (void)owner_.endpoints_.try_acquire_retry(service_name_, now);
    log_event(log_level::warning, "endpoint_silent",
              {{"request", call_.attempt},
               {"endpoint", endpoint_->record.id},
               {"next", next->record.id},
               {"begun", head_sent_ ? "true" : "false"},
               {"silent_ms", edge_detail::milliseconds_text(
                                 std::chrono::duration_cast<milliseconds>(now - progress_at_))}});
    owner_.counters_.count_retry(reason::silent_connection);
    end_rollout_attempt(true, now);
    drop_upstream();
    endpoint_->health.on_silent(progress_at_, now);
    tried_.insert(endpoint_->record.id);
    silent_.insert(endpoint_->record.id);
    may_have_run_ = true;
    is_moving_ = false;
    reset_response();
    send(next, now);
}

// The request stays with the silent endpoint for now.
template <typename Codec>
void edge<Codec>::exchange::cancel_move(time_point now)
{
    move_retry_at_ = now + move_retry_interval;
    if (std::exchange(is_moving_, false))
        release_results();
}

// True if an endpoint that the request left because it was silent may still be sound.
template <typename Codec>
bool edge<Codec>::exchange::may_return_to_silent_endpoint() const
{
    return std::any_of(silent_.begin(), silent_.end(),
                       [&](const std::string& id) { return owner_.endpoints_.is_serving(id); });
}

// False once an endpoint has begun to respond, which releases the results of the stages.
template <typename Codec>
bool edge<Codec>::exchange::holds_inputs() const
{
    const std::vector<std::uint32_t> last = last_stages();
    return std::all_of(last.begin(), last.end(),
                       [&](std::uint32_t index)
                       {
                           return index >= stages_.size() || stages_[index].pieces == 0 ||
                                  !stages_[index].handles.empty();
                       });
}

template <typename Codec>
void edge<Codec>::exchange::send(endpoint_ptr endpoint, time_point now)
{
    endpoint_ = std::move(endpoint);
    begin_work(now);
    // The deadline may have passed while the process was paused.
    if (now >= deadline_)
    {
        leave_endpoint();
        return tick(now);
    }
    endpoint_call extra;
    extra.endpoint = endpoint_->record.id;
    extra.account = account_ != nullptr ? account_->name : std::string();
    extra.time_left = std::max(remaining(now), milliseconds(1));
    extra.priority = std::min(priority(), least_urgent_priority);
    extra.inputs = inputs_of(last_stages());
    extra.resume_after = events_.last_id() ? events_.last_id() : call_.resume_after;
    count_result_bytes(last_stages(), endpoint_->record.domain, 1);
    record_request_probe(now);
    if (is_generation() && owner_.crash_suspects_.held(call_.prompt_parts, now))
    {
        owner_.counters_.count("prompt_part_probes_total");
        log_event(log_level::info, "prompt_part_probe",
                  {{"request", call_.attempt}, {"endpoint", endpoint_->record.id}});
        owner_.crash_suspects_.on_probe(call_.prompt_parts, now);
        owner_.send_crash_reports(now);
    }
    sound_recorded_ = false;
    ++attempts_;
    sent_at_ = now;
    progress_at_ = now;
    events_before_attempt_ = events_.events();
    disposition_ = disposition::forward;
    status_ = 0;
    is_paused_ = false;
    if (owner_.memory_->ledger.is_bounded())
        endpoint_->pool.set_receive_buffer(endpoint_receive_buffer_bytes);
    const bool repeatable = is_repeatable(*route_);
    begin_rollout_attempt(now);
    upstream_ = endpoint_->pool.start(Codec::encode_call(call_, extra), *this,
                                      repeatable ? default_idle_timeout : unrepeatable_max_idle,
                                      now, call_.method != "HEAD");
    count_request_bytes(now);
    owner_.counters_.count("sends_total");
    owner_.counters_.count("placed_by_" + std::string(to_string(choice_.cause)) + "_total");
}

// Counts a large body that the endpoint has to read.
template <typename Codec>
void edge<Codec>::exchange::count_request_bytes(time_point now)
{
    unread_request_bytes_ = 0;
    held_request_.release();
    if (call_.body.size() < slow_body_bytes || !owner_.memory_->ledger.is_bounded())
        return;
    unread_request_bytes_ = call_.body.size();
    held_request_ = held_bytes(
        owner_.memory_, held_kind::endpoint_request,
        [weak = this->weak_from_this()]
        {
            if (const auto self = weak.lock())
                self->yield_request();
        },
        now);
    held_request_.grow(unread_request_bytes_, now);
}

// True if the endpoint has read a further part of a large body since the last check.
template <typename Codec>
bool edge<Codec>::exchange::is_request_being_read(time_point now)
{
    if (unread_request_bytes_ == 0 || !upstream_)
        return false;
    const std::size_t left = upstream_->unread_request_bytes();
    if (left >= unread_request_bytes_)
        return false;
    unread_request_bytes_ = left;
    held_request_.set(left, now);
    return true;
}

// Ends the request for lack of memory: its endpoint reads the body too slowly.
template <typename Codec>
void edge<Codec>::exchange::yield_request()
{
    fail(reason::overloaded, verdict::may_have_run, "memory is short, endpoint reads slowly",
         steady_clock::now());
}

// Notes the work that the endpoint gets with this attempt.
template <typename Codec>
void edge<Codec>::exchange::begin_work(time_point now)
{
    const bool is_observed = owner_.work_.is_observed(service_name_, now);
    if (!is_observed && !bounds_endpoint_memory())
        return;
    if (choice_.cause == placement_cause::load)
        choice_.tokens_to_read = work_.prompt_tokens - work_.shared_tokens;
    backlog_item item;
    item.id = ++owner_.last_work_id_;
    item.unread = choice_.tokens_to_read;
    item.memory = work_.memory_tokens();
    item.sent_at = now;
    item.expected_ms = choice_.expected_ms;
    unread_before_ = endpoint_->backlog.unread();
    reported_pace_ = 1.0;
    work_id_ = item.id;
    endpoint_->backlog.add(item);
    if (is_observed)
        owner_.work_.prompts.on_sent(endpoint_->key, call_.size.parts, now);
}

// The endpoint no longer works for the request.
template <typename Codec>
void edge<Codec>::exchange::leave_endpoint()
{
    endpoint_->health.on_finished();
    held_request_.release();
    if (work_id_ != 0)
        endpoint_->backlog.remove(std::exchange(work_id_, 0));
}

template <typename Codec>
void edge<Codec>::exchange::on_load(const endpoint_load_report& load, time_point now)
{
    endpoint_->health.on_load(load, now);
    if (!load.pace)
        return;
    owner_.work_.on_pace_reported(endpoint_->record.service, now);
    endpoint_->pace.on_report(*load.pace, now);
    reported_pace_ = *load.pace;
}

template <typename Codec>
void edge<Codec>::exchange::share_sample(pace_sample_kind kind, double value)
{
    const double bounded = std::clamp(value, pace_sample_range.min, pace_sample_range.max);
    owner_.work_.exchange().add({endpoint_->key, kind, static_cast<float>(bounded)});
}

// Learns from the time to the first byte of a stream how long requests wait at the endpoint.
template <typename Codec>
void edge<Codec>::exchange::record_first_byte(time_point now)
{
    if (work_id_ == 0 || !work_.has_prompt() || status_ != 200)
        return;
    endpoint_->backlog.on_begun(work_id_);
    if (endpoint_->health.is_cold(now) || !owner_.work_.is_observed(service_name_, now))
        return;
    const double elapsed_ms = std::chrono::duration<double, std::milli>(now - sent_at_).count();
    const double slowness = endpoint_->pace.slowness(now);
    const double tokens = choice_.tokens_to_read + unread_before_;
    work_rates& rates = owner_.work_.rates(service_name_);
    rates.on_first_byte(tokens, elapsed_ms / slowness);
    if (!rates.knows_first_byte())
        return;
    const double wait_ms = std::max(0.0, elapsed_ms - slowness * rates.first_byte_ms(tokens));
    rates.on_wait(wait_ms);
    endpoint_->pace.on_wait(wait_ms, own_wait_weight, now);
    share_sample(pace_sample_kind::wait, wait_ms);
}

// Learns from the time of a complete plain response how fast the endpoint is.
template <typename Codec>
void edge<Codec>::exchange::record_plain_time(time_point now)
{
    if (work_id_ == 0 || work_.has_prompt() || status_ / 100 != 2)
        return;
    const double elapsed_ms =
        std::chrono::duration<double, std::milli>(now - sent_at_).count() / reported_pace_;
    work_rates& rates = owner_.work_.rates(service_name_);
    rates.on_plain(route_->name, elapsed_ms);
    if (!rates.knows_plain(route_->name))
        return;
    const double factor = elapsed_ms / std::max(1.0, rates.plain_ms(route_->name));
    endpoint_->pace.on_sample(factor, 1.0, now);
    share_sample(pace_sample_kind::factor, factor);
}

// Learns from a complete stream how long the answers of its route are and how fast its endpoint is.
template <typename Codec>
void edge<Codec>::exchange::record_work(time_point now)
{
    const std::uint64_t events = events_.events() - events_before_attempt_;
    if (!work_.has_prompt() || service_ == nullptr || status_ != 200 || events < 2 ||
        !owner_.work_.is_observed(service_name_, now))
        return;
    const auto since = [&](time_point at)
    { return std::chrono::duration<double, std::milli>(now - at).count(); };
    const double tokens_per_event = service_->tokens_per_event;
    if (events_before_attempt_ == 0)
        owner_.work_.lengths.record(route_->name, call_.size,
                                    tokens_per_event * static_cast<double>(events), now);
    work_rates& rates = owner_.work_.rates(service_name_);
    rates.on_end(since(sent_at_), work_.memory_tokens());
    const double tokens = tokens_per_event * static_cast<double>(events - 1);
    const double elapsed_ms = since(head_at_) / reported_pace_;
    if (tokens <= 0.0)
        return;
    rates.on_tokens(tokens, elapsed_ms);
    if (rates.token_made_ms() <= 0.0)
        return;
    const double factor = elapsed_ms / tokens / rates.token_made_ms();
    endpoint_->pace.on_sample(factor, 1.0, now);
    share_sample(pace_sample_kind::factor, factor);
}

template <typename Codec>
void edge<Codec>::exchange::on_failure(upstream_failure failure)
{
    const time_point now = steady_clock::now();
    upstream_.reset();
    leave_endpoint();
    if (is_connect_failure(failure) || failure == upstream_failure::connection_lost)
        end_rollout_attempt(false, now); // the endpoint has not seen the request
    if (is_connect_failure(failure))
    {
        tried_.insert(endpoint_->record.id);
        silent_.erase(endpoint_->record.id);
        owner_.endpoints_.on_unreachable(*endpoint_, service_, failure, now);
        --attempts_;
        ++connect_failures_;
        log_event(log_level::warning, "connect_failed",
                  {{"request", call_.attempt},
                   {"endpoint", endpoint_->record.id},
                   {"why", std::string(to_string(failure))}});
        if (connect_failures_ < connect_failure_limit || has_left_sound_endpoint())
            return place(now);
        return refuse(reason::connect_failed, "all connection attempts failed", retry_after_min,
                      now);
    }
    if (failure != upstream_failure::connection_lost)
        endpoint_->on_exchange_broken(now);
    on_broken(failure, now);
}

// Continues after the connection broke under the request.
template <typename Codec>
void edge<Codec>::exchange::on_broken(upstream_failure failure, time_point now)
{
    end_rollout_attempt(true, now);
    tried_.insert(endpoint_->record.id);
    silent_.erase(endpoint_->record.id);
    const bool was_lost_before = failure == upstream_failure::connection_lost;
    if (status_ == 0 && !was_lost_before)
        endpoint_->health.on_outcome(false, now);
    if (!discards_response())
    {
        may_have_run_ = true;
        if (!was_lost_before)
            record_break(failure, now);
    }
    log_upstream_failure(to_string(failure), now);
    retry_or_fail(reason::connection_broken,
                  may_have_run_ ? verdict::may_have_run : verdict::not_run, now);
}

// How far the response of the current attempt is.
template <typename Codec>
answer_progress edge<Codec>::exchange::progress() const
{
    const std::uint64_t events = events_.events() - events_before_attempt_;
    if (events > 1)
        return answer_progress::events;
    if (events == 1)
        return answer_progress::first_event;
    return status_ != 0 ? answer_progress::head : answer_progress::no_head;
}

template <typename Codec>
milliseconds edge<Codec>::exchange::answering_for(time_point now) const
{
    if (status_ == 0)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(now - answering_since_);
}

// Notes that the connection broke while the endpoint had the request, as it does when the endpoint
// crashes.
template <typename Codec>
void edge<Codec>::exchange::record_break(upstream_failure failure, time_point now)
{
    if (failure == upstream_failure::invalid_answer)
        return;
    if (is_past_crash(progress(), answering_for(now)))
        return;
    ++crashed_engines_;
    record_request_break(now);
    if (!is_generation() || call_.prompt_parts.empty())
        return;
    owner_.crash_suspects_.on_crash({endpoint_->record.id, endpoint_->record.started_at},
                                    endpoint_->record.domain, call_.prompt_parts, progress(),
                                    answering_for(now), now);
    owner_.send_crash_reports(now);
}

// Notes that an endpoint has answered the request, and an engine the prompt, without a crash.
template <typename Codec>
void edge<Codec>::exchange::record_sound(time_point now)
{
    if (sound_recorded_)
        return;
    sound_recorded_ = true;
    record_answer(now);
    if (!is_generation())
        return;
    owner_.crash_suspects_.on_sound(call_.prompt_parts, sent_at_, now);
}

template <typename Codec>
void edge<Codec>::exchange::log_upstream_failure(std::string_view why, time_point now) const
{
    const auto since = [&](time_point at)
    { return edge_detail::milliseconds_text(std::chrono::duration_cast<milliseconds>(now - at)); };
    std::string parts;
    for (const std::string& part : call_.prompt_parts)
        parts += (parts.empty() ? "" : ",") + part;
    log_event(log_level::warning, "upstream_failed",
              {{"request", call_.attempt},
               {"endpoint", endpoint_->record.id},
               {"why", std::string(why)},
               {"after_ms", since(sent_at_)},
               {"since_head_ms", status_ != 0 ? since(head_at_) : "-"},
               {"events", std::to_string(events_.events() - events_before_attempt_)},
               {"prompt_parts", parts.empty() ? "-" : parts},
               {"digest", digest_.empty() ? "-" : digest_}});
}

// True if the request may be sent once more, as far as the retry budget allows.
template <typename Codec>
bool edge<Codec>::exchange::may_retry(time_point now) const
{
    if (attempts_ >= std::max(route_->attempts, 1U) && !may_return_to_silent_endpoint())
        return false;
    if (remaining(now).count() <= 0 || crashed_engines_ >= max_crashes_per_request)
        return false;
    if (may_have_run_ && !is_repeatable(*route_))
        return false;
    // Only a stream goes on in the response of another endpoint.
    if (head_sent_ && !sent_event_stream_)
        return false;
    return ends_before_stop(now);
}

template <typename Codec>
void edge<Codec>::exchange::retry_or_fail(reason why, verdict outcome, time_point now)
{
    buffered_body_.clear();
    const bool may = may_retry(now);
    if (may && owner_.endpoints_.try_acquire_retry(service_name_, now))
    {
        owner_.counters_.count_retry(why);
        log_event(log_level::info, "retry",
                  {{"request", call_.attempt},
                   {"why", std::string(to_string(why))},
                   {"attempt", std::to_string(attempts_ + 1)},
                   {"after_event", events_.last_id() ? std::to_string(*events_.last_id()) : "-"}});
        return start_next_attempt(now);
    }
    if (may && has_left_sound_endpoint())
    {
        cancel_move(now);
        waiting_for_retry_ = true;
        return;
    }
    if (outcome == verdict::not_run)
        return refuse(why, "no further retry allowed", retry_after_min, now);
    fail(why, outcome, "no further retry allowed", now);
}

// Sends a request that has left a silent endpoint once more as soon as the retry budget allows.
template <typename Codec>
void edge<Codec>::exchange::retry_after_silence(time_point now)
{
    if (!may_retry(now))
        return fail(reason::silent_connection, verdict::may_have_run, "no further retry allowed",
                    now);
    if (!owner_.endpoints_.try_acquire_retry(service_name_, now))
        return;
    waiting_for_retry_ = false;
    owner_.counters_.count_retry(reason::silent_connection);
    start_next_attempt(now);
}

// True if a response that has begun would break off only because this VM has left its endpoint.
template <typename Codec>
bool edge<Codec>::exchange::has_left_sound_endpoint() const
{
    return head_sent_ && may_return_to_silent_endpoint();
}

template <typename Codec>
void edge<Codec>::exchange::start_next_attempt(time_point now)
{
    reset_response();
    waiting_for_endpoint_ = false;
    if (std::exchange(is_moving_, false))
        return; // place() follows when the stages are done
    if (!holds_inputs())
        return rerun_stages(now);
    place(now);
}

// Forgets the response of the last attempt, except for the events that were passed on.
template <typename Codec>
void edge<Codec>::exchange::reset_response()
{
    events_.restart();
    buffered_body_.clear();
    disposition_ = disposition::forward;
    status_ = 0;
}

// Ends an attempt that may have run because its endpoint sends what it should not.
template <typename Codec>
void edge<Codec>::exchange::abandon_attempt(time_point now)
{
    end_rollout_attempt(true, now);
    drop_upstream();
    endpoint_->health.on_outcome(false, now);
    tried_.insert(endpoint_->record.id);
    silent_.erase(endpoint_->record.id);
    may_have_run_ = true;
}

template <typename Codec>
void edge<Codec>::exchange::drop_upstream()
{
    end_rollout_attempt(false, steady_clock::now());
    if (!upstream_)
        return;
    leave_endpoint();
    upstream_->cancel();
    upstream_.reset();
}

// Refuses a request that has not run, with a Retry-After. A request that may have run, or whose
// response has begun, fails instead.
template <typename Codec>
void edge<Codec>::exchange::refuse(reason why, std::string_view detail, milliseconds retry_after,
                                   time_point now)
{
    if (may_have_run_ || head_sent_)
        return fail(why, verdict::may_have_run, detail, now);
    owner_.counters_.count_refusal(why, verdict::not_run);
    drop_upstream();
    const bool is_held = why == reason::crashing_prompt || why == reason::crashing_request;
    send_error_response(
        503, why, verdict::not_run,
        std::clamp(retry_after, retry_after_min, is_held ? retry_after_held_max : retry_after_max));
    count_unused_results(false);
    close(std::string(to_string(why)) + ": " + std::string(detail), 503, now);
}

// Ends the request with an error without Retry-After. The status does not tell the client that the
// request has not run unless that is certain.
template <typename Codec>
void edge<Codec>::exchange::fail(reason why, verdict outcome, std::string_view detail,
                                 time_point now)
{
    // After the head, an error response would be read as part of the response's body.
    if (head_sent_)
        return abort_client(to_string(why), now);
    owner_.counters_.count_refusal(why, outcome);
    drop_upstream();
    int status = http_status(why);
    if (outcome != verdict::not_run && edge_detail::promises_not_run(status))
        status = 502;
    send_error_response(status, why, outcome, std::nullopt);
    count_unused_results(false);
    close(std::string(to_string(why)) + ": " + std::string(detail), status, now);
}

template <typename Codec>
void edge<Codec>::exchange::send_error_response(int status, reason why, verdict outcome,
                                                std::optional<milliseconds> retry_after)
{
    const std::string body = "{\"error\":{\"reason\":\"" + std::string(to_string(why)) +
                             "\",\"verdict\":\"" + std::string(to_string(outcome)) + "\"}}\n";
    std::string text =
        "HTTP/1.1 " + std::to_string(status) + " " +
        std::string(edge_detail::reason_phrase(status)) +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n";
    if (retry_after)
        text += "Retry-After: " + edge_detail::seconds_text(*retry_after) + "\r\n";
    keep_alive_ = keep_alive_ && !closes_connection();
    if (!keep_alive_)
        text += "Connection: close\r\n";
    text += "\r\n";
    if (call_.method != "HEAD")
        text += body;
    client_->send(std::move(text));
    client_->end(keep_alive_);
}

template <typename Codec>
void edge<Codec>::exchange::abort_client(std::string_view why, time_point now)
{
    owner_.counters_.count("answers_broken_off_total");
    drop_upstream();
    client_->abort();
    close("broken off: " + std::string(why), status_, now);
}

template <typename Codec>
void edge<Codec>::exchange::on_client_disconnected()
{
    owner_.counters_.count("callers_left_total");
    drop_upstream();
    count_unused_results(true);
    close("caller disconnected", 0, steady_clock::now());
}

template <typename Codec>
void edge<Codec>::exchange::end_on_stop(time_point now)
{
    if (upstream_)
        return fail(reason::draining, verdict::may_have_run, "VM is stopping", now);
    refuse(reason::draining, "VM is stopping", retry_after_min, now);
}

template <typename Codec>
void edge<Codec>::exchange::tick(time_point now)
{
    if (now >= deadline_)
    {
        end_rollout_attempt(true, now);
        if (attempts_ > 0)
            return fail(reason::deadline_exceeded, verdict::may_have_run,
                        "deadline passed before the response was complete", now);
        return refuse(reason::deadline_unreachable, "deadline passed before the request was sent",
                      retry_after_min, now);
    }
    if (unconfirmed_end_)
        return judge_unconfirmed_end(now);
    if (upstream_ && upstream_->is_connecting() &&
        !owner_.endpoints_.is_reachable(endpoint_->record.domain))
    {
        upstream_->cancel();
        return on_failure(upstream_failure::peer_unreachable);
    }
    if (!upstream_ && !ends_before_stop(now))
        return refuse(reason::draining, "VM is stopping", retry_after_min, now);
    if (waiting_for_endpoint_)
        return place(now);
    if (waiting_for_retry_)
        return retry_after_silence(now);
    if (upstream_ && status_ != 0 && discards_response() &&
        now - progress_at_ >= discarded_body_timeout)
    {
        end_rollout_attempt(has_failed_status(), now);
        drop_upstream();
        return on_discarded_end(now);
    }
    update_reading(now);
    const bool is_being_read = is_request_being_read(now);
    if (is_being_read || is_paused_ || client_->unsent_bytes() > unsent_bytes_limit)
        progress_at_ = now;
    if (upstream_ && is_repeatable(*route_) && attempts_ < route_->attempts &&
        now - progress_at_ >= progress_timeout())
        move_from_silent_endpoint(now);
}

// Time without progress after which a repeatable request is sent to another endpoint.
template <typename Codec>
milliseconds edge<Codec>::exchange::progress_timeout() const
{
    if (head_sent_)
        return next_event_timeout;
    if (route_->kind == call_kind::streaming)
        return first_event_timeout;
    return status_ != 0 && disposition_ == disposition::buffer ? buffered_body_timeout
                                                               : plain_progress_timeout;
}

// Gives up a response whose bytes are not what the endpoint should send.
template <typename Codec>
void edge<Codec>::exchange::retry_after_break(std::string_view why, time_point now)
{
    log_upstream_failure(why, now);
    abandon_attempt(now);
    retry_or_fail(reason::connection_broken, verdict::may_have_run, now);
}

// Estimates on which the last placement by time relied.
template <typename Codec>
std::string edge<Codec>::exchange::placement_text() const
{
    if (choice_.expected_ms <= 0.0)
        return "-";
    std::array<char, 96> text{};
    (void)std::snprintf(text.data(), text.size(), "expected_ms:%.0f,read:%.0f,slowness:%.2f",
                        choice_.expected_ms, choice_.tokens_to_read, choice_.slowness);
    return text.data();
}

template <typename Codec>
std::string edge<Codec>::exchange::account_name() const
{
    return account_ != nullptr ? account_->name : "-";
}

// Part of the account's requests that is within its share; "-" if all are.
template <typename Codec>
std::string edge<Codec>::exchange::share_text() const
{
    if (account_share_ >= 1.0)
        return "-";
    std::array<char, 32> text{};
    (void)std::snprintf(text.data(), text.size(), "%.3f", account_share_);
    return text.data();
}

// Ends the exchange: releases stage results, writes the request's log line and removes it from the
// edge.
template <typename Codec>
void edge<Codec>::exchange::close(std::string_view outcome, int status, time_point now)
{
    if (closed_)
        return;
    closed_ = true;
    held_request_.release();
    held_partial_response_.release();
    release_results();
    const auto since = [&](time_point at)
    {
        if (at == time_point{})
            return std::string("-");
        return edge_detail::milliseconds_text(
            std::chrono::duration_cast<milliseconds>(at - received_));
    };
    const std::string since_stop =
        owner_.stop_ ? edge_detail::milliseconds_text(std::chrono::duration_cast<milliseconds>(
                           received_ - owner_.stop_->began()))
                     : "-";
    log_event(log_level::info, "request",
              {{"request", call_.attempt},
               {"route", route_ != nullptr ? route_->name : "-"},
               {"account", account_name()},
               {"account_share", share_text()},
               {"version", state_ ? std::to_string(state_->version) : "-"},
               {"status", std::to_string(status)},
               {"outcome", std::string(outcome)},
               {"endpoint", endpoint_ ? endpoint_->record.id : "-"},
               {"domain", endpoint_ ? endpoint_->record.domain : "-"},
               {"inputs_domain", inputs_domain_.empty() ? "-" : inputs_domain_},
               {"attempts", std::to_string(attempts_)},
               {"placed_by", attempts_ > 0 ? std::string(to_string(choice_.cause)) : "-"},
               {"placement", placement_text()},
               {"sent_ms", since(sent_at_)},
               {"stages_ms", since(stages_done_at_)},
               {"first_ms", since(first_byte_at_)},
               {"total_ms", edge_detail::milliseconds_text(elapsed(now))},
               {"since_stop_ms", since_stop},
               {"events", std::to_string(events_.events())}});
    if (route_ != nullptr)
        owner_.counters_.record_stage_time(
            route_->name, "total",
            std::chrono::duration_cast<std::chrono::microseconds>(now - received_));
    const auto keep = this->shared_from_this();
    owner_.exchanges_.erase(this);
}

} // namespace zinnianotch
