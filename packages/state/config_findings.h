// Faults of a configuration that can be told before it is sent: errors, entries that never take
// effect, and limits that contradict each other.
#pragma once

#include "state/configuration.h"
#include "state/serving.h"

#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

enum class finding_severity
{
    error,  // requests fail, or the configuration is refused
    warning // an entry has no effect, or a limit cannot be kept
};

enum class finding_kind
{
    invalid_entry,            // refused by the server
    missing_name,             // of a route or service
    unmatchable_prefix,       // no path begins with it
    open_prefix,              // ends within a name of the path
    shadowed_route,           // another route of the host has the same prefix
    unknown_service,          // named by a route or stage, and not there
    unknown_predecessor,      // a stage that follows a missing stage, or itself
    unbatched_stage,          // the service of a stage does not run stages
    zero_weights,             // the weights of a route's services sum to zero
    unused_service,           // named by no route or stage
    unused_pool,              // named by no stage and no service
    unused_domain,            // without endpoints
    empty_pool,               // in use, but without endpoints
    pool_out_of_service,      // all endpoints leave, or their failure domains are out
    account_without_key,      // no request can belong to it
    exception_without_effect, // sets what holds anyway, or a limit that the target does not use
    overridden_exception,     // each endpoint of the pool has an exception of its own
    timeout_under_stages,     // a route's stages take longer than its timeout
    goal_under_stages,        // the same for its response-time goal
    goal_over_timeout,        // requests end before they miss their goal
    timeout_over_deadline,    // the timeout of an attempt never ends it
    cold_limit_over_warm,     // a cold endpoint may get more than a warm one
    result_memory_under_call  // too small for the results of one full call
};

std::string_view to_string(finding_severity value);
// Stable name, for scripts.
std::string_view to_string(finding_kind value);

struct config_finding
{
    finding_kind kind = finding_kind::invalid_entry;
    std::string where; // the entry, such as "route r1"
    std::string text;  // what is wrong
    std::string hint;  // how to correct it

    finding_severity severity() const;
};

// All findings, in the order of the document. Says nothing about rights or running endpoints.
std::vector<config_finding> find_faults(const configuration& config);
std::vector<config_finding> find_faults(const serving_state& state);

bool has_errors(const std::vector<config_finding>& findings);

} // namespace zinnianotch
