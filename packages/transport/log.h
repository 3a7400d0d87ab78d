// Structured logs on standard error: one line of key=value pairs for each event.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace zinnianotch
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

std::string_view to_string(log_level value);
bool from_string(std::string_view name, log_level& out);

// One pair of a log line; the value is quoted when it holds spaces, quotes or control characters.
using log_field = std::pair<std::string_view, std::string>;

// Sets the least level that is written and the VM name that each line carries.
void configure_log(log_level least, std::string vm);

// Writes one line: time, level, vm, event, then the fields in order. Keys of callers and
// operators must never be passed in.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace zinnianotch
