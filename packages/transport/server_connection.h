// Event-driven HTTP/1.1 server for callers, with limits on header and body size, connections and
// time. Not thread-safe: used only on the thread that runs the io_context.
#pragma once

#include "state/time.h"
#include "transport/memory_account.h"
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
#include <utility>

namespace zinnianotch
{

struct connection_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    milliseconds header_timeout{3000}; // from the first byte of a request to the end of its head
    milliseconds idle_timeout{15000};  // between requests, and between bytes of a body
    // All bodies that are being received or belong to requests in progress, on a VM whose memory is
    // not known. A body is in memory twice while it is sent on; this keeps a VM with 260 MB below
    // that.
    std::uint64_t total_body_bytes = 72 * 1024 * 1024;
};

// Retry-After, in seconds, of a request that is refused because other bodies use the memory.
inline constexpr int retry_after_no_memory_s = 1;

// Reading stops once this many bytes of pipelined requests wait for the current one to end.
inline constexpr std::size_t pipelined_bytes_limit = 64 * 1024;
// How long input is read and discarded after the last response on a connection. Closing a socket
// with unread bytes resets the connection, and the caller may lose the response.
inline constexpr milliseconds linger_time{1000};
// A connection on which no request was received yet is kept open for this long when connections
// close: its first request is probably in transit.
inline constexpr milliseconds first_request_time{500};
// A request whose body takes longer than this from its first byte on is refused, even if bytes keep
// arriving: a caller must not occupy a connection without end.
inline constexpr milliseconds body_timeout{60'000};
// Bytes waiting to be sent to a slow caller above which the source of the response is paused.
inline constexpr std::size_t unsent_bytes_limit = 256 * 1024;
// A connection is closed when one write to the socket does not complete within this time.
inline constexpr milliseconds write_timeout{10000};

// Why a connection was closed.
enum class close_reason
{
    idle,
    client_left, // closed or reset by the client
    write_timeout,
    broken_off,    // a response that cannot be completed
    last_response, // after which the connection ends
    stop,
    too_many_connections,
    memory_short // a response that its client reads too slowly
};

// What has become of the request on a connection.
enum class request_progress
{
    none,
    partly_read,
    unanswered, // read whole
    answer_begun
};

std::string_view to_string(close_reason value);
std::string_view to_string(request_progress value);

struct received_request
{
    message_head head;
    std::string body;
    time_point received_at{}; // when its first byte arrived
};

class server_listener;

class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(boost::asio::ip::tcp::socket socket, server_listener& owner);

    void start(time_point now);

    // Queues bytes of the response to the current request, already in HTTP syntax (head included).
    // end() completes the response.
    void send(std::string bytes);
    void end(bool keep_alive);
    // Resets the connection, so that a partial response does not look complete.
    void abort();
    // Closes the connection, whatever has become of its request.
    void close(close_reason why);
    // Closes the connection as soon as no request is being received, served or likely to arrive.
    void close_when_idle(time_point now);
    // Applies the timeouts; called periodically.
    void sweep(time_point now);

    bool is_busy() const { return busy_; }
    bool has_partial_request() const { return parser_ && parser_->started(); }
    bool is_closed() const { return closed_; }
    // True if the caller has sent more than the request that is being served. Includes bytes in the
    // socket, because closing it with unread bytes resets the connection.
    bool has_unparsed_bytes() const;
    std::size_t unsent_bytes() const { return unsent_bytes_; }

    // Called when the caller disconnects while its request is being served.
    std::function<void()> on_disconnect;
    // Called when all queued bytes have been written.
    std::function<void()> on_writable;

private:
    void read();
    void on_readable(boost::system::error_code error);
    void on_read(std::size_t count);
    void parse(time_point now);
    // `fields` are further header lines, each with its line end.
    void refuse(int status, std::string_view reason_phrase, std::string_view fields = {});
    void refuse_for_memory();
    bool reserve_body(time_point now);
    void yield_response();
    void release_body();
    void write_next();
    void write_some();
    void finish_response();
    void become_idle(time_point now);
    void start_linger(time_point now);
    void handle_disconnect();
    request_progress progress() const;
    void report_unanswered(close_reason why, request_progress progress);
    bool has_unread_bytes() const; // in the socket

    boost::asio::ip::tcp::socket socket_;
    server_listener& owner_;
    std::optional<message_parser<message_kind::request>> parser_;
    std::string unparsed_;    // received and not yet parsed
    std::string write_queue_; // to be written after write_buffer_
    std::string write_buffer_;
    std::size_t unsent_bytes_ = 0;
    std::uint64_t reserved_body_bytes_ = 0; // of the current request
    held_bytes held_body_;                  // the same, if memory is accounted for
    held_bytes held_response_;              // unsent_bytes_
    bool read_pending_ = false;
    bool write_pending_ = false;
    bool busy_ = false;
    bool response_begun_ = false;
    bool response_ended_ = false;
    bool refused_ = false;
    bool keep_alive_ = true;
    bool close_when_idle_ = false;
    bool request_received_ = false;
    bool lingering_ = false;
    bool closed_ = false;
    time_point first_byte_at_{}; // of the current request
    time_point last_byte_at_{};
    time_point idle_since_{};
    milliseconds idle_timeout_{}; // limit that held when the connection became idle
    time_point linger_until_{};
    std::size_t written_bytes_ = 0; // of write_buffer_
    time_point write_progress_at_{};
};

// Accepts connections on one address and owns them.
class server_listener
{
public:
    using handler =
        std::function<void(const std::shared_ptr<server_connection>&, received_request&&)>;

    server_listener(boost::asio::io_context& io, const std::string& address, std::uint16_t port,
                    handler on_request);

    std::uint16_t port() const { return acceptor_.port(); }
    void set_limits(const connection_limits& limits) { limits_ = limits; }
    const connection_limits& limits() const { return limits_; }
    void set_max_connections(std::size_t count) { max_connections_ = count; }
    // What connections hold is counted there from now on, and bounded if the account has a bound.
    void set_memory(std::shared_ptr<memory_account> account) { memory_ = std::move(account); }

    // Closes each connection as soon as no request is being received, served or likely to arrive.
    void close_connections_when_idle(time_point now);
    // Closes all connections, also those with a request.
    void close_all();
    // Accepts no new connections.
    void stop_accepting() { acceptor_.close(); }
    void sweep(time_point now);
    // Number of connections on which a request is being received or served.
    std::size_t busy_count() const;
    std::size_t connections() const { return connections_.size(); }
    // Bytes of all bodies that count towards connection_limits::total_body_bytes.
    std::uint64_t body_bytes() const { return body_bytes_; }

    // Called with the HTTP status when a request is refused before it reaches the handler.
    std::function<void(int status)> on_refused;
    // Called when a connection is closed on which bytes of a request were received that was neither
    // answered nor refused, and for a connection above the maximum.
    std::function<void(close_reason why, request_progress progress)> on_unanswered_close;

private:
    friend class server_connection;

    void add(boost::asio::ip::tcp::socket socket);

    handler on_request_;
    connection_limits limits_;
    std::size_t max_connections_ = 2048;
    std::shared_ptr<memory_account> memory_;
    std::array<char, 16384> buffer_{}; // for all reads
    std::uint64_t body_bytes_ = 0;
    std::set<std::shared_ptr<server_connection>> connections_;
    socket_acceptor acceptor_;
};

} // namespace zinnianotch
