// Error type of all operations: a verdict that states whether the request may have run, and a
// reason.
#pragma once

#include <boost/outcome.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace zinnianotch
{

// States whether a request was executed. Any request may be retried after not_run, but only
// idempotent ones after the other verdicts.
enum class verdict
{
    not_run,
    may_have_run,
    ran
};

// Why a request was refused or an attempt failed. Each reason has its own counter.
enum class reason
{
    bad_request,
    unauthorized,
    forbidden,
    not_found,
    not_ready,
    draining,
    overloaded,
    busy,
    not_owner,
    authority_lapsed,
    domain_out,
    endpoint_leaving,
    no_endpoint,
    deadline_unreachable,
    deadline_exceeded,
    retry_budget_exhausted,
    cancelled,
    connect_failed,
    connection_broken,
    silent_connection,
    answer_mismatch,
    token_gap,
    endpoint_error,
    endpoint_overloaded,
    peer_unreachable,
    idempotency_key_required,
    idempotency_key_reused,
    order_in_progress,
    order_store_unavailable,
    store_unavailable,
    version_conflict,
    invalid_configuration,
    crashing_prompt,
    crashing_request
};

inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::crashing_request) + 1;

// Returns the name of the value as it appears in answers, logs and metrics.
std::string_view to_string(verdict value);
std::string_view to_string(reason value);

// Inverse of to_string; returns false for an unknown name.
bool from_string(std::string_view name, verdict& out);
bool from_string(std::string_view name, reason& out);

// Returns the HTTP status that is sent to callers and operators for the reason.
int http_status(reason value);

struct failure
{
    verdict outcome = verdict::not_run;
    reason why = reason::bad_request;
    std::string detail;
    // Configuration version in effect; set only for a version_conflict on the configuration.
    std::optional<std::uint64_t> current_version = std::nullopt;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

template <typename T>
using result = outcome::checked<T, failure>;

inline failure not_run(reason why, std::string detail = {})
{
    return {verdict::not_run, why, std::move(detail)};
}

inline failure may_have_run(reason why, std::string detail = {})
{
    return {verdict::may_have_run, why, std::move(detail)};
}

} // namespace zinnianotch
