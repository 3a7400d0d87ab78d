#include "transport/socket_acceptor.h"

#include <utility>

namespace zinnianotch
{

namespace asio = boost::asio;
using asio::ip::tcp;

socket_acceptor::socket_acceptor(asio::io_context& io, const std::string& address,
                                 std::uint16_t port, handler on_socket)
    : acceptor_(io), retry_timer_(io), on_socket_(std::move(on_socket))
{
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
    accept();
}

void socket_acceptor::accept()
{
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket)
        {
            // The destructor of the acceptor aborts the pending accept; `this` is then invalid.
            if (error == asio::error::operation_aborted || !acceptor_.is_open())
                return;
            if (!error)
            {
                on_socket_(std::move(socket));
                return accept();
            }
            retry_timer_.expires_after(accept_retry_interval);
            retry_timer_.async_wait(
                [this](const boost::system::error_code& cancelled)
                {
                    if (!cancelled)
                        accept();
                });
        });
}

void socket_acceptor::close()
{
    boost::system::error_code error;
    if (!acceptor_.is_open())
        return;
    (void)acceptor_.cancel(error);
    retry_timer_.cancel();
    (void)acceptor_.non_blocking(true, error);
    while (!error)
    {
        tcp::socket socket(acceptor_.get_executor());
        (void)acceptor_.accept(socket, error);
        if (!error)
            on_socket_(std::move(socket));
    }
    (void)acceptor_.close(error);
}

} // namespace zinnianotch
