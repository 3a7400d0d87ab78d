#include "coordination/dispatcher.h"

#include "protocol/codec.h"
#include "transport/log.h"

#include <algorithm>
#include <functional>

namespace zinnianotch
{

namespace
{

constexpr milliseconds load_poll_timeout{400}; // shorter than load_poll_interval
// After this wait, the VM that sent the call may try another endpoint.
constexpr milliseconds max_slot_wait{500};
constexpr milliseconds cancel_timeout{200};
constexpr std::size_t poller_count = 4; // one unresponsive endpoint must not delay all other polls
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

std::string stage_body(const stage_call& call)
{
    json body = json::object();
    body["attempt"] = json(call.attempt);
    body["stage"] = json(call.stage);
    body["input"] = json(call.input);
    body["account"] = json(call.account);
    body["priority"] = json(call.priority);
    if (call.streaming)
    {
        body["max_tokens"] = json(call.max_tokens);
        body["resume_from"] = json(call.resume_from);
    }
    return body.serialize();
}

failure endpoint_failure(int status)
{
    if (status == status_unavailable)
        return may_have_run(reason::endpoint_overloaded, "status 503");
    return may_have_run(reason::endpoint_error, "status " + std::to_string(status));
}

// Parses the lines of a token stream and passes the tokens to the handler.
class token_stream_reader
{
public:
    token_stream_reader(const stage_call& call, const token_handler& on_tokens)
        : call_(call), on_tokens_(on_tokens), next_(call.resume_from)
    {
    }

    // Processes one line; returns false to end the stream.
    bool on_line(std::string_view line)
    {
        if (line.empty())
            return true;
        result<json> parsed = parse_json(std::string(line));
        if (!parsed)
            return fail(reason::endpoint_error, "a line of the token stream is not valid JSON");
        const json& value = parsed.value();
        if (string_field(value, "attempt") != call_.attempt)
            return fail(reason::answer_mismatch, "the token belongs to another attempt");
        if (bool_field(value, "done"))
        {
            done_ = true;
            total_ = static_cast<std::uint32_t>(integer_field(value, "tokens"));
            return false;
        }
        const auto index = static_cast<std::uint32_t>(integer_field(value, "index", -1));
        if (index < next_)
            return true; // already delivered
        if (index > next_)
            return fail(reason::token_gap, "gap in the token stream");
        ++next_;
        if (on_tokens_(index, {string_field(value, "text")}))
            return true;
        return fail(reason::cancelled, "the caller has disconnected");
    }

    result<stage_output> finish(const result<client_reply>& reply) const
    {
        if (failed_)
            return error_;
        if (done_ && total_ == next_)
            return stage_output{call_.attempt, {}, total_, 0};
        if (done_)
            return may_have_run(reason::token_gap,
                                "token count does not match the tokens received");
        if (!reply)
            return reply.error();
        if (reply.value().status != status_ok)
            return endpoint_failure(reply.value().status);
        return may_have_run(reason::connection_broken,
                            "the token stream ended without its final line");
    }

private:
    bool fail(reason why, std::string detail)
    {
        failed_ = true;
        error_ = may_have_run(why, std::move(detail));
        return false;
    }

    const stage_call& call_;
    const token_handler& on_tokens_;
    std::uint32_t next_;
    std::uint32_t total_ = 0;
    bool done_ = false;
    bool failed_ = false;
    failure error_;
};

result<stage_output> generate(const stage_call& call, http_client& client, milliseconds silence,
                              const token_handler& on_tokens, const cancel_flag& cancelled)
{
    client_request request;
    request.method = "POST";
    request.path = "/generate";
    request.body = stage_body(call);
    token_stream_reader stream(call, on_tokens);
    const result<client_reply> reply = client.stream(
        request, silence, call.time_left,
        [&](std::string_view line) { return stream.on_line(line); }, cancelled);
    result<stage_output> output = stream.finish(reply);
    if (output)
        return output;
    // Cancel explicitly: the engine detects a closed connection only at its next write.
    client_request cancel;
    cancel.method = "POST";
    cancel.path = "/cancel";
    cancel.body = R"({"attempt":")" + call.attempt + "\"}";
    if (output.error().why != reason::connect_failed)
        (void)client.send(cancel, cancel_timeout);
    return output;
}

result<stage_output> run_stage(const stage_call& call, http_client& client, milliseconds timeout,
                               const cancel_flag& cancelled)
{
    client_request request;
    request.method = "POST";
    request.path = "/run";
    request.body = stage_body(call);
    result<client_reply> reply = client.send(request, timeout, cancelled);
    if (!reply)
        return reply.error();
    if (reply.value().status != status_ok)
        return endpoint_failure(reply.value().status);
    result<json> body = parse_json(reply.value().body);
    if (!body)
        return may_have_run(reason::endpoint_error, "the answer is not valid JSON");
    if (string_field(body.value(), "attempt") != call.attempt)
        return may_have_run(reason::answer_mismatch, "the answer belongs to another attempt");
    if (!body.value().is_object() || !body.value().has_string_field("output"))
        return may_have_run(reason::endpoint_error, "the answer has no string field output");
    return stage_output{call.attempt, body.value().at("output").as_string(), 0, 0};
}

// Calls an operation of a plain service once, on a new connection.
result<stage_output> call_service(const stage_call& call, http_client& client, milliseconds timeout)
{
    client_request request;
    request.method = "POST";
    request.path = "/" + call.stage;
    request.headers["Attempt"] = call.attempt;
    request.body = call.input;
    result<client_reply> reply = client.send_once(request, timeout);
    if (!reply)
        return reply.error();
    return stage_output{call.attempt, std::move(reply.value().body), 0,
                        static_cast<std::uint32_t>(reply.value().status)};
}

// Whether the call may still be running at the endpoint after this VM has abandoned it. An endpoint
// that answered with an error has ended the call.
bool may_still_run(const result<stage_output>& outcome)
{
    return !outcome && outcome.error().outcome != verdict::not_run &&
           outcome.error().why != reason::endpoint_error &&
           outcome.error().why != reason::endpoint_overloaded;
}

bool is_service_call(const stage_call& call)
{
    return call.pipeline.empty();
}

} // namespace

dispatcher::dispatcher(config_store& config, membership& members, metrics& counters)
    : config_(config), members_(members), counters_(counters)
{
}

dispatcher::~dispatcher()
{
    stop();
}

void dispatcher::start()
{
    for (std::size_t index = 0; index < poller_count; ++index)
        pollers_.emplace_back([this, index](const std::stop_token& stop)
                              { poll_loads(stop, index); });
}

void dispatcher::stop()
{
    pollers_.clear();
}

result<stage_output> dispatcher::run(const stage_call& call, const token_handler& on_tokens,
                                     const cancel_flag& cancelled)
{
    result<target> to = find_target(call);
    if (!to)
        return to.error();
    const std::string& id = to.value().endpoint->id;
    shard& owner = shard_of(id);
    const std::shared_ptr<endpoint_state> state = find_or_create_state(owner, *to.value().endpoint);

    const time_point start = steady_clock::now();
    const time_point wait_deadline = start + std::min(max_slot_wait, call.time_left / 2);
    result<void> admitted = acquire(to.value(), *state, owner.mutex, wait_deadline);
    if (!admitted)
        return admitted.error();

    stage_call sent = call;
    sent.time_left -= std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
    result<void> allowed = check_before_send(to.value(), steady_clock::now());
    if (!allowed)
    {
        release(*state, owner.mutex, allowed.error(), true);
        return allowed.error();
    }
    std::shared_ptr<http_client> client;
    {
        const std::lock_guard lock(owner.mutex);
        client = state->client;
    }
    result<stage_output> outcome = call_endpoint(sent, to.value(), *client, on_tokens, cancelled);

    // A cancelled call is no evidence against the endpoint.
    bool healthy = outcome || outcome.error().why == reason::cancelled;
    if (!outcome && outcome.error().why == reason::silent_connection)
    {
        // The fault may lie with the connection and not the endpoint: probe over a new connection.
        client->reset_connections();
        client_request probe;
        probe.path = "/load";
        healthy = static_cast<bool>(client->send(probe, load_poll_timeout));
        counters_.count(healthy ? "silent_connections_total" : "silent_endpoints_total");
    }
    release(*state, owner.mutex, outcome, healthy);
    return outcome;
}

std::vector<endpoint_summary> dispatcher::summaries(time_point now)
{
    std::vector<endpoint_summary> all;
    const configuration_ptr config = config_.current();
    for (const pool_config& pool : config->pools)
    {
        for (const endpoint_config& endpoint : pool.endpoints)
        {
            if (endpoint.domain != members_.domain() || !members_.owns(endpoint.id))
                continue;
            const target to{&endpoint, pool.name, config};
            const admission_context context = context_of(to, now);
            shard& owner = shard_of(endpoint.id);
            const std::shared_ptr<endpoint_state> state = find_or_create_state(owner, endpoint);
            const std::lock_guard lock(owner.mutex);
            endpoint_summary summary;
            summary.id = endpoint.id;
            summary.domain = endpoint.domain;
            summary.phase = context.leaving ? endpoint_phase::leaving : state->gate.phase();
            summary.in_flight = state->gate.in_flight();
            // Otherwise an endpoint whose process is down would look idle and attract all calls.
            summary.limit = state->refuses_connections ? 0 : state->gate.limit(context, now);
            summary.known = true;
            all.push_back(std::move(summary));
        }
    }
    return all;
}

std::size_t dispatcher::in_flight() const
{
    std::size_t total = 0;
    for (const shard& current : shards_)
    {
        const std::lock_guard lock(current.mutex);
        for (const auto& [id, state] : current.endpoints)
            total += state->gate.in_flight();
    }
    return total;
}

dispatcher::shard& dispatcher::shard_of(const std::string& endpoint)
{
    return shards_[std::hash<std::string>()(endpoint) % shard_count];
}

// Returns the state of an endpoint, creating it on first use. A changed URL means another process,
// so the state starts over with an unknown phase.
std::shared_ptr<dispatcher::endpoint_state>
dispatcher::find_or_create_state(shard& owner, const endpoint_config& endpoint)
{
    const std::lock_guard lock(owner.mutex);
    std::shared_ptr<endpoint_state>& state = owner.endpoints[endpoint.id];
    if (state == nullptr || state->url != endpoint.url)
    {
        state = std::make_shared<endpoint_state>();
        state->url = endpoint.url;
        state->client = std::make_shared<http_client>(endpoint.url);
    }
    return state;
}

result<dispatcher::target> dispatcher::find_target(const stage_call& call) const
{
    target to;
    to.config = config_.current();
    to.pool = call.pool;
    const pool_config* pool = find_pool(*to.config, call.pool);
    if (pool == nullptr)
        return not_run(reason::no_endpoint, "no such pool: " + call.pool);
    for (const endpoint_config& endpoint : pool->endpoints)
    {
        if (endpoint.id == call.endpoint)
            to.endpoint = &endpoint;
    }
    if (to.endpoint == nullptr)
        return not_run(reason::no_endpoint, "no such endpoint: " + call.endpoint);
    if (to.endpoint->domain != members_.domain() || !members_.owns(call.endpoint))
        return not_run(reason::not_owner, members_.owner_address(call.endpoint));
    return to;
}

admission_context dispatcher::context_of(const target& to, time_point now) const
{
    const defaults_config limits = effective_limits(*to.config, to.pool, to.endpoint->id);
    admission_context context;
    context.cold_limit = limits.cold_limit;
    context.warm_limit = limits.warm_limit;
    context.cold_allowance = members_.cold_share(limits.cold_limit, now);
    context.handover_at = members_.handover_at();
    context.leaving = to.endpoint->leaving || members_.is_endpoint_leaving(to.endpoint->id);
    context.domain_out = is_domain_out(*to.config, to.endpoint->domain);
    return context;
}

// Acquires a slot of the endpoint, waiting until `wait_deadline` while all slots are in use.
result<void> dispatcher::acquire(const target& to, endpoint_state& state, std::mutex& mutex,
                                 time_point wait_deadline)
{
    std::unique_lock lock(mutex);
    for (;;)
    {
        const time_point now = steady_clock::now();
        result<void> admitted = state.gate.try_admit(context_of(to, now), now);
        if (admitted || admitted.error().why != reason::busy)
            return admitted;
        if (now >= wait_deadline)
            return admitted;
        state.released.wait_until(lock, std::min(wait_deadline, now + ramp_interval));
    }
}

// Repeats the checks whose result may have changed while the call waited for a slot or the process
// was paused.
result<void> dispatcher::check_before_send(const target& to, time_point now) const
{
    const std::string& id = to.endpoint->id;
    if (!members_.owns(id))
        return not_run(reason::not_owner, members_.owner_address(id));
    const configuration_ptr config = config_.current();
    const endpoint_config* endpoint = find_endpoint(*config, id);
    if (endpoint == nullptr || endpoint->leaving || members_.is_endpoint_leaving(id))
        return not_run(reason::endpoint_leaving);
    if (is_domain_out(*config, endpoint->domain))
        return not_run(reason::domain_out);
    if (context_of(to, now).cold_allowance == 0 && !members_.has_current_authority(now))
        return not_run(reason::authority_lapsed);
    return outcome::success();
}

result<stage_output> dispatcher::call_endpoint(const stage_call& call, const target& to,
                                               http_client& client, const token_handler& on_tokens,
                                               const cancel_flag& cancelled)
{
    if (call.time_left <= milliseconds::zero())
        return not_run(reason::deadline_exceeded, "deadline passed while waiting for a slot");
    const defaults_config limits = effective_limits(*to.config, to.pool, to.endpoint->id);
    if (is_service_call(call))
        return call_service(call, client,
                            std::min(call.time_left, milliseconds(limits.service_timeout_ms)));
    const milliseconds silence = std::min(call.time_left, milliseconds(limits.stage_timeout_ms));
    if (call.streaming)
        return generate(call, client, silence, on_tokens, cancelled);
    return run_stage(call, client, silence, cancelled);
}

// Releases the slot and updates the gate with the outcome.
void dispatcher::release(endpoint_state& state, std::mutex& mutex,
                         const result<stage_output>& outcome, bool endpoint_healthy)
{
    const time_point now = steady_clock::now();
    {
        const std::lock_guard lock(mutex);
        if (may_still_run(outcome))
            state.gate.on_abandoned(now);
        else if (!outcome && outcome.error().why == reason::endpoint_overloaded)
            state.gate.on_overloaded(now);
        else
            state.gate.on_finished(endpoint_healthy, now);
        const bool connection_failed =
            !outcome && (outcome.error().why == reason::connect_failed ||
                         outcome.error().why == reason::connection_broken);
        if (connection_failed)
            state.gate.on_restart_suspected(now);
        state.refuses_connections = !outcome && outcome.error().why == reason::connect_failed;
    }
    state.released.notify_one();
}

// Polls the load reports of the owned endpoints assigned to this poller.
void dispatcher::poll_loads(const std::stop_token& stop, std::size_t poller_index)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    while (!stop.stop_requested())
    {
        const time_point next = steady_clock::now() + load_poll_interval;
        const configuration_ptr config = config_.current();
        std::size_t index = 0;
        for (const pool_config& pool : config->pools)
        {
            for (const endpoint_config& endpoint : pool.endpoints)
            {
                const bool assigned = endpoint.domain == members_.domain() &&
                                      members_.owns(endpoint.id) &&
                                      index++ % poller_count == poller_index;
                if (assigned && !stop.stop_requested())
                    poll_load({&endpoint, pool.name, config});
            }
        }
        std::unique_lock lock(mutex);
        wake.wait_until(lock, stop, next, [] { return false; });
    }
}

void dispatcher::poll_load(const target& to)
{
    shard& owner = shard_of(to.endpoint->id);
    const std::shared_ptr<endpoint_state> state = find_or_create_state(owner, *to.endpoint);
    std::shared_ptr<http_client> client;
    {
        const std::lock_guard lock(owner.mutex);
        client = state->client;
    }
    client_request request;
    request.path = "/load";
    const time_point polled = steady_clock::now();
    result<client_reply> reply = client->send(request, load_poll_timeout);
    if (!reply)
    {
        counters_.count("load_reports_missed_total");
        if (reply.error().why == reason::silent_connection)
            client->reset_connections();
        const std::lock_guard lock(owner.mutex);
        if (reply.error().why == reason::connect_failed)
        {
            state->gate.on_restart_suspected(steady_clock::now());
            state->refuses_connections = true;
        }
        return;
    }
    result<load_report> report = parse_load_report(reply.value().body);
    if (!report || reply.value().status != status_ok)
    {
        counters_.count("load_reports_invalid_total");
        return;
    }
    {
        const std::lock_guard lock(owner.mutex);
        state->gate.on_report(report.value(), polled, steady_clock::now());
        state->refuses_connections = false;
    }
    state->released.notify_all();
}

} // namespace zinnianotch
