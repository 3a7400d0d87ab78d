#include "transport/vm_link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <vector>

namespace zinnianotch
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

} // namespace

vm_channel::vm_channel(tcp::socket socket) : socket_(std::move(socket))
{
    boost::system::error_code ignored;
    (void)socket_.set_option(tcp::no_delay(true), ignored);
}

void vm_channel::start(on_message message, on_closed closed, time_point now)
{
    on_message_ = std::move(message);
    on_closed_ = std::move(closed);
    heard_at_ = now;
    read();
}

void vm_channel::send(const vm_message& message)
{
    if (closed_)
        return;
    queued_ += encode_frame(message);
    if (queued_.size() > link_queue_limit)
        return close();
    write_next();
}

void vm_channel::tick(time_point now, bool pings)
{
    if (closed_)
        return;
    if (now - heard_at_ > link_silence)
        return close();
    if (!pings || now - heard_at_ < link_ping_interval || now - pinged_at_ < link_ping_interval)
        return;
    pinged_at_ = now;
    send(ping_message{});
}

void vm_channel::close()
{
    if (closed_)
        return;
    closed_ = true;
    boost::system::error_code ignored;
    (void)socket_.close(ignored);
    on_message_ = nullptr;
    const auto closed = std::move(on_closed_);
    on_closed_ = nullptr;
    if (closed)
        closed();
}

void vm_channel::read()
{
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count)
        {
            if (self->closed_)
                return;
            if (error)
                return self->close();
            self->pending_.append(self->buffer_.data(), count);
            self->heard_at_ = steady_clock::now();
            self->parse();
            if (!self->closed_)
                self->read();
        });
}

void vm_channel::parse()
{
    for (;;)
    {
        vm_message message;
        const frame_state state = decode_frame(pending_, message);
        if (state == frame_state::incomplete)
            return;
        if (state == frame_state::invalid)
            return close();
        if (std::holds_alternative<ping_message>(message))
        {
            send(pong_message{});
            continue;
        }
        if (on_message_)
            on_message_(std::move(message));
        if (closed_)
            return;
    }
}

void vm_channel::write_next()
{
    if (writing_now_ || closed_ || queued_.empty())
        return;
    writing_now_ = true;
    writing_ = std::move(queued_);
    queued_.clear();
    asio::async_write(
        socket_, asio::buffer(writing_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t)
        {
            self->writing_now_ = false;
            if (self->closed_)
                return;
            if (error)
                return self->close();
            self->write_next();
        });
}

vm_link::vm_link(asio::io_context& io, tcp::endpoint peer, vm_channel::on_message message,
                 std::function<void(bool up)> changed)
    : io_(io), peer_(std::move(peer)), message_(std::move(message)), changed_(std::move(changed))
{
}

vm_link::~vm_link()
{
    changed_ = nullptr;
    if (connecting_)
    {
        boost::system::error_code ignored;
        (void)connecting_->close(ignored);
    }
    if (channel_)
        channel_->close();
}

void vm_link::tick(time_point now)
{
    if (channel_)
        return channel_->tick(now, true);
    if (connecting_ && now - connect_began_ > link_connect_timeout)
    {
        boost::system::error_code ignored;
        (void)connecting_->close(ignored);
        connecting_.reset();
        retry_at_ = now + link_retry_pause;
    }
    if (!connecting_ && now >= retry_at_)
        connect(now);
}

void vm_link::send(const vm_message& message)
{
    if (channel_)
        channel_->send(message);
}

void vm_link::connect(time_point now)
{
    connect_began_ = now;
    retry_at_ = now + link_retry_pause;
    connecting_ = std::make_shared<tcp::socket>(io_);
    connecting_->async_connect(peer_,
                               [this, socket = connecting_](const boost::system::error_code& error)
                               {
                                   // A socket that was given up ends here; the link may be gone by
                                   // then.
                                   if (error == asio::error::operation_aborted ||
                                       !socket->is_open())
                                       return;
                                   if (connecting_ != socket)
                                       return;
                                   connecting_.reset();
                                   if (error)
                                       return;
                                   channel_ = std::make_shared<vm_channel>(std::move(*socket));
                                   channel_->start(
                                       [this](vm_message&& message)
                                       {
                                           if (!up_)
                                           {
                                               up_ = true;
                                               if (changed_)
                                                   changed_(true);
                                           }
                                           if (!std::holds_alternative<pong_message>(message))
                                               message_(std::move(message));
                                       },
                                       [this] { down(); }, steady_clock::now());
                                   channel_->send(ping_message{});
                               });
}

void vm_link::down()
{
    channel_.reset();
    retry_at_ = steady_clock::now() + link_retry_pause;
    if (!up_)
        return;
    up_ = false;
    if (changed_)
        changed_(false);
}

vm_listener::vm_listener(asio::io_context& io, const std::string& address, std::uint16_t port,
                         on_message message, on_closed closed)
    : message_(std::move(message)), closed_(std::move(closed)),
      acceptor_(io, address, port, [this](tcp::socket socket) { add(std::move(socket)); })
{
}

vm_listener::~vm_listener()
{
    closed_ = [](const std::shared_ptr<vm_channel>&) {};
    const auto all = channels_;
    for (const auto& channel : all)
        channel->close();
}

void vm_listener::add(tcp::socket socket)
{
    const auto channel = std::make_shared<vm_channel>(std::move(socket));
    channels_.insert(channel);
    const std::weak_ptr<vm_channel> weak = channel;
    channel->start(
        [this, weak](vm_message&& message)
        {
            if (const auto alive = weak.lock())
                message_(alive, std::move(message));
        },
        [this, weak]
        {
            if (const auto alive = weak.lock())
            {
                closed_(alive);
                channels_.erase(alive);
            }
        },
        steady_clock::now());
}

void vm_listener::broadcast(const vm_message& message)
{
    const auto all = channels_;
    for (const auto& channel : all)
        channel->send(message);
}

void vm_listener::tick(time_point now)
{
    const auto all = channels_;
    for (const auto& channel : all)
        channel->tick(now, false);
}

} // namespace zinnianotch
