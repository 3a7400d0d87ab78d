// Runs pipelines stage by stage, with retries, resumption of token streams, and one deadline for
// the whole request.
#pragma once

#include "coordination/config_store.h"
#include "coordination/dispatcher.h"
#include "coordination/load_map.h"
#include "coordination/membership.h"
#include "state/routing.h"
#include "transport/metrics.h"
#include "transport/rpc.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace zinnianotch
{

// A caller's request for a pipeline.
struct pipeline_request
{
    std::string id;
    std::string account;
    std::uint32_t priority = 0;
    std::string input;
    time_point deadline{};
    cancel_flag cancelled;
};

struct stage_report
{
    std::string stage;
    std::string endpoint;
    std::uint32_t attempts = 0;
    std::chrono::microseconds elapsed{0};
};

struct pipeline_result
{
    std::string output; // output of the last stage; empty if it was streamed
    std::uint32_t tokens = 0;
    std::vector<stage_report> stages;
};

// Routes an attempt to the owner of the endpoint: this VM or a remote one.
class attempt_router
{
public:
    attempt_router(membership& members, dispatcher& local, load_map& loads);

    // Sets the node used to reach peers. It is created after the router, so it is set separately.
    void connect(rpc_node& peers) { peers_ = &peers; }

    // Runs the attempt at the owner of the endpoint; follows at most one redirection to another
    // owner.
    result<stage_output> run(const stage_call& call, const std::string& domain,
                             const token_handler& on_tokens, const cancel_flag& cancelled);

private:
    std::string target_address(const std::string& endpoint, const std::string& domain,
                               time_point now) const;

    membership& members_;
    dispatcher& local_;
    load_map& loads_;
    rpc_node* peers_ = nullptr;
    mutable std::mutex mutex_;
    std::map<std::string, std::string> owner_hints_; // endpoint -> address, other domains only
};

template <routing_policy Policy>
class pipeline_runner
{
public:
    pipeline_runner(config_store& config, membership& members, attempt_router& router,
                    load_map& loads, metrics& counters)
        : config_(config), members_(members), router_(router), loads_(loads), counters_(counters)
    {
    }

    // Runs all stages. Tokens of a generation stage go to `on_tokens`, each index once and in
    // order; it returns false if the caller has disconnected.
    result<pipeline_result> run(const pipeline_config& pipeline, const configuration_ptr& config,
                                const pipeline_request& request, const token_handler& on_tokens);

    // Calls an operation of a plain service. An attempt that may have run is repeated only if the
    // operation is idempotent.
    result<stage_output> call_service(const service_config& service,
                                      const operation_config& operation,
                                      const configuration_ptr& config,
                                      const pipeline_request& request);

private:
    // Progress of one stage across its attempts.
    struct stage_progress
    {
        std::set<std::string> tried;
        std::uint32_t attempts = 0;
        std::uint32_t next_token = 0;
        bool may_have_run = false;
    };

    result<stage_output> run_stage(const pipeline_config& pipeline, std::size_t index,
                                   const configuration_ptr& config, const pipeline_request& request,
                                   stage_call& call, const token_handler& on_tokens,
                                   stage_report& report);
    result<stage_output> attempt(stage_call& call, const endpoint_summary& chosen,
                                 const pipeline_request& request, const token_handler& on_tokens,
                                 stage_progress& progress);
    result<endpoint_summary> choose_endpoint(const std::string& pool, std::set<std::string>& tried,
                                             time_point now);
    std::vector<endpoint_summary> reachable_candidates(const configuration& config,
                                                       const pool_config& pool,
                                                       const std::set<std::string>& tried,
                                                       time_point now) const;
    result<void> on_attempt_failed(const failure& error, const stage_call& call,
                                   const configuration_ptr& config, time_point first_start,
                                   bool idempotent, stage_progress& progress);
    result<void> may_retry(const failure& error, const configuration_ptr& config,
                           const std::string& pool, time_point first_start);
    retry_budget& budget_of(const std::string& pool);

    config_store& config_;
    membership& members_;
    attempt_router& router_;
    load_map& loads_;
    metrics& counters_;
    Policy policy_;
    std::atomic<std::uint64_t> request_number_{0};
    std::mutex mutex_; // guards budgets_ and times_
    std::map<std::string, retry_budget> budgets_;
    stage_durations times_;
};

extern template class pipeline_runner<least_load>;
extern template class pipeline_runner<round_robin>;
extern template class pipeline_runner<least_reported_load>;

} // namespace zinnianotch
