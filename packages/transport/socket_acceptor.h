// Listens on a TCP address and passes each accepted socket to a handler.
#pragma once

#include "state/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace zinnianotch
{

// Delay before the next accept after a failed one. With the process out of file descriptors, an
// immediate retry would fail again.
inline constexpr milliseconds accept_retry_interval{50};

class socket_acceptor
{
public:
    using handler = std::function<void(boost::asio::ip::tcp::socket)>;

    // Throws boost::system::system_error when the address cannot be parsed or bound.
    socket_acceptor(boost::asio::io_context& io, const std::string& address, std::uint16_t port,
                    handler on_socket);

    // Passes the connections that are established already to the handler, and listens no longer.
    // Later ones are refused.
    void close();

    std::uint16_t port() const { return port_; }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    handler on_socket_;
    std::uint16_t port_ = 0;
};

} // namespace zinnianotch
