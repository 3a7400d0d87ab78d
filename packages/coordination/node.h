// One serving VM: owns the coordination components, runs their threads, and answers the calls of
// other VMs.
#pragma once

#include "coordination/config_store.h"
#include "coordination/dispatcher.h"
#include "coordination/load_map.h"
#include "coordination/membership.h"
#include "coordination/order_executor.h"
#include "coordination/pipeline_runner.h"
#include "coordination/table_client.h"
#include "transport/metrics.h"
#include "transport/rpc.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace zinnianotch
{

struct node_options
{
    std::string vm;
    std::string domain;
    rpc_options peers;
    std::vector<std::string> seeds;
    std::string table_url;
    std::string vm_list_url; // empty when there is no VM list
    routing_kind routing = routing_kind::least_load;
};

// The runner for the configured routing policy; empty before the node is started.
using any_runner = std::variant<std::monostate, pipeline_runner<least_load>,
                                pipeline_runner<round_robin>, pipeline_runner<least_reported_load>>;

class node final : public rpc_service
{
public:
    explicit node(node_options options);
    ~node() override;

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    // Binds the peer address and starts all threads.
    void start();

    // Starts a planned stop: hands over the owned endpoints and continues the calls in progress.
    void begin_drain();

    // Leaves the view if still a member, waits until the results of all orders are recorded or
    // `records_until` is reached, and stops all threads.
    void stop(time_point records_until);

    std::uint16_t peer_port() const;
    vm_state state() const { return state_.load(); }

    // True when requests can be served: a configuration is in effect and this VM is a member of the
    // view or receives heartbeats of a serving VM of its failure domain.
    bool is_ready() const;

    config_store& config() { return config_; }
    membership& members() { return *members_; }
    order_executor& orders() { return *orders_; }
    load_map& loads() { return loads_; }
    metrics& counters() { return counters_; }

    // See pipeline_runner; uses the routing policy from node_options.
    result<pipeline_result> run_pipeline(const pipeline_config& pipeline,
                                         const configuration_ptr& config,
                                         const pipeline_request& request,
                                         const token_handler& on_tokens);
    result<stage_output> call_service(const service_config& service,
                                      const operation_config& operation,
                                      const configuration_ptr& config,
                                      const pipeline_request& request);

    // Number of calls in flight at the owned endpoints plus stage calls of other VMs in progress.
    std::size_t in_flight() const;

    // rpc_service
    heartbeat on_heartbeat(const heartbeat& beat) override;
    config_document on_fetch_config() override;
    result<stage_output> on_run_stage(const stage_call& call, const token_handler& on_tokens,
                                      const cancel_flag& cancelled) override;

private:
    // The endpoints whose summaries a heartbeat carries: none, the owned ones, or all of the
    // failure domain.
    enum class summary_scope
    {
        none,
        owned,
        domain
    };

    heartbeat make_heartbeat(summary_scope scope);
    void adopt_summaries(const heartbeat& beat, time_point now);
    std::uint64_t choose_incarnation();
    void create_runner();

    // Calls `use` with the runner of the configured policy.
    template <typename Use>
    auto with_runner(Use use) -> decltype(use(std::declval<pipeline_runner<least_load>&>()))
    {
        if (auto* runner = std::get_if<pipeline_runner<round_robin>>(&runner_))
            return use(*runner);
        if (auto* runner = std::get_if<pipeline_runner<least_reported_load>>(&runner_))
            return use(*runner);
        return use(std::get<pipeline_runner<least_load>>(runner_));
    }

    void heartbeat_loop(const std::stop_token& stop);
    void view_loop(const std::stop_token& stop);
    void config_loop(const std::stop_token& stop);
    void vm_list_loop(const std::stop_token& stop);
    void poll_vm_list(http_client& client);
    void fetch_newer_config(bool table_answered);
    void interruptible_sleep(const std::stop_token& stop, milliseconds time);

    node_options options_;
    metrics counters_;
    table_client table_;      // for the configuration and orders
    table_client view_table_; // for views only, so that other table requests do not delay them
    config_store config_;
    load_map loads_;
    std::unique_ptr<membership> members_;
    std::unique_ptr<dispatcher> dispatcher_;
    std::unique_ptr<attempt_router> router_;
    any_runner runner_;
    std::unique_ptr<order_executor> orders_;
    std::unique_ptr<rpc_node> peers_;
    std::atomic<vm_state> state_{vm_state::starting};
    time_point started_at_{};
    std::mutex wake_mutex_;
    std::condition_variable_any wake_; // wakes all loops
    std::uint64_t wake_count_ = 0;
    std::vector<std::jthread> threads_;
    bool stopped_ = false;
};

} // namespace zinnianotch
