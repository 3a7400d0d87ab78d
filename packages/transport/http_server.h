// HTTP server towards callers and operators, on Boost.Beast with bounds on what a peer may send.
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
    std::uint16_t port = 0; // 0 lets the system choose
    std::size_t header_limit = 8 * 1024;
    std::size_t body_limit = 1024 * 1024;
    milliseconds read_timeout{10000};  // from the first byte of a request to its last
    milliseconds idle_timeout{60000};  // kept-alive connection without a request
    milliseconds write_timeout{10000}; // a caller that reads nothing for this long is dropped
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

    // Value of the header, empty when absent. The name is given in lower case.
    std::string_view header(std::string_view name) const;
};

// Set when the work of a request is no longer wanted; shared by all who work on it.
using cancel_flag = std::shared_ptr<std::atomic<bool>>;

// Answers one request. Used by one worker thread, which must send one answer before it returns.
class http_response
{
public:
    virtual ~http_response() = default;

    // Sends a whole answer.
    virtual void send(int status, std::string_view content_type, std::string body,
                      const std::map<std::string, std::string>& headers = {}) = 0;

    // Starts a chunked answer.
    virtual void start_stream(int status, std::string_view content_type,
                              const std::map<std::string, std::string>& headers = {}) = 0;

    // Sends a chunk; blocks while the caller is slow to read. False once the caller is gone.
    virtual bool write(std::string_view chunk) = 0;

    // Ends a chunked answer.
    virtual void finish() = 0;

    // Closes the connection without the final chunk, so that the caller sees a cut answer.
    virtual void abort() = 0;

    // Set as soon as the caller closes its connection.
    virtual cancel_flag cancelled() const = 0;
};

using http_handler = std::function<void(const http_request&, http_response&)>;

// What the server does with a request that its worker queue cannot take.
using http_refusal = std::function<std::string()>;

class http_server
{
public:
    // `overloaded_body` makes the JSON body of the 503 answer when the queue is full.
    http_server(http_server_options options, http_handler handler, http_refusal overloaded_body);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Binds and starts the threads; throws std::system_error when the address cannot be bound.
    void start();

    std::uint16_t port() const;

    // From now on each answer carries "Connection: close" and its connection is closed after it.
    // Idle connections stay open, so that a request already on its way is still answered.
    void begin_drain();

    // Requests read or being read whose answer is not yet sent whole.
    std::size_t in_flight() const;

    // Connections refused or dropped because of a limit.
    std::uint64_t dropped_connections() const;

    // Closes everything and joins the threads.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace zinnianotch
