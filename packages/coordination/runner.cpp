#include "coordination/runner.h"

#include "transport/log.h"

#include <algorithm>
#include <thread>

namespace zinnianotch
{

namespace
{

constexpr milliseconds busy_pause{10};         // before the next try when all endpoints are busy
constexpr milliseconds no_endpoint_wait{1000}; // rides out a change of owner
constexpr std::size_t max_owner_hints = 4096;

milliseconds time_until(time_point deadline, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(deadline - now);
}

// Refusals that cost an endpoint nothing: they are tried elsewhere without using the retry budget.
bool is_redirection(reason why)
{
    return why == reason::busy || why == reason::not_owner || why == reason::endpoint_leaving ||
           why == reason::domain_out || why == reason::authority_lapsed ||
           why == reason::draining || why == reason::no_endpoint || why == reason::overloaded;
}

// The process of the endpoint, or of the VM that owns it, may be gone.
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

// Address of the VM to which an attempt goes; empty when none is known to be alive. Another
// domain's VMs know their owners, so the first try goes to any of them and the hint is kept.
std::string attempt_router::owner_for(const std::string& endpoint, const std::string& domain,
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
    const std::string address = owner_for(call.endpoint, domain, steady_clock::now());
    if (address.empty())
        return not_run(reason::peer_unreachable, "no live VM of " + domain);
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
    const bool owner_is_agreed = domain == members_.domain() && members_.has_view();
    if (owner.empty() || owner == address || owner_is_agreed)
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
            failure why = output.error();
            if (ran_before && why.outcome == verdict::not_run)
                why.outcome = verdict::may_have_run;
            return why;
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
    time_point give_up_without_endpoint = first_start + no_endpoint_wait;
    {
        const std::lock_guard lock(mutex_);
        budget_of(call.pool).on_first_attempt(first_start);
    }
    failure last = not_run(reason::no_endpoint, "no endpoint of " + call.pool + " can be used");
    const auto end_with = [&](failure why)
    {
        if (progress.may_have_run)
            why.outcome = verdict::may_have_run;
        return why;
    };
    for (;;)
    {
        const time_point now = steady_clock::now();
        if (is_cancelled(request.cancelled))
            return end_with(not_run(reason::cancelled, "the caller is gone"));
        milliseconds left{0};
        {
            const std::lock_guard lock(mutex_);
            left = stage_time_left(pipeline, index, times_, request.deadline, now);
        }
        if (left <= milliseconds::zero())
        {
            const bool first = progress.attempts == 0;
            return end_with(
                not_run(first ? reason::deadline_unreachable : reason::deadline_exceeded,
                        "stage " + call.stage + ", last: " + std::string(to_string(last.why)) +
                            " " + last.detail));
        }
        result<endpoint_summary> chosen = choose(call.pool, progress.tried, now);
        if (!chosen)
        {
            if (now >= give_up_without_endpoint)
                return end_with(chosen.error());
            last = chosen.error();
            std::this_thread::sleep_for(busy_pause);
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
        result<void> again = after_failure(last, call, config, first_start, true, progress);
        if (!again)
            return end_with(again.error());
    }
}

// Makes one attempt and keeps the tokens that it delivered, so that the next attempt resumes.
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
        const std::size_t known = progress.next_token - first;
        if (known >= items.size())
            return true;
        const std::vector<std::string> fresh(items.begin() + static_cast<std::ptrdiff_t>(known),
                                             items.end());
        const std::uint32_t index = progress.next_token;
        progress.next_token += static_cast<std::uint32_t>(fresh.size());
        return on_tokens(index, fresh);
    };
    loads_.on_sent(chosen.id);
    result<stage_output> output = router_.run(call, chosen.domain, deliver, request.cancelled);
    loads_.on_finished(chosen.id);
    if (gap)
        return may_have_run(reason::token_gap, "a token is missing");
    if (!output)
        return output;
    if (output.value().attempt != call.attempt)
        return may_have_run(reason::answer_mismatch, "an answer to another attempt");
    if (call.streaming && output.value().tokens != progress.next_token)
        return may_have_run(reason::token_gap, "tokens are missing at the end");
    return output;
}

// Chooses an endpoint that was not tried yet; when all with a limit were, the round starts again.
// An endpoint without a limit is not tried instead of one that is only busy: each such attempt
// would use up the retry budget.
template <routing_policy Policy>
result<endpoint_summary> pipeline_runner<Policy>::choose(const std::string& pool_name,
                                                         std::set<std::string>& tried,
                                                         time_point now)
{
    // The configuration in force now, which may have taken a domain out since the request began.
    const configuration_ptr config = config_.current();
    const pool_config* pool = find_pool(*config, pool_name);
    if (pool == nullptr)
        return not_run(reason::no_endpoint, "no pool " + pool_name);
    std::vector<endpoint_summary> candidates = reachable_candidates(*config, *pool, tried, now);
    const bool none_usable =
        std::all_of(candidates.begin(), candidates.end(),
                    [](const endpoint_summary& one) { return one.known && one.limit == 0; });
    if (none_usable && !tried.empty())
    {
        tried.clear();
        std::this_thread::sleep_for(busy_pause);
        candidates = reachable_candidates(*config, *pool, tried, now);
    }
    // Endpoints whose owner is not heard may still work, but only when no other is left.
    const bool any_known = std::any_of(candidates.begin(), candidates.end(),
                                       [](const endpoint_summary& one) { return one.known; });
    if (any_known)
        std::erase_if(candidates, [](const endpoint_summary& one) { return !one.known; });
    if (candidates.empty())
        return not_run(reason::no_endpoint, "no endpoint of " + pool_name + " can be used");
    routing_query query;
    query.own_domain = members_.domain();
    query.request_number = request_number_.fetch_add(1);
    return candidates[policy_.choose(candidates, query)];
}

// Candidates without those of a domain that has no live VM: they cannot be reached now, and an
// attempt would only use up the retry budget, which all requests of the pool share.
template <routing_policy Policy>
std::vector<endpoint_summary>
pipeline_runner<Policy>::reachable_candidates(const configuration& config, const pool_config& pool,
                                              const std::set<std::string>& tried,
                                              time_point now) const
{
    std::vector<endpoint_summary> found = loads_.candidates(config, pool, tried, now);
    std::erase_if(found,
                  [&](const endpoint_summary& one) {
                      return one.domain != members_.domain() &&
                             members_.gateway_address(one.domain, now).empty();
                  });
    return found;
}

// Records a failed attempt and decides whether the request may make another one. The failure, if
// any, is the one that ends the request.
template <routing_policy Policy>
result<void> pipeline_runner<Policy>::after_failure(const failure& why, const stage_call& call,
                                                    const configuration_ptr& config,
                                                    time_point first_start, bool idempotent,
                                                    stage_progress& progress)
{
    log_event(log_level::info, "attempt_failed",
              {{"request", call.request},
               {"attempt", call.attempt},
               {"endpoint", call.endpoint},
               {"reason", std::string(to_string(why.why))},
               {"verdict", std::string(to_string(why.outcome))},
               {"detail", why.detail}});
    if (is_unreachable(why.why))
        loads_.on_unreachable(call.endpoint);
    if (why.outcome != verdict::not_run)
        progress.may_have_run = true;
    const bool may_repeat = idempotent || why.outcome == verdict::not_run;
    if (!may_repeat || is_final(why.why))
        return why;
    result<void> allowed = may_retry(why, config, call.pool, first_start);
    if (!allowed)
        return allowed;
    progress.tried.insert(call.endpoint);
    counters_.count_retry(why.why);
    return outcome::success();
}

template <routing_policy Policy>
result<void> pipeline_runner<Policy>::may_retry(const failure& why, const configuration_ptr& config,
                                                const std::string& pool, time_point first_start)
{
    const time_point now = steady_clock::now();
    // An owner that has just ended, or is not heard yet, must not use up the budget of the pool.
    const bool awaits_owner =
        why.why == reason::peer_unreachable && now - first_start < no_endpoint_wait;
    if (why.outcome == verdict::not_run && (is_redirection(why.why) || awaits_owner))
        return outcome::success();
    const std::lock_guard lock(mutex_);
    if (budget_of(pool).try_retry(config->defaults.retry_percent, now))
        return outcome::success();
    failure refused = why;
    refused.why = reason::retry_budget_exhausted;
    refused.detail = "after " + std::string(to_string(why.why)) + ": " + why.detail;
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
    failure last = not_run(reason::no_endpoint, "no endpoint of " + call.pool + " can be used");
    // The verdict covers all attempts: one that was refused says nothing about those before it.
    const auto end_with = [&](failure why)
    {
        if (progress.may_have_run)
            why.outcome = verdict::may_have_run;
        return why;
    };
    for (;;)
    {
        const time_point now = steady_clock::now();
        call.time_left = time_until(request.deadline, now);
        if (call.time_left <= milliseconds::zero())
            return end_with(not_run(reason::deadline_exceeded, last.detail));
        result<endpoint_summary> chosen = choose(call.pool, progress.tried, now);
        if (!chosen)
        {
            if (now - first_start >= no_endpoint_wait)
                return end_with(chosen.error());
            std::this_thread::sleep_for(busy_pause);
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
            after_failure(last, call, config, first_start, operation.idempotent, progress);
        if (!again)
            return end_with(again.error());
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
