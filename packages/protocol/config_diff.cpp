#include "protocol/config_diff.h"

#include "protocol/codec.h"

#include <initializer_list>
#include <map>
#include <string_view>

namespace zinnianotch
{

namespace
{

struct section_spec
{
    std::string name;
    std::string id_field;
};

const std::vector<section_spec>& sections()
{
    static const std::vector<section_spec> all = {{"pipelines", "name"}, {"pools", "name"},
                                                  {"services", "name"},  {"accounts", "name"},
                                                  {"domains", "id"},     {"exceptions", "id"}};
    return all;
}

// Serialized entries of a section by name or id.
std::map<std::string, std::string> entries_by_id(const json& document, const section_spec& spec)
{
    std::map<std::string, std::string> entries;
    for (const json& entry : document.at(spec.name).as_array())
        entries[string_field(entry, spec.id_field)] = entry.serialize();
    return entries;
}

config_difference make_difference(const std::string& section_name, const std::string& id,
                                  std::initializer_list<std::string_view> parts)
{
    config_difference out{section_name, id, section_name};
    out.text.append(": ").append(id);
    for (const std::string_view part : parts)
        out.text.append(part);
    return out;
}

void compare_section(const json& before, const json& after, const section_spec& spec,
                     std::vector<config_difference>& out)
{
    const auto old_entries = entries_by_id(before, spec);
    const auto new_entries = entries_by_id(after, spec);
    for (const auto& [id, text] : old_entries)
    {
        const auto found = new_entries.find(id);
        if (found == new_entries.end())
            out.push_back(make_difference(spec.name, id, {" removed"}));
        else if (found->second != text)
            out.push_back(make_difference(spec.name, id, {" ", text, " -> ", found->second}));
    }
    for (const auto& [id, text] : new_entries)
    {
        if (!old_entries.contains(id))
            out.push_back(make_difference(spec.name, id, {" added ", text}));
    }
}

const exception_config* find_exception(const configuration& config, const std::string& id)
{
    for (const exception_config& exception : config.exceptions)
    {
        if (exception.id == id)
            return &exception;
    }
    return nullptr;
}

// Name of the pool that an exception's target refers to, directly or by one of its endpoints; empty
// if there is none.
std::string pool_of_target(const configuration& config, const std::string& target)
{
    if (target.starts_with("pool:"))
        return target.substr(5);
    if (!target.starts_with("endpoint:"))
        return {};
    const std::string id = target.substr(9);
    for (const pool_config& pool : config.pools)
    {
        for (const endpoint_config& endpoint : pool.endpoints)
        {
            if (endpoint.id == id)
                return pool.name;
        }
    }
    return {};
}

// True if the pool serves at least one pipeline of the team, and neither a service nor a pipeline
// of another team.
bool is_pool_of_team(const configuration& config, const std::string& pool, const std::string& team)
{
    for (const service_config& service : config.services)
    {
        if (service.pool == pool)
            return false;
    }
    bool used = false;
    for (const pipeline_config& pipeline : config.pipelines)
    {
        for (const stage_config& stage : pipeline.stages)
        {
            if (stage.pool != pool)
                continue;
            if (pipeline.team != team)
                return false;
            used = true;
        }
    }
    return used;
}

bool may_change_pipeline(const configuration& before, const configuration& after,
                         const std::string& name, const std::string& team)
{
    const pipeline_config* old_pipeline = find_pipeline(before, name);
    const pipeline_config* new_pipeline = find_pipeline(after, name);
    return (old_pipeline == nullptr || old_pipeline->team == team) &&
           (new_pipeline == nullptr || new_pipeline->team == team);
}

bool may_change_exception(const configuration& before, const configuration& after,
                          const std::string& id, const std::string& team)
{
    for (const exception_config* exception :
         {find_exception(before, id), find_exception(after, id)})
    {
        if (exception == nullptr)
            continue;
        if (!is_pool_of_team(before, pool_of_target(before, exception->target), team))
            return false;
    }
    return true;
}

} // namespace

std::vector<config_difference> compare(const configuration& before, const configuration& after)
{
    const json old_document = write_configuration(before);
    const json new_document = write_configuration(after);
    std::vector<config_difference> differences;
    const std::string old_defaults = old_document.at("defaults").serialize();
    const std::string new_defaults = new_document.at("defaults").serialize();
    if (old_defaults != new_defaults)
        differences.push_back(
            {"defaults", "", "defaults: " + old_defaults + " -> " + new_defaults});
    for (const section_spec& spec : sections())
        compare_section(old_document, new_document, spec, differences);
    return differences;
}

result<void> check_rights(const configuration& before, const configuration& after,
                          const std::vector<config_difference>& differences,
                          const std::string& team)
{
    if (team.empty())
        return outcome::success();
    for (const config_difference& difference : differences)
    {
        bool allowed = false;
        if (difference.section == "pipelines")
            allowed = may_change_pipeline(before, after, difference.id, team);
        if (difference.section == "exceptions")
            allowed = may_change_exception(before, after, difference.id, team);
        if (!allowed)
            return not_run(reason::forbidden,
                           "team " + team + " may not make this change: " + difference.text);
    }
    return outcome::success();
}

} // namespace zinnianotch
