// Event-driven HTTP server: connections while it stops.
#include "transport/server_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <functional>
#include <string>
#include <vector>

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

// Limits under which an idle connection is soon closed.
constexpr connection_limits short_idle{16384, 4 * 1024 * 1024, milliseconds(3000),
                                       milliseconds(1000)};

constexpr connection_limits long_idle{16384, 4 * 1024 * 1024, milliseconds(3000),
                                      milliseconds(60000)};

// A client whose second request arrives after the server has read the first one, and is received
// together with the server's next read: asio tries to read at once after a read that has filled its
// buffer.
struct request_in_queued_read
{
    boost::asio::io_context io{1};
    std::vector<std::string> served; // targets
    std::function<void()> after_first;
    server_listener listener{
        io, "127.0.0.1", 0,
        [this](const std::shared_ptr<server_connection>& client, received_request&& request)
        {
            served.push_back(request.head.target);
            client->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            client->end(true);
            if (served.size() > 1)
                return;
            boost::asio::write(socket, boost::asio::buffer(std::string("GET /2 HTTP/1.1\r\n\r\n")));
            after_first();
        }};
    tcp::socket socket{io};

    explicit request_in_queued_read(std::function<void(request_in_queued_read&)> closing)
        : after_first([this, closing = std::move(closing)] { closing(*this); })
    {
        listener.set_limits(short_idle);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), listener.port()});
        constexpr std::size_t buffer_size = 16384; // of server_connection
        std::string first = "GET /1 HTTP/1.1\r\nContent-Length: 16000\r\nPadding: ";
        first += std::string(buffer_size - first.size() - 4 - 16000, 'p') + "\r\n\r\n" +
                 std::string(16000, 'x');
        boost::asio::write(socket, boost::asio::buffer(first));
    }
    bool serves_both()
    {
        const time_point end = steady_clock::now() + milliseconds(2000);
        while (served.size() < 2 && steady_clock::now() < end)
        {
            io.restart();
            (void)io.run_for(milliseconds(5));
        }
        return served == std::vector<std::string>{"/1", "/2"};
    }
};

// A server that keeps the connections of its requests without answering, and the closes that it
// reports.
struct reporting_server
{
    using report = std::pair<close_reason, request_progress>;

    boost::asio::io_context io{1};
    std::vector<std::shared_ptr<server_connection>> served;
    std::vector<report> reports;
    server_listener listener{io, "127.0.0.1", 0,
                             [this](const std::shared_ptr<server_connection>& client,
                                    received_request&&) { served.push_back(client); }};

    reporting_server()
    {
        listener.on_unanswered_close = [this](close_reason why, request_progress progress)
        { reports.emplace_back(why, progress); };
    }
    template <typename Condition>
    bool run_until(Condition condition)
    {
        const time_point end = steady_clock::now() + milliseconds(20000);
        while (!condition())
        {
            if (steady_clock::now() >= end)
                return false;
            io.restart();
            (void)io.run_for(milliseconds(1));
        }
        return true;
    }
    tcp::socket connect()
    {
        const std::size_t before = listener.connections();
        tcp::socket client(io);
        client.connect({boost::asio::ip::make_address("127.0.0.1"), listener.port()});
        cr_assert(run_until([&] { return listener.connections() > before; }));
        return client;
    }
    // Connects and sends; waits until the server has read a part of a request or a whole one.
    tcp::socket send(const std::string& text)
    {
        tcp::socket client = connect();
        const std::size_t busy = listener.busy_count();
        boost::asio::write(client, boost::asio::buffer(text));
        cr_assert(run_until([&] { return listener.busy_count() > busy; }));
        return client;
    }
    void expect_report(close_reason why, request_progress progress)
    {
        cr_assert(run_until([&] { return !reports.empty(); }));
        const std::vector<report> expected = {{why, progress}};
        cr_assert(reports == expected, "%zu reports, %s %s", reports.size(),
                  to_string(reports[0].first).data(), to_string(reports[0].second).data());
    }
};

const std::string whole_request = "GET / HTTP/1.1\r\n\r\n";
const std::string part_of_request = "GET / HT";

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

// Guards against closing an idle connection whose next request has arrived but was not read yet.
Test(server_listener, sweep_unread_request_on_idle_connection_is_served)
{
    listening_server server;
    server.listener.set_limits(short_idle);
    tcp::socket client(server.io);
    client.connect(server.address());
    (void)server.io.run_for(milliseconds(50));
    cr_assert(server.listener.connections() == 1);
    boost::asio::write(client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    server.listener.sweep(steady_clock::now() + 2 * short_idle.idle_timeout);
    server.io.restart();
    (void)server.io.run_for(milliseconds(200));
    std::array<char, 256> buffer{};
    boost::system::error_code error;
    const std::size_t count = client.read_some(boost::asio::buffer(buffer), error);
    cr_assert(std::string_view(buffer.data(), count).starts_with("HTTP/1.1 200 "));
}

// Guards against losing a request that has left the socket, but whose read is not handled yet, when
// its connection is closed as idle.
Test(server_listener, sweep_request_in_queued_read_is_served)
{
    request_in_queued_read harness(
        [](request_in_queued_read& it)
        {
            boost::asio::post(
                it.io,
                [&it] { it.listener.sweep(steady_clock::now() + 2 * short_idle.idle_timeout); });
        });
    cr_assert(harness.serves_both());
}

// Guards against the same when connections are closed for a stop.
Test(server_listener, close_when_idle_request_in_queued_read_is_served)
{
    request_in_queued_read harness(
        [](request_in_queued_read& it)
        {
            boost::asio::post(it.io, [&it]
                              { it.listener.close_connections_when_idle(steady_clock::now()); });
        });
    cr_assert(harness.serves_both());
}

// Guards against the same when the stop has begun before the end of the first response.
Test(server_listener, finish_response_request_in_queued_read_is_served)
{
    request_in_queued_read harness(
        [](request_in_queued_read& it)
        { it.listener.close_connections_when_idle(steady_clock::now()); });
    cr_assert(harness.serves_both());
}

// Guards against closing connections at once when a new version lowers the idle timeout, although
// their clients may reuse them for as long as the version before allowed.
Test(server_listener, sweep_idle_timeout_lowered_idle_connection_is_kept)
{
    listening_server server;
    server.listener.set_limits(long_idle);
    tcp::socket client(server.io);
    client.connect(server.address());
    (void)server.io.run_for(milliseconds(50));
    const time_point idle_since = steady_clock::now();
    server.listener.set_limits(short_idle);
    server.listener.sweep(idle_since + long_idle.idle_timeout - milliseconds(1000));
    cr_assert(server.listener.connections() == 1);
    server.listener.sweep(idle_since + long_idle.idle_timeout + milliseconds(1000));
    cr_assert(server.listener.connections() == 0);
}

// Guards against closing a connection that a longer idle timeout of a new version lets a client
// use.
Test(server_listener, sweep_idle_timeout_raised_idle_connection_is_kept)
{
    listening_server server;
    server.listener.set_limits(short_idle);
    tcp::socket client(server.io);
    client.connect(server.address());
    (void)server.io.run_for(milliseconds(50));
    const time_point idle_since = steady_clock::now();
    server.listener.set_limits(long_idle);
    server.listener.sweep(idle_since + long_idle.idle_timeout - milliseconds(1000));
    cr_assert(server.listener.connections() == 1);
}

// Guards against refusing an upload that is slow but goes on.
Test(server_listener, sweep_slow_body_is_refused_only_after_silence)
{
    listening_server server;
    server.listener.set_limits(short_idle);
    const time_point begun = steady_clock::now();
    tcp::socket client(server.io);
    client.connect(server.address());
    boost::asio::write(
        client, boost::asio::buffer(std::string("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n")));
    const auto sweep_after_bytes_until = [&](time_point end)
    {
        while (steady_clock::now() < end)
        {
            boost::asio::write(client, boost::asio::buffer(std::string("x")));
            server.io.restart();
            (void)server.io.run_for(short_idle.idle_timeout / 20);
            server.listener.sweep(steady_clock::now());
        }
    };
    sweep_after_bytes_until(begun + short_idle.idle_timeout * 3 / 2);
    cr_assert(client.available() == 0, "refused while bytes arrive");
    cr_assert(server.listener.busy_count() == 1);
    server.listener.sweep(steady_clock::now() + 2 * short_idle.idle_timeout);
    server.io.restart();
    (void)server.io.run_for(milliseconds(50));
    std::array<char, 256> buffer{};
    boost::system::error_code error;
    const std::size_t count = client.read_some(boost::asio::buffer(buffer), error);
    cr_assert(std::string_view(buffer.data(), count).starts_with("HTTP/1.1 408 "));
}

// Guards against a body that arrives so slowly that it never ends.
Test(server_listener, sweep_body_takes_too_long_is_refused)
{
    listening_server server;
    connection_limits limits;
    limits.idle_timeout = 2 * body_timeout;
    server.listener.set_limits(limits);
    tcp::socket client(server.io);
    client.connect(server.address());
    boost::asio::write(
        client, boost::asio::buffer(std::string("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nx")));
    (void)server.io.run_for(milliseconds(50));
    cr_assert(server.listener.busy_count() == 1);
    const time_point now = steady_clock::now();
    server.listener.sweep(now + body_timeout / 2);
    server.io.restart();
    (void)server.io.run_for(milliseconds(50));
    cr_assert(client.available() == 0);
    server.listener.sweep(now + body_timeout + milliseconds(1));
    server.io.restart();
    (void)server.io.run_for(milliseconds(50));
    std::array<char, 256> buffer{};
    boost::system::error_code error;
    const std::size_t count = client.read_some(boost::asio::buffer(buffer), error);
    cr_assert(std::string_view(buffer.data(), count).starts_with("HTTP/1.1 408 "));
}

// Guards against refusing a request whose next bytes have arrived but were not read yet.
Test(server_listener, sweep_unread_body_is_not_refused)
{
    listening_server server;
    server.listener.set_limits(short_idle);
    tcp::socket client(server.io);
    client.connect(server.address());
    boost::asio::write(
        client, boost::asio::buffer(std::string("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nx")));
    (void)server.io.run_for(milliseconds(50));
    cr_assert(server.listener.busy_count() == 1);
    boost::asio::write(client, boost::asio::buffer(std::string("x")));
    server.listener.sweep(steady_clock::now() + 2 * short_idle.idle_timeout);
    server.io.restart();
    (void)server.io.run_for(milliseconds(200));
    std::array<char, 256> buffer{};
    boost::system::error_code error;
    const std::size_t count = client.read_some(boost::asio::buffer(buffer), error);
    cr_assert(std::string_view(buffer.data(), count).starts_with("HTTP/1.1 200 "));
}

// Guards against a request hidden in a body whose end is not known.
Test(server_listener, transfer_coding_other_than_chunked_is_refused)
{
    for (const std::string fields :
         {"Transfer-Encoding: gzip", "Transfer-Encoding: xchunked",
          "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding:"})
    {
        reporting_server server;
        tcp::socket client = server.connect();
        std::string request = "POST / HTTP/1.1\r\n";
        request += fields;
        request += "\r\n\r\n";
        request += whole_request;
        boost::asio::write(client, boost::asio::buffer(request));
        cr_assert(server.run_until([&] { return client.available() > 0; }), "%s", fields.c_str());
        std::array<char, 256> buffer{};
        const std::size_t count = client.read_some(boost::asio::buffer(buffer));
        cr_assert(std::string_view(buffer.data(), count).starts_with("HTTP/1.1 400 "), "%s",
                  fields.c_str());
        cr_assert(server.served.empty(), "%s", fields.c_str());
    }
}

// Guards against bodies that fill the memory together although each is within its limit.
Test(server_listener, bodies_exceed_total_request_is_refused_at_once)
{
    constexpr std::size_t body_bytes = 1000;
    const std::string head =
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
    const std::string whole = head + std::string(body_bytes, 'x');
    reporting_server server;
    connection_limits limits;
    limits.total_body_bytes = 2 * body_bytes + 500;
    server.listener.set_limits(limits);
    const tcp::socket first = server.send(whole);       // in progress
    const tcp::socket second = server.send(head + "x"); // being received
    cr_assert(server.listener.body_bytes() == 2 * body_bytes);
    const auto expect_refused = [&](const std::string& request)
    {
        tcp::socket client = server.connect();
        boost::asio::write(client, boost::asio::buffer(request));
        cr_assert(server.run_until([&] { return client.available() > 0; }));
        std::array<char, 256> buffer{};
        const std::size_t count = client.read_some(boost::asio::buffer(buffer));
        const std::string_view answer(buffer.data(), count);
        cr_assert(answer.starts_with("HTTP/1.1 503 "));
        cr_assert(answer.find("\r\nRetry-After: 1\r\n") != std::string_view::npos);
        client.close();
        cr_assert(server.run_until([&] { return server.listener.connections() == 2; }));
    };
    expect_refused(head);
    expect_refused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n258\r\n" +
                   std::string(0x258, 'x'));
    cr_assert(server.served.size() == 1);
    server.served[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    server.served[0]->end(true);
    cr_assert(server.run_until([&] { return server.listener.body_bytes() == body_bytes; }));
    const tcp::socket third = server.send(whole);
    cr_assert(server.run_until([&] { return server.served.size() == 2; }));
}

// Guards against requests that end without an answer and leave no trace of it.
Test(server_listener, client_leaves_unanswered_close_is_reported)
{
    {
        reporting_server server;
        server.send(whole_request).close();
        server.expect_report(close_reason::client_left, request_progress::unanswered);
    }
    {
        reporting_server server;
        server.send(part_of_request).close();
        server.expect_report(close_reason::client_left, request_progress::partly_read);
    }
    {
        reporting_server server;
        tcp::socket client = server.send(whole_request);
        server.served[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
        client.close();
        server.expect_report(close_reason::client_left, request_progress::answer_begun);
    }
}

// Guards against the same for answers that are broken off or not taken by their client.
Test(server_listener, answer_not_completed_unanswered_close_is_reported)
{
    {
        reporting_server server;
        const tcp::socket client = server.send(whole_request);
        server.served[0]->abort();
        server.expect_report(close_reason::broken_off, request_progress::unanswered);
    }
    {
        reporting_server server;
        const tcp::socket client = server.send(whole_request);
        server.served[0]->send(std::string(64 * 1024 * 1024, 'x'));
        server.listener.sweep(steady_clock::now() + 2 * write_timeout);
        server.expect_report(close_reason::write_timeout, request_progress::answer_begun);
    }
}

// Guards against the same at a stop, above the maximum number of connections, and for a request
// behind one whose response ends the connection.
Test(server_listener, connection_ended_by_server_unanswered_close_is_reported)
{
    {
        reporting_server server;
        const tcp::socket idle = server.connect();
        const tcp::socket client = server.send(whole_request);
        server.listener.close_all();
        server.expect_report(close_reason::stop, request_progress::unanswered);
        cr_assert(server.listener.connections() == 0);
    }
    {
        reporting_server server;
        server.listener.set_max_connections(0);
        tcp::socket client(server.io);
        client.connect({boost::asio::ip::make_address("127.0.0.1"), server.listener.port()});
        server.expect_report(close_reason::too_many_connections, request_progress::none);
    }
    {
        reporting_server server;
        tcp::socket client = server.send(whole_request + whole_request);
        server.served[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        server.served[0]->end(false);
        server.expect_report(close_reason::last_response, request_progress::partly_read);
    }
}

// Guards against reports of connections that owe no answer.
Test(server_listener, answered_refused_or_idle_close_is_not_reported)
{
    reporting_server server;
    server.listener.set_limits(short_idle);
    const tcp::socket idle = server.connect();
    tcp::socket answered = server.send(whole_request);
    server.served[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    server.served[0]->end(false);
    tcp::socket refused = server.connect();
    boost::asio::write(refused, boost::asio::buffer(std::string("POST / HTTP/1.1\r\n"
                                                                "Content-Length: 99999999\r\n"
                                                                "\r\nx")));
    for (tcp::socket* client : {&answered, &refused})
    {
        cr_assert(server.run_until([&] { return client->available() > 0; }));
        client->close();
    }
    cr_assert(server.run_until([&] { return server.listener.connections() == 1; }));
    server.listener.sweep(steady_clock::now() + 2 * short_idle.idle_timeout);
    cr_assert(server.listener.connections() == 0);
    cr_assert(server.reports.empty());
}

namespace
{

// A server that answers each request with a long response, on a VM with little memory.
struct memory_server
{
    static constexpr std::size_t response_bytes = 64 * 1024 * 1024;

    std::shared_ptr<memory_account> account = std::make_shared<memory_account>();
    reporting_server server;

    memory_server()
    {
        account->ledger.set_bound(response_bytes);
        server.listener.set_memory(account);
    }
    // Connects a client whose request has been read, and begins the response to it.
    tcp::socket begin_response()
    {
        const std::size_t before = server.served.size();
        tcp::socket client = server.send("GET /1 HTTP/1.1\r\n\r\n");
        cr_assert(server.run_until([&] { return server.served.size() > before; }));
        server.served.back()->send(
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(response_bytes) + "\r\n\r\n" +
            std::string(response_bytes, 'r'));
        server.served.back()->end(true);
        return client;
    }
    static std::size_t read_some(tcp::socket& from, std::size_t bytes)
    {
        std::vector<char> buffer(bytes);
        boost::system::error_code error;
        from.non_blocking(true, error);
        return from.read_some(boost::asio::buffer(buffer), error);
    }
};

} // namespace

// Guards against memory that grows with each client that does not read, and against the one that
// reads being cut in its place.
Test(server_listener, memory_short_client_that_does_not_read_is_reset_and_reader_served)
{
    memory_server harness;
    held_memory& ledger = harness.account->ledger;
    ledger.set_bound(4 * memory_server::response_bytes);
    tcp::socket reader = harness.begin_response();
    tcp::socket stuck = harness.begin_response();
    const time_point begun = steady_clock::now();
    std::size_t received = 0;
    std::size_t yielded = 0;
    cr_assert(harness.server.run_until(
        [&]
        {
            // Slowly at first, until the rates of both are known.
            const bool is_known = steady_clock::now() - begun > 2 * min_observed_time;
            received += memory_server::read_some(reader, is_known ? 1024 * 1024 : 16 * 1024);
            if (is_known)
                ledger.set_bound(memory_server::response_bytes * 5 / 4);
            yielded += harness.account->relieve(steady_clock::now()).size();
            return received > memory_server::response_bytes;
        }));
    cr_assert_eq(yielded, 1);
    cr_assert_eq(harness.server.reports.size(), 1);
    cr_assert(harness.server.reports.front().first == close_reason::memory_short);
    cr_assert_eq(harness.account->ledger.total(), 0);
    cr_assert_eq(harness.server.listener.connections(), 1);
}

// Guards against bodies that together exceed the memory of the VM, counted with the copy that is
// sent on, and against room that is not given back.
Test(server_listener, memory_short_body_is_refused_with_retry_after_until_room_is_back)
{
    memory_server harness;
    const std::string head = "POST /1 HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n";
    harness.account->ledger.set_bound(16 * 1024 * 1024);
    tcp::socket first = harness.server.send(head);
    cr_assert_eq(harness.account->ledger.total(held_kind::incoming_body), body_copies * 4'000'000);
    const auto answer_to = [&](tcp::socket& client)
    {
        std::string text(1024, '\0');
        boost::system::error_code error;
        client.non_blocking(true, error);
        cr_assert(harness.server.run_until([&] { return client.available() > 0; }));
        text.resize(client.read_some(boost::asio::buffer(text), error));
        return text;
    };
    tcp::socket second = harness.server.connect();
    boost::asio::write(second, boost::asio::buffer(head));
    const std::string answer = answer_to(second);
    cr_assert(answer.starts_with("HTTP/1.1 503") &&
                  answer.find("Retry-After: 1\r\n") != std::string::npos,
              "%s", answer.c_str());
    first.close();
    cr_assert(harness.server.run_until([&] { return harness.account->ledger.total() == 0; }));
    (void)harness.server.send(head);
    cr_assert_eq(harness.account->ledger.total(), body_copies * 4'000'000);
}
