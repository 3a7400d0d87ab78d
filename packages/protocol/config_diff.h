// Differences between two configurations, and the check whether an operator may make them.
#pragma once

#include "state/configuration.h"
#include "state/serving.h"
#include "state/verdict.h"

#include <string>
#include <vector>

namespace zinnianotch
{

// One entry that was added, removed or changed.
struct config_difference
{
    std::string section; // "pipelines", "pools", ...
    std::string id;      // name or id of the entry, empty for the defaults
    std::string text;    // one-line description for operators
};

// Differences by section, the defaults first. Entries are matched by name or id.
std::vector<config_difference> compare(const configuration& before, const configuration& after);
// The same for two desired states of the serving path. Never holds an API key.
std::vector<config_difference> compare(const serving_state& before, const serving_state& after);

// Fails with forbidden if an operator of `team` changes anything but the team's pipelines and
// exceptions for pools that serve only the team's pipelines. An empty team stands for a fleet
// operator, who may change everything.
result<void> check_rights(const configuration& before, const configuration& after,
                          const std::vector<config_difference>& differences,
                          const std::string& team);

} // namespace zinnianotch
