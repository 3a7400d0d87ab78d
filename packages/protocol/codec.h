// JSON codecs of the rows in the platform's table and of the bodies that callers and endpoints see.
#pragma once

#include "state/admission.h"
#include "state/configuration.h"
#include "state/orders.h"
#include "state/verdict.h"
#include "state/view.h"

#include <cpprest/json.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

using json = web::json::value;

// Parses a JSON text; every syntax error, also a nesting that is too deep, becomes bad_request.
result<json> parse_json(const std::string& text);

// Fields of an object; the fallback is returned when the field is absent or of another type.
std::string string_field(const json& object, const std::string& name, std::string fallback = {});
std::int64_t integer_field(const json& object, const std::string& name, std::int64_t fallback = 0);
bool bool_field(const json& object, const std::string& name, bool fallback = false);

// A configuration document. Unknown keys, wrong types and unknown names are reported together in
// the detail of the failure, one problem a line. The version is not part of a document.
result<configuration> parse_configuration(const json& document);
json write_configuration(const configuration& config);

// Row config/<version>.
struct configuration_row
{
    std::string token; // unique per write, settles a lost answer
    std::string author;
    std::string reason;               // the operator's, empty for a whole document
    std::vector<std::string> changes; // one line for each difference to the version before
    json document;
};

result<configuration_row> parse_configuration_row(const json& value);
json write_configuration_row(const configuration_row& row);

// Row key of a configuration version; ten digits keep the rows in order.
std::string configuration_key(std::uint64_t version);
// Version of a row key; zero when the key is not a configuration key.
std::uint64_t configuration_version(std::string_view key);

// Row view/<failure domain>.
result<domain_view> parse_view(const json& value);
json write_view(const domain_view& view);

// Row order/<account>/<key>.
result<order_record> parse_order(const json& value);
json write_order(const order_record& record);

// Answer of an endpoint to GET /load.
result<load_report> parse_load_report(const std::string& body);

// Body of an error answer: {"error":{"reason","verdict","message","request"}}. The detail of
// invalid_configuration has one problem a line, which are listed as "problems" too.
std::string error_body(const failure& why, std::string_view request);

} // namespace zinnianotch
