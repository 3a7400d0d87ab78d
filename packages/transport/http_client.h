// Blocking HTTP client for endpoints and platform services. Bounds what it holds of a response.
#pragma once

#include "state/time.h"
#include "state/verdict.h"
#include "transport/http_server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace zinnianotch
{

struct client_request
{
    std::string method = "GET";
    std::string path; // path and query
    std::map<std::string, std::string> headers;
    std::string body;
    std::string content_type = "application/json";
};

struct client_reply
{
    int status = 0;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

// Called for each complete line of a streamed response; returning false ends the stream.
using line_handler = std::function<bool(std::string_view line)>;

// Client for one base URL. Thread-safe. All calls block the calling thread.
class http_client
{
public:
    explicit http_client(const std::string& base_url);
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Sends an idempotent request on a pooled connection. Returns after `timeout` at the latest, or
    // when `cancelled` is set. Errors: connect_failed (not_run); connection_broken,
    // silent_connection (no response within the timeout) and cancelled (may_have_run). A request
    // that is cancelled or out of time before it is sent fails with not_run.
    result<client_reply> send(const client_request& request, milliseconds timeout,
                              const cancel_flag& cancelled = nullptr);

    // Sends a request that is not idempotent, always on a new connection: whether the peer had
    // closed a kept one before it got the request is not known.
    result<client_reply> send_once(const client_request& request, milliseconds timeout,
                                   const cancel_flag& cancelled = nullptr);

    // Sends a request and passes the lines of a 200 response to `on_line` as they arrive.
    // `idle_timeout` bounds the time without receiving a byte, `timeout` the whole call. The body
    // of the reply is set only if the status is not 200.
    result<client_reply> stream(const client_request& request, milliseconds idle_timeout,
                                milliseconds timeout, const line_handler& on_line,
                                const cancel_flag& cancelled = nullptr);

    // Discards all pooled connections; later calls open new ones. Calls in progress continue.
    void reset_connections();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace zinnianotch
