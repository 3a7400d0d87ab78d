// Connections between the VMs of the serving path: frames in both directions, a heartbeat, and an
// early notice of a peer that is gone. All of it belongs to the thread that runs the io_context.
#pragma once

#include "protocol/vm_message.h"
#include "state/time.h"
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

namespace zinnianotch
{

// A ping goes out after so much silence, so that a frozen or cut off peer shows within a second.
inline constexpr milliseconds link_ping_interval{350};
inline constexpr milliseconds link_silence{1000};
inline constexpr milliseconds link_connect_timeout{500};
inline constexpr milliseconds link_retry_pause{500};
// Bytes queued for a peer that does not read; beyond them the connection is given up.
inline constexpr std::size_t link_queue_limit = 32 * 1024 * 1024;

// One open connection, on either side.
class vm_channel : public std::enable_shared_from_this<vm_channel>
{
public:
    using on_message = std::function<void(vm_message&&)>;
    using on_closed = std::function<void()>;

    explicit vm_channel(boost::asio::ip::tcp::socket socket);

    void start(on_message message, on_closed closed, time_point now);
    void send(const vm_message& message);
    // Pings a silent peer when `pings` is set and closes the connection of one that stays silent.
    void tick(time_point now, bool pings);
    void close();
    bool is_open() const { return !closed_; }

private:
    void read();
    void parse();
    void write_next();

    boost::asio::ip::tcp::socket socket_;
    on_message on_message_;
    on_closed on_closed_;
    std::array<char, 16384> buffer_{};
    std::string pending_;
    std::string queued_;
    std::string writing_;
    bool writing_now_ = false;
    bool closed_ = false;
    time_point heard_at_{};
    time_point pinged_at_{};
};

// The calling side: keeps one connection to a VM open.
class vm_link
{
public:
    vm_link(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint peer,
            vm_channel::on_message message, std::function<void(bool up)> changed);
    ~vm_link();

    vm_link(const vm_link&) = delete;
    vm_link& operator=(const vm_link&) = delete;

    void tick(time_point now);
    // True after the peer's first answer and until the connection closes.
    bool is_up() const { return up_; }
    void send(const vm_message& message);

private:
    void connect(time_point now);
    void down();

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::endpoint peer_;
    vm_channel::on_message message_;
    std::function<void(bool up)> changed_;
    std::shared_ptr<boost::asio::ip::tcp::socket> connecting_;
    time_point connect_began_{};
    time_point retry_at_{};
    std::shared_ptr<vm_channel> channel_;
    bool up_ = false;
};

// The called side.
class vm_listener
{
public:
    using on_message = std::function<void(const std::shared_ptr<vm_channel>&, vm_message&&)>;
    using on_closed = std::function<void(const std::shared_ptr<vm_channel>&)>;

    vm_listener(boost::asio::io_context& io, const std::string& address, std::uint16_t port,
                on_message message, on_closed closed);
    ~vm_listener();

    vm_listener(const vm_listener&) = delete;
    vm_listener& operator=(const vm_listener&) = delete;

    std::uint16_t port() const { return acceptor_.port(); }
    void broadcast(const vm_message& message);
    void tick(time_point now);

private:
    void add(boost::asio::ip::tcp::socket socket);

    on_message message_;
    on_closed closed_;
    std::set<std::shared_ptr<vm_channel>> channels_;
    socket_acceptor acceptor_;
};

} // namespace zinnianotch
