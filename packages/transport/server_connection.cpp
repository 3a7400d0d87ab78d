#include "transport/server_connection.h"

#include "state/enum_names.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <vector>

namespace zinnianotch
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::array<std::string_view, 8> close_reason_names = {
    "idle",          "client_left", "write_timeout",        "broken_off",
    "last_response", "stop",        "too_many_connections", "memory_short"};
constexpr std::array<std::string_view, 4> request_progress_names = {"none", "partly_read",
                                                                    "unanswered", "answer_begun"};

// After these, other connections have their turn.
constexpr int max_reads_per_wait = 16;

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

// Status line of the response to a request that the parser rejects.
std::pair<int, std::string_view> status_of_parse_error(const boost::beast::error_code& code)
{
    using boost::beast::http::error;
    if (code == error::header_limit || code == error::buffer_overflow)
        return {431, "Request Header Fields Too Large"};
    if (code == error::body_limit)
        return {413, "Content Too Large"};
    return {400, "Bad Request"};
}

} // namespace

std::string_view to_string(close_reason value)
{
    return name_of(close_reason_names, value);
}

std::string_view to_string(request_progress value)
{
    return name_of(request_progress_names, value);
}

server_connection::server_connection(tcp::socket socket, server_listener& owner)
    : socket_(std::move(socket)), owner_(owner)
{
}

void server_connection::start(time_point now)
{
    become_idle(now);
    held_response_ = held_bytes(
        owner_.memory_, held_kind::response,
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
                self->yield_response();
        },
        now);
    boost::system::error_code ignored;
    (void)socket_.set_option(tcp::no_delay(true), ignored);
    (void)socket_.non_blocking(true, ignored);
    read();
}

void server_connection::send(std::string bytes)
{
    if (closed_)
        return;
    response_begun_ = busy_; // not by an interim response
    unsent_bytes_ += bytes.size();
    if (held_response_)
        held_response_.grow(bytes.size(), steady_clock::now());
    if (write_queue_.empty())
        write_queue_ = std::move(bytes);
    else
        write_queue_ += bytes;
    write_next();
}

void server_connection::end(bool keep_alive)
{
    response_ended_ = true;
    keep_alive_ = keep_alive;
    on_disconnect = nullptr;
    on_writable = nullptr;
    if (!write_pending_ && write_queue_.empty())
        finish_response();
}

void server_connection::abort()
{
    on_disconnect = nullptr;
    on_writable = nullptr;
    if (closed_)
        return;
    boost::system::error_code ignored;
    (void)socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close(close_reason::broken_off);
}

void server_connection::close_when_idle(time_point now)
{
    close_when_idle_ = true;
    if (!request_received_ && now - idle_since_ < first_request_time)
        return;
    if (!busy_ && !has_partial_request() && !has_unparsed_bytes())
        close(close_reason::stop);
}

void server_connection::sweep(time_point now)
{
    if (closed_)
        return;
    if (lingering_)
    {
        if (now >= linger_until_)
            close(close_reason::last_response);
        return;
    }
    if (write_pending_ && now - write_progress_at_ > write_timeout)
    {
        handle_disconnect();
        return close(close_reason::write_timeout);
    }
    if (busy_)
        return;
    // Clients may use what their connection was allowed when it became idle.
    const milliseconds idle_timeout = std::max(idle_timeout_, owner_.limits_.idle_timeout);
    if (has_partial_request())
    {
        const bool timed_out =
            parser_->head_done()
                ? now - last_byte_at_ > idle_timeout || now - first_byte_at_ > body_timeout
                : now - first_byte_at_ > owner_.limits_.header_timeout;
        if (timed_out && !has_unread_bytes())
            refuse(408, "Request Timeout");
        return;
    }
    if (now - idle_since_ > idle_timeout && !has_unparsed_bytes())
        close(close_reason::idle);
}

// Waits for input also while a request is served, in order to detect that the caller disconnects.
// The bytes stay in the socket until they are handled, where has_unparsed_bytes() finds them: those
// of async_read_some may be in a queued completion.
void server_connection::read()
{
    if (read_pending_ || closed_ || (busy_ && unparsed_.size() >= pipelined_bytes_limit))
        return;
    read_pending_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& error)
                       { self->on_readable(error); });
}

void server_connection::on_readable(boost::system::error_code error)
{
    read_pending_ = false;
    std::array<char, 16384>& buffer = owner_.buffer_;
    std::size_t count = buffer.size();
    // A read that fills the buffer may have left bytes in the socket.
    for (int i = 0; i < max_reads_per_wait && count == buffer.size(); ++i)
    {
        if (closed_)
            return;
        if (!error)
            count = socket_.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block)
            break;
        if (error)
        {
            handle_disconnect();
            return close(close_reason::client_left);
        }
        on_read(count);
        if (busy_ && unparsed_.size() >= pipelined_bytes_limit)
            break;
    }
    read();
}

void server_connection::on_read(std::size_t count)
{
    if (lingering_)
        return;
    unparsed_.append(owner_.buffer_.data(), count);
    if (!busy_)
        parse(steady_clock::now());
}

void server_connection::parse(time_point now)
{
    if (unparsed_.empty() || busy_ || closed_)
        return;
    if (!parser_)
    {
        parser_.emplace(owner_.limits_.header_bytes, owner_.limits_.body_bytes);
        first_byte_at_ = now;
    }
    last_byte_at_ = now;
    const bool had_head = parser_->head_done();
    boost::beast::error_code error;
    const std::size_t consumed = parser_->feed(unparsed_, error);
    unparsed_.erase(0, consumed);
    if (error)
    {
        const auto [status, reason_phrase] = status_of_parse_error(error);
        return refuse(status, reason_phrase);
    }
    // The parser leaves bytes only of an incomplete head or chunk header, which may never end.
    if (!parser_->done() && unparsed_.size() > owner_.limits_.header_bytes)
        return refuse(400, "Bad Request");
    if (!reserve_body(now))
        return refuse_for_memory();
    held_body_.note_progress(consumed, now);
    if (!had_head && parser_->head_done() && !parser_->done())
    {
        const auto expect = find_field(parser_->head, "Expect");
        if (expect && equals_ignore_case(*expect, "100-continue"))
            send(std::string(continue_response));
    }
    if (!parser_->done())
        return;
    busy_ = true;
    response_begun_ = false;
    request_received_ = true;
    keep_alive_ = parser_->keep_alive();
    if (held_body_)
    {
        held_bytes whole(owner_.memory_, held_kind::request_body, nullptr, now);
        whole.grow(body_copies * parser_->body.size(), now);
        held_body_ = std::move(whole);
    }
    received_request request{std::move(parser_->head), std::move(parser_->body), first_byte_at_};
    parser_.reset();
    owner_.on_request_(shared_from_this(), std::move(request));
}

// Counts the body of the request, with its whole length if that is known. False if it exceeds what
// all bodies together may use.
bool server_connection::reserve_body(time_point now)
{
    const std::uint64_t needed =
        std::max<std::uint64_t>(parser_->body.size(), parser_->content_length().value_or(0));
    if (needed <= reserved_body_bytes_)
        return true;
    const std::uint64_t others = owner_.body_bytes_ - reserved_body_bytes_;
    if (owner_.memory_ && owner_.memory_->ledger.is_bounded())
    {
        if (!owner_.memory_->ledger.admits_body(needed, reserved_body_bytes_))
            return false;
        if (!held_body_)
            held_body_ = held_bytes(
                owner_.memory_, held_kind::incoming_body,
                [weak = weak_from_this()]
                {
                    if (const auto self = weak.lock())
                        self->refuse_for_memory();
                },
                now);
        held_body_.grow(body_copies * (needed - reserved_body_bytes_), now);
    }
    else if (others > 0 && others + needed > owner_.limits_.total_body_bytes)
        return false;
    owner_.body_bytes_ = others + needed;
    reserved_body_bytes_ = needed;
    if (parser_->content_length())
        parser_->body.reserve(needed);
    return true;
}

void server_connection::release_body()
{
    owner_.body_bytes_ -= std::exchange(reserved_body_bytes_, 0);
    held_body_.release();
}

void server_connection::refuse_for_memory()
{
    refuse(503, "Service Unavailable",
           "Retry-After: " + std::to_string(retry_after_no_memory_s) + "\r\n");
}

// Ends a response that its client reads too slowly. The reset keeps it from looking complete.
void server_connection::yield_response()
{
    handle_disconnect();
    if (closed_)
        return;
    boost::system::error_code ignored;
    (void)socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close(close_reason::memory_short);
}

// Sends an error response to a request that never reached the handler, and ends the connection. The
// request has not run, but retrying it after 400, 413 or 431 would fail again.
void server_connection::refuse(int status, std::string_view reason_phrase, std::string_view fields)
{
    release_body();
    if (owner_.on_refused)
        owner_.on_refused(status);
    busy_ = true;
    refused_ = true;
    parser_.reset();
    unparsed_.clear();
    send("HTTP/1.1 " + std::to_string(status) + " " + std::string(reason_phrase) +
         "\r\nContent-Length: 0\r\n" + std::string(fields) + "Connection: close\r\n\r\n");
    end(false);
}

void server_connection::write_next()
{
    if (write_pending_ || closed_ || write_queue_.empty())
        return;
    write_pending_ = true;
    write_buffer_ = std::move(write_queue_);
    write_queue_.clear();
    written_bytes_ = 0;
    write_some();
}

// Writes in parts, so that the write timeout applies to each of them: a slow client that keeps
// reading is not cut off.
void server_connection::write_some()
{
    write_progress_at_ = steady_clock::now();
    socket_.async_write_some(
        asio::buffer(write_buffer_) + written_bytes_,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count)
        {
            if (self->closed_)
                return;
            if (error)
            {
                self->write_pending_ = false;
                self->handle_disconnect();
                return self->close(close_reason::client_left);
            }
            self->written_bytes_ += count;
            self->unsent_bytes_ -= count;
            if (self->held_response_)
                self->held_response_.drain(count, steady_clock::now());
            if (self->written_bytes_ < self->write_buffer_.size())
                return self->write_some();
            self->write_pending_ = false;
            self->write_buffer_.clear();
            if (!self->write_queue_.empty())
                return self->write_next();
            if (self->response_ended_)
                return self->finish_response();
            if (self->on_writable)
                self->on_writable();
        });
}

void server_connection::finish_response()
{
    response_ended_ = false;
    release_body();
    const time_point now = steady_clock::now();
    // A request that has arrived already is served before the connection closes.
    if (!keep_alive_ || (close_when_idle_ && !has_unparsed_bytes()))
        return start_linger(now);
    busy_ = false;
    become_idle(now);
    if (!unparsed_.empty())
        parse(now);
    read();
}

void server_connection::become_idle(time_point now)
{
    idle_since_ = now;
    idle_timeout_ = owner_.limits_.idle_timeout;
}

void server_connection::start_linger(time_point now)
{
    // Further bytes after a refusal belong to the refused request.
    if (!refused_ && has_unparsed_bytes())
        report_unanswered(close_reason::last_response, request_progress::partly_read);
    lingering_ = true;
    boost::system::error_code error;
    (void)socket_.shutdown(tcp::socket::shutdown_send, error);
    if (error)
        return close(close_reason::client_left);
    linger_until_ = now + linger_time;
    unparsed_.clear();
    read();
}

void server_connection::handle_disconnect()
{
    const auto notify = std::move(on_disconnect);
    on_disconnect = nullptr;
    on_writable = nullptr;
    if (notify)
        notify();
}

bool server_connection::has_unparsed_bytes() const
{
    return !unparsed_.empty() || has_unread_bytes();
}

bool server_connection::has_unread_bytes() const
{
    boost::system::error_code ignored;
    return socket_.available(ignored) > 0;
}

request_progress server_connection::progress() const
{
    if (lingering_)
        return request_progress::none;
    if (busy_)
        return response_begun_ ? request_progress::answer_begun : request_progress::unanswered;
    return has_partial_request() || has_unparsed_bytes() ? request_progress::partly_read
                                                         : request_progress::none;
}

void server_connection::report_unanswered(close_reason why, request_progress progress)
{
    if (owner_.on_unanswered_close)
        owner_.on_unanswered_close(why, progress);
}

void server_connection::close(close_reason why)
{
    if (closed_)
        return;
    if (const request_progress left = progress(); left != request_progress::none)
        report_unanswered(why, left);
    closed_ = true;
    release_body();
    held_response_.release();
    const auto self = shared_from_this();
    boost::system::error_code ignored;
    (void)socket_.close(ignored);
    owner_.connections_.erase(self);
}

server_listener::server_listener(asio::io_context& io, const std::string& address,
                                 std::uint16_t port, handler on_request)
    : on_request_(std::move(on_request)),
      acceptor_(io, address, port, [this](tcp::socket socket) { add(std::move(socket)); })
{
}

void server_listener::add(tcp::socket socket)
{
    if (connections_.size() >= max_connections_)
    {
        if (on_unanswered_close)
            on_unanswered_close(close_reason::too_many_connections, request_progress::none);
        return;
    }
    const auto connection = std::make_shared<server_connection>(std::move(socket), *this);
    connections_.insert(connection);
    connection->start(steady_clock::now());
}

void server_listener::close_connections_when_idle(time_point now)
{
    const std::vector<std::shared_ptr<server_connection>> all(connections_.begin(),
                                                              connections_.end());
    for (const auto& connection : all)
        connection->close_when_idle(now);
}

void server_listener::close_all()
{
    const auto all = connections_;
    for (const auto& connection : all)
        connection->close(close_reason::stop);
}

void server_listener::sweep(time_point now)
{
    const std::vector<std::shared_ptr<server_connection>> all(connections_.begin(),
                                                              connections_.end());
    for (const auto& connection : all)
        connection->sweep(now);
}

std::size_t server_listener::busy_count() const
{
    std::size_t count = 0;
    for (const auto& connection : connections_)
    {
        if (connection->is_busy() || connection->has_partial_request())
            ++count;
    }
    return count;
}

} // namespace zinnianotch
