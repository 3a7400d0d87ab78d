#include "cli/format.h"

#include <algorithm>

namespace zinnianotch
{

namespace
{

// Returns a member as text, or "-" if it is missing: older or newer servers may not send it.
std::string member_text(const web::json::value& object, const std::string& name)
{
    if (!object.is_object() || !object.has_field(name))
        return "-";
    const web::json::value& value = object.at(name);
    if (value.is_string())
        return value.as_string().empty() ? "-" : value.as_string();
    return value.serialize();
}

const web::json::value& child_or_null(const web::json::value& object, const std::string& name)
{
    static const web::json::value none;
    return object.is_object() && object.has_field(name) ? object.at(name) : none;
}

std::vector<web::json::value> items(const web::json::value& object, const std::string& name)
{
    const web::json::value& list = child_or_null(object, name);
    if (!list.is_array())
        return {};
    return {list.as_array().begin(), list.as_array().end()};
}

std::string join(const std::vector<web::json::value>& list, const std::string& separator)
{
    std::string text;
    for (const web::json::value& item : list)
    {
        text += text.empty() ? "" : separator;
        text += item.is_string() ? item.as_string() : item.serialize();
    }
    return text.empty() ? "-" : text;
}

bool is_true(const web::json::value& object, const std::string& name)
{
    const web::json::value& value = child_or_null(object, name);
    return value.is_boolean() && value.as_bool();
}

// Returns the text for a boolean member, or "-" if it is missing, so that an older server does not
// appear to report a fault.
std::string boolean_text(const web::json::value& object, const std::string& name,
                         const std::string& if_true, const std::string& if_false)
{
    if (!child_or_null(object, name).is_boolean())
        return "-";
    return is_true(object, name) ? if_true : if_false;
}

// Formats counters in descending order. Example: "refusals: busy 12, draining 1".
std::string format_counts(const std::string& title, const web::json::value& counts)
{
    std::vector<std::pair<std::uint64_t, std::string>> sorted;
    if (counts.is_object())
        for (const auto& [name, value] : counts.as_object())
            if (value.is_number() && value.as_number().is_uint64())
                sorted.emplace_back(value.as_number().to_uint64(), name);
    std::sort(sorted.begin(), sorted.end(),
              [](const auto& a, const auto& b)
              { return a.first != b.first ? a.first > b.first : a.second < b.second; });
    std::string text;
    for (const auto& [count, name] : sorted)
        text += (text.empty() ? "" : ", ") + name + " " + std::to_string(count);
    return title + ": " + (text.empty() ? "none" : text) + "\n";
}

std::string format_rows(const std::vector<web::json::value>& list,
                        const std::vector<std::string>& header,
                        const std::vector<std::string>& members)
{
    std::vector<std::vector<std::string>> rows = {header};
    for (const web::json::value& item : list)
    {
        std::vector<std::string> row;
        row.reserve(members.size());
        for (const std::string& name : members)
            row.push_back(member_text(item, name));
        rows.push_back(std::move(row));
    }
    return format_table(rows);
}

} // namespace

std::string format_table(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const std::vector<std::string>& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const std::vector<std::string>& row : rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            text += row[i];
            if (i + 1 < row.size())
                text.append(widths[i] - row[i].size() + 2, ' ');
        }
        text += "\n";
    }
    return text;
}

std::string format_change(const web::json::value& response)
{
    const std::string version = member_text(response, "version");
    if (items(response, "changes").empty())
        return "nothing to change, version " + version + " stays in effect\n";
    std::string text = is_true(response, "dry_run") ? "dry run, would become version " + version
                                                    : "accepted as version " + version;
    if (child_or_null(response, "id").is_string())
        text += ", exception " + member_text(response, "id");
    return text + "\n" + format_change_list(response);
}

std::string format_change_list(const web::json::value& response)
{
    std::string text;
    for (const web::json::value& change : items(response, "changes"))
        text += "  " + (change.is_string() ? change.as_string() : change.serialize()) + "\n";
    return text;
}

std::string format_history(const web::json::value& response)
{
    std::vector<std::vector<std::string>> rows = {{"VERSION", "AUTHOR", "REASON", "CHANGES"}};
    for (const web::json::value& entry : items(response, "versions"))
        rows.push_back({member_text(entry, "version"), member_text(entry, "author"),
                        member_text(entry, "reason"), join(items(entry, "changes"), "; ")});
    return format_table(rows);
}

std::string format_order(const web::json::value& response)
{
    std::string text =
        "order " + member_text(response, "key") + ": " + member_text(response, "state");
    const std::string state = member_text(response, "state");
    if (state == "started")
        text += " (may have run; retry with the same key, or ask the operator to settle it)";
    if (state == "not_run")
        text += " (can be retried with this key)";
    if (state == "ran")
        text +=
            ", status " + member_text(response, "status") + "\n" + member_text(response, "answer");
    return text + "\n";
}

std::string format_settle_result(const web::json::value& response)
{
    const std::string state = member_text(response, "state");
    const std::string previous_state = member_text(response, "previous_state");
    std::string text = "order " + member_text(response, "key") + " of account " +
                       member_text(response, "account") + ": ";
    if (state == previous_state)
        return text + "already " + state + ", nothing to change\n";
    text += is_true(response, "dry_run") ? "dry run, would go from " : "settled from ";
    return text + previous_state + " to " + state + "\n";
}

std::string format_status(const web::json::value& response)
{
    const web::json::value& vm = child_or_null(response, "vm");
    const web::json::value& configuration = child_or_null(response, "configuration");
    const web::json::value& view = child_or_null(response, "view");
    std::string text = "vm " + member_text(vm, "name") + ", " + member_text(vm, "state") +
                       ", failure domain " + member_text(vm, "failure_domain") + ", in flight " +
                       member_text(vm, "in_flight") + "\n";
    text += "configuration version " + member_text(configuration, "version") + " by " +
            member_text(configuration, "author") + "\n";
    text += "view version " + member_text(view, "version") + ", authority " +
            boolean_text(view, "authority_current", "current", "LAPSED") + ", members " +
            join(items(view, "members"), " ") + ", former " + join(items(view, "former"), " ") +
            "\n\n";
    std::vector<std::vector<std::string>> peers = {
        {"PEER", "DOMAIN", "ADDRESS", "STATE", "REACHABLE", "CONFIGURATION"}};
    for (const web::json::value& peer : items(response, "peers"))
        peers.push_back({member_text(peer, "vm"), member_text(peer, "failure_domain"),
                         member_text(peer, "address"), member_text(peer, "state"),
                         boolean_text(peer, "reachable", "yes", "NO"),
                         member_text(peer, "configuration_version")});
    text += format_table(peers) + "\n";
    text += format_rows(items(response, "endpoints"),
                        {"ENDPOINT", "POOL", "DOMAIN", "OWNER", "PHASE", "IN FLIGHT", "LIMIT"},
                        {"id", "pool", "failure_domain", "owner", "phase", "in_flight", "limit"});
    text += "\n" + format_counts("refusals", child_or_null(response, "refusals"));
    return text + format_counts("retries", child_or_null(response, "retries"));
}

std::string format_vm_status(const web::json::value& response)
{
    std::string text = "vm " + member_text(response, "vm") + ", " + member_text(response, "state") +
                       ", failure domain " + member_text(response, "failure_domain") +
                       ", active requests " + member_text(response, "requests_in_hand") + "\n";
    text += "desired state version " + member_text(response, "desired_version") +
            " in effect for " + member_text(response, "desired_ms") + " ms, domains out " +
            join(items(response, "domains_out"), " ") + "\n";
    text += "VMs listed " + join(items(response, "vms"), " ") + ", links up " +
            member_text(response, "links_up") + ", " +
            boolean_text(response, "relay", "reads the store for other VMs", "not a relay") +
            ", batches stage queues " + join(items(response, "gathers"), " ") + "\n\n";
    std::vector<std::vector<std::string>> tables = {
        {"TABLE", "REVISION", "CURRENT", "SOURCE", "LAST ANSWER MS AGO"}};
    for (const web::json::value& table : items(response, "tables"))
    {
        const std::string revision = member_text(table, "revision");
        const bool never_read = revision == "0"; // answered_ms_ago is undefined
        tables.push_back({member_text(table, "name"), revision,
                          boolean_text(table, "in_touch", "yes", "NO"),
                          member_text(table, "source"),
                          never_read ? "-" : member_text(table, "answered_ms_ago")});
    }
    text += format_table(tables) + "\n";
    if (const auto parts = items(response, "held_prompt_parts"); !parts.empty())
        text += "held prompt parts " + join(parts, " ") + "\n\n";
    if (const auto rollouts = items(response, "rollouts"); !rollouts.empty())
        text += format_rows(rollouts, {"ROLLOUT", "VERSION", "PHASE", "AGE MS"},
                            {"service", "version", "phase", "age_ms"}) +
                "\n";
    if (const auto held = items(response, "held_requests"); !held.empty())
        text += format_rows(held, {"HELD REQUEST", "ROUTE", "CRASHES", "HELD MS"},
                            {"digest", "route", "crashes", "held_ms"}) +
                "\n";
    text += format_rows(items(response, "endpoints"),
                        {"ENDPOINT", "SERVICE", "DOMAIN", "ADDRESS", "USE", "IN FLIGHT", "LOAD"},
                        {"id", "service", "failure_domain", "address", "use", "in_flight", "load"});
    text += "\n" + format_counts("refusals", child_or_null(response, "refusals"));
    return text + format_counts("retries", child_or_null(response, "retries"));
}

} // namespace zinnianotch
