// HTTP client towards endpoints and the platform, on cpprestsdk.
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

// Called for each whole line of a streamed answer; false ends the stream.
using line_handler = std::function<bool(std::string_view line)>;

// Client of one base address. Safe for use by many threads. All calls block the calling thread,
// which must not be one of cpprestsdk's own pool.
class http_client
{
public:
    explicit http_client(std::string base_url);
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Sends a request that may be repeated, on a pooled connection. Ends at `timeout` or when
    // `cancelled` is set. Failures: connect_failed (not_run), connection_broken, silent_connection
    // (no answer within the timeout) and cancelled (may_have_run).
    result<client_reply> send(const client_request& request, milliseconds timeout,
                              const cancel_flag& cancelled = nullptr);

    // Sends a request that must not be repeated, always on a fresh connection: cpprestsdk sends a
    // request again without asking when a reused connection was closed by the peer.
    result<client_reply> send_once(const client_request& request, milliseconds timeout,
                                   const cancel_flag& cancelled = nullptr);

    // Sends a request and hands out the lines of a 200 answer as they arrive. `silence` bounds the
    // time without a byte, `timeout` the whole. The reply's body holds the answer when the status
    // is not 200.
    result<client_reply> stream(const client_request& request, milliseconds silence,
                                milliseconds timeout, const line_handler& on_line,
                                const cancel_flag& cancelled = nullptr);

    // Abandons all pooled connections; later calls open new ones. Calls in progress go on.
    void reset_connections();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace zinnianotch
