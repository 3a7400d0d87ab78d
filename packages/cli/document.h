// Conversion of configuration files, in YAML or JSON, to the JSON document of docs/api.md and back.
#pragma once

#include "state/verdict.h"

#include <cpprest/json.h>

#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Parses the content of a file, in YAML or JSON. The type of a YAML scalar follows from the name of
// its field, not from its spelling: only fields that hold numbers or booleans are converted, so
// that an id such as 12 or no is a string without quotes. A failure has the reason
// invalid_configuration and names the line.
result<web::json::value> parse_document(const std::string& text);

// Checks a document for unknown and missing keys, wrong types and unknown names of stage kinds.
// References, ranges and permissions are checked by the server. Returns all problems found, each
// with its path in the document.
std::vector<std::string> check_schema(const web::json::value& document);

// Converts a document to YAML. parse_document converts the result back to the same document.
std::string to_yaml(const web::json::value& document);

} // namespace zinnianotch
