// Event-driven HTTP/1.1 client: one exchange at a time on a connection, connections kept for reuse.
// All of it belongs to the thread that runs the io_context.
#pragma once

#include "state/time.h"
#include "transport/message_parser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace zinnianotch
{

// A connection that is not open after this time goes to a VM that is cut off or overloaded.
inline constexpr milliseconds upstream_connect_timeout{500};
// Bytes sent and not acknowledged for so long: the peer is cut off.
inline constexpr milliseconds upstream_user_timeout{2500};
// A connection is not reused in the last part of the idle time that its server states.
inline constexpr milliseconds keep_alive_margin{500};
// Idle connections older than this are closed when the server states no time.
inline constexpr milliseconds idle_default{4000};

enum class upstream_failure
{
    connect_failed,       // nothing was sent
    broken_before_answer, // the request was sent, at least in part
    broken_in_answer,     // the answer has begun
    invalid_answer        // bytes that are no HTTP answer
};

std::string_view to_string(upstream_failure value);

// What an exchange learns of its answer. No function is called after on_end or on_failure, nor
// after the exchange has been cancelled.
class upstream_listener
{
public:
    virtual ~upstream_listener() = default;
    // False when the answer belongs to another request; it is then skipped.
    virtual bool owns(const message_head& head) = 0;
    virtual void on_head(message_head& head, body_framing framing,
                         std::optional<std::uint64_t> length) = 0;
    virtual void on_body(std::string bytes) = 0;
    virtual void on_end() = 0;
    virtual void on_failure(upstream_failure failure) = 0;
};

class upstream_pool;

class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
public:
    upstream_connection(boost::asio::io_context& io, upstream_pool* pool);

    // Opens the connection and sends the request, or sends it on the open connection.
    void start(const boost::asio::ip::tcp::endpoint& peer, std::string request,
               upstream_listener& listener, bool answer_has_body);
    // Ends the exchange without its answer; the connection is closed, because the answer may come.
    void cancel();
    void set_paused(bool paused);

    time_point idle_since() const { return idle_since_; }
    bool is_open() const { return open_ && !closed_; }
    milliseconds idle_limit() const { return idle_limit_; }

private:
    friend class upstream_pool;

    void connect(const boost::asio::ip::tcp::endpoint& peer);
    void write();
    void read();
    void on_read(const boost::system::error_code& error, std::size_t count);
    void parse();
    bool deliver();
    void finish();
    void fail(upstream_failure failure);
    void close();
    void note_keep_alive();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer connect_timer_;
    upstream_pool* pool_;
    upstream_listener* listener_ = nullptr;
    std::string request_;
    std::string pending_; // received and not yet parsed
    std::array<char, 16384> buffer_{};
    std::optional<message_parser<message_kind::answer>> parser_;
    bool answer_has_body_ = true;
    bool head_delivered_ = false;
    bool skipping_ = false; // the answer in hand belongs to another request
    bool open_ = false;
    bool closed_ = false;
    bool reading_ = false;
    bool paused_ = false;
    bool writing_ = false;
    bool server_closes_ = false;
    time_point idle_since_{};
    milliseconds idle_limit_ = idle_default;
};

// Connections to one address. Closing the pool closes the idle ones; exchanges go on.
class upstream_pool
{
public:
    upstream_pool(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint peer);
    ~upstream_pool();

    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    // Starts an exchange on a connection that was idle for at most `max_idle`, or on a new one.
    std::shared_ptr<upstream_connection> start(std::string request, upstream_listener& listener,
                                               milliseconds max_idle, time_point now,
                                               bool answer_has_body = true);
    // Most connections to keep; an idle one is closed before one more is opened.
    void set_limit(std::size_t connections) { limit_ = connections; }
    // Closes idle connections that are too old to be reused.
    void sweep(time_point now);
    void close_idle();

    std::uint64_t opened() const { return opened_; }

private:
    friend class upstream_connection;

    void give_back(std::shared_ptr<upstream_connection> connection);
    void forget(upstream_connection* connection);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::endpoint peer_;
    std::deque<std::shared_ptr<upstream_connection>> idle_;
    std::map<upstream_connection*, std::weak_ptr<upstream_connection>> all_;
    std::size_t limit_ = SIZE_MAX;
    std::size_t connections_ = 0;
    std::uint64_t opened_ = 0;
};

// Parses IP:PORT; nothing when the text is something else.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

} // namespace zinnianotch
