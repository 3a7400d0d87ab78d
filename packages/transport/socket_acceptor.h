// Listens on one address and hands over each accepted connection.
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

// Pause after a failed accept, as with no free descriptor: an immediate retry would fail again.
inline constexpr milliseconds accept_pause{50};

class socket_acceptor
{
public:
    using handler = std::function<void(boost::asio::ip::tcp::socket)>;

    // Throws std::system_error when the address can't be used.
    socket_acceptor(boost::asio::io_context& io, const std::string& address, std::uint16_t port,
                    handler on_socket);

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    handler on_socket_;
};

} // namespace zinnianotch
