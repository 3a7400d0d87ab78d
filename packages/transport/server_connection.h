// Event-driven HTTP/1.1 server connection towards callers, with bounds on what a caller may send.
// All of it belongs to the thread that runs the io_context.
#pragma once

#include "state/time.h"
#include "transport/message_parser.h"
#include "transport/socket_acceptor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace zinnianotch
{

struct server_limits_now
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

// Bytes of a pipelined request that are kept while the one before it is served.
inline constexpr std::size_t pipelined_limit = 64 * 1024;
// After an error answer the rest of the request is read and dropped for so long. A connection that
// is closed with unread bytes is reset, and the caller may lose the answer.
inline constexpr milliseconds linger_time{1000};
// Bytes to a caller that does not read; beyond them the answer's source is paused.
inline constexpr std::size_t unsent_limit = 256 * 1024;
// A caller that takes none of these bytes for so long is given up.
inline constexpr milliseconds write_timeout{10000};

struct received_request
{
    message_head head;
    std::string body;
    time_point received{}; // arrival of its first byte
};

class server_listener;

class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(boost::asio::ip::tcp::socket socket, server_listener& owner);

    void start(time_point now);

    // Answers the request in hand. The head is written as it is; `end` completes the answer.
    void send(std::string bytes);
    void end(bool keep_alive);
    // Breaks the connection, so that an answer that has begun does not look complete.
    void abort();
    // Closes the connection as soon as no request is in hand.
    void close_when_idle();
    // Checks the timeouts.
    void sweep(time_point now);

    bool is_busy() const { return busy_; }
    bool has_partial_request() const { return parser_ && parser_->started(); }
    bool is_closed() const { return closed_; }
    std::size_t unsent() const { return unsent_; }

    // Called when the caller has left while its request is in hand.
    std::function<void()> on_left;
    // Called when unsent bytes have fallen below the limit again.
    std::function<void()> on_writable;

private:
    void read();
    void on_read(const boost::system::error_code& error, std::size_t count);
    void parse(time_point now);
    void refuse(int status, std::string_view phrase);
    void write_next();
    void finish_answer();
    void start_linger(time_point now);
    void left();
    void close();

    boost::asio::ip::tcp::socket socket_;
    server_listener& owner_;
    std::optional<message_parser<message_kind::request>> parser_;
    std::array<char, 16384> buffer_{};
    std::string pending_; // received and not yet parsed
    std::string queued_;  // to be written after what is being written
    std::string writing_;
    std::size_t unsent_ = 0;
    bool reading_ = false;
    bool writing_now_ = false;
    bool busy_ = false;
    bool ending_ = false;
    bool keep_alive_ = true;
    bool closing_ = false;
    bool lingering_ = false;
    bool closed_ = false;
    time_point first_byte_at_{};
    time_point idle_since_{};
    time_point linger_until_{};
    time_point write_progress_at_{};
};

// Listens on one address and owns its connections.
class server_listener
{
public:
    using handler =
        std::function<void(const std::shared_ptr<server_connection>&, received_request&&)>;

    server_listener(boost::asio::io_context& io, const std::string& address, std::uint16_t port,
                    handler on_request);

    std::uint16_t port() const { return acceptor_.port(); }
    void set_limits(const server_limits_now& limits) { limits_ = limits; }
    const server_limits_now& limits() const { return limits_; }
    void set_max_connections(std::size_t count) { max_connections_ = count; }

    // Each connection closes once no request is in hand.
    void close_idle();
    void sweep(time_point now);
    std::size_t busy() const;
    std::size_t connections() const { return connections_.size(); }

    // Counts of requests that were refused before they reached the handler, by status.
    std::function<void(int status)> on_refused;

private:
    friend class server_connection;

    void add(boost::asio::ip::tcp::socket socket);

    handler on_request_;
    server_limits_now limits_;
    std::size_t max_connections_ = 2048;
    std::set<std::shared_ptr<server_connection>> connections_;
    socket_acceptor acceptor_;
};

} // namespace zinnianotch
