// One entry VM: its coordination parts, their threads, and the answers to the other VMs.
#pragma once

#include "coordination/config_store.h"
#include "coordination/dispatcher.h"
#include "coordination/load_map.h"
#include "coordination/membership.h"
#include "coordination/order_book.h"
#include "coordination/runner.h"
#include "coordination/table.h"
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

// The runner of the chosen routing policy; empty before the node is started.
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

    // A planned stop began: hands the owned endpoints over, goes on with the work in hand.
    void begin_drain();

    // Leaves the view if still a member, and ends all threads.
    void stop();

    std::uint16_t peer_port() const;
    vm_state state() const { return state_.load(); }

    // True when requests can be served: a configuration is in force and an owner can be found.
    bool is_ready() const;

    config_store& config() { return config_; }
    membership& members() { return *members_; }
    order_book& orders() { return *orders_; }
    load_map& loads() { return loads_; }
    metrics& counters() { return counters_; }

    // See pipeline_runner; the routing policy is the one of the options.
    result<pipeline_result> run_pipeline(const pipeline_config& pipeline,
                                         const configuration_ptr& config,
                                         const pipeline_request& request,
                                         const token_handler& on_tokens);
    result<stage_output> call_service(const service_config& service,
                                      const operation_config& operation,
                                      const configuration_ptr& config,
                                      const pipeline_request& request);

    // Calls at the owned endpoints and stage calls of other VMs in progress.
    std::size_t in_flight() const;

    // rpc_service
    heartbeat on_heartbeat(const heartbeat& beat) override;
    config_document on_fetch_config() override;
    result<stage_output> on_run_stage(const stage_call& call, const token_handler& on_tokens,
                                      const cancel_flag& cancelled) override;

private:
    // Which endpoints a heartbeat describes: none, the owned ones, or all of the failure domain.
    enum class summary_scope
    {
        none,
        owned,
        domain
    };

    heartbeat make_heartbeat(summary_scope scope);
    void adopt_summaries(const heartbeat& beat, time_point now);
    std::uint64_t choose_incarnation();
    void make_runner();

    // Calls `use` with the runner in place.
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
    void pause(const std::stop_token& stop, milliseconds time);

    node_options options_;
    metrics counters_;
    table_client table_;      // reads and writes of configuration and orders
    table_client view_table_; // reads of the view, not delayed by the others
    config_store config_;
    load_map loads_;
    std::unique_ptr<membership> members_;
    std::unique_ptr<dispatcher> dispatcher_;
    std::unique_ptr<attempt_router> router_;
    any_runner runner_;
    std::unique_ptr<order_book> orders_;
    std::unique_ptr<rpc_node> peers_;
    std::atomic<vm_state> state_{vm_state::starting};
    time_point started_at_{};
    std::mutex wake_mutex_;
    std::condition_variable_any wake_; // ends the pauses of all loops
    std::uint64_t wake_count_ = 0;
    std::vector<std::jthread> threads_;
    bool stopped_ = false;
};

} // namespace zinnianotch
