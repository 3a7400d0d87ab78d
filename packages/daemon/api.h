// HTTP API for callers and operators, see docs/api.md.
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

// Handles the requests of one HTTP server, which calls handle() on several worker threads at once.
class api
{
public:
    api(const settings& config, node& vm);

    // Sets the function that returns the number of requests in flight in the HTTP server, for
    // status and metrics. Must be set before the server is started.
    void set_in_flight_callback(std::function<std::size_t()> callback)
    {
        in_flight_callback_ = std::move(callback);
    }

    void handle(const http_request& request, http_response& response);

    // From now on, requests of callers and operators are refused as `draining`; those in progress
    // are completed.
    void refuse_requests() { refusing_ = true; }
    // Requests of callers and operators in progress, without those that are being refused.
    std::size_t accepted() const { return accepted_; }

    // Counts a refusal and returns the response body for a request that the full worker queue
    // rejects.
    std::string overloaded_body();

private:
    using headers = std::map<std::string, std::string>;

    // Principal of the API key in the Authorization header; role `none` without a known key.
    principal identify(const http_request& request) const;
    std::string new_request_id();
    void route(const api_request& request, http_response& response);
    void route_caller(const api_request& request, http_response& response);
    void route_admin(const api_request& request, http_response& response);

    void run_pipeline(const api_request& request, http_response& response);
    void call_service(const api_request& request, http_response& response);
    // Calls a non-idempotent operation as an order, at most once per Idempotency-Key.
    void execute_order(const api_request& request, http_response& response,
                       const service_config& service, const operation_config& operation,
                       const configuration_ptr& config, time_point deadline);
    void get_order(const api_request& request, http_response& response);
    // Client account of the request; fails with not_ready or forbidden.
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

    // Change to one part of the configuration.
    struct config_edit
    {
        std::string reason;       // recorded in the configuration history
        std::string exception_id; // of the exception that the edit adds, else empty
        std::function<result<void>(configuration&)> apply;
    };

    // Applies an edit to the newest version; retries on a version conflict until the deadline.
    void change_config(const api_request& request, http_response& response,
                       const config_edit& change);
    result<json> write_change(const api_request& request, const configuration& before,
                              configuration after, const std::string& change_reason, bool dry_run,
                              time_point deadline);

    void send_error(const api_request& request, http_response& response, const failure& error,
                    headers extra = {});
    void send_json(const api_request& request, http_response& response, const json& body,
                   headers extra = {});

    const settings& settings_;
    node& node_;
    std::function<std::size_t()> in_flight_callback_;
    std::atomic<std::uint64_t> next_request_number_{1};
    std::string request_id_prefix_;
    std::atomic<bool> refusing_{false};
    std::atomic<std::size_t> accepted_{0};
};

} // namespace zinnianotch
