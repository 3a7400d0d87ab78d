// Structured logging: one line of key=value pairs per event.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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

// Key and value of a log line. Empty values, and values with spaces, quotes, '=', backslashes or
// control characters, are quoted.
using log_field = std::pair<std::string_view, std::string>;

enum class log_stream
{
    standard_error, // for commands, which print their results to standard output
    standard_output // for servers
};

// Maximum number of lines that a server writes per second; further ones are counted, and the next
// line reports the count. A request logs one to three lines, so this covers 100 requests per second
// on one VM.
inline constexpr std::uint32_t server_log_lines_per_second = 300;
inline constexpr std::uint32_t unlimited_log_lines = 0;
// Memory limit of the recent log lines that request_log_lines() searches. At 400 bytes per line and
// two lines per request, they cover about 20 s of a VM's share of a burst of requests that is
// spread evenly over the VMs.
inline constexpr std::size_t request_log_bytes = 256 * 1024;

// Sets the minimum level that is written, the VM name included in each line, the output stream and
// the maximum number of lines per second.
void configure_log(log_level min_level, std::string vm,
                   log_stream stream = log_stream::standard_error,
                   std::uint32_t lines_per_second = unlimited_log_lines);

// Writes one line: time, level, vm, event, then the fields in order. API keys of callers and
// operators must never be passed.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

// Retains the latest log lines with a field `request`, up to `max_bytes`. Initially none are
// retained.
void set_request_log_limit(std::size_t max_bytes);

// The retained lines whose field `request` has this value, oldest first, including those that the
// rate limit suppressed.
std::vector<std::string> request_log_lines(std::string_view request);

} // namespace zinnianotch
