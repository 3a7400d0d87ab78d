// Connections between the VMs of the serving path: framed messages in both directions, with pings
// that detect an unreachable peer early. Everything here must be used on the thread that runs the
// io_context.
#pragma once

#include "protocol/vm_message.h"
#include "state/link_liveness.h"
#include "state/time.h"
#include "transport/memory_account.h"
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

inline constexpr milliseconds link_connect_timeout{500};
inline constexpr milliseconds link_reconnect_delay{500};
// Maximum number of bytes queued behind the write in progress. The connection to a peer that reads
// too slowly is closed beyond it.
inline constexpr std::size_t link_max_queued_bytes = 32 * 1024 * 1024;

// Why a connection between two VMs ended.
enum class link_end
{
    idle,            // nothing was received for link_idle_timeout
    peer_closed,     // in order
    failed,          // reset, or another error of the socket
    invalid_message, // bytes that are no message
    queue_full,      // the peer reads too slowly
    memory_short,
    local // this VM needs it no longer
};

std::string_view to_string(link_end value);

// What passed over a connection that has ended.
struct link_history
{
    link_end end = link_end::local;
    milliseconds lived{0};
    milliseconds silent{0}; // since bytes were last received
    std::uint64_t received_bytes = 0;
    std::uint64_t sent_bytes = 0;   // taken by the socket
    std::uint64_t queued_bytes = 0; // not taken by it
};

// An open connection, on the connecting or the accepting side.
class vm_channel : public std::enable_shared_from_this<vm_channel>
{
public:
    using message_handler = std::function<void(vm_message&&)>;
    using closed_handler = std::function<void(const link_history&)>;

    vm_channel(boost::asio::ip::tcp::socket socket, milliseconds ping_interval, time_point now);

    void start(message_handler on_message, closed_handler on_closed);
    void send(const vm_message& message);
    // Queued messages are counted there from now on.
    void set_memory(const std::shared_ptr<memory_account>& account, time_point now);
    // To be called periodically: sends pings and closes an idle connection, see link_liveness.
    void tick(time_point now);
    void close(link_end why = link_end::local);
    bool is_open() const { return !closed_; }
    // Address of the peer, without its port.
    const std::string& peer() const { return peer_; }

private:
    void read();
    void parse();
    void write_next();

    boost::asio::ip::tcp::socket socket_;
    std::string peer_;
    message_handler on_message_;
    closed_handler on_closed_;
    std::array<char, 16384> buffer_{};
    std::string unparsed_;     // received and not yet parsed
    std::string send_queue_;   // to be sent after write_buffer_
    std::string write_buffer_; // of the write in progress
    held_bytes held_;          // both
    std::size_t max_queued_bytes_ = link_max_queued_bytes;
    bool write_in_progress_ = false;
    bool closed_ = false;
    time_point opened_at_;
    link_liveness liveness_;
    std::uint64_t received_bytes_ = 0;
    std::uint64_t sent_bytes_ = 0;
};

// The connecting side: keeps one connection to a VM open and reconnects when it closes.
class vm_link
{
public:
    using up_handler = std::function<void()>;

    vm_link(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint peer,
            vm_channel::message_handler on_message, up_handler on_up,
            vm_channel::closed_handler on_down);
    ~vm_link();

    vm_link(const vm_link&) = delete;
    vm_link& operator=(const vm_link&) = delete;

    // To be called periodically: connects, reconnects, sends pings and applies the timeouts.
    void tick(time_point now);
    // True from the first message received from the peer until the connection closes.
    bool is_up() const { return up_; }
    void set_memory(std::shared_ptr<memory_account> account) { memory_ = std::move(account); }
    void send(const vm_message& message);

private:
    void connect(time_point now);
    void handle_channel_closed(const link_history& history);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::endpoint peer_;
    vm_channel::message_handler on_message_;
    up_handler on_up_;
    vm_channel::closed_handler on_down_;
    std::shared_ptr<boost::asio::ip::tcp::socket> connecting_socket_;
    time_point connect_started_at_{};
    time_point reconnect_at_{};
    std::shared_ptr<vm_channel> channel_;
    bool up_ = false;
    std::shared_ptr<memory_account> memory_;
};

// The accepting side.
class vm_listener
{
public:
    using message_handler = std::function<void(const std::shared_ptr<vm_channel>&, vm_message&&)>;
    using closed_handler =
        std::function<void(const std::shared_ptr<vm_channel>&, const link_history&)>;

    vm_listener(boost::asio::io_context& io, const std::string& address, std::uint16_t port,
                message_handler on_message, closed_handler on_closed);
    ~vm_listener();

    vm_listener(const vm_listener&) = delete;
    vm_listener& operator=(const vm_listener&) = delete;

    std::uint16_t port() const { return acceptor_.port(); }
    std::size_t connections() const { return channels_.size(); }
    void set_memory(std::shared_ptr<memory_account> account) { memory_ = std::move(account); }
    // Called with each connection that is accepted.
    std::function<void(const std::shared_ptr<vm_channel>&)> on_accepted;
    void broadcast(const vm_message& message);
    // Sends the message on all open connections, and first on each connection accepted from now on.
    void announce(const vm_message& message);
    // To be called periodically: sends pings and closes idle connections.
    void tick(time_point now);

private:
    void add(boost::asio::ip::tcp::socket socket);

    message_handler on_message_;
    closed_handler on_closed_;
    std::set<std::shared_ptr<vm_channel>> channels_;
    std::optional<vm_message> announcement_;
    std::shared_ptr<memory_account> memory_;
    socket_acceptor acceptor_;
};

} // namespace zinnianotch
