#include "state/verdict.h"

#include "state/enum_names.h"

#include <array>

namespace zinnianotch
{

namespace
{

struct reason_entry
{
    std::string_view name;
    int status;
};

constexpr std::array<std::string_view, 3> verdict_names = {"not_run", "may_have_run", "ran"};

// One entry per reason, in the order of the enumeration.
constexpr std::array<reason_entry, reason_count> reason_table = {{
    {"bad_request", 400},
    {"unauthorized", 401},
    {"forbidden", 403},
    {"not_found", 404},
    {"not_ready", 503},
    {"draining", 503},
    {"overloaded", 503},
    {"busy", 503},
    {"not_owner", 503},
    {"authority_lapsed", 503},
    {"domain_out", 503},
    {"endpoint_leaving", 503},
    {"no_endpoint", 503},
    {"deadline_unreachable", 503},
    {"deadline_exceeded", 504},
    {"retry_budget_exhausted", 503},
    {"cancelled", 499},
    {"connect_failed", 502},
    {"connection_broken", 502},
    {"silent_connection", 504},
    {"answer_mismatch", 502},
    {"token_gap", 502},
    {"endpoint_error", 502},
    {"endpoint_overloaded", 503},
    {"peer_unreachable", 502},
    {"idempotency_key_required", 400},
    {"idempotency_key_reused", 422},
    {"order_in_progress", 409},
    {"order_store_unavailable", 503},
    {"store_unavailable", 503},
    {"version_conflict", 409},
    {"invalid_configuration", 422},
    {"crashing_prompt", 503},
    {"crashing_request", 503},
}};

} // namespace

std::string_view to_string(verdict value)
{
    return name_of(verdict_names, value);
}

std::string_view to_string(reason value)
{
    return reason_table[static_cast<std::size_t>(value)].name;
}

bool from_string(std::string_view name, verdict& out)
{
    return value_of(verdict_names, name, out);
}

bool from_string(std::string_view name, reason& out)
{
    for (std::size_t i = 0; i < reason_table.size(); ++i)
    {
        if (reason_table[i].name != name)
            continue;
        out = static_cast<reason>(i);
        return true;
    }
    return false;
}

int http_status(reason value)
{
    return reason_table[static_cast<std::size_t>(value)].status;
}

} // namespace zinnianotch
