// Command line of `zinnianotch`: commands, options and help.
#pragma once

#include "state/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Exit codes of the program, documented in --help and docs/operators.md.
enum class exit_code
{
    done = 0,
    not_run = 1,      // refused or failed, and certainly not executed
    usage = 2,        // invalid command line or file
    may_have_run = 3, // possibly executed, or an error response of a service
    unreachable = 4   // no response from the server, nothing was changed
};

enum class command_id
{
    call,
    order,
    order_status,
    config_show,
    config_check,
    config_put,
    config_history,
    exception_add,
    exception_end,
    domain_out,
    domain_in,
    status,
    orders_settle,
    vm_status,
    vm_request
};

enum class output_format
{
    human,
    json
};

struct command_line
{
    command_id command = command_id::status;
    std::vector<std::string> operands; // positional arguments after the name of the command
    std::string server; // http://HOST:PORT without a trailing slash; empty if not given
    std::vector<std::string> additional_servers; // further VMs, for commands that query several
    std::string key_file;
    output_format output = output_format::human;
    bool dry_run = false;
    std::optional<std::string> input;
    std::optional<std::string> input_file;
    std::optional<std::uint32_t> deadline_ms;
    std::string key; // idempotency key
    std::string body;
    std::uint32_t limit = 20;
    std::optional<std::uint64_t> expected_version;
    std::string against; // file to compare with; empty if not given
    std::string target;
    std::string setting;
    std::uint32_t value = 0;
    std::string reason;
    std::string state;
};

// Environment variables, used for options that are not given.
struct environment
{
    std::string server; // ZINNIANOTCH_SERVER
    std::string key;    // ZINNIANOTCH_KEY
};

// Result of parsing the arguments: a command to run, or a text to print before exiting.
struct invocation
{
    std::optional<command_line> run;  // the command to run, if any
    std::string text;                 // help, version or usage error
    exit_code code = exit_code::done; // if there is no command to run
};

// Parses the arguments, without the name of the program.
invocation parse_arguments(const std::vector<std::string>& arguments, const environment& env);

// True for commands that query VMs at their metrics address, which requires no API key.
bool uses_metrics_address(command_id command);

// Returns the API key from the file of --key-file, or from the environment if the option is not
// given. A failure is a usage error.
result<std::string> load_key(const command_line& line, const environment& env);

// Reads a file, or standard input for "-".
result<std::string> read_file(const std::string& path);

} // namespace zinnianotch
