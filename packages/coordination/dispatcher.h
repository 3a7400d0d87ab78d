// Sends admitted calls to the endpoints that this VM owns and tracks the load and phase of each.
#pragma once

#include "coordination/config_store.h"
#include "coordination/membership.h"
#include "state/admission.h"
#include "transport/http_client.h"
#include "transport/metrics.h"
#include "transport/rpc.h"

#include <array>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace zinnianotch
{

class dispatcher
{
public:
    dispatcher(config_store& config, membership& members, metrics& counters);
    ~dispatcher();

    // Starts the threads that poll load reports.
    void start();
    void stop();

    // Runs one attempt at an endpoint of this failure domain, as its owner. Waits up to
    // 500 ms, or half the time left if that is shorter, for a free slot. A call with an empty
    // pipeline name is a call of a plain service; it is sent once and never resent by the
    // transport.
    result<stage_output> run(const stage_call& call, const token_handler& on_tokens,
                             const cancel_flag& cancelled);

    // Summaries of the owned endpoints, for heartbeats and routing.
    std::vector<endpoint_summary> summaries(time_point now);

    // Number of calls in flight at all endpoints.
    std::size_t in_flight() const;

private:
    struct endpoint_state
    {
        admission_controller gate;
        std::shared_ptr<http_client> client;
        std::string url;
        std::condition_variable released;
        bool refuses_connections = false; // the last attempt to connect failed
    };

    struct shard
    {
        mutable std::mutex mutex;
        std::map<std::string, std::shared_ptr<endpoint_state>> endpoints;
    };

    struct target
    {
        const endpoint_config* endpoint = nullptr;
        std::string pool;
        configuration_ptr config; // keeps `endpoint` alive
    };

    shard& shard_of(const std::string& endpoint);
    std::shared_ptr<endpoint_state> find_or_create_state(shard& owner,
                                                         const endpoint_config& endpoint);
    result<target> find_target(const stage_call& call) const;
    admission_context context_of(const target& to, time_point now) const;
    result<void> acquire(const target& to, endpoint_state& state, std::mutex& mutex,
                         time_point wait_deadline);
    result<void> check_before_send(const target& to, time_point now) const;
    result<stage_output> call_endpoint(const stage_call& call, const target& to,
                                       http_client& client, const token_handler& on_tokens,
                                       const cancel_flag& cancelled);
    void release(endpoint_state& state, std::mutex& mutex, const result<stage_output>& outcome,
                 bool endpoint_healthy);
    void poll_loads(const std::stop_token& stop, std::size_t poller_index);
    void poll_load(const target& to);

    static constexpr std::size_t shard_count = 16;

    config_store& config_;
    membership& members_;
    metrics& counters_;
    std::array<shard, shard_count> shards_;
    std::vector<std::jthread> pollers_;
};

} // namespace zinnianotch
