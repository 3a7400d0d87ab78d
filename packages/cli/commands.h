// The commands of `zinnianotch`: requests to the API, and output of its answers.
#pragma once

#include "cli/arguments.h"
#include "transport/http_client.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace zinnianotch
{

// The calls of http_client that the commands use, so that tests need no server.
class api_client
{
public:
    virtual ~api_client() = default;
    // For reads, which may be repeated.
    virtual result<client_reply> send(const client_request& request, milliseconds timeout) = 0;
    // For everything that changes something, which must reach the server at most once.
    virtual result<client_reply> send_once(const client_request& request, milliseconds timeout) = 0;
    // For pipelines.
    virtual result<client_reply> stream(const client_request& request, milliseconds timeout,
                                        const line_handler& on_line) = 0;
};

// The request of a command, but for `config check` and `config put`, which send a file.
client_request make_request(const command_line& line, const std::string& key);

// What a command is about to change, in one line; empty for reads.
std::string describe_action(const command_line& line);

// Runs a command. Results go to `out`; announcements and errors go to `err`. The client may be null
// for `config check` without a server.
exit_code run_command(const command_line& line, const std::string& key, api_client* client,
                      std::ostream& out, std::ostream& err);

// Runs a command that asks VMs at their metrics addresses, one after the other. The exit code is
// that of the last VM that failed.
exit_code run_vm_command(const command_line& line, const std::vector<api_client*>& clients,
                         std::ostream& out, std::ostream& err);

} // namespace zinnianotch
