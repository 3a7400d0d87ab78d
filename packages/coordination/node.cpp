#include "coordination/node.h"

#include "protocol/codec.h"
#include "transport/log.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace zinnianotch
{

namespace
{

constexpr milliseconds config_poll_interval{1000};
constexpr milliseconds config_timeout{1000};
constexpr milliseconds other_views_interval{5000};
// The load of a whole failure domain is by far the largest message, so heartbeat partners in other
// domains receive it less often.
constexpr milliseconds partner_load_interval{2000};
constexpr milliseconds partner_load_max_age{5000}; // tolerates one lost exchange
constexpr milliseconds vm_list_interval{1000};
constexpr milliseconds vm_list_timeout{800};
// Time allowed for all peers to report their configuration version before the highest is adopted.
constexpr milliseconds startup_peer_wait{3000};
constexpr milliseconds order_drain_timeout{2000}; // without a planned stop
constexpr int status_ok = 200;

std::string address_of(const rpc_options& options, std::uint16_t port)
{
    return options.address + ":" + std::to_string(port);
}

} // namespace

node::node(node_options options)
    : options_(std::move(options)), table_(options_.table_url), view_table_(options_.table_url),
      config_(table_)
{
}

node::~node()
{
    stop(steady_clock::now() + order_drain_timeout);
}

void node::start()
{
    started_at_ = steady_clock::now();
    peers_ = std::make_unique<rpc_node>(options_.peers, *this);
    // The components that handle peer calls must exist before the first call can arrive, but the
    // peer address contains the port, which is known only after the RPC node is bound.
    membership_options member;
    member.self = {options_.vm, choose_incarnation()};
    member.domain = options_.domain;
    member.seeds = options_.seeds;
    members_ = std::make_unique<membership>(member, view_table_);
    dispatcher_ = std::make_unique<dispatcher>(config_, *members_, counters_);
    router_ = std::make_unique<attempt_router>(*members_, *dispatcher_, loads_);
    create_runner();
    orders_ = std::make_unique<order_executor>(table_, counters_);
    peers_->start();
    members_->set_peer_address(address_of(options_.peers, peers_->port()));
    router_->connect(*peers_);

    state_ = vm_state::serving;
    dispatcher_->start();
    threads_.emplace_back([this](const std::stop_token& stop) { heartbeat_loop(stop); });
    threads_.emplace_back([this](const std::stop_token& stop) { view_loop(stop); });
    threads_.emplace_back([this](const std::stop_token& stop) { config_loop(stop); });
    if (!options_.vm_list_url.empty())
        threads_.emplace_back([this](const std::stop_token& stop) { vm_list_loop(stop); });
}

void node::create_runner()
{
    const auto emplace = [this]<typename Runner>()
    { runner_.emplace<Runner>(config_, *members_, *router_, loads_, counters_); };
    switch (options_.routing)
    {
    case routing_kind::least_load:
        return emplace.operator()<pipeline_runner<least_load>>();
    case routing_kind::round_robin:
        return emplace.operator()<pipeline_runner<round_robin>>();
    case routing_kind::least_reported_load:
        return emplace.operator()<pipeline_runner<least_reported_load>>();
    }
}

result<pipeline_result> node::run_pipeline(const pipeline_config& pipeline,
                                           const configuration_ptr& config,
                                           const pipeline_request& request,
                                           const token_handler& on_tokens)
{
    return with_runner([&](auto& runner)
                       { return runner.run(pipeline, config, request, on_tokens); });
}

result<stage_output> node::call_service(const service_config& service,
                                        const operation_config& operation,
                                        const configuration_ptr& config,
                                        const pipeline_request& request)
{
    return with_runner([&](auto& runner)
                       { return runner.call_service(service, operation, config, request); });
}

// The incarnation must be higher than that of every earlier process with this VM's name. On one VM
// the wall clock provides such a number; a replacement VM whose clock is behind takes the last
// incarnation from the view row.
std::uint64_t node::choose_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    auto incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
    result<std::optional<table_row>> row =
        view_table_.get("view/" + options_.domain, config_timeout);
    if (!row || !row.value())
        return incarnation;
    result<domain_view> view = parse_view(row.value()->value);
    if (!view)
        return incarnation;
    for (const auto* group : {&view.value().members, &view.value().former})
    {
        for (const view_member& member : *group)
        {
            if (member.id.name == options_.vm)
                incarnation = std::max(incarnation, member.id.incarnation + 1);
        }
    }
    return incarnation;
}

void node::begin_drain()
{
    state_ = vm_state::draining;
    members_->begin_leaving();
    {
        const std::lock_guard lock(wake_mutex_);
        ++wake_count_;
    }
    wake_.notify_all();
}

void node::stop(time_point records_until)
{
    if (stopped_ || peers_ == nullptr)
        return;
    stopped_ = true;
    for (std::jthread& thread : threads_)
        thread.request_stop();
    wake_.notify_all();
    threads_.clear();
    if (members_->is_member())
    {
        members_->begin_leaving();
        members_->leave_as_last();
        members_->poll_view(steady_clock::now());
    }
    if (const std::size_t pending = orders_->pending(); pending > 0)
        log_event(log_level::warning, "order_records_pending",
                  {{"records", std::to_string(pending)}});
    if (!orders_->drain(records_until))
        log_event(log_level::error, "order_records_lost",
                  {{"records", std::to_string(orders_->pending())}});
    dispatcher_->stop();
    peers_->stop();
}

std::uint16_t node::peer_port() const
{
    return peers_->port();
}

bool node::is_ready() const
{
    if (state_ != vm_state::serving || config_.version() == 0)
        return false;
    if (members_->is_member())
        return true;
    // A VM that starts while the table is unavailable serves through the owners whose heartbeats it
    // receives.
    return !members_->gateway_address(options_.domain, steady_clock::now()).empty();
}

std::size_t node::in_flight() const
{
    return dispatcher_->in_flight() + peers_->in_flight();
}

heartbeat node::on_heartbeat(const heartbeat& beat)
{
    const time_point now = steady_clock::now();
    members_->on_heartbeat(beat, now);
    adopt_summaries(beat, now);
    if (beat.config_version > config_.version())
    {
        const std::lock_guard lock(wake_mutex_);
        ++wake_count_;
        wake_.notify_all();
    }
    if (beat.domain == options_.domain)
        return make_heartbeat(summary_scope::owned);
    // The sending partner sets the rate at which domain load is exchanged.
    return make_heartbeat(beat.endpoints.empty() ? summary_scope::none : summary_scope::domain);
}

void node::adopt_summaries(const heartbeat& beat, time_point now)
{
    loads_.on_summaries(beat.endpoints,
                        beat.domain == options_.domain ? peer_timeout : partner_load_max_age, now);
}

config_document node::on_fetch_config()
{
    return {config_.version(), config_.document()};
}

result<stage_output> node::on_run_stage(const stage_call& call, const token_handler& on_tokens,
                                        const cancel_flag& cancelled)
{
    // While the table is unavailable, the view cannot be changed to remove this VM, and calls from
    // its peers would keep it from ever finishing its drain. The peers can use other endpoints.
    if (state_ == vm_state::draining && !members_->has_current_authority(steady_clock::now()))
        return not_run(reason::draining, "this VM is stopping");
    return dispatcher_->run(call, on_tokens, cancelled);
}

heartbeat node::make_heartbeat(summary_scope scope)
{
    const time_point now = steady_clock::now();
    heartbeat beat;
    beat.vm = members_->self();
    beat.domain = options_.domain;
    beat.address = address_of(options_.peers, peers_->port());
    beat.state = state_;
    beat.config_version = config_.version();
    beat.view_version = members_->view_version();
    if (scope == summary_scope::owned)
        beat.endpoints = dispatcher_->summaries(now);
    if (scope == summary_scope::domain)
        beat.endpoints = loads_.recent_summaries(options_.domain, now);
    return beat;
}

// Sends heartbeats at a fixed rate. It does no blocking I/O, so that a slow table or peer does not
// make this VM appear to have failed.
void node::heartbeat_loop(const std::stop_token& stop)
{
    const auto on_reply = [this](const heartbeat& reply)
    {
        const time_point now = steady_clock::now();
        members_->on_heartbeat(reply, now);
        adopt_summaries(reply, now);
    };
    time_point next_partner_load_at{};
    while (!stop.stop_requested())
    {
        const time_point now = steady_clock::now();
        const bool send_load_to_partners = now >= next_partner_load_at;
        if (send_load_to_partners)
            next_partner_load_at = now + partner_load_interval;
        const heartbeat to_domain = make_heartbeat(summary_scope::owned);
        // Must precede the message to the partners, which includes the owned endpoints.
        loads_.on_summaries(to_domain.endpoints, peer_timeout, now);
        const heartbeat to_partners =
            make_heartbeat(send_load_to_partners ? summary_scope::domain : summary_scope::none);
        for (const heartbeat_target& target : members_->take_heartbeat_targets(now))
            peers_->send_heartbeat(target.address, target.other_domain ? to_partners : to_domain,
                                   on_reply);
        std::unique_lock lock(wake_mutex_);
        wake_.wait_until(lock, stop, now + heartbeat_interval, [] { return false; });
    }
}

void node::view_loop(const std::stop_token& stop)
{
    time_point other_views_polled_at{};
    while (!stop.stop_requested())
    {
        const time_point now = steady_clock::now();
        members_->poll_view(now);
        // While the view of some domain is still unknown, read the views on every poll.
        const bool has_unknown_domain = !members_->knows_domains(*config_.current());
        if (has_unknown_domain || now - other_views_polled_at >= other_views_interval)
        {
            members_->poll_other_views();
            other_views_polled_at = now;
        }
        interruptible_sleep(stop, view_poll_interval);
    }
}

void node::config_loop(const std::stop_token& stop)
{
    while (!stop.stop_requested())
    {
        const bool table_answered = config_.poll(config_timeout);
        fetch_newer_config(table_answered);
        interruptible_sleep(stop, config_poll_interval);
    }
}

// Fetches the configuration from the peer that reports the highest version, if it is newer than the
// current one.
void node::fetch_newer_config(bool table_answered)
{
    const time_point now = steady_clock::now();
    // Without the table, a starting VM waits for all peers to report: the first one may hold an old
    // version.
    const bool starting = config_.version() == 0 && !table_answered;
    if (starting && now - started_at_ < startup_peer_wait)
        return;
    std::string address;
    std::uint64_t highest = config_.version();
    for (const peer_info& peer : members_->live_peers(now))
    {
        if (peer.last_heartbeat.config_version <= highest)
            continue;
        highest = peer.last_heartbeat.config_version;
        address = peer.last_heartbeat.address;
    }
    if (address.empty())
        return;
    result<config_document> fetched = peers_->fetch_config(address, config_timeout);
    if (!fetched)
        return;
    result<json> row = parse_json(fetched.value().document);
    if (row)
        config_.adopt(fetched.value().version, row.value());
}

void node::vm_list_loop(const std::stop_token& stop)
{
    http_client client(options_.vm_list_url);
    while (!stop.stop_requested())
    {
        poll_vm_list(client);
        interruptible_sleep(stop, vm_list_interval);
    }
}

void node::poll_vm_list(http_client& client)
{
    client_request request;
    request.path = "/vms";
    result<client_reply> reply = client.send(request, vm_list_timeout);
    if (!reply)
    {
        client.reset_connections();
        return;
    }
    result<json> body = parse_json(reply.value().body);
    if (reply.value().status != status_ok || !body || !body.value().is_object() ||
        !body.value().has_array_field("vms"))
        return;
    std::set<std::string> present;
    std::set<std::string> leaving;
    for (const json& entry : body.value().at("vms").as_array())
    {
        const std::string name = string_field(entry, "name");
        present.insert(name);
        if (string_field(entry, "state") == "leaving")
            leaving.insert(name);
    }
    members_->on_vm_list(present, leaving);
}

// Waits until `time` has elapsed, a stop is requested, or all loops are woken.
void node::interruptible_sleep(const std::stop_token& stop, milliseconds time)
{
    std::unique_lock lock(wake_mutex_);
    const std::uint64_t count = wake_count_;
    wake_.wait_for(lock, stop, time, [&] { return wake_count_ != count; });
}

} // namespace zinnianotch
