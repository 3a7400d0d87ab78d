#include "coordination/pipeline_runner.h"

#include "transport/log.h"

#include <algorithm>
#include <thread>

namespace zinnianotch
{

namespace
{

constexpr milliseconds busy_retry_delay{10}; // before the next attempt if all endpoints are busy
constexpr milliseconds no_endpoint_timeout{1000}; // long enough to cover a planned change of owner
// After this time, the endpoints of a VM that failed have another owner, and a failure domain with
// live VMs has been heard of again.
constexpr milliseconds owner_failure_timeout = peer_timeout + no_endpoint_timeout;
constexpr std::size_t max_owner_hints = 4096;

milliseconds time_until(time_point deadline, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(deadline - now);
}

// Refusals that put no load on an endpoint: the request is retried elsewhere without using the
// retry budget.
bool is_redirection(reason why)
{
    return why == reason::busy || why == reason::not_owner || why == reason::endpoint_leaving ||
           why == reason::domain_out || why == reason::authority_lapsed ||
           why == reason::draining || why == reason::no_endpoint || why == reason::overloaded;
}

// Failures after which the process of the endpoint, or of the VM that owns it, may no longer run.
bool is_unreachable(reason why)
{
    return why == reason::connect_failed || why == reason::peer_unreachable ||
           why == reason::connection_broken;
}

bool is_final(reason why)
{
    return why == reason::cancelled || why == reason::deadline_exceeded;
}

bool is_cancelled(const cancel_flag& flag)
{
    return flag != nullptr && flag->load();
}

} // namespace

attempt_router::attempt_router(membership& members, dispatcher& local, load_map& loads)
    : members_(members), local_(local), loads_(loads)
{
}

// Address of the VM that an attempt is sent to; empty if none is known to be alive. VMs of another
// failure domain know the owners there, so the first attempt goes to any live one, and the owner
// that it names is cached.
std::string attempt_router::target_address(const std::string& endpoint, const std::string& domain,
                                           time_point now) const
{
    if (domain == members_.domain() && members_.has_view())
        return members_.owner_address(endpoint);
    std::string gateway = members_.gateway_address(domain, now);
    if (gateway.empty())
        return gateway;
    const std::lock_guard lock(mutex_);
    const auto hint = owner_hints_.find(endpoint);
    return hint == owner_hints_.end() ? gateway : hint->second;
}

result<stage_output> attempt_router::run(const stage_call& call, const std::string& domain,
                                         const token_handler& on_tokens,
                                         const cancel_flag& cancelled)
{
    if (domain == members_.domain() && members_.owns(call.endpoint))
        return local_.run(call, on_tokens, cancelled);
    const std::string address = target_address(call.endpoint, domain, steady_clock::now());
    if (address.empty())
        return not_run(reason::peer_unreachable, "no live VM in failure domain " + domain);
    result<stage_output> outcome = peers_->run_stage(address, call, on_tokens, cancelled);
    if (outcome || outcome.error().why != reason::not_owner)
    {
        if (!outcome && outcome.error().why == reason::peer_unreachable)
        {
            const std::lock_guard lock(mutex_);
            owner_hints_.erase(call.endpoint);
        }
        return outcome;
    }
    const std::string owner = outcome.error().detail;
    const bool owner_from_view = domain == members_.domain() && members_.has_view();
    if (owner.empty() || owner == address || owner_from_view)
        return outcome;
    {
        const std::lock_guard lock(mutex_);
        if (owner_hints_.size() >= max_owner_hints)
            owner_hints_.clear();
        owner_hints_[call.endpoint] = owner;
    }
    return peers_->run_stage(owner, call, on_tokens, cancelled);
}

template <routing_policy Policy>
result<pipeline_result>
pipeline_runner<Policy>::run(const pipeline_config& pipeline, const configuration_ptr& config,
                             const pipeline_request& request, const token_handler& on_tokens)
{
    pipeline_result done;
    std::string input = request.input;
    bool ran_before = false;
    for (std::size_t index = 0; index < pipeline.stages.size(); ++index)
    {
        const stage_config& stage = pipeline.stages[index];
        stage_call call;
        call.request = request.id;
        call.account = request.account;
        call.priority = request.priority;
        call.pipeline = pipeline.name;
        call.stage = stage.name;
        call.pool = stage.pool;
        call.streaming = stage.kind == stage_kind::generation;
        call.max_tokens = stage.max_tokens;
        call.config_version = config->version;
        call.input = std::move(input);

        stage_report report;
        report.stage = stage.name;
        result<stage_output> output =
            run_stage(pipeline, index, config, request, call, on_tokens, report);
        if (!output)
        {
            failure error = output.error();
            if (ran_before && error.outcome == verdict::not_run)
                error.outcome = verdict::may_have_run;
            return error;
        }
        ran_before = true;
        input = std::move(output.value().output);
        done.tokens += output.value().tokens;
        done.stages.push_back(std::move(report));
    }
    done.output = std::move(input);
    return done;
}

template <routing_policy Policy>
result<stage_output>
pipeline_runner<Policy>::run_stage(const pipeline_config& pipeline, std::size_t index,
                                   const configuration_ptr& config, const pipeline_request& request,
                                   stage_call& call, const token_handler& on_tokens,
                                   stage_report& report)
{
    stage_progress progress;
    const time_point first_start = steady_clock::now();
    time_point no_endpoint_deadline = first_start + no_endpoint_timeout;
    {
        const std::lock_guard lock(mutex_);
        budget_of(call.pool).on_first_attempt(first_start);
    }
    failure last = not_run(reason::no_endpoint, "pool " + call.pool + " has no usable endpoint");
    const auto final_failure = [&](failure error)
    {
        if (progress.may_have_run)
            error.outcome = verdict::may_have_run;
        return error;
    };
    for (;;)
    {
        const time_point now = steady_clock::now();
        if (is_cancelled(request.cancelled))
            return final_failure(not_run(reason::cancelled, "the caller has disconnected"));
        milliseconds left{0};
        {
            const std::lock_guard lock(mutex_);
            left = stage_time_budget(pipeline, index, times_, request.deadline, now);
        }
        if (left <= milliseconds::zero())
        {
            const bool first = progress.attempts == 0;
            return final_failure(not_run(
                first ? reason::deadline_unreachable : reason::deadline_exceeded,
                "stage " + call.stage + ", last failure: " + std::string(to_string(last.why)) +
                    " " + last.detail));
        }
        result<endpoint_summary> chosen = choose_endpoint(call.pool, progress.tried, now);
        if (!chosen)
        {
            if (now >= no_endpoint_deadline)
                return final_failure(chosen.error());
            last = chosen.error();
            std::this_thread::sleep_for(busy_retry_delay);
            continue;
        }
        call.time_left = left;
        call.resume_from = progress.next_token;
        ++progress.attempts;
        call.attempt = request.id + "." + call.stage + "." + std::to_string(progress.attempts);
        const time_point start = steady_clock::now();
        result<stage_output> output = attempt(call, chosen.value(), request, on_tokens, progress);
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - start);
        if (output)
        {
            counters_.record_stage_time(pipeline.name, call.stage, elapsed);
            report.endpoint = chosen.value().id;
            report.attempts = progress.attempts;
            report.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
                steady_clock::now() - first_start);
            const std::lock_guard lock(mutex_);
            times_.record(call.stage, std::chrono::duration_cast<milliseconds>(elapsed));
            return output;
        }
        last = output.error();
        result<void> again = on_attempt_failed(last, call, config, first_start, true, progress);
        if (!again)
            return final_failure(again.error());
    }
}

// Makes one attempt and counts the tokens delivered, so that the next attempt can resume after
// them.
template <routing_policy Policy>
result<stage_output>
pipeline_runner<Policy>::attempt(stage_call& call, const endpoint_summary& chosen,
                                 const pipeline_request& request, const token_handler& on_tokens,
                                 stage_progress& progress)
{
    call.endpoint = chosen.id;
    bool gap = false;
    const auto deliver = [&](std::uint32_t first, const std::vector<std::string>& items)
    {
        if (first > progress.next_token)
        {
            gap = true;
            return false;
        }
        const std::size_t delivered = progress.next_token - first;
        if (delivered >= items.size())
            return true;
        const std::vector<std::string> fresh(items.begin() + static_cast<std::ptrdiff_t>(delivered),
                                             items.end());
        const std::uint32_t index = progress.next_token;
        progress.next_token += static_cast<std::uint32_t>(fresh.size());
        return on_tokens(index, fresh);
    };
    loads_.on_sent(chosen.id);
    result<stage_output> output = router_.run(call, chosen.domain, deliver, request.cancelled);
    loads_.on_finished(chosen.id);
    if (gap)
        return may_have_run(reason::token_gap, "gap in the token stream");
    if (!output)
        return output;
    if (output.value().attempt != call.attempt)
        return may_have_run(reason::answer_mismatch, "the answer belongs to another attempt");
    if (call.streaming && output.value().tokens != progress.next_token)
        return may_have_run(reason::token_gap, "token count does not match the tokens received");
    return output;
}

// Chooses an endpoint that has not been tried yet. Once all endpoints with a non-zero limit have
// been tried, the set is cleared and all are candidates again. An endpoint with limit 0 is not
// chosen over one that is merely busy: each such attempt would consume retry budget.
template <routing_policy Policy>
result<endpoint_summary> pipeline_runner<Policy>::choose_endpoint(const std::string& pool_name,
                                                                  std::set<std::string>& tried,
                                                                  time_point now)
{
    // Use the current configuration: a domain may have been taken out of service since the request
    // started.
    const configuration_ptr config = config_.current();
    const pool_config* pool = find_pool(*config, pool_name);
    if (pool == nullptr)
        return not_run(reason::no_endpoint, "no such pool: " + pool_name);
    std::vector<endpoint_summary> candidates = reachable_candidates(*config, *pool, tried, now);
    const bool none_usable = std::all_of(candidates.begin(), candidates.end(),
                                         [](const endpoint_summary& candidate)
                                         { return candidate.known && candidate.limit == 0; });
    if (none_usable && !tried.empty())
    {
        tried.clear();
        std::this_thread::sleep_for(busy_retry_delay);
        candidates = reachable_candidates(*config, *pool, tried, now);
    }
    // Endpoints without a recent heartbeat from their owner may still work; they are used only if
    // there are no others.
    const bool any_known =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const endpoint_summary& candidate) { return candidate.known; });
    if (any_known)
        std::erase_if(candidates,
                      [](const endpoint_summary& candidate) { return !candidate.known; });
    if (candidates.empty())
        return not_run(reason::no_endpoint, "pool " + pool_name + " has no usable endpoint");
    routing_query query;
    query.own_domain = members_.domain();
    query.request_number = request_number_.fetch_add(1);
    return candidates[policy_.choose(candidates, query)];
}

// Candidates, excluding those of other failure domains that have no live VM: they cannot be reached
// now, and an attempt would only consume the retry budget that all requests of the pool share.
template <routing_policy Policy>
std::vector<endpoint_summary>
pipeline_runner<Policy>::reachable_candidates(const configuration& config, const pool_config& pool,
                                              const std::set<std::string>& tried,
                                              time_point now) const
{
    std::vector<endpoint_summary> found = loads_.candidates(config, pool, tried, now);
    std::erase_if(found,
                  [&](const endpoint_summary& candidate)
                  {
                      return candidate.domain != members_.domain() &&
                             members_.gateway_address(candidate.domain, now).empty();
                  });
    return found;
}

// Records a failed attempt and decides whether the request may make another one. Returns success if
// it may, otherwise the failure to end the request with.
template <routing_policy Policy>
result<void>
pipeline_runner<Policy>::on_attempt_failed(const failure& error, const stage_call& call,
                                           const configuration_ptr& config, time_point first_start,
                                           bool idempotent, stage_progress& progress)
{
    log_event(log_level::info, "attempt_failed",
              {{"request", call.request},
               {"attempt", call.attempt},
               {"endpoint", call.endpoint},
               {"reason", std::string(to_string(error.why))},
               {"verdict", std::string(to_string(error.outcome))},
               {"detail", error.detail}});
    if (is_unreachable(error.why))
        loads_.on_unreachable(call.endpoint);
    if (error.outcome != verdict::not_run)
        progress.may_have_run = true;
    const bool may_repeat = idempotent || error.outcome == verdict::not_run;
    if (!may_repeat || is_final(error.why))
        return error;
    result<void> allowed = may_retry(error, config, call.pool, first_start);
    if (!allowed)
        return allowed;
    progress.tried.insert(call.endpoint);
    counters_.count_retry(error.why);
    return outcome::success();
}

template <routing_policy Policy>
result<void> pipeline_runner<Policy>::may_retry(const failure& error,
                                                const configuration_ptr& config,
                                                const std::string& pool, time_point first_start)
{
    const time_point now = steady_clock::now();
    if (error.outcome == verdict::not_run && is_redirection(error.why))
        return outcome::success();
    // Nothing has reached the pool, so its retry budget is left to others.
    if (error.outcome == verdict::not_run && error.why == reason::peer_unreachable &&
        now - first_start < owner_failure_timeout)
    {
        std::this_thread::sleep_for(busy_retry_delay);
        return outcome::success();
    }
    const defaults_config limits = effective_limits(*config, pool, {});
    const std::lock_guard lock(mutex_);
    if (budget_of(pool).try_retry(limits.retry_percent, now))
        return outcome::success();
    failure refused = error;
    refused.why = reason::retry_budget_exhausted;
    refused.detail = "after " + std::string(to_string(error.why)) + ": " + error.detail;
    return refused;
}

template <routing_policy Policy>
result<stage_output> pipeline_runner<Policy>::call_service(const service_config& service,
                                                           const operation_config& operation,
                                                           const configuration_ptr& config,
                                                           const pipeline_request& request)
{
    stage_call call;
    call.request = request.id;
    call.account = request.account;
    call.priority = request.priority;
    call.stage = operation.name;
    call.pool = service.pool;
    call.config_version = config->version;
    call.input = request.input;

    const time_point first_start = steady_clock::now();
    {
        const std::lock_guard lock(mutex_);
        budget_of(call.pool).on_first_attempt(first_start);
    }
    stage_progress progress;
    failure last = not_run(reason::no_endpoint, "pool " + call.pool + " has no usable endpoint");
    // The verdict covers all attempts: a refused attempt does not show whether an earlier one ran.
    const auto final_failure = [&](failure error)
    {
        if (progress.may_have_run)
            error.outcome = verdict::may_have_run;
        return error;
    };
    for (;;)
    {
        const time_point now = steady_clock::now();
        call.time_left = time_until(request.deadline, now);
        if (call.time_left <= milliseconds::zero())
            return final_failure(not_run(reason::deadline_exceeded, last.detail));
        result<endpoint_summary> chosen = choose_endpoint(call.pool, progress.tried, now);
        if (!chosen)
        {
            if (now - first_start >= no_endpoint_timeout)
                return final_failure(chosen.error());
            std::this_thread::sleep_for(busy_retry_delay);
            continue;
        }
        ++progress.attempts;
        call.attempt = request.id + "." + call.stage + "." + std::to_string(progress.attempts);
        call.endpoint = chosen.value().id;
        loads_.on_sent(call.endpoint);
        result<stage_output> output = router_.run(call, chosen.value().domain, nullptr, nullptr);
        loads_.on_finished(call.endpoint);
        if (output)
        {
            counters_.record_stage_time(
                service.name, call.stage,
                std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - now));
            return output;
        }
        last = output.error();
        result<void> again =
            on_attempt_failed(last, call, config, first_start, operation.idempotent, progress);
        if (!again)
            return final_failure(again.error());
    }
}

template <routing_policy Policy>
retry_budget& pipeline_runner<Policy>::budget_of(const std::string& pool)
{
    return budgets_[pool];
}

template class pipeline_runner<least_load>;
template class pipeline_runner<round_robin>;
template class pipeline_runner<least_reported_load>;

} // namespace zinnianotch
