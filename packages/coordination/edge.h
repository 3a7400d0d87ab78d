// Event-driven request path of one VM. The VM that reads a request from a client also schedules its
// stages, calls the endpoint and relays the response, all on one thread.
//
// A request costs two to three milliseconds of a quarter of a core, so the response path has
// neither a hand-over between threads nor a hop between VMs. docs/platform.md has the figures.
#pragma once

#include "coordination/endpoint_directory.h"
#include "coordination/rollout_coordinator.h"
#include "coordination/serving_call.h"
#include "coordination/serving_record_order.h"
#include "coordination/stage_router.h"
#include "coordination/state_follower.h"
#include "state/crash_catch_up.h"
#include "state/crash_report_outbox.h"
#include "state/crash_suspects.h"
#include "state/crashing_requests.h"
#include "state/pause_detector.h"
#include "state/socket_address.h"
#include "state/stage_shard.h"
#include "state/stage_times.h"
#include "state/state_source.h"
#include "state/stop_schedule.h"
#include "state/table_outage.h"
#include "state/verdict.h"
#include "state/work_book.h"
#include "transport/memory_account.h"
#include "transport/metrics.h"
#include "transport/server_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace zinnianotch
{

struct edge_options
{
    std::string vm;
    std::string domain;
    socket_address callers;
    socket_address readiness;
    socket_address peers;
    socket_address metrics;         // no metrics listener when the host is empty
    std::string store;              // IP:PORT
    std::vector<std::string> seeds; // peer addresses of other VMs
    fleet_limits limits;
    milliseconds stop_grace{8000}; // from the stop signal to process exit
    std::size_t max_connections = 2048;
    double capacity = 1.0;           // see vm_record
    double link_speed = 125'000'000; // of the network link, in bytes per second
    std::uint64_t memory_bytes = 0;  // limit of the process; 0: not known
};

// Interval at which all timeouts are checked. A longer one fires timeouts late, a shorter one costs
// CPU time when idle.
inline constexpr milliseconds tick_interval{20};
// Interval at which a VM that neither reaches the store nor a VM that does asks its peers for table
// changes.
inline constexpr milliseconds peer_query_interval{400};
// Longest time that a VM that has started waits for what other VMs hold.
inline constexpr milliseconds held_records_timeout{1000};
// Longest time that requests wait after a pause until the state is confirmed.
inline constexpr milliseconds confirmation_timeout{500};

template <typename Codec>
class edge
{
public:
    edge(boost::asio::io_context& io, edge_options options);
    ~edge();

    edge(const edge&) = delete;
    edge& operator=(const edge&) = delete;

    void start();
    // Starts a graceful shutdown: readiness fails, requests in flight continue, then the event loop
    // is stopped.
    void begin_stop();
    void set_limits(const fleet_limits& limits);

    bool is_ready() const;
    // Snapshot of this VM's view and activity, for operators.
    vm_report report(time_point now);
    std::uint16_t callers_port() const { return callers_->port(); }
    std::uint16_t peers_port() const { return peers_->port(); }
    std::uint16_t metrics_port() const { return metrics_listener_->port(); }
    std::size_t known_endpoints() const { return endpoints_.size(); }
    std::size_t links_up() const { return stage_router_.links_up(); }
    const held_memory& held() const { return memory_->ledger; }
    // True if this VM reads the store for the others of its failure domain.
    bool is_relay() const { return is_relay_; }
    // True while this VM reads the table from the store itself.
    bool reads_store(state_table table) const
    {
        return reading_[static_cast<std::size_t>(table)].reads();
    }
    // Version of the desired state in effect; 0 before the first one was read.
    std::uint64_t desired_version() const { return state_ ? state_->version : 0; }
    // True while new requests may be sent to the endpoint.
    bool routes_to(const std::string& endpoint) const { return endpoints_.is_serving(endpoint); }
    // Phase that this VM follows in the roll-out of the service; nothing without an order.
    std::optional<rollout_phase> phase_of(const std::string& service) const
    {
        const rollout_gate* const gate = rollouts_ ? rollouts_->gate(service) : nullptr;
        return gate != nullptr ? gate->phase(steady_clock::now()) : std::nullopt;
    }
    // True when this VM batches the stage pieces of the queue, see queue_name.
    bool is_batcher_of(const std::string& queue) { return stage_router_.is_batcher_of(queue); }

private:
    class exchange;
    class registration;
    class rollout_store;

    // Duration of the successful responses of a route.
    struct response_estimate
    {
        time_estimate total;
        time_estimate after_stages;
    };

    using replica_type = table_replica<serving_record_order<Codec>>;

    void on_request(const std::shared_ptr<server_connection>& client, received_request&& request);
    void serve(const std::shared_ptr<server_connection>& client, received_request&& request);
    // After a pause of the process: confirms the state before more requests are served.
    void check_pause(time_point now);
    // False after a pause of the process until the state is confirmed: endpoints may have left.
    bool is_state_confirmed(time_point now);
    void serve_deferred_requests(time_point now);
    // Serves them whether or not the state is confirmed.
    void end_deferral();
    void on_desired(const std::vector<state_record>& records, bool is_snapshot);
    void on_endpoints(const std::vector<state_record>& records, bool is_snapshot);
    void on_vms(const std::vector<state_record>& records, bool is_snapshot);
    void drop_endpoint(const std::string& id, time_point now);
    void on_endpoint_notice(known_endpoint& endpoint, const endpoint_answer& answer,
                            time_point sent_at, time_point now);
    void update_endpoints_outage(time_point now);
    // True shortly after an outage of the store: an entry that is missing may return.
    bool may_have_lapsed(time_point now) const;
    void remove_lapsed_endpoints(time_point now);
    void apply_endpoint(const state_record& record, bool is_snapshot, time_point now);
    void refresh_stages();
    const std::vector<stage_shard>& shards_of(const std::string& service) const;
    bool apply_update(state_table table, const table_update& update);
    void apply_effect(state_table table, const table_effect& effect);
    void expire_held_records(time_point now);
    // Until another VM has told what the store has lost, a VM that has just started is not ready.
    void check_held_records_known(time_point now);
    bool reads_any_table() const;
    void apply_table(state_table table, const std::vector<state_record>& records, bool is_snapshot);
    void on_vm_message(const std::shared_ptr<vm_channel>& from, vm_message&& message);
    void answer_query(const std::shared_ptr<vm_channel>& from, const state_query& query);
    void on_peer_state(const std::string& vm, const vm_message& message);
    void on_state_notice(const std::string& vm, const state_notice& notice);
    void on_state_answer(const std::string& vm, const state_answer& answer);
    void query_newer_copies(time_point now);
    void query_peers(time_point now);
    void choose_relays();
    void update_reading(time_point now);
    void log_state_source(state_table table, time_point now);
    // Logs what this VM knew of the desired state when it denied a request: `missing` names what
    // the state lacks.
    void log_denial(const std::string& request, std::string_view missing, time_point now);
    replica_type& replica(state_table table);
    held_records held_of(state_table table, time_point now);
    void on_held_records(const held_records& held);
    table_copy copy_of(state_table table, time_point now);
    table_copies copies(time_point now);
    // True while the table is kept up to date, from the store or by another VM.
    bool is_current(state_table table, time_point now);
    void send_notices(time_point now);
    state_follower<Codec>& follower(state_table table);
    void schedule_tick();
    void tick();
    void tick_stop(time_point now);
    void register_vm(time_point now);
    // Tells all VMs what this one has learnt about crashing engines.
    void send_crash_reports(time_point now);
    void on_crash_report(const crash_report& report, report_receivers to);
    // Exchanges with all VMs, by way of the relays, what each has seen of endpoints that report
    // their pace.
    void send_pace_reports(time_point now);
    void on_pace_reports(const pace_reports& message, bool from_accepted);
    std::vector<crash_report> crash_snapshot(time_point now);
    // Another VM that has missed reports, by the connection that it made or by its name.
    using report_receiver = std::variant<std::weak_ptr<vm_channel>, std::string>;
    void answer_crash_query(const report_receiver& from, const crash_query& query, time_point now);
    // Asks for reports that this VM has missed, and sends those that others have missed.
    void exchange_missed_reports(time_point now);
    void relieve_memory(time_point now);
    void log_held_parts(time_point now);
    void log_held_requests(time_point now);
    void update_rollouts(time_point now);
    void apply_rollout_record(const state_record& record, time_point now);
    void on_rollout_report(const std::shared_ptr<vm_channel>& from, const rollout_report& report);
    void on_rollout_verdict(const rollout_verdict& verdict);
    void tick_rollouts(time_point now);
    void update_state_peers();
    void log_bad_record(state_table table, const state_record& record);
    void send_text_response(const std::shared_ptr<server_connection>& client, int status,
                            const std::string& body);
    void serve_operator_request(const std::shared_ptr<server_connection>& client,
                                const std::string& target);
    std::vector<std::string> batched_queues();

    boost::asio::io_context& io_;
    edge_options options_;
    metrics counters_;
    std::shared_ptr<memory_account> memory_ = std::make_shared<memory_account>();
    endpoint_directory endpoints_;
    std::uint64_t rollout_lifetime_ = 0;            // random
    std::unique_ptr<rollout_coordinator> rollouts_; // null without bounds in the settings
    stage_batcher<Codec> stage_batcher_;
    stage_router<Codec> stage_router_;
    std::unique_ptr<vm_listener> peers_;
    // By state_table.
    std::array<replica_type, state_table_count> replicas_{replica_type({state_table::desired}),
                                                          replica_type({state_table::endpoints}),
                                                          replica_type({state_table::vms})};
    pause_detector pauses_;
    std::optional<time_point> paused_until_; // end of a pause after which the state is unconfirmed
    std::vector<std::pair<std::shared_ptr<server_connection>, received_request>> deferred_requests_;
    bool knows_held_records_ = false;
    std::optional<time_point> held_records_deadline_;
    std::size_t held_queries_ = 0; // without an answer
    time_point peers_queried_at_{};
    state_sources sources_;
    std::vector<table_reading> reading_; // by state_table
    std::array<std::string, state_table_count> logged_sources_;
    // Who last confirmed that the copy of the desired state is up to date: "store" or a VM.
    std::string state_confirmed_by_;
    time_point state_confirmed_at_{};
    bool is_relay_ = true;
    bool has_followers_ = false; // VMs of the domain that are not relays take the state from here
    table_copies noticed_copies_;
    time_point noticed_at_{};
    table_outage endpoints_outage_;
    std::unique_ptr<server_listener> callers_;
    std::unique_ptr<server_listener> readiness_;
    std::unique_ptr<server_listener> metrics_listener_;
    std::unique_ptr<state_follower<Codec>> desired_follower_;
    std::unique_ptr<state_follower<Codec>> endpoints_follower_;
    std::unique_ptr<state_follower<Codec>> vms_follower_;
    std::shared_ptr<const serving_state> state_;
    time_point state_since_{};
    std::map<std::string, time_point> lapsed_endpoints_; // id: latest time of removal
    std::map<std::string, vm_record> known_vms_;
    // Last revision logged, by table and name; entries of deleted records are removed.
    std::map<std::pair<state_table, std::string>, std::uint64_t> logged_bad_records_;
    std::map<exchange*, std::shared_ptr<exchange>> exchanges_;
    crash_suspects crash_suspects_;
    crashing_requests crashing_requests_;
    crash_report_outbox crash_outbox_;
    sent_reports sent_crash_reports_;
    crash_catch_up crash_catch_up_{steady_clock::now()};
    paced_answers<report_receiver> crash_answers_;
    std::set<std::string> logged_held_parts_;
    std::set<std::string> logged_held_requests_;
    std::map<std::string, time_estimate, std::less<>> first_byte_times_;   // by service
    std::map<std::string, response_estimate, std::less<>> response_times_; // by route
    std::map<std::string, time_estimate, std::less<>> route_first_byte_times_;
    std::set<std::string, std::less<>> contended_services_; // of state_
    queue_delay_reports queue_delays_;
    share_marker share_marker_;
    refused_pieces refused_pieces_;
    observed_stage_times stage_times_;
    work_book work_;
    std::uint64_t last_work_id_ = 0;
    std::map<std::string, std::vector<stage_shard>> shards_; // by service
    std::unique_ptr<registration> registration_;
    std::unique_ptr<rollout_store> rollout_store_;
    std::vector<std::string> state_peers_; // that the state is taken from
    std::set<std::string> rollout_links_;  // VMs that judge roll-outs
    boost::asio::steady_timer tick_timer_;
    std::uint64_t ticks_ = 0;
    bool ready_logged_ = false;
    std::optional<stop_schedule> stop_; // set while this VM is stopping
    std::size_t requests_given_up_ = 0; // at the end of the stop's grace period
};

} // namespace zinnianotch
