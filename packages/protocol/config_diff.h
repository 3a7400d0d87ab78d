// Differences between two configurations, and who may make them.
#pragma once

#include "state/configuration.h"
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
    std::string text;    // for people, in one line
};

std::vector<config_difference> compare(const configuration& before, const configuration& after);

// Refuses (forbidden) when the operator of a team would change something that is not its team's.
// An empty team is a fleet operator, who may change everything.
result<void> check_rights(const configuration& before, const configuration& after,
                          const std::vector<config_difference>& differences,
                          const std::string& team);

} // namespace zinnianotch
