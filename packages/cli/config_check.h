// Check of a configuration file before it is sent, without a server: faults, and differences from
// another file. Takes the product's configuration (YAML or JSON) and a desired state of the serving
// path.
#pragma once

#include "protocol/config_diff.h"
#include "state/config_findings.h"

#include <cpprest/json.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace zinnianotch
{

// A configuration file as far as it could be read.
struct config_file
{
    std::vector<std::string> problems; // why it cannot be read, with the place in the file
    std::variant<std::monostate, configuration, serving_state> content;
    std::optional<web::json::value> document; // of the product's configuration
};

config_file read_config_file(const std::string& text);

// Faults of the file's content; none for a file that could not be read.
std::vector<config_finding> find_faults(const config_file& file);
// Differences of the contents, or nothing if they are of different formats.
std::optional<std::vector<config_difference>> compare(const config_file& before,
                                                      const config_file& after);

std::string format_findings(const std::vector<config_finding>& findings);
web::json::value to_json(const std::vector<config_finding>& findings);

} // namespace zinnianotch
