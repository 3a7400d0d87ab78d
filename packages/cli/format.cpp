#include "cli/format.h"

#include <algorithm>

namespace zinnianotch
{

namespace
{

// A member as text; "-" when it is absent, so that a newer or older server breaks no output.
std::string member(const web::json::value& object, const std::string& name)
{
    if (!object.is_object() || !object.has_field(name))
        return "-";
    const web::json::value& value = object.at(name);
    if (value.is_string())
        return value.as_string().empty() ? "-" : value.as_string();
    return value.serialize();
}

const web::json::value& child(const web::json::value& object, const std::string& name)
{
    static const web::json::value none;
    return object.is_object() && object.has_field(name) ? object.at(name) : none;
}

std::vector<web::json::value> items(const web::json::value& object, const std::string& name)
{
    const web::json::value& list = child(object, name);
    if (!list.is_array())
        return {};
    return {list.as_array().begin(), list.as_array().end()};
}

std::string joined(const std::vector<web::json::value>& list, const std::string& separator)
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
    const web::json::value& value = child(object, name);
    return value.is_boolean() && value.as_bool();
}

// A boolean member in words; "-" when it is absent, so that an old server raises no alarm.
std::string flag(const web::json::value& object, const std::string& name, const std::string& yes,
                 const std::string& no)
{
    if (!child(object, name).is_boolean())
        return "-";
    return is_true(object, name) ? yes : no;
}

// "refusals: busy 12, draining 1", the most frequent first.
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
                        const std::vector<std::string>& heading,
                        const std::vector<std::string>& members)
{
    std::vector<std::vector<std::string>> rows = {heading};
    for (const web::json::value& item : list)
    {
        std::vector<std::string> row;
        row.reserve(members.size());
        for (const std::string& name : members)
            row.push_back(member(item, name));
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

std::string format_change(const web::json::value& answer)
{
    const std::string version = member(answer, "version");
    if (items(answer, "changes").empty())
        return "nothing to change, version " + version + " stays in effect\n";
    std::string text = is_true(answer, "dry_run") ? "dry run, would become version " + version
                                                  : "accepted as version " + version;
    if (child(answer, "id").is_string())
        text += ", exception " + member(answer, "id");
    return text + "\n" + format_differences(answer);
}

std::string format_differences(const web::json::value& answer)
{
    std::string text;
    for (const web::json::value& change : items(answer, "changes"))
        text += "  " + (change.is_string() ? change.as_string() : change.serialize()) + "\n";
    return text;
}

std::string format_history(const web::json::value& answer)
{
    std::vector<std::vector<std::string>> rows = {{"VERSION", "AUTHOR", "REASON", "CHANGES"}};
    for (const web::json::value& entry : items(answer, "versions"))
        rows.push_back({member(entry, "version"), member(entry, "author"), member(entry, "reason"),
                        joined(items(entry, "changes"), "; ")});
    return format_table(rows);
}

std::string format_order(const web::json::value& answer)
{
    std::string text = "order " + member(answer, "key") + ": " + member(answer, "state");
    const std::string state = member(answer, "state");
    if (state == "started")
        text += " (may have run; repeat with the same key, or ask the operator to settle it)";
    if (state == "not_run")
        text += " (may be placed again with this key)";
    if (state == "ran")
        text += ", status " + member(answer, "status") + "\n" + member(answer, "answer");
    return text + "\n";
}

std::string format_settled(const web::json::value& answer)
{
    const std::string state = member(answer, "state");
    const std::string before = member(answer, "previous_state");
    std::string text =
        "order " + member(answer, "key") + " of account " + member(answer, "account") + ": ";
    if (state == before)
        return text + "already " + state + ", nothing to change\n";
    text += is_true(answer, "dry_run") ? "dry run, would go from " : "settled from ";
    return text + before + " to " + state + "\n";
}

std::string format_status(const web::json::value& answer)
{
    const web::json::value& vm = child(answer, "vm");
    const web::json::value& configuration = child(answer, "configuration");
    const web::json::value& view = child(answer, "view");
    std::string text = "vm " + member(vm, "name") + ", " + member(vm, "state") +
                       ", failure domain " + member(vm, "failure_domain") + ", in flight " +
                       member(vm, "in_flight") + "\n";
    text += "configuration version " + member(configuration, "version") + " by " +
            member(configuration, "author") + "\n";
    text += "view version " + member(view, "version") + ", authority " +
            flag(view, "authority_current", "current", "LAPSED") + ", members " +
            joined(items(view, "members"), " ") + ", former " + joined(items(view, "former"), " ") +
            "\n\n";
    std::vector<std::vector<std::string>> peers = {
        {"PEER", "DOMAIN", "ADDRESS", "STATE", "REACHABLE", "CONFIGURATION"}};
    for (const web::json::value& peer : items(answer, "peers"))
        peers.push_back({member(peer, "vm"), member(peer, "failure_domain"),
                         member(peer, "address"), member(peer, "state"),
                         flag(peer, "reachable", "yes", "NO"),
                         member(peer, "configuration_version")});
    text += format_table(peers) + "\n";
    text += format_rows(items(answer, "endpoints"),
                        {"ENDPOINT", "POOL", "DOMAIN", "OWNER", "PHASE", "IN FLIGHT", "LIMIT"},
                        {"id", "pool", "failure_domain", "owner", "phase", "in_flight", "limit"});
    text += "\n" + format_counts("refusals", child(answer, "refusals"));
    return text + format_counts("retries", child(answer, "retries"));
}

std::string format_vm_status(const web::json::value& answer)
{
    std::string text = "vm " + member(answer, "vm") + ", " + member(answer, "state") +
                       ", failure domain " + member(answer, "failure_domain") + ", in hand " +
                       member(answer, "requests_in_hand") + "\n";
    text += "desired state version " + member(answer, "desired_version") + " in force for " +
            member(answer, "desired_ms") + " ms, domains out " +
            joined(items(answer, "domains_out"), " ") + "\n";
    text += "VMs listed " + joined(items(answer, "vms"), " ") + ", links up " +
            member(answer, "links_up") + ", gathers " + joined(items(answer, "gathers"), " ") +
            "\n\n";
    std::vector<std::vector<std::string>> tables = {
        {"TABLE", "REVISION", "STORE ANSWERS", "LAST ANSWER MS AGO"}};
    for (const web::json::value& table : items(answer, "tables"))
    {
        const std::string revision = member(table, "revision");
        const bool never_read = revision == "0"; // the time of the last answer means nothing yet
        tables.push_back({member(table, "name"), revision, flag(table, "in_touch", "yes", "NO"),
                          never_read ? "-" : member(table, "answered_ms_ago")});
    }
    text += format_table(tables) + "\n";
    text += format_rows(items(answer, "endpoints"),
                        {"ENDPOINT", "SERVICE", "DOMAIN", "ADDRESS", "USE", "IN FLIGHT", "LOAD"},
                        {"id", "service", "failure_domain", "address", "use", "in_flight", "load"});
    text += "\n" + format_counts("refusals", child(answer, "refusals"));
    return text + format_counts("retries", child(answer, "retries"));
}

} // namespace zinnianotch
