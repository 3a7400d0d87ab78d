// HTTP/1.1 server for callers and operators, based on Boost.Beast, with limits on header and body
// size, connections, queued requests and time.
#pragma once

#include "state/time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace zinnianotch
{

struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0: chosen by the system
    std::size_t header_limit = 8 * 1024;
    std::size_t body_limit = 1024 * 1024;
    milliseconds read_timeout{10000};  // from the first byte of a request to the last
    milliseconds idle_timeout{60000};  // of a keep-alive connection without a request
    milliseconds write_timeout{10000}; // for a caller that reads nothing
    std::size_t max_connections = 4096;
    std::size_t workers = 256;
    std::size_t queue_length = 256;
    std::size_t io_threads = 2;
};

struct http_request
{
    std::string method;
    std::string target;                         // path and query, as sent
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    // Value of the header field, empty when absent. `name` must be in lower case.
    std::string_view header(std::string_view name) const;
};

// Set when a request is cancelled; shared by all code that works on the request.
using cancel_flag = std::shared_ptr<std::atomic<bool>>;

// Response to one request. Used by one worker thread, which must complete one response before the
// handler returns.
class http_response
{
public:
    virtual ~http_response() = default;

    // Sends a complete response.
    virtual void send(int status, std::string_view content_type, std::string body,
                      const std::map<std::string, std::string>& headers = {}) = 0;

    // Starts a chunked response; with HTTP/1.0 the body ends when the connection is closed.
    virtual void start_stream(int status, std::string_view content_type,
                              const std::map<std::string, std::string>& headers = {}) = 0;

    // Sends a chunk; blocks while the send buffer is full. False once the caller has disconnected.
    virtual bool write(std::string_view chunk) = 0;

    // Ends a chunked response.
    virtual void finish() = 0;

    // Closes the connection without the final chunk, so that the caller sees a truncated response.
    virtual void abort() = 0;

    // Set as soon as the caller closes its connection.
    virtual cancel_flag cancelled() const = 0;
};

using http_handler = std::function<void(const http_request&, http_response&)>;

// Builds the body of a response that the server sends without running the handler.
using response_body_factory = std::function<std::string()>;

class http_server
{
public:
    // `overloaded_body` builds the JSON body of the 503 response sent when the queue is full.
    http_server(http_server_options options, http_handler handler,
                response_body_factory overloaded_body);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Binds and starts the threads; throws std::system_error when the address cannot be bound.
    void start();

    std::uint16_t port() const;

    // From now on each response carries "Connection: close" and the connection is closed after it.
    // Idle connections stay open, so that a request already in transit still gets a response.
    void begin_drain();

    // Opens no new connections. Requests on open connections are still served.
    void stop_accepting();

    // Requests from their first byte until the response is sent and the handler has returned.
    std::size_t in_flight() const;

    // Connections refused or evicted because of the connection limit, closed by the write timeout,
    // or closed after a request that was rejected while being read.
    std::uint64_t dropped_connections() const;

    // Closes all connections and joins the threads.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace zinnianotch
