#include "transport/server_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <vector>

namespace zinnianotch
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";

// Status for bytes that the parser rejects.
std::pair<int, std::string_view> status_of(const boost::beast::error_code& code)
{
    using boost::beast::http::error;
    if (code == error::header_limit || code == error::buffer_overflow)
        return {431, "Request Header Fields Too Large"};
    if (code == error::body_limit)
        return {413, "Content Too Large"};
    return {400, "Bad Request"};
}

} // namespace

server_connection::server_connection(tcp::socket socket, server_listener& owner)
    : socket_(std::move(socket)), owner_(owner)
{
}

void server_connection::start(time_point now)
{
    idle_since_ = now;
    boost::system::error_code ignored;
    (void)socket_.set_option(tcp::no_delay(true), ignored);
    read();
}

void server_connection::send(std::string bytes)
{
    if (closed_)
        return;
    unsent_ += bytes.size();
    if (queued_.empty())
        queued_ = std::move(bytes);
    else
        queued_ += bytes;
    write_next();
}

void server_connection::end(bool keep_alive)
{
    ending_ = true;
    keep_alive_ = keep_alive && !closing_;
    on_left = nullptr;
    on_writable = nullptr;
    if (!writing_now_ && queued_.empty())
        finish_answer();
}

void server_connection::abort()
{
    on_left = nullptr;
    on_writable = nullptr;
    if (closed_)
        return;
    boost::system::error_code ignored;
    (void)socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void server_connection::close_when_idle()
{
    closing_ = true;
    if (!busy_ && !has_partial_request() && pending_.empty())
        close();
}

void server_connection::sweep(time_point now)
{
    const server_limits_now& limits = owner_.limits_;
    if (closed_)
        return;
    if (lingering_)
    {
        if (now >= linger_until_)
            close();
        return;
    }
    if (writing_now_ && now - write_progress_at_ > write_timeout)
    {
        left();
        return close();
    }
    if (busy_)
        return;
    if (has_partial_request())
    {
        const bool head_late =
            !parser_->head_done() && now - first_byte_at_ > limits.header_timeout;
        if (head_late || now - first_byte_at_ > limits.idle_timeout)
            refuse(408, "Request Timeout");
        return;
    }
    if (now - idle_since_ > limits.idle_timeout)
        close();
}

// A read is always pending: while a request is served, it shows that the caller has left.
void server_connection::read()
{
    if (reading_ || closed_ || (busy_ && pending_.size() >= pipelined_limit))
        return;
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count)
        { self->on_read(error, count); });
}

void server_connection::on_read(const boost::system::error_code& error, std::size_t count)
{
    reading_ = false;
    if (closed_)
        return;
    if (error)
    {
        left();
        return close();
    }
    if (!lingering_)
    {
        pending_.append(buffer_.data(), count);
        if (!busy_)
            parse(steady_clock::now());
    }
    read();
}

void server_connection::parse(time_point now)
{
    if (pending_.empty() || busy_ || closed_)
        return;
    if (!parser_)
    {
        parser_.emplace(owner_.limits_.header_bytes, owner_.limits_.body_bytes);
        first_byte_at_ = now;
    }
    const bool had_head = parser_->head_done();
    boost::beast::error_code error;
    const std::size_t used = parser_->feed(pending_, error);
    pending_.erase(0, used);
    if (error)
    {
        const auto [status, phrase] = status_of(error);
        return refuse(status, phrase);
    }
    if (!had_head && parser_->head_done() && !parser_->done())
    {
        const auto expect = find_field(parser_->head, "Expect");
        if (expect && equal_names(*expect, "100-continue"))
            send(std::string(continue_line));
    }
    if (!parser_->done())
        return;
    busy_ = true;
    keep_alive_ = parser_->keep_alive();
    received_request request{std::move(parser_->head), std::move(parser_->body), first_byte_at_};
    parser_.reset();
    owner_.on_request_(shared_from_this(), std::move(request));
}

// Answers bytes that are no acceptable request. They have not run, but 400, 413 and 431 are final.
void server_connection::refuse(int status, std::string_view phrase)
{
    if (owner_.on_refused)
        owner_.on_refused(status);
    busy_ = true;
    parser_.reset();
    pending_.clear();
    send("HTTP/1.1 " + std::to_string(status) + " " + std::string(phrase) +
         "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    end(false);
}

void server_connection::write_next()
{
    if (writing_now_ || closed_ || queued_.empty())
        return;
    writing_now_ = true;
    writing_ = std::move(queued_);
    queued_.clear();
    write_progress_at_ = steady_clock::now();
    asio::async_write(
        socket_, asio::buffer(writing_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t)
        {
            self->writing_now_ = false;
            if (self->closed_)
                return;
            if (error)
            {
                self->left();
                return self->close();
            }
            self->unsent_ -= self->writing_.size();
            self->writing_.clear();
            if (!self->queued_.empty())
                return self->write_next();
            if (self->ending_)
                return self->finish_answer();
            if (self->on_writable)
                self->on_writable();
        });
}

void server_connection::finish_answer()
{
    ending_ = false;
    const time_point now = steady_clock::now();
    if (!keep_alive_ || closing_)
        return start_linger(now);
    busy_ = false;
    idle_since_ = now;
    if (!pending_.empty())
        parse(now);
    read();
}

void server_connection::start_linger(time_point now)
{
    boost::system::error_code error;
    (void)socket_.shutdown(tcp::socket::shutdown_send, error);
    if (error)
        return close();
    lingering_ = true;
    linger_until_ = now + linger_time;
    pending_.clear();
    read();
}

void server_connection::left()
{
    const auto notify = std::move(on_left);
    on_left = nullptr;
    on_writable = nullptr;
    if (notify)
        notify();
}

void server_connection::close()
{
    if (closed_)
        return;
    closed_ = true;
    const auto keep = shared_from_this();
    boost::system::error_code ignored;
    (void)socket_.close(ignored);
    owner_.connections_.erase(keep);
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
        return;
    const auto connection = std::make_shared<server_connection>(std::move(socket), *this);
    connections_.insert(connection);
    connection->start(steady_clock::now());
}

void server_listener::close_idle()
{
    const std::vector<std::shared_ptr<server_connection>> all(connections_.begin(),
                                                              connections_.end());
    for (const auto& connection : all)
        connection->close_when_idle();
}

void server_listener::sweep(time_point now)
{
    const std::vector<std::shared_ptr<server_connection>> all(connections_.begin(),
                                                              connections_.end());
    for (const auto& connection : all)
        connection->sweep(now);
}

std::size_t server_listener::busy() const
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
