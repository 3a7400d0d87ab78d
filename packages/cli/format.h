// Human-readable output of the JSON responses of the API.
#pragma once

#include <cpprest/json.h>

#include <string>
#include <vector>

namespace zinnianotch
{

// Aligns the cells of the rows in columns, separated by at least two spaces. The first row is the
// header.
std::string format_table(const std::vector<std::vector<std::string>>& rows);

// Format the responses specified in docs/api.md. Missing members are shown as "-", and so are
// booleans and lists of values that have another type.
std::string format_change(const web::json::value& response);
std::string format_change_list(const web::json::value& response); // without the version
std::string format_history(const web::json::value& response);
std::string format_order(const web::json::value& response);
std::string format_settle_result(const web::json::value& response);
std::string format_status(const web::json::value& response);
std::string format_vm_status(const web::json::value& response);

} // namespace zinnianotch
