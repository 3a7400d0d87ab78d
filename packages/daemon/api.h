// HTTP API of callers and operators, as documented in docs/api.md.
#pragma once

#include "coordination/node.h"
#include "daemon/api_request.h"
#include "daemon/settings.h"
#include "transport/http_server.h"

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

class api
{
public:
    api(const settings& config, node& vm);

    // The number of requests that the HTTP server has in hand, for the status page.
    void set_in_flight(std::function<std::size_t()> in_flight)
    {
        in_flight_ = std::move(in_flight);
    }

    void handle(const http_request& request, http_response& response);

    // Body of the answer to a request that the worker queue cannot take.
    std::string overloaded_body();

private:
    using headers = std::map<std::string, std::string>;

    principal identify(const http_request& request) const;
    std::string new_request_id();
    void route(const api_request& request, http_response& response);
    void route_admin(const api_request& request, http_response& response);

    void run_pipeline(const api_request& request, http_response& response);
    void call_service(const api_request& request, http_response& response);
    void place_order(const api_request& request, http_response& response,
                     const service_config& service, const operation_config& operation,
                     const configuration_ptr& config, time_point deadline);
    void get_order(const api_request& request, http_response& response);
    result<const account_config*> account_of(const api_request& request,
                                             const configuration& config) const;

    void get_config(const api_request& request, http_response& response);
    void put_config(const api_request& request, http_response& response);
    void get_history(const api_request& request, http_response& response);
    void put_domain(const api_request& request, http_response& response);
    void post_exception(const api_request& request, http_response& response);
    void delete_exception(const api_request& request, http_response& response);
    void get_status(const api_request& request, http_response& response);
    void settle_order(const api_request& request, http_response& response);

    struct edit
    {
        std::string reason;
        std::string exception_id; // of an added exception
        std::function<result<void>(configuration&)> apply;
    };

    // Applies an edit to the newest version and repeats on a conflict until the deadline.
    void change_config(const api_request& request, http_response& response, const edit& change);
    result<json> write_change(const api_request& request, const configuration& before,
                              configuration after, const std::string& note, bool dry_run,
                              time_point deadline);

    void send_error(const api_request& request, http_response& response, const failure& why,
                    headers extra = {});
    void send_json(const api_request& request, http_response& response, const json& body,
                   headers extra = {});

    const settings& settings_;
    node& node_;
    std::function<std::size_t()> in_flight_;
    std::atomic<std::uint64_t> next_request_{1};
    std::string request_prefix_;
};

} // namespace zinnianotch
