// Event-driven HTTP server: connections while it stops.
#include "transport/server_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

using namespace zinnianotch;
using boost::asio::ip::tcp;

namespace
{

struct listening_server
{
    boost::asio::io_context io{1};
    server_listener listener{
        io, "127.0.0.1", 0,
        [](const std::shared_ptr<server_connection>& client, received_request&&)
        {
            client->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                         "Connection: close\r\n\r\nok");
            client->end(false);
        }};

    tcp::endpoint address() const
    {
        return {boost::asio::ip::make_address("127.0.0.1"), listener.port()};
    }
};

} // namespace

// Guards against connections that the kernel has established and that get no answer at a stop.
Test(server_listener, stop_accepting_established_connection_is_served)
{
    listening_server server;
    tcp::socket client(server.io);
    client.connect(server.address());
    boost::asio::write(client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    server.listener.stop_accepting();
    (void)server.io.run_for(milliseconds(200));
    std::array<char, 256> buffer{};
    boost::system::error_code error;
    const std::size_t count = client.read_some(boost::asio::buffer(buffer), error);
    cr_assert(std::string_view(buffer.data(), count).starts_with("HTTP/1.1 200 "));
}

TestSuite(server_listener, .timeout = 30);

Test(server_listener, stop_accepting_later_connection_is_refused)
{
    listening_server server;
    server.listener.stop_accepting();
    tcp::socket client(server.io);
    boost::system::error_code error;
    (void)client.connect(server.address(), error);
    cr_assert(error == boost::asio::error::connection_refused);
    cr_assert(server.listener.connections() == 0);
}

// Guards against a stopping server that closes a connection whose request has arrived but was not
// read yet.
Test(server_listener, close_when_idle_unread_request_is_served)
{
    listening_server server;
    tcp::socket client(server.io);
    client.connect(server.address());
    (void)server.io.run_for(milliseconds(50));
    cr_assert(server.listener.connections() == 1);
    boost::asio::write(client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    server.listener.close_connections_when_idle(steady_clock::now() + first_request_time);
    server.io.restart();
    (void)server.io.run_for(milliseconds(200));
    std::array<char, 256> buffer{};
    boost::system::error_code error;
    const std::size_t count = client.read_some(boost::asio::buffer(buffer), error);
    cr_assert(std::string_view(buffer.data(), count).starts_with("HTTP/1.1 200 "));
}

// Guards against dropping a pipelined request that has arrived but was not read yet, although the
// response before it promised to keep the connection.
Test(server_listener, close_when_idle_unread_pipelined_request_is_served)
{
    boost::asio::io_context io{1};
    std::vector<std::shared_ptr<server_connection>> served;
    server_listener listener(io, "127.0.0.1", 0,
                             [&](const std::shared_ptr<server_connection>& client,
                                 received_request&&) { served.push_back(client); });
    tcp::socket client(io);
    client.connect({boost::asio::ip::make_address("127.0.0.1"), listener.port()});
    boost::asio::write(client, boost::asio::buffer(std::string("GET /1 HTTP/1.1\r\n\r\n")));
    (void)io.run_for(milliseconds(50));
    cr_assert(served.size() == 1);
    listener.close_connections_when_idle(steady_clock::now());
    boost::asio::write(client, boost::asio::buffer(std::string("GET /2 HTTP/1.1\r\n\r\n")));
    served[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    served[0]->end(true);
    io.restart();
    (void)io.run_for(milliseconds(50));
    cr_assert(served.size() == 2);
}
