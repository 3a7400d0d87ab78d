// Configuration documents in files: YAML or JSON in, the JSON document of docs/api.md out.
#pragma once

#include "state/verdict.h"

#include <cpprest/json.h>

#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Converts the text of a file, YAML or JSON, to the JSON document. Values of YAML become numbers
// or booleans by the name of their field and stay texts otherwise, so that a name such as 12 or
// "no" needs no quotes. The failure is invalid_configuration and names the line.
result<web::json::value> parse_document(const std::string& text);

// Checks the shape of a document: unknown and missing keys, types and names of enumerations.
// References, ranges and rights are checked by the server. Returns every problem found.
std::vector<std::string> check_shape(const web::json::value& document);

// Writes a document as YAML that parse_document reads back to the same document.
std::string to_yaml(const web::json::value& document);

} // namespace zinnianotch
