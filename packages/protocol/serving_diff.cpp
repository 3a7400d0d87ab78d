#include "protocol/config_diff.h"

#include "state/time_text.h"

#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace zinnianotch
{

namespace
{

// Fields of an entry by their names, as texts for operators.
using field_texts = std::vector<std::pair<std::string, std::string>>;

std::string number_text(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.'))
        text.pop_back();
    return text;
}

std::string services_text(const std::vector<weighted_service>& services)
{
    std::string text;
    for (const weighted_service& entry : services)
        text += (text.empty() ? "" : ", ") + entry.service + " " + std::to_string(entry.weight);
    return text;
}

std::string stages_text(const std::vector<stage_spec>& stages)
{
    std::string text;
    for (const stage_spec& stage : stages)
    {
        text += (text.empty() ? "" : ", ") + stage.service + " (after";
        for (const std::uint32_t before : stage.after)
            text += " " + std::to_string(before);
        text += "; " + std::to_string(stage.result_bytes) + " bytes)";
    }
    return text;
}

field_texts fields_of(const route_spec& route)
{
    return {{"host", route.host},
            {"prefix", route.prefix},
            {"kind", std::string(to_string(route.kind))},
            {"resumable", route.resumable ? "yes" : "no"},
            {"anonymous", route.anonymous ? "yes" : "no"},
            {"priority", std::to_string(route.priority)},
            {"attempts", std::to_string(route.attempts)},
            {"timeout", ms_text(route.timeout)},
            {"goal", ms_text(route.goal)},
            {"services", services_text(route.services)},
            {"stages", stages_text(route.stages)}};
}

field_texts fields_of(const service_spec& service)
{
    field_texts fields{{"connections", std::to_string(service.max_connections)},
                       {"warm-up", ms_text(service.warm_up)},
                       {"cold rate", number_text(service.cold_rate)},
                       {"slots", std::to_string(service.slots)},
                       {"engine", service.generates ? "yes" : "no"},
                       {"engine memory", std::to_string(service.memory_tokens) + " tokens"},
                       {"tokens per event", std::to_string(service.tokens_per_event)}};
    if (!service.batch)
        return fields;
    const batch_spec& batch = *service.batch;
    fields.insert(fields.end(),
                  {{"batch", std::to_string(batch.batch)},
                   {"calls", std::to_string(batch.slots)},
                   {"call time", ms_text(batch.call_time)},
                   {"piece time", number_text(batch.piece_time_ms) + " ms"},
                   {"result memory", std::to_string(batch.result_memory_bytes) + " bytes"},
                   {"result lifetime", ms_text(batch.result_lifetime)}});
    return fields;
}

field_texts fields_of(const client_limits& limits)
{
    return {{"header bytes", std::to_string(limits.header_bytes)},
            {"body bytes", std::to_string(limits.body_bytes)},
            {"header timeout", ms_text(limits.header_timeout)},
            {"idle timeout", ms_text(limits.idle_timeout)}};
}

// Texts of the fields that differ, such as "timeout 6000 ms -> 5000 ms". A field that only one side
// has is empty on the other.
std::string changed_fields(const field_texts& before, const field_texts& after)
{
    std::map<std::string, std::pair<std::string, std::string>> values;
    std::vector<std::string> order;
    for (const auto& [name, value] : before)
    {
        values[name].first = value;
        order.push_back(name);
    }
    for (const auto& [name, value] : after)
    {
        if (!values.contains(name))
            order.push_back(name);
        values[name].second = value;
    }
    std::string text;
    for (const std::string& name : order)
    {
        const auto& [old_value, new_value] = values[name];
        if (old_value == new_value)
            continue;
        text.append(text.empty() ? " " : ", ").append(name).append(" ");
        text.append(old_value.empty() ? "none" : old_value).append(" -> ");
        text.append(new_value.empty() ? "none" : new_value);
    }
    return text;
}

using entry_texts = std::map<std::string, field_texts>;

config_difference make_difference(const std::string& section, const std::string& name,
                                  std::string_view change)
{
    config_difference out{section, name, section};
    out.text.append(": ").append(name).append(change);
    return out;
}

void compare_entries(const std::string& section, const entry_texts& before,
                     const entry_texts& after, std::vector<config_difference>& out)
{
    for (const auto& [name, fields] : before)
    {
        const auto found = after.find(name);
        if (found == after.end())
        {
            out.push_back(make_difference(section, name, " removed"));
            continue;
        }
        const std::string changes = changed_fields(fields, found->second);
        if (!changes.empty())
            out.push_back(make_difference(section, name, changes));
    }
    for (const auto& [name, fields] : after)
    {
        if (!before.contains(name))
            out.push_back(make_difference(section, name, " added" + changed_fields({}, fields)));
    }
}

entry_texts routes_of(const serving_state& state)
{
    entry_texts entries;
    for (const route_spec& route : state.routes)
        entries[route.name] = fields_of(route);
    return entries;
}

entry_texts services_of(const serving_state& state)
{
    entry_texts entries;
    for (const auto& [name, service] : state.services)
        entries[name] = fields_of(service);
    return entries;
}

struct account_entry
{
    std::string priority;
    std::set<std::string> keys;
};

std::map<std::string, account_entry> accounts_of(const serving_state& state)
{
    std::map<std::string, account_entry> entries;
    for (const client_account& account : state.accounts)
        entries[account.name].priority = account.priority ? std::to_string(*account.priority) : "";
    for (const auto& [key, index] : state.account_by_key)
        entries[state.accounts[index].name].keys.insert(key);
    return entries;
}

// Keys are secret: only their number is told.
void compare_accounts(const serving_state& before, const serving_state& after,
                      std::vector<config_difference>& out)
{
    const std::string section = "accounts";
    const auto old_entries = accounts_of(before);
    const auto new_entries = accounts_of(after);
    for (const auto& [name, entry] : old_entries)
    {
        if (!new_entries.contains(name))
            out.push_back(make_difference(section, name, " removed"));
    }
    for (const auto& [name, entry] : new_entries)
    {
        const auto found = old_entries.find(name);
        if (found == old_entries.end())
        {
            out.push_back(make_difference(
                section, name, " added with " + std::to_string(entry.keys.size()) + " keys"));
            continue;
        }
        std::size_t kept = 0;
        for (const std::string& key : entry.keys)
            kept += found->second.keys.contains(key) ? 1 : 0;
        std::string text =
            changed_fields({{"priority", found->second.priority}}, {{"priority", entry.priority}});
        const std::size_t added = entry.keys.size() - kept;
        const std::size_t removed = found->second.keys.size() - kept;
        if (added + removed > 0)
            text += (text.empty() ? " " : ", ") + std::to_string(added) + " keys added, " +
                    std::to_string(removed) + " removed";
        if (!text.empty())
            out.push_back(make_difference(section, name, text));
    }
}

} // namespace

std::vector<config_difference> compare(const serving_state& before, const serving_state& after)
{
    std::vector<config_difference> differences;
    const std::string limits = changed_fields(fields_of(before.limits), fields_of(after.limits));
    if (!limits.empty())
        differences.push_back({"limits", "", "limits:" + limits});
    compare_entries("routes", routes_of(before), routes_of(after), differences);
    compare_entries("services", services_of(before), services_of(after), differences);
    compare_accounts(before, after, differences);
    return differences;
}

} // namespace zinnianotch
