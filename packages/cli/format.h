// Text for people from the JSON answers of the administration API.
#pragma once

#include <cpprest/json.h>

#include <string>
#include <vector>

namespace zinnianotch
{

// Aligns rows in columns two spaces apart; the first row is the heading.
std::string format_table(const std::vector<std::vector<std::string>>& rows);

// Answers of docs/api.md. A member that is missing or of another type is shown as "-".
std::string format_change(const web::json::value& answer);
std::string format_differences(const web::json::value& answer); // only the changes of a change
std::string format_history(const web::json::value& answer);
std::string format_order(const web::json::value& answer);
std::string format_settled(const web::json::value& answer);
std::string format_status(const web::json::value& answer);
std::string format_vm_status(const web::json::value& answer);

} // namespace zinnianotch
