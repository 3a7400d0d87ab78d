#include "transport/upstream.h"

#include "state/enum_names.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <charconv>

namespace zinnianotch
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint32_t response_header_limit = 64 * 1024;
constexpr std::uint64_t response_body_limit = 1ULL << 32;

constexpr std::array<std::string_view, 6> failure_names = {
    "connect_failed",       "peer_unreachable", "connection_lost",
    "broken_before_answer", "broken_in_answer", "invalid_answer"};

// True if an attempt to connect that failed like this has not reached the peer's host.
bool is_unreachable(const boost::system::error_code& error)
{
    return error == asio::error::timed_out || error == asio::error::host_unreachable ||
           error == asio::error::network_unreachable || error == asio::error::network_down;
}

using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

std::string_view to_string(upstream_failure value)
{
    return name_of(failure_names, value);
}

std::optional<tcp::endpoint> parse_socket_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = asio::ip::make_address(std::string(host), error);
    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, port_error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || (bracketed && !address.is_v6()) || port_error != std::errc{} ||
        end != digits.data() + digits.size() || port == 0)
        return std::nullopt;
    return tcp::endpoint(address, port);
}

upstream_connection::upstream_connection(asio::io_context& io, upstream_pool* pool)
    : socket_(io), connect_timer_(io), pool_(pool)
{
}

void upstream_connection::start(const tcp::endpoint& peer, std::string request,
                                upstream_response_handler& handler, bool response_has_body,
                                time_point now)
{
    handler_ = &handler;
    ++exchanges_;
    kept_ = open_;
    sent_at_ = now;
    request_ = std::move(request);
    response_has_body_ = response_has_body;
    head_delivered_ = false;
    skipping_response_ = false;
    skipped_bytes_ = 0;
    reset_under_write_ = false;
    paused_ = false;
    reads_once_ = false;
    parser_.emplace(response_header_limit, response_body_limit);
    if (!response_has_body_)
        parser_->expect_no_body();
    if (open_)
        write();
    else
        connect(peer);
}

void upstream_connection::open_idle(const tcp::endpoint& peer, upstream_open_callback done)
{
    opened_ = std::move(done);
    connect_purpose_ = connect_purpose::open_idle;
    connect(peer);
}

void upstream_connection::on_open_idle(std::optional<upstream_failure> failure)
{
    const upstream_open_callback done = std::exchange(opened_, nullptr);
    if (failure)
        close();
    else
    {
        idle_since_ = steady_clock::now();
        pool_->return_idle(shared_from_this());
        read();
    }
    done(failure);
}

void upstream_connection::cancel()
{
    handler_ = nullptr;
    close();
}

void upstream_connection::set_paused(bool paused)
{
    paused_ = paused;
    if (!paused_ && open_ && !closed_)
        read();
}

void upstream_connection::read_once()
{
    if (reading_ || !open_ || closed_)
        return;
    reads_once_ = true;
    read();
}

std::size_t upstream_connection::unread_request_bytes() const
{
    std::size_t bytes = request_.size() - written_bytes_;
    int queued = 0;
    // The descriptor of a const socket is not accessible.
    const int descriptor = const_cast<tcp::socket&>(socket_).native_handle();
    if (open_ && !closed_ && ::ioctl(descriptor, SIOCOUTQ, &queued) == 0 && queued > 0)
        bytes += static_cast<std::size_t>(queued);
    return bytes;
}

void upstream_connection::connect(const tcp::endpoint& peer)
{
    peer_ = peer;
    boost::system::error_code error;
    (void)socket_.open(peer.protocol(), error);
    const std::uint64_t attempt = ++connect_attempts_;
    if (error)
    {
        // Reported from the event loop, because the caller of start() has not stored this
        // connection yet.
        asio::post(socket_.get_executor(), [self = shared_from_this(), attempt, error]
                   { self->on_connect_failed(attempt, error); });
        return;
    }
    (void)socket_.set_option(tcp::no_delay(true), error);
    (void)socket_.set_option(user_timeout(static_cast<int>(upstream_tcp_user_timeout.count())),
                             error);
    if (pool_ != nullptr && pool_->receive_buffer_bytes_ > 0)
        (void)socket_.set_option(
            asio::socket_base::receive_buffer_size(pool_->receive_buffer_bytes_), error);
    connect_timer_.expires_after(connect_purpose_ == connect_purpose::check_for_loss
                                     ? lost_connection_check_timeout
                                     : upstream_connect_timeout);
    connect_timer_.async_wait(
        [self = shared_from_this(), attempt](const boost::system::error_code& cancelled)
        {
            if (!cancelled && !self->open_)
                self->on_connect_failed(attempt, asio::error::timed_out);
        });
    socket_.async_connect(
        peer,
        [self = shared_from_this(), attempt](const boost::system::error_code& failed)
        {
            if (failed)
                return self->on_connect_failed(attempt, failed);
            if (self->closed_ || attempt != self->connect_attempts_)
                return;
            self->connect_timer_.cancel();
            self->on_connected();
        });
}

void upstream_connection::on_connect_failed(std::uint64_t attempt,
                                            const boost::system::error_code& error)
{
    if (closed_ || attempt != connect_attempts_)
        return;
    connect_timer_.cancel();
    const bool refused = error == asio::error::connection_refused;
    const upstream_failure failure = is_unreachable(error) ? upstream_failure::peer_unreachable
                                                           : upstream_failure::connect_failed;
    switch (connect_purpose_)
    {
    case connect_purpose::send_request:
        return fail(failure);
    case connect_purpose::open_idle:
        return on_open_idle(failure);
    case connect_purpose::check_for_loss:
        return fail(refused ? upstream_failure::broken_before_answer
                            : upstream_failure::connection_lost);
    case connect_purpose::confirm_end:
        break;
    }
    if (refused)
        return finish_unconfirmed();
    if (error == asio::error::connection_reset || error == asio::error::broken_pipe)
    {
        // Established and then reset, as at a connection limit.
        server_will_close_ = true;
        return finish();
    }
    ++connect_attempts_;
    connect_timer_.expires_after(confirm_retry_interval);
    connect_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& cancelled)
        {
            if (!cancelled && !self->closed_)
                self->reconnect(connect_purpose::confirm_end);
        });
}

void upstream_connection::on_connected()
{
    open_ = true;
    switch (std::exchange(connect_purpose_, connect_purpose::send_request))
    {
    case connect_purpose::send_request:
        return write();
    case connect_purpose::open_idle:
        return on_open_idle(std::nullopt);
    case connect_purpose::confirm_end:
        return finish();
    case connect_purpose::check_for_loss:
        break;
    }
    fail(upstream_failure::connection_lost);
}

// The end of its connection does not tell a complete response from the part that a server had sent
// when it crashed. The host of a crashed server refuses connections, so the response is complete if
// a new connection can be opened; the new one is kept for later exchanges. A refusal leaves it
// open, since a server may also exit after its last response. A server that is silent may be sound,
// so this is repeated until it is known or the exchange is cancelled.
//
// Nor does a kept connection that breaks under a request tell whether its server had closed it
// before or has crashed at once. A crashed one refuses connections for a while.
void upstream_connection::reconnect(connect_purpose purpose)
{
    boost::system::error_code ignored;
    (void)socket_.close(ignored);
    open_ = false;
    server_will_close_ = false;
    exchanges_ = 0;
    connect_purpose_ = purpose;
    if (pool_ != nullptr)
        ++pool_->opened_;
    connect(peer_);
}

void upstream_connection::write()
{
    writing_ = true;
    written_bytes_ = 0;
    write_some();
    read();
}

void upstream_connection::write_some()
{
    socket_.async_write_some(asio::buffer(request_) + written_bytes_,
                             [self = shared_from_this(), attempt = connect_attempts_](
                                 const boost::system::error_code& error, std::size_t count)
                             {
                                 // The rest of a request must not follow on the connection that
                                 // replaced this one.
                                 const bool is_replaced = attempt != self->connect_attempts_;
                                 self->written_bytes_ += count;
                                 if (!error && !is_replaced && !self->closed_ &&
                                     self->written_bytes_ < self->request_.size())
                                     return self->write_some();
                                 self->writing_ = false;
                                 self->request_ = {}; // may be large
                                 self->written_bytes_ = 0;
                                 if (error && !is_replaced)
                                     self->on_write_failed(error);
                             });
}

void upstream_connection::on_write_failed(const boost::system::error_code& error)
{
    // The system reports a reset once. If a write receives it, the next read finds the end of the
    // stream. After an end in order, a write fails with broken_pipe instead.
    reset_under_write_ = error != asio::error::broken_pipe;
    // A server may send its response and close before it has read the whole request, so a pending
    // read decides the outcome. Without one, the error is reported here.
    if (!reading_ && !closed_ && connect_purpose_ == connect_purpose::send_request)
        on_broken(steady_clock::now());
}

void upstream_connection::read()
{
    if (reading_ || closed_ || (paused_ && !reads_once_))
        return;
    reading_ = true;
    reads_once_ = false;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count)
        { self->on_read(error, count); });
}

void upstream_connection::on_read(const boost::system::error_code& error, std::size_t count)
{
    reading_ = false;
    if (closed_)
        return;
    if (handler_ == nullptr)
        return close(); // idle: closed by the server, or unsolicited bytes
    if (!error)
    {
        unparsed_.append(buffer_.data(), count);
        return parse();
    }
    boost::beast::error_code parse_error;
    const bool closed_by_server = error == asio::error::eof && !reset_under_write_;
    if (closed_by_server && head_delivered_ && parser_->framing() == body_framing::until_close)
    {
        parser_->feed_eof(parse_error);
        if (!parse_error && parser_->done())
            return reconnect(connect_purpose::confirm_end);
    }
    on_broken(steady_clock::now());
}

void upstream_connection::parse()
{
    const auto self = shared_from_this();
    while (!unparsed_.empty())
    {
        boost::beast::error_code error;
        const std::size_t consumed = parser_->feed(unparsed_, error);
        unparsed_.erase(0, consumed);
        const bool skips = skipping_response_ || parser_->head.status / 100 == 1;
        skipped_bytes_ += skips ? consumed : 0;
        // The parser leaves bytes only of an incomplete head or chunk header, which may never end.
        if (error || skipped_bytes_ > skipped_bytes_limit ||
            (!parser_->done() && unparsed_.size() > response_header_limit))
            return fail(upstream_failure::invalid_answer);
        if (!deliver())
            return;
        if (!parser_->done())
            break;
        const bool interim = parser_->head.status / 100 == 1;
        if (!interim && !skipping_response_)
            return finish();
        skipping_response_ = false;
        parser_.emplace(response_header_limit, response_body_limit);
        if (!response_has_body_)
            parser_->expect_no_body();
    }
    read();
}

// Passes the parsed head and body bytes to the handler. False when the exchange ended in a
// callback.
bool upstream_connection::deliver()
{
    if (!parser_->head_done() || parser_->head.status / 100 == 1)
        return true;
    if (!head_delivered_ && !skipping_response_)
    {
        if (!handler_->matches_request(parser_->head))
            skipping_response_ = true;
        else
        {
            head_delivered_ = true;
            read_keep_alive();
            handler_->on_head(parser_->head, parser_->framing(), parser_->content_length());
        }
    }
    if (closed_ || handler_ == nullptr)
        return false;
    std::string body = std::move(parser_->body);
    parser_->body.clear();
    if (!skipping_response_ && !body.empty())
        handler_->on_body(std::move(body));
    return !closed_ && handler_ != nullptr;
}

void upstream_connection::read_keep_alive()
{
    server_will_close_ = server_will_close_ || !parser_->keep_alive();
    const auto field = find_field(parser_->head, "Keep-Alive");
    if (!field)
        return;
    constexpr std::string_view key = "timeout=";
    const std::size_t at = field->find(key);
    if (at == std::string_view::npos)
        return;
    const std::string_view digits = field->substr(at + key.size());
    std::uint32_t seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec == std::errc{})
        idle_timeout_ = std::max(milliseconds(0),
                                 milliseconds(std::int64_t{seconds} * 1000) - keep_alive_margin);
}

// Ends an exchange whose response is complete. The connection is not reused when further bytes
// were received, which belong to no request, or when the server responded before it had the whole
// request: it would parse the next request as the rest of this one.
void upstream_connection::finish()
{
    upstream_response_handler* const handler = std::exchange(handler_, nullptr);
    if (server_will_close_ || writing_ || !unparsed_.empty() || pool_ == nullptr)
        close();
    else
    {
        idle_since_ = steady_clock::now();
        pool_->return_idle(shared_from_this());
        paused_ = false;
        read();
    }
    handler->on_end();
}

void upstream_connection::finish_unconfirmed()
{
    upstream_response_handler* const handler = std::exchange(handler_, nullptr);
    close();
    handler->on_unconfirmed_end();
}

// Ends an exchange whose connection has ended before the response was complete.
void upstream_connection::on_broken(time_point now)
{
    if (head_delivered_)
        return fail(upstream_failure::broken_in_answer);
    const bool answer_begun = parser_->started() || !unparsed_.empty();
    if (kept_ && !answer_begun && now - sent_at_ <= lost_connection_max_delay)
        return reconnect(connect_purpose::check_for_loss);
    fail(upstream_failure::broken_before_answer);
}

void upstream_connection::fail(upstream_failure failure)
{
    upstream_response_handler* const handler = handler_;
    handler_ = nullptr;
    close();
    if (handler != nullptr)
        handler->on_failure(failure);
}

void upstream_connection::close()
{
    if (closed_)
        return;
    closed_ = true;
    connect_timer_.cancel();
    boost::system::error_code ignored;
    (void)socket_.close(ignored);
    if (pool_ != nullptr)
        pool_->remove(this);
}

upstream_pool::upstream_pool(asio::io_context& io, tcp::endpoint peer)
    : io_(io), peer_(std::move(peer))
{
}

upstream_pool::~upstream_pool()
{
    // Exchanges in progress are cancelled without a callback, because their handlers are destroyed
    // together with the owner of the pool.
    const auto all = std::move(all_);
    all_.clear();
    idle_.clear();
    for (const auto& [connection, reference] : all)
    {
        const auto alive = reference.lock();
        if (!alive)
            continue;
        alive->pool_ = nullptr;
        alive->cancel();
    }
}

std::shared_ptr<upstream_connection> upstream_pool::start(std::string request,
                                                          upstream_response_handler& handler,
                                                          milliseconds max_idle, time_point now,
                                                          bool response_has_body)
{
    std::shared_ptr<upstream_connection> connection;
    // The most recently used connection is the least likely to be closed by the server.
    if (!idle_.empty())
    {
        const milliseconds limit = std::min(max_idle, idle_.back()->idle_timeout());
        if (now - idle_.back()->idle_since() <= limit)
        {
            connection = std::move(idle_.back());
            idle_.pop_back();
        }
    }
    if (!connection)
    {
        if (connection_count_ >= max_connections_ && !idle_.empty())
        {
            const auto oldest = idle_.front();
            idle_.pop_front();
            oldest->close();
        }
        connection = add_connection();
    }
    connection->start(peer_, std::move(request), handler, response_has_body, now);
    return connection;
}

std::shared_ptr<upstream_connection> upstream_pool::add_connection()
{
    auto connection = std::make_shared<upstream_connection>(io_, this);
    all_.emplace(connection.get(), connection);
    ++connection_count_;
    ++opened_;
    return connection;
}

void upstream_pool::open_idle(upstream_open_callback done)
{
    add_connection()->open_idle(peer_, std::move(done));
}

void upstream_pool::sweep(time_point now)
{
    while (!idle_.empty() && now - idle_.front()->idle_since() > idle_.front()->idle_timeout())
    {
        const auto oldest = idle_.front();
        idle_.pop_front();
        oldest->close();
    }
}

void upstream_pool::close_idle()
{
    const auto idle = std::move(idle_);
    idle_.clear();
    for (const auto& connection : idle)
        connection->close();
}

void upstream_pool::return_idle(std::shared_ptr<upstream_connection> connection)
{
    idle_.push_back(std::move(connection));
}

void upstream_pool::remove(upstream_connection* connection)
{
    if (all_.erase(connection) > 0)
        --connection_count_;
    std::erase_if(idle_, [&](const auto& idle) { return idle.get() == connection; });
}

} // namespace zinnianotch
