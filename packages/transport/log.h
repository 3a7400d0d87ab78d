// Structured logs: one line of key=value pairs for each event.
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

// One pair of a log line; the value is quoted when it holds spaces, quotes or control characters.
using log_field = std::pair<std::string_view, std::string>;

enum class log_stream
{
    standard_error, // of commands, whose standard output belongs to their result
    standard_output // of servers
};

// Most lines a second that a server writes; more are counted and reported with the next line. A
// request takes one to three lines, so this covers 100 requests a second of one VM.
inline constexpr std::uint32_t server_lines_per_second = 300;
inline constexpr std::uint32_t unlimited_lines = 0;
// Room for the latest lines that name a request, for request_lines(). At 400 bytes a line and two
// lines a request it covers about 20 s of a VM's even share of a burst.
inline constexpr std::size_t trail_bytes = 256 * 1024;

// Sets the least level that is written, the VM name that each line carries, where lines go, and how
// many are written in a second.
void configure_log(log_level least, std::string vm, log_stream stream = log_stream::standard_error,
                   std::uint32_t lines_per_second = unlimited_lines);

// Writes one line: time, level, vm, event, then the fields in order. Keys of callers and
// operators must never be passed in.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

// Keeps the latest lines that name a request, up to so many bytes; at the start none are kept.
void keep_request_lines(std::size_t most_bytes);

// The latest kept lines with the field `request` of this value, also those that the bound on output
// held back.
std::vector<std::string> request_lines(std::string_view request);

} // namespace zinnianotch
