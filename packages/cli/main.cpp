// `zinnianotch`: command-line client for callers and operators.
#include "cli/arguments.h"
#include "cli/commands.h"

#include <cpprest/json.h>

#include <cstdlib>
#include <deque>
#include <exception>
#include <iostream>
#include <memory>
#include <vector>

namespace
{

using namespace zinnianotch;

class http_api_client final : public api_client
{
public:
    explicit http_api_client(const std::string& server) : client_(server) {}

    result<client_reply> send(const client_request& request, milliseconds timeout) override
    {
        return client_.send(request, timeout);
    }

    result<client_reply> send_once(const client_request& request, milliseconds timeout) override
    {
        return client_.send_once(request, timeout);
    }

    // No separate idle timeout: the server already ends the request at its deadline.
    result<client_reply> stream(const client_request& request, milliseconds timeout,
                                const line_handler& on_line) override
    {
        return client_.stream(request, timeout, timeout, on_line);
    }

private:
    http_client client_;
};

std::string environment_variable(const char* name)
{
    const char* const value = std::getenv(name);
    return value ? value : "";
}

exit_code query_vms(const command_line& line)
{
    std::deque<http_api_client> clients;
    clients.emplace_back(line.server);
    for (const std::string& server : line.additional_servers)
        clients.emplace_back(server);
    std::vector<api_client*> client_pointers;
    client_pointers.reserve(clients.size());
    for (http_api_client& client : clients)
        client_pointers.push_back(&client);
    return run_vm_command(line, client_pointers, std::cout, std::cerr);
}

exit_code run(const std::vector<std::string>& arguments)
{
    // Print the keys of JSON documents in the order in which the server sends them.
    web::json::keep_object_element_order(true);
    const environment env{environment_variable("ZINNIANOTCH_SERVER"),
                          environment_variable("ZINNIANOTCH_KEY")};
    const invocation parsed = parse_arguments(arguments, env);
    if (!parsed.run)
    {
        (parsed.code == exit_code::done ? std::cout : std::cerr) << parsed.text;
        return parsed.code;
    }
    if (parsed.run->server.empty())
        return run_command(*parsed.run, {}, nullptr, std::cout, std::cerr);
    if (uses_metrics_address(parsed.run->command))
        return query_vms(*parsed.run);
    const result<std::string> key = load_key(*parsed.run, env);
    if (key.has_error())
    {
        std::cerr << "zinnianotch: " << key.error().detail << "\n";
        return exit_code::usage;
    }
    http_api_client client(parsed.run->server);
    return run_command(*parsed.run, key.value(), &client, std::cout, std::cerr);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return static_cast<int>(run({argv + 1, argv + argc}));
    }
    catch (const std::exception& error)
    {
        std::cerr << "zinnianotch: " << error.what() << "\n";
        return static_cast<int>(exit_code::may_have_run);
    }
}
