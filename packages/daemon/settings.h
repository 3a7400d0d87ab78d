// Settings of one entry VM, read from a YAML file.
#pragma once

#include "state/rollout.h"
#include "state/routing.h"
#include "state/socket_address.h"
#include "state/time.h"
#include "state/verdict.h"
#include "transport/log.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Formats IP:PORT, with brackets around an IPv6 address; inverse of from_string().
std::string to_string(const socket_address& value);

// Parses IP:PORT; false for host names, other forms and ports above 65535.
bool from_string(std::string_view text, socket_address& out);

// API key of a client account. An account may have several, so that keys can be rotated.
struct account_key
{
    std::string account;
    std::string key;
};

// API key of an operator.
struct operator_key
{
    std::string name;
    std::string key;
    std::string team; // empty for a fleet operator
};

// Limits of the listener for callers. `workers` and `queue_length` also apply to the peer listener.
struct server_limits
{
    std::uint32_t max_connections = 4096;
    std::uint32_t workers = 256;      // threads
    std::uint32_t queue_length = 256; // requests that wait for a worker
    std::uint32_t header_bytes = 8192;
    std::uint32_t body_bytes = 1048576;
};

// Settings of the event-driven request path, whose desired state comes from the store; see
// docs/platform.md. For the limits see service_retry_limits and fleet_limits.
struct serving_settings
{
    socket_address listen_readiness;
    std::optional<socket_address> listen_metrics;
    socket_address store;
    double repeat_ratio = 0.2;
    double repeat_slack = 0.0;
    milliseconds repeat_window{10000};
    double cold_over = 1.5;
    double cold_slack = 0.0;
    milliseconds stop_grace{8000}; // from the stop signal to process exit
    double processor_share = 1.0;  // in cores
    double link_mbps = 1000.0;     // Mbit/s
    double memory_mb = 0.0;        // limit of the process, in MiB; 0: not known
    // Without them, orders of roll-outs have no effect.
    std::optional<rollout_limits> rollouts;
};

struct settings
{
    std::string vm;
    std::string failure_domain;
    socket_address listen_callers;
    socket_address listen_peers;
    std::string table_url;   // http://IP:PORT
    std::string vm_list_url; // empty when there is no VM list
    std::vector<socket_address> seeds;
    std::vector<account_key> accounts;
    std::vector<operator_key> operators;
    server_limits limits;
    milliseconds balancer_grace{5000}; // from SIGTERM until the balancer uses other VMs
    milliseconds stop_accept{10000};   // longest time after it for which requests are served
    log_level min_log_level = log_level::info;
    routing_kind routing = routing_kind::least_load;
    std::optional<serving_settings> serving; // when set, run_edge() serves instead of a node
};

// Error in a settings file. The texts never contain an API key.
struct settings_problem
{
    int line = 0; // counted from 1; 0 for the whole file
    std::string message;
    std::string hint; // suggested correction, may be empty
};

// Parses settings from YAML text and appends every problem found to `problems`, ordered by line.
// The returned settings are complete only when no problem was added.
settings parse_settings(const std::string& text, std::vector<settings_problem>& problems);

// Formats a problem as "FILE:LINE: message (hint)".
std::string to_string(const settings_problem& problem, std::string_view file);

// Reads and parses a settings file. Fails with invalid_configuration, with one line of detail per
// problem.
result<settings> load_settings(const std::string& path);

} // namespace zinnianotch
