// Event-driven HTTP/1.1 client with a pool of keep-alive connections per address. A connection
// carries one exchange at a time. Not thread-safe: used only on the thread that runs the
// io_context.
#pragma once

#include "state/time.h"
#include "transport/message_parser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace zinnianotch
{

// A connection attempt that takes longer than this fails: the peer's VM is unreachable or
// overloaded.
inline constexpr milliseconds upstream_connect_timeout{500};
// Pause before the server of a response without length is asked again whether it has crashed.
inline constexpr milliseconds confirm_retry_interval{100};
// TCP_USER_TIMEOUT of the socket: sent data unacknowledged, or a receive window closed, for this
// long means that the peer is unreachable. Twice the 3 s for which a sound process may stop
// reading.
inline constexpr milliseconds upstream_tcp_user_timeout{6000};
// Subtracted from the idle timeout in the server's Keep-Alive header, so that a connection is not
// reused while the server is closing it.
inline constexpr milliseconds keep_alive_margin{500};
// Most bytes of interim responses and of responses to other requests that are skipped within one
// exchange.
inline constexpr std::size_t skipped_bytes_limit = 1024 * 1024;
// Idle timeout of connections whose server sends no Keep-Alive timeout.
inline constexpr milliseconds default_idle_timeout{4000};

// Time from sending on a kept connection until it shows that the connection was lost before: a
// round trip.
inline constexpr milliseconds lost_connection_max_delay{30};
// Longest wait for a new connection that tells a server which has closed a kept connection from one
// that has crashed. Covers a round trip and a busy peer; sound requests wait for it as well.
inline constexpr milliseconds lost_connection_check_timeout{250};

enum class upstream_failure
{
    connect_failed, // nothing was sent
    // The attempt to connect timed out or found no route; nothing was sent. A server that is only
    // gone refuses connections at once.
    peer_unreachable,
    // The request was sent on a kept connection that was probably lost before: its server did not
    // refuse a new one.
    connection_lost,
    broken_before_answer, // the request was sent, at least in part
    broken_in_answer,     // part of the response was received
    invalid_answer        // the received bytes are not a valid HTTP response
};

std::string_view to_string(upstream_failure value);

// True if no connection was opened, so that nothing was sent.
constexpr bool is_connect_failure(upstream_failure value)
{
    return value == upstream_failure::connect_failed || value == upstream_failure::peer_unreachable;
}

// Callbacks for the response of one exchange. No function is called after on_end, on_failure or
// on_unconfirmed_end, nor after the exchange has been cancelled. A silent server ends no exchange:
// each user cancels its own at a deadline.
class upstream_response_handler
{
public:
    virtual ~upstream_response_handler() = default;
    // False when the response belongs to another request; it is then skipped.
    virtual bool matches_request(const message_head& head) = 0;
    virtual void on_head(message_head& head, body_framing framing,
                         std::optional<std::uint64_t> length) = 0;
    virtual void on_body(std::string bytes) = 0;
    virtual void on_end() = 0;
    virtual void on_failure(upstream_failure failure) = 0;
    // Instead of on_end: the end of the connection ended the response, and the server then refused
    // a new one. It has exited, after a complete response or in the middle of one.
    virtual void on_unconfirmed_end() { on_failure(upstream_failure::broken_in_answer); }
};

class upstream_pool;

// Receives why a connection could not be opened, or nothing if it is open.
using upstream_open_callback = std::function<void(std::optional<upstream_failure>)>;

class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
public:
    upstream_connection(boost::asio::io_context& io, upstream_pool* pool);

    // Sends the request, after connecting to `peer` if the connection is not open yet.
    void start(const boost::asio::ip::tcp::endpoint& peer, std::string request,
               upstream_response_handler& handler, bool response_has_body, time_point now);
    // Ends the exchange without a callback. Closes the connection, because the response may still
    // arrive. In on_end, keeps the connection from being used again.
    void cancel();
    // Closes the connection after the current response.
    void disable_reuse() { server_will_close_ = true; }
    // True if the connection has had an exchange before the current one.
    bool is_reused() const { return exchanges_ > 1; }
    // Stops or resumes reading, so that a slow consumer applies back-pressure to the server.
    void set_paused(bool paused);
    // Reads what has arrived once, although reading is paused.
    void read_once();
    // Bytes of the request that the server's machine has not acknowledged, as far as the system
    // tells. A server that reads slowly lets them become fewer.
    std::size_t unread_request_bytes() const;

    time_point idle_since() const { return idle_since_; }
    bool is_open() const { return open_ && !closed_; }
    // True until the connection is open for the first time.
    bool is_connecting() const
    {
        return !open_ && !closed_ && connect_purpose_ == connect_purpose::send_request;
    }
    milliseconds idle_timeout() const { return idle_timeout_; }

private:
    friend class upstream_pool;

    // What an attempt to connect is for.
    enum class connect_purpose
    {
        send_request,
        open_idle,     // for later exchanges
        confirm_end,   // of a response without a length
        check_for_loss // of a kept connection, as against a crash
    };

    void open_idle(const boost::asio::ip::tcp::endpoint& peer, upstream_open_callback done);
    void on_open_idle(std::optional<upstream_failure> failure);
    void connect(const boost::asio::ip::tcp::endpoint& peer);
    // Replaces the connection, which has ended, to find out why.
    void reconnect(connect_purpose purpose);
    void on_connected();
    void on_connect_failed(std::uint64_t attempt, const boost::system::error_code& error);
    void write();
    void write_some();
    void on_write_failed(const boost::system::error_code& error);
    void read();
    void on_read(const boost::system::error_code& error, std::size_t count);
    void parse();
    bool deliver();
    void finish();
    void finish_unconfirmed();
    void on_broken(time_point now);
    void fail(upstream_failure failure);
    void close();
    void read_keep_alive();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::ip::tcp::endpoint peer_;
    boost::asio::steady_timer connect_timer_;
    upstream_pool* pool_;
    upstream_response_handler* handler_ = nullptr;
    upstream_open_callback opened_;
    std::string request_;
    std::size_t written_bytes_ = 0; // of request_
    std::string unparsed_;          // received and not yet parsed
    std::array<char, 16384> buffer_{};
    std::optional<message_parser<message_kind::response>> parser_;
    bool response_has_body_ = true;
    bool head_delivered_ = false;
    bool skipping_response_ = false; // the current response belongs to another request
    connect_purpose connect_purpose_ = connect_purpose::send_request;
    std::size_t skipped_bytes_ = 0;
    std::uint64_t exchanges_ = 0;
    bool kept_ = false; // the connection was open before the current exchange
    time_point sent_at_{};
    std::uint64_t connect_attempts_ = 0; // completions of earlier ones are ignored
    bool open_ = false;
    bool closed_ = false;
    bool reading_ = false;
    bool paused_ = false;
    bool reads_once_ = false; // although paused
    bool writing_ = false;
    bool reset_under_write_ = false; // before the server had ended its response
    bool server_will_close_ = false;
    time_point idle_since_{};
    milliseconds idle_timeout_ = default_idle_timeout;
};

// Connection pool of one address. close_idle() leaves exchanges in progress alone; the destructor
// cancels them.
class upstream_pool
{
public:
    upstream_pool(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint peer);
    ~upstream_pool();

    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    // Starts an exchange on a connection that has been idle for at most `max_idle`, or on a new
    // one.
    std::shared_ptr<upstream_connection> start(std::string request,
                                               upstream_response_handler& handler,
                                               milliseconds max_idle, time_point now,
                                               bool response_has_body = true);
    // Opens a connection without a request, to find out whether the peer can be reached. An open
    // one is kept as an idle one. `done` is not called after the pool was destroyed.
    void open_idle(upstream_open_callback done);
    // Number of connections from which on the oldest idle one is closed before a new one is opened.
    // Without an idle connection the limit is exceeded.
    void set_limit(std::size_t connections) { max_connections_ = connections; }
    // Receive buffer of new connections, in bytes; 0: as the system chooses.
    void set_receive_buffer(int bytes) { receive_buffer_bytes_ = bytes; }
    // Closes connections that have exceeded their idle timeout.
    void sweep(time_point now);
    void close_idle();

    // Number of connections created since the start, failed attempts included.
    std::uint64_t opened() const { return opened_; }

private:
    friend class upstream_connection;

    std::shared_ptr<upstream_connection> add_connection();
    void return_idle(std::shared_ptr<upstream_connection> connection);
    void remove(upstream_connection* connection);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::endpoint peer_;
    std::deque<std::shared_ptr<upstream_connection>> idle_;
    std::map<upstream_connection*, std::weak_ptr<upstream_connection>> all_;
    std::size_t max_connections_ = SIZE_MAX;
    int receive_buffer_bytes_ = 0;
    std::size_t connection_count_ = 0;
    std::uint64_t opened_ = 0;
};

// Parses IP:PORT, where an IPv6 address may be in brackets; nullopt when the text has another form
// or the port is 0.
std::optional<boost::asio::ip::tcp::endpoint> parse_socket_address(std::string_view text);

} // namespace zinnianotch
