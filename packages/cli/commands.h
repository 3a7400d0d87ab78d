// Commands of `zinnianotch`: send requests to the API and print the responses.
#pragma once

#include "cli/arguments.h"
#include "transport/http_client.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace zinnianotch
{

// Interface to the http_client functions that the commands use. Allows tests to run without a
// server.
class api_client
{
public:
    virtual ~api_client() = default;
    // For read-only requests, which the client may send again.
    virtual result<client_reply> send(const client_request& request, milliseconds timeout) = 0;
    // For modifying requests, which must reach the server at most once.
    virtual result<client_reply> send_once(const client_request& request, milliseconds timeout) = 0;
    // For pipeline calls, whose response is streamed.
    virtual result<client_reply> stream(const client_request& request, milliseconds timeout,
                                        const line_handler& on_line) = 0;
};

// Creates the request of a command. For `config check` and `config put`, it is the request that
// reads the configuration in effect, without the file.
client_request make_request(const command_line& line, const std::string& key);

// Describes the change that a command requests, in one line. Empty for the other commands.
std::string describe_action(const command_line& line);

// Runs a command. Results are written to `out`; notices and errors to `err`. The client may be null
// for `config check` without a server.
exit_code run_command(const command_line& line, const std::string& key, api_client* client,
                      std::ostream& out, std::ostream& err);

// Runs a command that queries VMs at their metrics addresses, one after another. The exit code is
// that of the last VM that failed, or not_run if `vm request` found no log line at any VM.
exit_code run_vm_command(const command_line& line, const std::vector<api_client*>& clients,
                         std::ostream& out, std::ostream& err);

} // namespace zinnianotch
