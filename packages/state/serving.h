// Desired state of the serving path: routes, services, client accounts and limits in force, and the
// endpoints that serve them. Plain data with look-ups.
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

// Says what may be repeated of a request.
enum class call_kind
{
    idempotent,     // may run more than once
    non_idempotent, // runs at most once
    streaming       // as non_idempotent unless its route is resumable
};

std::string_view to_string(call_kind value);
bool from_string(std::string_view name, call_kind& out);

// Work whose results a request needs before its generation can start.
struct stage_spec
{
    std::string service;
    std::vector<std::uint32_t> after; // stages whose results it takes
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
    bool anonymous = false;     // needs no key
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t attempts = 1; // most endpoints that may get one request
    milliseconds timeout{5000};
    milliseconds goal{0}; // response-time goal; 0 when there is none
    std::vector<weighted_service> services;
    std::vector<stage_spec> stages;
};

// True when a request of the route may be run by a second endpoint.
bool is_repeatable(const route_spec& route);

// How a service works through pieces of a stage: calls of up to `batch` pieces, one after another.
struct batch_spec
{
    std::uint32_t batch = 1;
    std::uint32_t slots = 1;    // calls in progress at one endpoint
    milliseconds call_time{0};  // of a call, whatever it holds
    double piece_time_ms = 0.0; // further time for each piece
    std::uint64_t result_memory_bytes = 0;
    milliseconds result_lifetime{0}; // of a result that nobody frees
};

struct service_spec
{
    std::string name;
    std::uint32_t max_connections = 0; // from all VMs to one endpoint
    milliseconds warm_up{0};           // an endpoint is cold for so long after its start
    double cold_rate = 0.0;            // requests a second that a cold endpoint bears; 0: no limit
    std::uint32_t slots = 0;           // requests that an endpoint runs at once; 0 when unknown
    bool generates = false;            // model engines: they keep parts of prompts in memory
    std::optional<batch_spec> batch;   // services of stages only
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
    std::optional<std::uint32_t> priority; // goes before the one of a route
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

// Route with the longest prefix of the path among those of the host; null when none matches.
// `target` may carry a query.
const route_spec* find_route(const serving_state& state, std::string_view host,
                             std::string_view target);
const client_account* find_account(const serving_state& state, std::string_view key);
const service_spec* find_service(const serving_state& state, std::string_view name);

// One lifetime of an endpoint as it is listed.
struct endpoint_record
{
    std::string id;
    std::string service;
    std::string address; // IP:PORT
    std::string domain;
    std::uint32_t slots = 0;
    bool draining = false;
    milliseconds cold_for{0}; // time that it stays cold, as of the record's writing
    std::int64_t started_at = 0;    // start of the lifetime, tells it from an earlier one with this id

    bool operator==(const endpoint_record&) const = default;
};

} // namespace zinnianotch
