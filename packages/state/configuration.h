// Configuration written by operators: fleet-wide defaults plus exceptions, each with a reason.
#pragma once

#include "state/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

enum class stage_kind
{
    encoding,
    retrieval,
    reranking,
    generation
};

std::string_view to_string(stage_kind value);
bool from_string(std::string_view name, stage_kind& out);

struct stage_config
{
    std::string name;
    stage_kind kind = stage_kind::encoding;
    std::string pool;
    std::uint32_t max_tokens = 64; // generation only
};

struct pipeline_config
{
    std::string name;
    std::string team;
    milliseconds deadline{5000};
    std::vector<stage_config> stages;
};

struct endpoint_config
{
    std::string id;
    std::string domain;
    std::string url; // http://IP:PORT
    bool leaving = false;
};

struct pool_config
{
    std::string name;
    std::vector<endpoint_config> endpoints;
};

struct operation_config
{
    std::string name;
    bool idempotent = false;
};

struct service_config
{
    std::string name;
    std::string pool;
    std::vector<operation_config> operations;
};

struct account_config
{
    std::string name;
    std::string team;
    std::uint32_t priority = 0;
};

struct domain_config
{
    std::string id;
    bool out = false;
};

// Fleet-wide limits. An exception can override a limit for one target.
struct defaults_config
{
    std::uint32_t cold_limit = 2;     // maximum concurrent calls at a cold endpoint
    std::uint32_t warm_limit = 16;    // maximum concurrent calls at a warm endpoint
    std::uint32_t retry_percent = 20; // retries allowed per 100 first attempts
    std::uint32_t stage_timeout_ms =
        2000; // an attempt ends if no byte arrives from the endpoint for this long
    std::uint32_t service_timeout_ms = 2000;
};

// Overrides one default for one target, such as "endpoint:engine-3" or "pool:rerankers".
struct exception_config
{
    std::string id;
    std::string target;
    std::string setting;
    std::uint32_t value = 0;
    std::string reason;
    std::string author;
};

struct configuration
{
    std::uint64_t version = 0; // assigned by the platform's table, never read from a document
    std::string author;
    defaults_config defaults;
    std::vector<pipeline_config> pipelines;
    std::vector<pool_config> pools;
    std::vector<service_config> services;
    std::vector<account_config> accounts;
    std::vector<domain_config> domains;
    std::vector<exception_config> exceptions;
};

// Look-up by name or id; null if there is no such entry.
const pipeline_config* find_pipeline(const configuration& config, std::string_view name);
const pool_config* find_pool(const configuration& config, std::string_view name);
const service_config* find_service(const configuration& config, std::string_view name);
const operation_config* find_operation(const service_config& service, std::string_view name);
const account_config* find_account(const configuration& config, std::string_view name);
const endpoint_config* find_endpoint(const configuration& config, std::string_view id);

// True if operators have taken the failure domain out of service.
bool is_domain_out(const configuration& config, std::string_view domain);

// Returns the defaults with the exceptions for the endpoint's pool applied first, then those for
// the endpoint itself.
defaults_config effective_limits(const configuration& config, std::string_view pool,
                                 std::string_view endpoint);

// Checks names, references, duplicates, ranges and mandatory fields. Returns all problems found;
// empty if the configuration is valid.
std::vector<std::string> validate(const configuration& config);

} // namespace zinnianotch
