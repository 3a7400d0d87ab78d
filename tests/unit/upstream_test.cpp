// The event-driven HTTP client of the serving path.
#include "transport/upstream.h"

#include "daemon/settings.h"
#include "raw_socket.h"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <fcntl.h>

#include <vector>

using namespace zinnianotch;
using test::raw_listener;
using test::raw_socket;

TestSuite(upstream, .timeout = 60);

namespace
{

// How long a sound server may be silent.
constexpr milliseconds longest_silence{3000};

struct recorded_response : upstream_response_handler
{
    bool matches_request(const message_head&) override { return true; }
    void on_head(message_head& head, body_framing, std::optional<std::uint64_t>) override
    {
        status = head.status;
    }
    void on_body(std::string bytes) override { body += bytes; }
    void on_end() override { done = true; }
    void on_failure(upstream_failure cause) override { failure = cause; }
    bool ended() const { return done || failure.has_value(); }

    int status = 0;
    std::string body;
    bool done = false;
    std::optional<upstream_failure> failure;
};

// A pool that sends to a socket which the test controls.
struct pool_of_raw_server
{
    raw_listener listener;
    boost::asio::io_context io{1};
    recorded_response response;
    upstream_pool pool{io, {boost::asio::ip::make_address("127.0.0.1"), listener.port()}};

    explicit pool_of_raw_server(int backlog = 64) : listener(backlog) {}

    void send(const std::string& request)
    {
        (void)pool.start(request, response, default_idle_timeout, steady_clock::now());
    }
    // Runs the event loop until the condition holds or the time has passed.
    template <typename Condition>
    bool run_until(Condition condition, milliseconds limit = test::test_timeout)
    {
        const time_point end = steady_clock::now() + limit;
        while (!condition())
        {
            if (steady_clock::now() >= end)
                return false;
            io.restart();
            (void)io.run_for(milliseconds(5));
        }
        return true;
    }
    bool ends()
    {
        return run_until([&] { return response.ended(); });
    }
    // True if the exchange has not ended within the time.
    bool waits_for(milliseconds time)
    {
        return !run_until([&] { return response.ended(); }, time);
    }
    raw_socket accept()
    {
        raw_socket out;
        cr_assert(run_until([&] { return (out = listener.accept(milliseconds(0))).valid(); }));
        return out;
    }
    // Completes an exchange; the returned socket is that of a kept connection.
    raw_socket keep_connection()
    {
        send("GET / HTTP/1.1\r\n\r\n");
        raw_socket server = accept();
        cr_assert(run_until([&] { return server.is_readable(); }));
        (void)server.read_until("\r\n\r\n");
        (void)server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        cr_assert(ends() && response.done);
        response = {};
        return server;
    }
    // Accepts the connection of the exchange and answers without a length; the end of the returned
    // socket ends the response.
    raw_socket respond_without_length()
    {
        send("GET / HTTP/1.1\r\n\r\n");
        raw_socket server = accept();
        cr_assert(run_until([&] { return server.is_readable(); }));
        (void)server.read_until("\r\n\r\n");
        (void)server.send("HTTP/1.1 200 OK\r\n\r\nwhole");
        cr_assert(run_until([&] { return response.body == "whole"; }));
        return server;
    }
    // Accepts the connection of a request that does not fit the buffers of the connection, and
    // reads none of it.
    raw_socket accept_large_request()
    {
        constexpr std::size_t body_bytes = 32 * 1024 * 1024;
        constexpr milliseconds write_time{50};
        send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
             std::string(body_bytes, 'x'));
        raw_socket server = accept();
        cr_assert(waits_for(write_time));
        return server;
    }
};

// Sends a request to a server that answers with the bytes, in pieces of the given size, and keeps
// the connection open.
void respond_with(pool_of_raw_server& harness, const std::string& bytes, std::size_t piece_bytes)
{
    harness.send("GET / HTTP/1.1\r\n\r\n");
    raw_socket server = harness.accept();
    cr_assert(harness.run_until([&] { return server.is_readable(); }));
    (void)server.read_until("\r\n\r\n");
    for (std::size_t at = 0; at < bytes.size(); at += piece_bytes)
    {
        (void)server.send(bytes.substr(at, piece_bytes));
        (void)harness.io.poll();
        harness.io.restart();
    }
    cr_assert(harness.ends(), "%s", bytes.c_str());
}

const std::vector<std::size_t> piece_sizes = {1, 7, SIZE_MAX};

void expect_invalid(const std::string& bytes)
{
    for (const std::size_t piece : piece_sizes)
    {
        pool_of_raw_server harness;
        respond_with(harness, bytes, piece);
        cr_assert(harness.response.failure == upstream_failure::invalid_answer, "%s: %s",
                  bytes.c_str(), harness.response.failure ? "broken" : "complete");
    }
}

void expect_whole(const std::string& bytes, std::string_view body = "whole")
{
    for (const std::size_t piece : piece_sizes)
    {
        pool_of_raw_server harness;
        respond_with(harness, bytes, piece);
        cr_assert(harness.response.done && harness.response.body == body, "%s", bytes.c_str());
    }
}

} // namespace

// Guards against settings that are accepted and then name no peer: the address of the store may be
// an IPv6 address in brackets.
Test(upstream, parse_socket_address_reads_every_settings_address)
{
    for (const std::string text : {"127.0.0.1:80", "[::1]:7100", "[2001:db8::5]:65535"})
    {
        socket_address setting;
        cr_assert(from_string(text, setting), "%s", text.c_str());
        const auto peer = parse_socket_address(to_string(setting));
        cr_assert(peer.has_value(), "%s", text.c_str());
        cr_assert(peer->port() == setting.port);
        cr_assert(peer->address().to_string() == setting.host, "%s", text.c_str());
    }
}

// Guards against texts that only begin with an address.
Test(upstream, parse_socket_address_other_text_is_rejected)
{
    for (const std::string text :
         {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "[::1:80", "::1]:80", "[]:80",
          "[127.0.0.1]:80", "host:80", "127.0.0.1:80x"})
        cr_assert_not(parse_socket_address(text).has_value(), "%s", text.c_str());
}

// Guards against a complete response that is broken because its server was silent when the
// connection ended.
Test(upstream, response_without_length_server_silent_at_end_is_complete)
{
    pool_of_raw_server harness(1);
    raw_socket server = harness.respond_without_length();
    const auto waiting = harness.listener.fill_backlog();
    cr_assert_not(waiting.empty(), "the backlog takes every connection");
    server.close();
    cr_assert(harness.waits_for(longest_silence), "%s",
              harness.response.failure ? to_string(*harness.response.failure).data() : "done");
    for (std::size_t i = 0; i + 1 < waiting.size(); ++i)
        cr_assert(harness.listener.accept().valid());
    cr_assert(harness.ends());
    cr_assert(harness.response.done && harness.response.body == "whole");
}

// Guards against taking a server at its connection limit for one that has crashed.
Test(upstream, response_without_length_next_connection_reset_is_complete)
{
    pool_of_raw_server harness;
    raw_socket server = harness.respond_without_length();
    server.close();
    harness.accept().reset();
    cr_assert(harness.ends());
    cr_assert(harness.response.done);
}

// Guards against part of a response that looks complete after its server has crashed.
Test(upstream, response_without_length_next_connection_refused_is_broken)
{
    pool_of_raw_server harness;
    raw_socket server = harness.respond_without_length();
    harness.listener.close();
    server.close();
    cr_assert(harness.ends());
    cr_assert(harness.response.failure == upstream_failure::broken_in_answer);
}

// Guards against ending the connection of a server that stops reading a large request for a while.
Test(upstream, request_body_server_stops_reading_for_a_while_is_received_whole)
{
    constexpr std::size_t body_bytes = 32 * 1024 * 1024;
    const std::string request = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) +
                                "\r\n\r\n" + std::string(body_bytes, 'x');
    pool_of_raw_server harness;
    harness.send(request);
    raw_socket server = harness.accept();
    cr_assert(harness.waits_for(longest_silence), "%s",
              harness.response.failure ? to_string(*harness.response.failure).data() : "done");
    std::size_t received = 0;
    std::vector<char> buffer(64 * 1024);
    while (received < request.size())
    {
        cr_assert(harness.run_until([&] { return server.is_readable(); }));
        const ssize_t count = ::recv(server.descriptor(), buffer.data(), buffer.size(), 0);
        cr_assert(count > 0, "the connection ended after %zu bytes", received);
        received += static_cast<std::size_t>(count);
    }
    (void)server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    cr_assert(harness.ends());
    cr_assert(harness.response.done && harness.response.status == 200);
}

// Guards against an encoded body that is passed on as if it were not.
Test(upstream, response_in_other_transfer_coding_is_invalid)
{
    pool_of_raw_server harness;
    harness.send("GET / HTTP/1.1\r\n\r\n");
    raw_socket server = harness.accept();
    cr_assert(harness.run_until([&] { return server.is_readable(); }));
    (void)server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nencoded");
    cr_assert(harness.ends());
    cr_assert(harness.response.failure == upstream_failure::invalid_answer);
}

// Guards against blaming a server for a kept connection that was lost before the request was sent.
Test(upstream, kept_connection_lost_while_idle_is_told_apart)
{
    pool_of_raw_server harness;
    harness.keep_connection().reset();
    harness.send("GET / HTTP/1.1\r\n\r\n");
    cr_assert(harness.ends());
    cr_assert(harness.response.failure == upstream_failure::connection_lost);
}

// Guards against the same for a connection that was kept because it confirmed a response's end.
Test(upstream, confirming_connection_lost_while_idle_is_told_apart)
{
    pool_of_raw_server harness;
    harness.respond_without_length().close();
    raw_socket kept = harness.accept();
    cr_assert(harness.ends() && harness.response.done);
    harness.response = {};
    kept.reset();
    harness.send("GET / HTTP/1.1\r\n\r\n");
    cr_assert(harness.ends());
    cr_assert(harness.response.failure == upstream_failure::connection_lost);
}

// Guards against taking a server that crashes at once for a connection that was lost before.
Test(upstream, kept_connection_broken_server_refuses_is_not_taken_for_lost)
{
    pool_of_raw_server harness;
    raw_socket server = harness.keep_connection();
    harness.listener.close();
    server.reset();
    harness.send("GET / HTTP/1.1\r\n\r\n");
    cr_assert(harness.ends());
    cr_assert(harness.response.failure == upstream_failure::broken_before_answer);
}

// Guards against an exchange that waits for a server which neither accepts nor refuses.
Test(upstream, kept_connection_lost_server_silent_ends_at_check_timeout)
{
    pool_of_raw_server harness(1);
    raw_socket server = harness.keep_connection();
    const auto waiting = harness.listener.fill_backlog();
    cr_assert_not(waiting.empty(), "the backlog takes every connection");
    const time_point sent = steady_clock::now();
    harness.send("GET / HTTP/1.1\r\n\r\n");
    server.reset();
    cr_assert(harness.ends());
    cr_assert(harness.response.failure == upstream_failure::connection_lost);
    cr_assert(steady_clock::now() - sent >= lost_connection_check_timeout);
}

// Guards against a server that accepts connections and resets each request on them: if it were
// kept, the connection of the check would be lost again and again, and the server never blamed.
Test(upstream, kept_connection_lost_connection_of_check_is_not_kept)
{
    pool_of_raw_server harness;
    harness.keep_connection().reset();
    harness.send("GET / HTTP/1.1\r\n\r\n");
    raw_socket checked = harness.accept();
    cr_assert(harness.ends());
    cr_assert(checked.read_to_end().empty() && checked.disconnected());
    harness.response = {};
    harness.send("GET / HTTP/1.1\r\n\r\n");
    raw_socket server = harness.accept();
    cr_assert(harness.run_until([&] { return server.is_readable(); }));
    server.reset();
    cr_assert(harness.ends());
    cr_assert(harness.response.failure == upstream_failure::broken_before_answer);
}

// Guards against taking a server that crashes under a request for a lost connection.
Test(upstream, connection_broken_under_request_is_not_taken_for_lost)
{
    {
        pool_of_raw_server harness;
        harness.send("GET / HTTP/1.1\r\n\r\n");
        raw_socket server = harness.accept();
        cr_assert(harness.run_until([&] { return server.is_readable(); }));
        server.reset();
        cr_assert(harness.ends());
        cr_assert(harness.response.failure == upstream_failure::broken_before_answer);
    }
    {
        pool_of_raw_server harness;
        raw_socket server = harness.keep_connection();
        harness.send("GET / HTTP/1.1\r\n\r\n");
        cr_assert(harness.waits_for(2 * lost_connection_max_delay));
        server.reset();
        cr_assert(harness.ends());
        cr_assert(harness.response.failure == upstream_failure::broken_before_answer);
    }
    {
        pool_of_raw_server harness;
        raw_socket server = harness.keep_connection();
        harness.send("GET / HTTP/1.1\r\n\r\n");
        (void)server.send("HTTP/1.1 2");
        server.shutdown_send();
        cr_assert(harness.ends());
        cr_assert(harness.response.failure == upstream_failure::broken_before_answer);
    }
}

// Guards against a connection that is opened to see whether its server can be reached and is not
// used by the next request.
Test(upstream, open_idle_server_accepts_connection_is_kept)
{
    pool_of_raw_server harness;
    int opened = 0;
    harness.pool.open_idle([&](auto failure) { opened += failure ? 0 : 1; });
    cr_assert(harness.run_until([&] { return opened == 1; }));
    harness.send("GET / HTTP/1.1\r\n\r\n");
    cr_assert(harness.pool.opened() == 1);
}

// Guards against a server that cannot be reached and is taken for one that has exited, or the other
// way round.
Test(upstream, open_idle_fails_cause_tells_cut_from_exit)
{
    pool_of_raw_server harness(1);
    const auto waiting = harness.listener.fill_backlog();
    cr_assert_not(waiting.empty(), "the backlog takes every connection");
    std::optional<upstream_failure> seen;
    harness.pool.open_idle([&](auto failure) { seen = failure; });
    cr_assert(harness.run_until([&] { return seen.has_value(); }));
    cr_assert(*seen == upstream_failure::peer_unreachable);
    harness.listener.close();
    seen.reset();
    harness.pool.open_idle([&](auto failure) { seen = failure; });
    cr_assert(harness.run_until([&] { return seen.has_value(); }));
    cr_assert(*seen == upstream_failure::connect_failed);
}

// Guards against a response with an invalid status that is delivered.
Test(upstream, response_status_out_of_range_is_invalid)
{
    for (const std::string status : {"000", "042", "099", "600", "999"})
        expect_invalid("HTTP/1.1 " + status + " x\r\nContent-Length: 5\r\n\r\nwhole");
}

// Guards against valid status codes that are refused.
Test(upstream, response_status_at_ends_of_range_is_complete)
{
    for (const std::string status : {"200", "299", "599"})
        expect_whole("HTTP/1.1 " + status + " x\r\nContent-Length: 5\r\n\r\nwhole");
    expect_whole("HTTP/1.1 100 x\r\n\r\nHTTP/1.1 199 x\r\n\r\n"
                 "HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\nwhole");
}

// Guards against bytes after the switch to another protocol that are read as the response.
Test(upstream, response_switching_protocols_is_broken)
{
    pool_of_raw_server harness;
    harness.send("GET / HTTP/1.1\r\n\r\n");
    raw_socket server = harness.accept();
    (void)server.send("HTTP/1.1 101 x\r\nContent-Length: 5\r\n\r\nwhole");
    server.shutdown_send();
    cr_assert(harness.ends());
    cr_assert(harness.response.failure == upstream_failure::broken_before_answer);
}

// Guards against a field that is passed on with an invalid name, or with a line that belongs to no
// field.
Test(upstream, response_field_name_invalid_is_invalid)
{
    for (const std::string& line :
         {std::string("X Note: 1"), std::string("X\tNote: 1"), std::string("X-Note : 1"),
          std::string("X\001Note: 1"), std::string("X\177Note: 1"), std::string("X\0Note: 1", 9),
          std::string(": 1"), std::string("no field"), std::string(" X-Note: 1"),
          std::string("X-Note: 1\001"), std::string("X-Note: 1\r2")})
    {
        expect_invalid("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 5\r\n\r\nwhole");
        expect_invalid("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + line + "\r\n\r\nwhole");
        expect_invalid("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" +
                       line + "\r\n\r\n");
    }
}

// Guards against a line that begins with a blank and is taken as part of the field before it,
// although it may be a field whose name was damaged, such as the length of the body.
Test(upstream, response_header_line_folded_is_invalid)
{
    for (const std::string lines : {"X-Note: 1\r\n more: 2", "X-Note: 1\r\n\tmore: 2",
                                    "X-Note:\r\n more: 2", "X-Note: 1\r\n ", "X-Note:\r\n \r\n 2"})
    {
        expect_invalid("HTTP/1.1 200 OK\r\n" + lines + "\r\nContent-Length: 5\r\n\r\nwhole");
        expect_invalid("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + lines + "\r\n\r\nwhole");
        expect_invalid("HTTP/1.1 102 x\r\n" + lines + "\r\n\r\n");
        expect_invalid("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" +
                       lines + "\r\n\r\n");
    }
    expect_invalid("HTTP/1.1 200 OK\r\nX-Note: 1\r\n Content-Length: 5\r\n\r\nwhole");
}

// Guards against bodies that are refused because they begin with a blank, or hold lines that do.
Test(upstream, response_body_line_begins_with_blank_is_complete)
{
    constexpr std::string_view body = " a\r\n b\r\n\r\n\tc";
    expect_whole("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + std::string(body), body);
    expect_whole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "c\r\n" +
                     std::string(body) + "\r\n1\r\n \r\n0\r\nX-Note: 1\r\n\r\n",
                 std::string(body) + " ");
}

// Guards against a part of a response that looks complete: its server resets the connection while
// the request is still being written, and the reset is reported to the write.
Test(upstream, response_without_length_reset_under_request_is_broken)
{
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"})
    {
        for (const milliseconds delay : {milliseconds(0), milliseconds(50)})
        {
            pool_of_raw_server harness;
            raw_socket server = harness.accept_large_request();
            (void)server.send(head + "part");
            (void)harness.waits_for(delay);
            server.reset();
            cr_assert(harness.ends());
            cr_assert(harness.response.failure.has_value(), "complete: %s",
                      harness.response.body.c_str());
        }
    }
}

// Guards against a complete response that is broken because its server, which has ended it in
// order, does not read the rest of the request.
Test(upstream, response_without_length_ended_before_reset_under_request_is_complete)
{
    for (const bool resets : {false, true})
    {
        pool_of_raw_server harness;
        raw_socket server = harness.accept_large_request();
        (void)server.send("HTTP/1.1 200 OK\r\n\r\nwhole");
        server.shutdown_send();
        if (resets)
            server.reset();
        cr_assert(harness.ends());
        cr_assert(harness.response.done && harness.response.body == "whole");
    }
}
