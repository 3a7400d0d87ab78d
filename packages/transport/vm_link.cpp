#include "transport/vm_link.h"

#include "state/enum_names.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <vector>

namespace zinnianotch
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::array<std::string_view, 7> link_end_names = {
    "idle", "peer_closed", "failed", "invalid_message", "queue_full", "memory_short", "local"};

} // namespace

std::string_view to_string(link_end value)
{
    return name_of(link_end_names, value);
}

vm_channel::vm_channel(tcp::socket socket, milliseconds ping_interval, time_point now)
    : socket_(std::move(socket)), opened_at_(now), liveness_(ping_interval, now)
{
    boost::system::error_code ignored;
    (void)socket_.set_option(tcp::no_delay(true), ignored);
    peer_ = socket_.remote_endpoint(ignored).address().to_string();
}

void vm_channel::start(message_handler on_message, closed_handler on_closed)
{
    on_message_ = std::move(on_message);
    on_closed_ = std::move(on_closed);
    read();
}

void vm_channel::send(const vm_message& message)
{
    if (closed_)
        return;
    const std::string frame = encode_frame(message);
    send_queue_ += frame;
    if (send_queue_.size() > max_queued_bytes_)
        return close(link_end::queue_full);
    const time_point now = steady_clock::now();
    liveness_.on_sent(now);
    if (held_)
        held_.grow(frame.size(), now);
    write_next();
}

void vm_channel::set_memory(const std::shared_ptr<memory_account>& account, time_point now)
{
    if (!account)
        return;
    held_ = held_bytes(
        account, held_kind::vm_link,
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
                self->close(link_end::memory_short);
        },
        now);
    max_queued_bytes_ = account->ledger.link_limit(link_max_queued_bytes);
}

void vm_channel::tick(time_point now)
{
    if (closed_)
        return;
    switch (liveness_.next_action(now))
    {
    case link_action::none:
        return;
    case link_action::send_ping:
        return send(ping_message{});
    case link_action::close:
        return close(link_end::idle);
    }
}

void vm_channel::close(link_end why)
{
    if (closed_)
        return;
    closed_ = true;
    const time_point now = steady_clock::now();
    const auto since = [now](time_point at)
    { return std::chrono::duration_cast<milliseconds>(now - at); };
    const link_history history{why,
                               since(opened_at_),
                               since(liveness_.received_at()),
                               received_bytes_,
                               sent_bytes_,
                               send_queue_.size() + write_buffer_.size()};
    held_.release();
    boost::system::error_code ignored;
    (void)socket_.close(ignored);
    on_message_ = nullptr;
    const auto on_closed = std::move(on_closed_);
    on_closed_ = nullptr;
    if (on_closed)
        on_closed(history);
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
                return self->close(error == asio::error::eof ? link_end::peer_closed
                                                             : link_end::failed);
            self->received_bytes_ += count;
            self->unparsed_.append(self->buffer_.data(), count);
            self->liveness_.on_received(steady_clock::now());
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
        const frame_state state = decode_frame(unparsed_, message);
        if (state == frame_state::incomplete)
            return;
        if (state == frame_state::invalid)
            return close(link_end::invalid_message);
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
    if (write_in_progress_ || closed_ || send_queue_.empty())
        return;
    write_in_progress_ = true;
    write_buffer_ = std::move(send_queue_);
    send_queue_.clear();
    asio::async_write(
        socket_, asio::buffer(write_buffer_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count)
        {
            self->write_in_progress_ = false;
            self->sent_bytes_ += count;
            if (self->held_)
                self->held_.drain(count, steady_clock::now());
            if (self->closed_)
                return;
            if (error)
                return self->close(link_end::failed);
            self->write_buffer_.clear();
            self->write_next();
        });
}

vm_link::vm_link(asio::io_context& io, tcp::endpoint peer, vm_channel::message_handler on_message,
                 up_handler on_up, vm_channel::closed_handler on_down)
    : io_(io), peer_(std::move(peer)), on_message_(std::move(on_message)), on_up_(std::move(on_up)),
      on_down_(std::move(on_down))
{
}

vm_link::~vm_link()
{
    on_down_ = nullptr;
    if (connecting_socket_)
    {
        boost::system::error_code ignored;
        (void)connecting_socket_->close(ignored);
    }
    if (channel_)
        channel_->close();
}

void vm_link::tick(time_point now)
{
    if (channel_)
        return channel_->tick(now);
    if (connecting_socket_ && now - connect_started_at_ > link_connect_timeout)
    {
        boost::system::error_code ignored;
        (void)connecting_socket_->close(ignored);
        connecting_socket_.reset();
        reconnect_at_ = now + link_reconnect_delay;
    }
    if (!connecting_socket_ && now >= reconnect_at_)
        connect(now);
}

void vm_link::send(const vm_message& message)
{
    if (channel_)
        channel_->send(message);
}

void vm_link::connect(time_point now)
{
    connect_started_at_ = now;
    reconnect_at_ = now + link_reconnect_delay;
    connecting_socket_ = std::make_shared<tcp::socket>(io_);
    connecting_socket_->async_connect(
        peer_,
        [this, socket = connecting_socket_](const boost::system::error_code& error)
        {
            // The attempt timed out or the link was destroyed; in the latter case `this` is
            // invalid.
            if (error == asio::error::operation_aborted || !socket->is_open())
                return;
            if (connecting_socket_ != socket)
                return;
            connecting_socket_.reset();
            if (error)
                return;
            const time_point opened_at = steady_clock::now();
            channel_ =
                std::make_shared<vm_channel>(std::move(*socket), link_ping_interval, opened_at);
            channel_->set_memory(memory_, opened_at);
            channel_->start(
                [this](vm_message&& message)
                {
                    if (!up_)
                    {
                        up_ = true;
                        if (on_up_)
                            on_up_();
                    }
                    if (!std::holds_alternative<pong_message>(message))
                        on_message_(std::move(message));
                },
                [this](const link_history& history) { handle_channel_closed(history); });
            channel_->send(ping_message{});
        });
}

void vm_link::handle_channel_closed(const link_history& history)
{
    channel_.reset();
    reconnect_at_ = steady_clock::now() + link_reconnect_delay;
    if (!up_)
        return;
    up_ = false;
    if (on_down_)
        on_down_(history);
}

vm_listener::vm_listener(asio::io_context& io, const std::string& address, std::uint16_t port,
                         message_handler on_message, closed_handler on_closed)
    : on_message_(std::move(on_message)), on_closed_(std::move(on_closed)),
      acceptor_(io, address, port, [this](tcp::socket socket) { add(std::move(socket)); })
{
}

vm_listener::~vm_listener()
{
    on_closed_ = [](const std::shared_ptr<vm_channel>&, const link_history&) {};
    const auto channels_copy = channels_;
    for (const auto& channel : channels_copy)
        channel->close();
}

void vm_listener::add(tcp::socket socket)
{
    const time_point now = steady_clock::now();
    const auto channel =
        std::make_shared<vm_channel>(std::move(socket), link_accepted_ping_interval, now);
    channel->set_memory(memory_, now);
    channels_.insert(channel);
    const std::weak_ptr<vm_channel> weak = channel;
    channel->start(
        [this, weak](vm_message&& message)
        {
            if (const auto locked = weak.lock())
                on_message_(locked, std::move(message));
        },
        [this, weak](const link_history& history)
        {
            if (const auto locked = weak.lock())
            {
                on_closed_(locked, history);
                channels_.erase(locked);
            }
        });
    if (announcement_)
        channel->send(*announcement_);
    if (on_accepted)
        on_accepted(channel);
}

void vm_listener::broadcast(const vm_message& message)
{
    const auto channels_copy = channels_;
    for (const auto& channel : channels_copy)
        channel->send(message);
}

void vm_listener::announce(const vm_message& message)
{
    announcement_ = message;
    broadcast(message);
}

void vm_listener::tick(time_point now)
{
    const auto channels_copy = channels_;
    for (const auto& channel : channels_copy)
        channel->tick(now);
}

} // namespace zinnianotch
