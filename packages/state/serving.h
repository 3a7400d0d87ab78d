// Configuration of the serving path: routes, services, client accounts and limits in force, and the
// endpoint records. Plain data with lookup functions.
#pragma once

#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Whether a request may be sent to a second endpoint after a failure.
enum class call_kind
{
    idempotent,     // may run more than once
    non_idempotent, // runs at most once
    streaming       // as non_idempotent unless its route is resumable
};

std::string_view to_string(call_kind value);
bool from_string(std::string_view name, call_kind& out);

// Stage whose results a request needs before its generation can start.
struct stage_spec
{
    std::string service;
    std::vector<std::uint32_t> after; // indices of the stages whose results are its inputs
    std::uint64_t result_bytes = 0;   // approximate size of one result
};

struct weighted_service
{
    std::string service;
    std::uint32_t weight = 0;
};

struct route_spec
{
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    call_kind kind = call_kind::non_idempotent;
    bool resumable = false;
    bool anonymous = false;     // accepted without a key
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t attempts = 1; // maximum number of endpoints tried for one request
    milliseconds timeout{5000};
    milliseconds goal{0}; // response-time goal; 0: none
    std::vector<weighted_service> services;
    std::vector<stage_spec> stages;
};

// True if a request of the route may be run by a second endpoint.
bool is_repeatable(const route_spec& route);

// Batching parameters of a service that runs stages: calls of up to `batch` pieces each.
struct batch_spec
{
    std::uint32_t batch = 1;
    std::uint32_t slots = 1;               // concurrent calls at one endpoint
    milliseconds call_time{0};             // fixed time per call
    double piece_time_ms = 0.0;            // additional time per piece
    std::uint64_t result_memory_bytes = 0; // of one endpoint; 0: no limit
    milliseconds result_lifetime{0};       // until a result that is not freed expires
};

struct service_spec
{
    std::string name;
    std::uint32_t max_connections = 0; // from all VMs to one endpoint
    milliseconds warm_up{0};           // an endpoint is cold for this long after its start
    double cold_rate = 0.0;          // requests per second allowed to a cold endpoint; 0: no limit
    std::uint32_t slots = 0;         // concurrent requests per endpoint; 0: unknown
    std::uint32_t memory_tokens = 0; // of one engine, for running requests; 0: unknown
    std::uint32_t tokens_per_event = 1; // of a stream
    bool generates = false;             // model engine, which caches prompt prefixes
    std::optional<batch_spec> batch;    // only for services that run stages
};

// Bounds on what a client may send.
struct client_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

struct client_account
{
    std::string name;
    std::optional<std::uint32_t> priority; // overrides the priority of the route
};

struct serving_state
{
    std::uint64_t version = 0;
    std::vector<route_spec> routes;
    std::map<std::string, service_spec, std::less<>> services;
    std::vector<client_account> accounts;
    std::map<std::string, std::size_t, std::less<>> account_by_key;
    client_limits limits;

    bool needs_keys() const { return !accounts.empty(); }
};

// Longest-prefix match of the path among the routes of the host; null if none matches. `target` may
// include a query string.
const route_spec* find_route(const serving_state& state, std::string_view host,
                             std::string_view target);
bool has_route(const serving_state& state, std::string_view name);
const client_account* find_account(const serving_state& state, std::string_view key);
const service_spec* find_service(const serving_state& state, std::string_view name);

// Registration of one lifetime of an endpoint.
struct endpoint_record
{
    std::string id;
    std::string service;
    std::string address; // IP:PORT
    std::string domain;
    std::uint32_t slots = 0;
    bool draining = false;
    milliseconds cold_for{0};    // remaining warm-up time when the record was written
    std::int64_t started_at = 0; // of the lifetime; distinguishes lifetimes of one id
    std::string version;         // of its software; empty if not given

    bool operator==(const endpoint_record&) const = default;
};

} // namespace zinnianotch
