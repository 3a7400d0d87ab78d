// JSON codecs for the rows in the platform's table and for the request and response bodies
// exchanged with callers and endpoints.
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

// Parses a JSON text. Fails with bad_request on any syntax error, including too deep nesting.
result<json> parse_json(const std::string& text);

// Value of a field; `fallback` if `object` is not an object, or the field is absent or of another
// type.
std::string string_field(const json& object, const std::string& name, std::string fallback = {});
std::int64_t integer_field(const json& object, const std::string& name, std::int64_t fallback = 0);
bool bool_field(const json& object, const std::string& name, bool fallback = false);

std::vector<std::string> split_lines(const std::string& text);

// Parses a configuration document. Fails with invalid_configuration; the detail lists all unknown
// keys, missing fields, wrong types and unknown enumeration values, one problem per line. The
// version comes from the row key, not from the document.
result<configuration> parse_configuration(const json& document);
json write_configuration(const configuration& config);

// Row config/<version>.
struct configuration_row
{
    std::string token; // unique per write; identifies the writer's row if the answer was lost
    std::string author;
    std::string reason;               // given by the operator; empty for a whole document
    std::vector<std::string> changes; // one line per difference to the previous version
    json document;
};

result<configuration_row> parse_configuration_row(const json& value);
json write_configuration_row(const configuration_row& row);

// Row key of a configuration version, zero-padded to ten digits so that keys sort by version.
std::string configuration_key(std::uint64_t version);
// Version in a row key; 0 if it is not a valid configuration key.
std::uint64_t configuration_version(std::string_view key);

// Row view/<failure domain>. Parsing fails with store_unavailable if the row has no version.
result<domain_view> parse_view(const json& value);
json write_view(const domain_view& view);

// Row order/<account>/<key>. Parsing fails with store_unavailable if the state is missing or
// unknown.
result<order_record> parse_order(const json& value);
json write_order(const order_record& record);

// Answer of an endpoint to GET /load. Fails with bad_request if the body is not valid JSON and with
// endpoint_error if the phase is missing or unknown.
result<load_report> parse_load_report(const std::string& body);

// Body of an error answer: {"error":{"reason","verdict","message","request"}}, with
// "current_version" if the failure has one. For invalid_configuration, the lines of the detail are
// also listed as "problems".
std::string error_body(const failure& cause, std::string_view request);

} // namespace zinnianotch
