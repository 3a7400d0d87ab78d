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

// Exit codes of the program; documented in --help and docs/operators.md.
enum class exit_code
{
    done = 0,
    not_run = 1, // refused or failed, and certainly not executed
    usage = 2,   // wrong command line or invalid file
    may_have_run = 3,
    unreachable = 4 // the server did not answer, nothing was changed
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
    std::vector<std::string> operands;     // names, keys and files after the command's words
    std::string server;                    // http://HOST:PORT without a trailing slash, or empty
    std::vector<std::string> more_servers; // of the commands that ask several VMs
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
    std::string target;
    std::string setting;
    std::uint32_t value = 0;
    std::string reason;
    std::string state;
};

// Variables of the environment that replace options.
struct environment
{
    std::string server; // ZINNIANOTCH_SERVER
    std::string key;    // ZINNIANOTCH_KEY
};

// What the program is asked to do: run a command, or print a text and exit.
struct invocation
{
    std::optional<command_line> run;
    std::string text;                 // help, version, or the usage error
    exit_code code = exit_code::done; // when there is nothing to run
};

// Parses the arguments after the program's name.
invocation parse_arguments(const std::vector<std::string>& arguments, const environment& env);

// True for commands that ask VMs at their metrics address, which takes no key.
bool asks_operations(command_id command);

// The key of --key-file, else that of the environment. A failure is a usage error.
result<std::string> load_key(const command_line& line, const environment& env);

// Content of a file, or of standard input for "-".
result<std::string> read_file(const std::string& path);

} // namespace zinnianotch
