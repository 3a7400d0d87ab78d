#include "transport/upstream.h"

#include "state/enum_names.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <charconv>

namespace zinnianotch
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint32_t answer_header_limit = 64 * 1024;
constexpr std::uint64_t answer_body_limit = 1ULL << 32;

constexpr std::array<std::string_view, 4> failure_names = {"connect_failed", "broken_before_answer",
                                                           "broken_in_answer", "invalid_answer"};

using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

std::string_view to_string(upstream_failure value)
{
    return name_of(failure_names, value);
}

std::optional<tcp::endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto [stop, bad] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || bad != std::errc{} || stop != digits.data() + digits.size() || port == 0)
        return std::nullopt;
    return tcp::endpoint(address, port);
}

upstream_connection::upstream_connection(asio::io_context& io, upstream_pool* pool)
    : socket_(io), connect_timer_(io), pool_(pool)
{
}

void upstream_connection::start(const tcp::endpoint& peer, std::string request,
                                upstream_listener& listener, bool answer_has_body)
{
    listener_ = &listener;
    request_ = std::move(request);
    answer_has_body_ = answer_has_body;
    head_delivered_ = false;
    skipping_ = false;
    paused_ = false;
    parser_.emplace(answer_header_limit, answer_body_limit);
    if (!answer_has_body_)
        parser_->expect_no_body();
    if (open_)
        write();
    else
        connect(peer);
}

void upstream_connection::cancel()
{
    listener_ = nullptr;
    close();
}

void upstream_connection::set_paused(bool paused)
{
    paused_ = paused;
    if (!paused_ && open_ && !closed_)
        read();
}

void upstream_connection::connect(const tcp::endpoint& peer)
{
    boost::system::error_code error;
    (void)socket_.open(peer.protocol(), error);
    if (error)
    {
        // Reported from the loop, because the caller has not stored this connection yet.
        asio::post(socket_.get_executor(),
                   [self = shared_from_this()] { self->fail(upstream_failure::connect_failed); });
        return;
    }
    (void)socket_.set_option(tcp::no_delay(true), error);
    (void)socket_.set_option(user_timeout(static_cast<int>(upstream_user_timeout.count())), error);
    connect_timer_.expires_after(upstream_connect_timeout);
    connect_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& cancelled)
        {
            if (!cancelled && !self->open_)
                self->fail(upstream_failure::connect_failed);
        });
    socket_.async_connect(peer,
                          [self = shared_from_this()](const boost::system::error_code& failed)
                          {
                              if (self->closed_)
                                  return;
                              self->connect_timer_.cancel();
                              if (failed)
                                  return self->fail(upstream_failure::connect_failed);
                              self->open_ = true;
                              self->write();
                          });
}

void upstream_connection::write()
{
    writing_ = true;
    asio::async_write(
        socket_, asio::buffer(request_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t)
        {
            self->writing_ = false;
            // A server may answer and close before it has read the whole request:
            // the reader decides. Without an open reader nobody else would notice.
            if (error && !self->reading_ && !self->closed_)
                self->fail(upstream_failure::broken_before_answer);
        });
    read();
}

void upstream_connection::read()
{
    if (reading_ || closed_ || paused_)
        return;
    reading_ = true;
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
    if (listener_ == nullptr)
        return close(); // idle: closed by its server, or bytes that nobody asked for
    if (!error)
    {
        pending_.append(buffer_.data(), count);
        return parse();
    }
    boost::beast::error_code parse_error;
    const bool clean_end = error == asio::error::eof;
    if (clean_end && head_delivered_ && parser_->framing() == body_framing::until_close)
    {
        parser_->feed_end(parse_error);
        if (!parse_error && parser_->done())
        {
            server_closes_ = true;
            return finish();
        }
    }
    fail(head_delivered_ ? upstream_failure::broken_in_answer
                         : upstream_failure::broken_before_answer);
}

void upstream_connection::parse()
{
    const auto keep = shared_from_this();
    while (!pending_.empty())
    {
        boost::beast::error_code error;
        const std::size_t used = parser_->feed(pending_, error);
        pending_.erase(0, used);
        if (error)
            return fail(upstream_failure::invalid_answer);
        if (!deliver())
            return;
        if (!parser_->done())
            break;
        const bool interim = parser_->head.status / 100 == 1;
        if (!interim && !skipping_)
            return finish();
        skipping_ = false;
        parser_.emplace(answer_header_limit, answer_body_limit);
        if (!answer_has_body_)
            parser_->expect_no_body();
    }
    read();
}

// Hands on what the parser has; false when the exchange has ended meanwhile.
bool upstream_connection::deliver()
{
    if (!parser_->head_done() || parser_->head.status / 100 == 1)
        return true;
    if (!head_delivered_ && !skipping_)
    {
        if (!listener_->owns(parser_->head))
            skipping_ = true;
        else
        {
            head_delivered_ = true;
            note_keep_alive();
            listener_->on_head(parser_->head, parser_->framing(), parser_->content_length());
        }
    }
    if (closed_ || listener_ == nullptr)
        return false;
    std::string body = std::move(parser_->body);
    parser_->body.clear();
    if (!skipping_ && !body.empty())
        listener_->on_body(std::move(body));
    return !closed_ && listener_ != nullptr;
}

void upstream_connection::note_keep_alive()
{
    server_closes_ = server_closes_ || !parser_->keep_alive();
    const auto text = find_field(parser_->head, "Keep-Alive");
    if (!text)
        return;
    constexpr std::string_view key = "timeout=";
    const std::size_t at = text->find(key);
    if (at == std::string_view::npos)
        return;
    const std::string_view digits = text->substr(at + key.size());
    std::uint32_t seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec == std::errc{})
        idle_limit_ = std::max(milliseconds(0), milliseconds(seconds * 1000) - keep_alive_margin);
}

// The answer is complete. The connection is not reused when bytes follow, which belong to no
// request, nor when the server answered before it had the whole request: it would take the next
// request for the rest of this one.
void upstream_connection::finish()
{
    upstream_listener* const listener = listener_;
    listener_ = nullptr;
    if (server_closes_ || writing_ || !pending_.empty() || pool_ == nullptr)
        close();
    else
    {
        idle_since_ = steady_clock::now();
        pool_->give_back(shared_from_this());
        paused_ = false;
        read();
    }
    listener->on_end();
}

void upstream_connection::fail(upstream_failure failure)
{
    upstream_listener* const listener = listener_;
    listener_ = nullptr;
    close();
    if (listener != nullptr)
        listener->on_failure(failure);
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
        pool_->forget(this);
}

upstream_pool::upstream_pool(asio::io_context& io, tcp::endpoint peer)
    : io_(io), peer_(std::move(peer))
{
}

upstream_pool::~upstream_pool()
{
    // Exchanges under way end without a word: their listeners go with the owner of the pool.
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
                                                          upstream_listener& listener,
                                                          milliseconds max_idle, time_point now,
                                                          bool answer_has_body)
{
    std::shared_ptr<upstream_connection> connection;
    // The connection used last is the least likely to be closed by its server.
    if (!idle_.empty())
    {
        const milliseconds limit = std::min(max_idle, idle_.back()->idle_limit());
        if (now - idle_.back()->idle_since() <= limit)
        {
            connection = std::move(idle_.back());
            idle_.pop_back();
        }
    }
    if (!connection)
    {
        if (connections_ >= limit_ && !idle_.empty())
        {
            const auto oldest = idle_.front();
            idle_.pop_front();
            oldest->close();
        }
        connection = std::make_shared<upstream_connection>(io_, this);
        all_.emplace(connection.get(), connection);
        ++connections_;
        ++opened_;
    }
    connection->start(peer_, std::move(request), listener, answer_has_body);
    return connection;
}

void upstream_pool::sweep(time_point now)
{
    while (!idle_.empty() && now - idle_.front()->idle_since() > idle_.front()->idle_limit())
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

void upstream_pool::give_back(std::shared_ptr<upstream_connection> connection)
{
    idle_.push_back(std::move(connection));
}

void upstream_pool::forget(upstream_connection* connection)
{
    if (all_.erase(connection) > 0)
        --connections_;
    std::erase_if(idle_, [&](const auto& idle) { return idle.get() == connection; });
}

} // namespace zinnianotch
