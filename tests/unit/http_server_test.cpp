// http_server: limits on size, connections, queued requests and time, responses and streams, and
// prompt detection of callers that disconnect.
#include "transport/http_server.h"

#include "raw_socket.h"

#include <criterion/criterion.h>

#include <sys/resource.h>

#include <condition_variable>
#include <fstream>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace zinnianotch;
using namespace zinnianotch::test;

namespace
{

constexpr std::string_view simple_request = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view json_type = "application/json";

// Event that one thread sets and others wait for; wait() returns false after test_timeout.
class event
{
public:
    void set()
    {
        const std::lock_guard lock(mutex_);
        set_ = true;
        changed_.notify_all();
    }
    bool wait()
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, test_timeout, [this] { return set_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool set_ = false;
};

std::string overloaded_body()
{
    return R"({"error":{"reason":"overloaded","verdict":"not_run","message":"","request":""}})";
}

// Started server with the handler of a test.
class running_server
{
public:
    explicit running_server(http_handler handler, http_server_options options = {})
        : server(std::move(options), std::move(handler), overloaded_body)
    {
        server.start();
    }

    raw_socket connect(int receive_buffer_bytes = 0) const
    {
        return raw_socket::connect_to(server.port(), receive_buffer_bytes);
    }

    http_server server;
};

// Responds with the target and the body of the request.
void echo_request(const http_request& request, http_response& response)
{
    response.send(200, json_type, request.target + "|" + request.body);
}

int status_of(const std::string& raw_response)
{
    return raw_response.size() < 12 ? 0 : std::atoi(raw_response.c_str() + 9);
}

// Resident memory of this process in bytes.
std::size_t resident_bytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void expect_rejection(const std::string& raw_response, int status, std::string_view expected_reason)
{
    cr_assert(status_of(raw_response) == status, "%s", raw_response.c_str());
    cr_assert(raw_response.find("\"reason\":\"" + std::string(expected_reason) + "\"") !=
              std::string::npos);
    cr_assert(raw_response.find("\"verdict\":\"not_run\"") != std::string::npos);
    cr_assert(raw_response.find("\"request\":\"\"") != std::string::npos);
    cr_assert(raw_response.find("Connection: close\r\n") != std::string::npos);
}

} // namespace

// Guards against a request or response of which parts are lost or altered.
Test(http_server, request_with_body_passed_to_handler_complete)
{
    std::optional<http_request> received;
    running_server running(
        [&](const http_request& request, http_response& response)
        {
            received = request;
            response.send(201, json_type, "{}", {{"X-Extra", "1"}});
        });
    raw_socket caller = running.connect();
    caller.send("POST /v1/pipelines/a?b=c HTTP/1.1\r\nHost: h\r\nDeadline-MS: 50\r\n"
                "X-Twice: 1\r\nx-twice: 2\r\nContent-Length: 5\r\n\r\nhello");
    const std::string raw_response = caller.read_until("\r\n\r\n{}");
    cr_assert(status_of(raw_response) == 201);
    cr_assert(raw_response.find("X-Extra: 1\r\n") != std::string::npos);
    cr_assert(raw_response.find("Content-Length: 2\r\n") != std::string::npos);
    cr_assert(received->method == "POST");
    cr_assert(received->target == "/v1/pipelines/a?b=c");
    cr_assert(received->header("deadline-ms") == "50");
    cr_assert(received->header("x-twice") == "1, 2");
    cr_assert(received->header("absent").empty());
    cr_assert(received->body == "hello");
}

// Guards against responses being lost, duplicated or reordered on a keep-alive connection.
Test(http_server, pipelined_requests_answered_in_order)
{
    running_server running(echo_request);
    raw_socket caller = running.connect();
    std::string requests;
    for (int i = 0; i < 50; ++i)
        requests += "POST /" + std::to_string(i) + " HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    cr_assert(caller.send(requests));
    std::string raw_responses;
    for (int i = 0; i < 50; ++i)
    {
        const std::string expected = "/" + std::to_string(i) + "|abc";
        if (raw_responses.find(expected) == std::string::npos)
            raw_responses += caller.read_until(expected);
        const std::size_t at = raw_responses.find(expected);
        cr_assert(at != std::string::npos, "response %d is missing", i);
        raw_responses.erase(0, at + expected.size());
    }
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against chunks being buffered until the response ends.
Test(http_server, stream_chunks_sent_as_written)
{
    event first_read;
    running_server running(
        [&](const http_request&, http_response& response)
        {
            response.start_stream(200, json_type);
            response.write("one\n");
            cr_assert(first_read.wait());
            response.write("two\n");
            response.finish();
        });
    raw_socket caller = running.connect();
    caller.send(simple_request);
    const std::string first = caller.read_until("one\n\r\n");
    cr_assert(first.find("Transfer-Encoding: chunked\r\n") != std::string::npos);
    first_read.set();
    cr_assert(caller.read_until("0\r\n\r\n") == "4\r\ntwo\n\r\n0\r\n\r\n");
    // The connection can be reused for the next request.
    caller.send(simple_request);
    cr_assert(status_of(caller.read_until("\r\n\r\n")) == 200);
}

// Guards against a handler working on for a caller that has closed or reset its connection.
Test(http_server, caller_closes_while_handler_works_cancelled)
{
    for (const bool with_reset : {false, true})
    {
        event started;
        std::atomic<bool> cancel_seen{false};
        running_server running(
            [&](const http_request&, http_response& response)
            {
                started.set();
                cancel_seen = eventually([&] { return response.cancelled()->load(); });
                response.send(200, json_type, "{}");
            });
        raw_socket caller = running.connect();
        caller.send(simple_request);
        cr_assert(started.wait());
        if (with_reset)
            caller.reset();
        else
            caller.close();
        cr_assert(eventually([&] { return cancel_seen.load(); }));
        cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
    }
}

// Guards against a close being detected only after the pipelined requests before it have been read.
Test(http_server, caller_closes_behind_pipelined_data_cancelled)
{
    event started;
    std::atomic<bool> cancel_seen{false};
    running_server running(
        [&](const http_request&, http_response& response)
        {
            started.set();
            cancel_seen = eventually([&] { return response.cancelled()->load(); });
            response.send(200, json_type, "{}");
        });
    raw_socket caller = running.connect();
    caller.send(simple_request);
    cr_assert(started.wait());
    std::string pipelined;
    while (pipelined.size() < 16384)
        pipelined += simple_request;
    cr_assert(caller.send(pipelined));
    caller.close();
    cr_assert(eventually([&] { return cancel_seen.load(); }));
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against a handler that goes on writing, or blocks indefinitely, after its caller has reset
// the connection.
Test(http_server, caller_resets_mid_stream_write_fails)
{
    std::atomic<bool> write_failed{false};
    std::atomic<bool> was_cancelled{false};
    running_server running(
        [&](const http_request&, http_response& response)
        {
            response.start_stream(200, json_type);
            while (response.write("{\"type\":\"token\"}\n"))
            {
            }
            was_cancelled = response.cancelled()->load();
            write_failed = true;
            response.finish();
        });
    raw_socket caller = running.connect();
    caller.send(simple_request);
    caller.read_until("token");
    caller.reset();
    cr_assert(eventually([&] { return write_failed.load(); }));
    cr_assert(was_cancelled);
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against a handler that sees its write fail before the request counts as cancelled, and
// then reports a fault of its own instead of a caller that left.
Test(http_server, write_fails_after_reset_request_already_cancelled)
{
    std::atomic<int> failed_writes{0};
    std::atomic<int> not_cancelled{0};
    running_server running(
        [&](const http_request&, http_response& response)
        {
            response.start_stream(200, json_type);
            while (response.write("{\"type\":\"token\"}\n"))
            {
            }
            if (!response.cancelled()->load())
                ++not_cancelled;
            ++failed_writes;
            response.finish();
        });
    const int rounds = 400;
    for (int round = 0; round < rounds; ++round)
    {
        raw_socket caller = running.connect();
        caller.send(simple_request);
        caller.read_until("token");
        caller.reset();
    }
    cr_assert(eventually([&] { return failed_writes == rounds; }));
    cr_expect_eq(not_cancelled.load(), 0);
}

// Guards against unbounded buffering, or a worker blocked indefinitely, for a caller that has
// stopped reading a stream.
Test(http_server, caller_stops_reading_stream_write_blocks_and_connection_dropped)
{
    http_server_options options;
    options.write_timeout = milliseconds(300);
    std::atomic<std::size_t> written{0};
    std::atomic<bool> write_failed{false};
    const std::string data(4096, 'x');
    // Far more than the buffers of the server and of both sockets hold.
    const std::size_t stream_size = std::size_t(1) << 30;
    running_server running(
        [&](const http_request&, http_response& response)
        {
            response.start_stream(200, json_type);
            while (written < stream_size && response.write(data))
                written += data.size();
            write_failed = written < stream_size;
            response.finish();
        },
        options);
    raw_socket caller = running.connect(4096);
    caller.send(simple_request);
    cr_assert(eventually([&] { return write_failed.load(); }));
    cr_assert(written < 8 * 1024 * 1024, "write() accepted %zu bytes", written.load());
    cr_assert(running.server.dropped_connections() == 1);
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against the same for a response sent at once that is larger than the socket buffers.
Test(http_server, caller_stops_reading_large_response_connection_dropped)
{
    http_server_options options;
    options.write_timeout = milliseconds(300);
    running_server running([](const http_request&, http_response& response)
                           { response.send(200, json_type, std::string(16 * 1024 * 1024, 'x')); },
                           options);
    raw_socket caller = running.connect(4096);
    caller.send(simple_request);
    cr_assert(eventually([&] { return running.server.dropped_connections() == 1; }));
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against back-pressure truncating or reordering the response of a caller that reads slowly,
// or dropping its connection although it keeps reading.
Test(http_server, slow_reader_receives_complete_stream)
{
    constexpr int chunks = 2000;
    running_server running(
        [&](const http_request&, http_response& response)
        {
            response.start_stream(200, json_type);
            for (int i = 0; i < chunks; ++i)
            {
                if (!response.write(std::to_string(i) + std::string(1000, '.') + "\n"))
                    return;
            }
            response.finish();
        });
    raw_socket caller = running.connect(4096);
    caller.send(simple_request);
    const std::string raw_response = caller.read_until("\r\n0\r\n\r\n");
    std::size_t at = 0;
    for (int i = 0; i < chunks; ++i)
    {
        at = raw_response.find("\n" + std::to_string(i) + std::string(1000, '.'), at);
        cr_assert(at != std::string::npos, "chunk %d is missing", i);
    }
}

// Guards against an aborted stream looking like a complete response to the caller.
Test(http_server, abort_stream_closed_without_final_chunk)
{
    running_server running(
        [](const http_request&, http_response& response)
        {
            response.start_stream(200, json_type);
            response.write("one\n");
            response.abort();
        });
    raw_socket caller = running.connect();
    caller.send(simple_request);
    const std::string raw_response = caller.read_to_end();
    cr_assert(caller.disconnected());
    cr_assert(raw_response.find("one\n") != std::string::npos);
    cr_assert(raw_response.find("0\r\n\r\n") == std::string::npos);
}

// Guards against a handler that throws, sends no response or does not finish its stream leaving the
// caller waiting or terminating the process.
Test(http_server, handler_without_complete_response_error_or_truncated_stream)
{
    running_server running(
        [](const http_request& request, http_response& response)
        {
            if (request.target == "/throws")
                throw std::runtime_error("fault");
            if (request.target == "/status")
                response.send(12345, json_type, "");
            if (request.target == "/stream")
                response.start_stream(200, json_type);
        });
    for (const std::string target : {"/throws", "/status", "/silent"})
    {
        raw_socket caller = running.connect();
        caller.send("GET " + target + " HTTP/1.1\r\n\r\n");
        const std::string raw_response = caller.read_until("}}");
        cr_assert(status_of(raw_response) == 500);
        cr_assert(raw_response.find("\"verdict\":\"may_have_run\"") != std::string::npos);
    }
    raw_socket caller = running.connect();
    caller.send("GET /stream HTTP/1.1\r\n\r\n");
    const std::string raw_response = caller.read_to_end();
    cr_assert(caller.disconnected());
    cr_assert(raw_response.find("0\r\n\r\n") == std::string::npos);
}

// Guards against headers of unlimited size, made up of many lines or of a single endless one.
Test(http_server, header_too_large_rejected_431)
{
    running_server running(echo_request);
    raw_socket many_lines = running.connect();
    std::string request = "GET / HTTP/1.1\r\n";
    while (request.size() < 9 * 1024)
        request += "X-Filler: 0123456789012345678901234567890123456789\r\n";
    many_lines.send(request + "\r\n");
    expect_rejection(many_lines.read_to_end(), 431, "bad_request");
    raw_socket one_line = running.connect();
    one_line.send("GET /" + std::string(100 * 1024, 'a'));
    expect_rejection(one_line.read_to_end(), 431, "bad_request");
    cr_assert(running.server.dropped_connections() == 2);
}

// Guards against bodies of unlimited size, with Content-Length or chunked.
Test(http_server, body_too_large_rejected_413)
{
    running_server running(echo_request);
    raw_socket declared = running.connect();
    declared.send("POST / HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n");
    expect_rejection(declared.read_to_end(), 413, "bad_request");
    // The response must reach a caller that is still sending; a connection reset would discard it.
    raw_socket chunked = running.connect();
    chunked.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
    for (int i = 0; i < 24; ++i)
        chunked.send(chunk);
    expect_rejection(chunked.read_to_end(), 413, "bad_request");
}

// Guards against a body of exactly the limit being rejected.
Test(http_server, body_at_limit_accepted)
{
    running_server running([](const http_request& request, http_response& response)
                           { response.send(200, json_type, std::to_string(request.body.size())); });
    raw_socket caller = running.connect();
    caller.send("POST / HTTP/1.1\r\nContent-Length: 1048576\r\n\r\n" + std::string(1048576, 'x'));
    cr_assert(caller.read_until("\r\n\r\n1048576").ends_with("1048576"));
}

// Guards against a caller that holds a connection indefinitely by sending the header or the body of
// its request very slowly.
Test(http_server, request_read_timeout_rejected_408)
{
    http_server_options options;
    options.read_timeout = milliseconds(300);
    running_server running(echo_request, options);
    raw_socket in_header = running.connect();
    in_header.send("GET / HTTP/1.1\r\nX-");
    expect_rejection(in_header.read_to_end(), 408, "bad_request");
    raw_socket in_body = running.connect();
    in_body.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    expect_rejection(in_body.read_to_end(), 408, "bad_request");
    // Receiving further bytes does not extend the timeout.
    raw_socket trickle = running.connect();
    trickle.send("GET /");
    cr_assert(eventually(
        [&]
        {
            trickle.send("a");
            return running.server.dropped_connections() == 3;
        }));
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against idle connections being kept open indefinitely, before or after a request.
Test(http_server, idle_connection_closed_without_response)
{
    http_server_options options;
    options.idle_timeout = milliseconds(300);
    running_server running(echo_request, options);
    raw_socket unused = running.connect();
    cr_assert(unused.read_to_end().empty());
    cr_assert(unused.disconnected());
    raw_socket used = running.connect();
    used.send(simple_request);
    used.read_until("/healthz|");
    cr_assert(used.read_to_end().empty());
    cr_assert(used.disconnected());
}

// Guards against binary data, request smuggling by conflicting lengths and other invalid input
// being accepted or disrupting the server.
Test(http_server, invalid_http_rejected_400)
{
    running_server running(echo_request);
    std::string binary;
    for (int i = 0; i < 4096; ++i)
        binary.push_back(static_cast<char>((i * 7919) % 256));
    const std::vector<std::string> inputs = {
        binary,
        std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11) + std::string(200, '\0'),
        "GET / HTTP/9.9\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: abc\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;" + std::string(100000, 'e'),
        "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n",
    };
    for (std::size_t i = 0; i < inputs.size(); ++i)
    {
        raw_socket caller = running.connect();
        caller.send(inputs[i]);
        const std::string raw_response = caller.read_to_end();
        cr_assert(status_of(raw_response) == 400, "input %zu: %s", i, raw_response.c_str());
        expect_rejection(raw_response, 400, "bad_request");
    }
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
    raw_socket caller = running.connect();
    caller.send(simple_request);
    cr_assert(status_of(caller.read_until("\r\n\r\n")) == 200);
}

// Guards against the response to invalid input being lost if the caller shuts down its sending side
// right after the input.
Test(http_server, invalid_http_then_half_close_still_answered)
{
    running_server running(echo_request);
    raw_socket caller = running.connect();
    caller.send("nonsense\r\n\r\n");
    caller.shutdown_send();
    expect_rejection(caller.read_to_end(), 400, "bad_request");
}

// Guards against a caller waiting indefinitely for "100 Continue" before it sends its body.
Test(http_server, expect_continue_answered_before_body)
{
    running_server running(echo_request);
    raw_socket caller = running.connect();
    caller.send("POST /a HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
    cr_assert(caller.read_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("abc");
    cr_assert(status_of(caller.read_until("/a|abc")) == 200);
}

// Guards against chunked encoding in a response to HTTP/1.0, and a body in a response to HEAD.
Test(http_server, http_1_0_and_head_framed_accordingly)
{
    running_server running(
        [](const http_request& request, http_response& response)
        {
            if (request.target == "/whole")
            {
                response.send(200, json_type, "whole");
                return;
            }
            response.start_stream(200, json_type);
            response.write("one");
            response.write("two");
            response.finish();
        });
    raw_socket http_1_0_caller = running.connect();
    http_1_0_caller.send("GET /stream HTTP/1.0\r\n\r\n");
    const std::string plain = http_1_0_caller.read_to_end();
    cr_assert(plain.ends_with("\r\n\r\nonetwo"));
    cr_assert(plain.find("chunked") == std::string::npos);
    raw_socket head = running.connect();
    head.send("HEAD /whole HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string header = head.read_to_end();
    cr_assert(header.find("Content-Length: 5\r\n") != std::string::npos);
    cr_assert(header.ends_with("\r\n\r\n"));
}

// Guards against an unbounded queue, and against a refused request that gets no response or closes
// its connection.
Test(http_server, queue_full_refused_as_overloaded)
{
    http_server_options options;
    options.workers = 2;
    options.queue_length = 3;
    event release;
    std::atomic<int> started{0};
    running_server running(
        [&](const http_request& request, http_response& response)
        {
            ++started;
            release.wait();
            echo_request(request, response);
        },
        options);
    std::vector<raw_socket> accepted;
    for (int i = 0; i < 5; ++i)
    {
        accepted.push_back(running.connect());
        accepted.back().send(simple_request);
    }
    cr_assert(eventually([&] { return running.server.in_flight() == 5 && started == 2; }));
    raw_socket refused = running.connect();
    refused.send(simple_request);
    const std::string raw_response = refused.read_until(overloaded_body());
    cr_assert(status_of(raw_response) == 503);
    cr_assert(raw_response.find("Retry-After: ") != std::string::npos);
    release.set();
    for (raw_socket& caller : accepted)
        cr_assert(status_of(caller.read_until("/healthz|")) == 200);
    refused.send(simple_request);
    cr_assert(status_of(refused.read_until("/healthz|")) == 200);
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against the handler being run for a caller that disconnected while its request was queued.
Test(http_server, caller_closes_while_queued_handler_not_started)
{
    http_server_options options;
    options.workers = 1;
    options.io_threads = 1;
    event release;
    std::atomic<int> started{0};
    running_server running(
        [&](const http_request& request, http_response& response)
        {
            ++started;
            release.wait();
            echo_request(request, response);
        },
        options);
    raw_socket first = running.connect();
    first.send(simple_request);
    cr_assert(eventually([&] { return started == 1; }));
    raw_socket second = running.connect();
    second.send(simple_request);
    cr_assert(eventually([&] { return running.server.in_flight() == 2; }));
    // A response on a connection opened later shows that the only I/O thread has handled the close.
    second.close();
    raw_socket third = running.connect();
    third.send("invalid\r\n\r\n");
    third.read_to_end();
    release.set();
    cr_assert(status_of(first.read_until("/healthz|")) == 200);
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
    cr_assert(started == 1);
}

// Guards against idle connections locking out other callers when the connection limit is reached.
Test(http_server, connection_limit_reached_longest_idle_evicted)
{
    http_server_options options;
    options.max_connections = 3;
    options.io_threads = 1; // the order in which connections become idle is then fixed
    running_server running(echo_request, options);
    std::vector<raw_socket> idle;
    for (int i = 0; i < 3; ++i)
    {
        idle.push_back(running.connect());
        idle.back().send(simple_request);
        idle.back().read_until("/healthz|");
    }
    // The first is now the most recently used one, and the second the longest idle.
    idle[0].send(simple_request);
    idle[0].read_until("/healthz|");
    raw_socket new_caller = running.connect();
    new_caller.send(simple_request);
    cr_assert(status_of(new_caller.read_until("/healthz|")) == 200);
    cr_assert(idle[1].read_to_end().empty());
    cr_assert(idle[1].disconnected());
    cr_assert(running.server.dropped_connections() == 1);
    idle[0].send(simple_request);
    cr_assert(status_of(idle[0].read_until("/healthz|")) == 200);
}

// Guards against a connection with a request in progress being evicted for a new one, and against
// the connection limit being exceeded.
Test(http_server, connection_limit_reached_none_idle_new_connection_refused)
{
    http_server_options options;
    options.max_connections = 2;
    event release;
    running_server running(
        [&](const http_request& request, http_response& response)
        {
            release.wait();
            echo_request(request, response);
        },
        options);
    raw_socket first = running.connect();
    raw_socket second = running.connect();
    first.send(simple_request);
    second.send(simple_request);
    cr_assert(eventually([&] { return running.server.in_flight() == 2; }));
    raw_socket refused = running.connect();
    cr_assert(refused.read_to_end().empty());
    cr_assert(refused.disconnected());
    cr_assert(running.server.dropped_connections() == 1);
    release.set();
    cr_assert(status_of(first.read_until("/healthz|")) == 200);
    cr_assert(status_of(second.read_until("/healthz|")) == 200);
}

// Guards against draining that aborts or refuses requests, or keeps connections open after the
// response.
Test(http_server, drain_requests_answered_and_connections_closed)
{
    event started;
    event release;
    running_server running(
        [&](const http_request& request, http_response& response)
        {
            if (request.target == "/slow")
            {
                started.set();
                release.wait();
            }
            echo_request(request, response);
        });
    raw_socket slow = running.connect();
    raw_socket idle = running.connect();
    idle.send(simple_request);
    cr_assert(idle.read_until("/healthz|").find("Connection: close") == std::string::npos);
    slow.send("GET /slow HTTP/1.1\r\n\r\n");
    cr_assert(started.wait());
    cr_assert(eventually([&] { return running.server.in_flight() == 1; }));
    running.server.begin_drain();
    raw_socket new_caller = running.connect();
    for (raw_socket* caller : {&idle, &new_caller})
    {
        caller->send(simple_request);
        const std::string raw_response = caller->read_to_end();
        cr_assert(caller->disconnected());
        cr_assert(status_of(raw_response) == 200);
        cr_assert(raw_response.find("Connection: close\r\n") != std::string::npos);
    }
    cr_assert(eventually([&] { return running.server.in_flight() == 1; }));
    release.set();
    const std::string raw_response = slow.read_to_end();
    cr_assert(status_of(raw_response) == 200);
    cr_assert(raw_response.find("Connection: close\r\n") != std::string::npos);
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against stop() blocking on handlers that are not cancelled when their connections are
// closed.
Test(http_server, stop_during_requests_handlers_cancelled_and_joined)
{
    std::atomic<int> started{0};
    std::atomic<int> cancelled{0};
    running_server running(
        [&](const http_request& request, http_response& response)
        {
            ++started;
            if (request.target == "/stream")
            {
                response.start_stream(200, json_type);
                while (response.write(std::string(10000, 'x')))
                {
                }
            }
            if (eventually([&] { return response.cancelled()->load(); }))
                ++cancelled;
        });
    raw_socket waiting = running.connect();
    waiting.send(simple_request);
    raw_socket streaming = running.connect(4096);
    streaming.send("GET /stream HTTP/1.1\r\n\r\n");
    cr_assert(eventually([&] { return started == 2; }));
    streaming.read_until("\r\n\r\n");
    running.server.stop();
    cr_assert(cancelled == 2);
    cr_assert(running.server.in_flight() == 0);
    cr_assert(!running.connect().valid());
}

// Guards against start() ignoring that the port is in use.
Test(http_server, start_port_in_use_throws)
{
    running_server running(echo_request);
    http_server_options options;
    options.port = running.server.port();
    http_server second(options, echo_request, overloaded_body);
    bool threw = false;
    try
    {
        second.start();
    }
    catch (const std::system_error&)
    {
        threw = true;
    }
    cr_assert(threw);
}

// Guards against thousands of idle connections and incomplete requests exhausting the memory or
// blocking other callers.
Test(http_server, thousands_of_idle_connections_and_incomplete_requests_callers_still_served)
{
    constexpr std::size_t connection_count = 4000;
    constexpr std::size_t memory_limit = 128 * 1024 * 1024;
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    // This process holds the descriptors of both ends of each connection.
    cr_assert(limit.rlim_cur > 2 * connection_count + 100, "RLIMIT_NOFILE is too low");
    running_server running(echo_request);
    const std::size_t initial_bytes = resident_bytes();
    std::vector<raw_socket> connections;
    for (std::size_t i = 0; i < connection_count; ++i)
    {
        connections.push_back(running.connect());
        if (i % 2 == 0)
            connections.back().send("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\nab");
    }
    cr_assert(eventually([&] { return running.server.in_flight() == connection_count / 2; }));
    raw_socket caller = running.connect();
    for (int i = 0; i < 100; ++i)
    {
        caller.send(simple_request);
        cr_assert(status_of(caller.read_until("/healthz|")) == 200);
    }
    cr_assert(resident_bytes() < initial_bytes + memory_limit, "resident memory grew by %zu bytes",
              resident_bytes() - initial_bytes);
    connections.clear();
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against many bodies exhausting the memory although each is within the limit for one.
Test(http_server, bodies_of_many_connections_total_size_bounded)
{
    constexpr std::size_t connection_count = 300;
    constexpr std::size_t memory_limit = 256 * 1024 * 1024;
    running_server running(echo_request);
    const std::size_t initial_bytes = resident_bytes();
    const std::string incomplete_body(1000000, 'x');
    std::vector<raw_socket> connections;
    for (std::size_t i = 0; i < connection_count; ++i)
    {
        connections.push_back(running.connect());
        connections.back().send("POST / HTTP/1.1\r\nContent-Length: 1000001\r\n\r\n");
        connections.back().send(incomplete_body);
    }
    cr_assert(eventually([&] { return running.server.dropped_connections() > 0; }));
    cr_assert(resident_bytes() < initial_bytes + memory_limit, "resident memory grew by %zu bytes",
              resident_bytes() - initial_bytes);
    connections.clear();
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
    raw_socket caller = running.connect();
    caller.send(simple_request);
    cr_assert(status_of(caller.read_until("/healthz|")) == 200);
}

// Guards against races between responses, closed connections and new requests under load.
Test(http_server, many_callers_disconnecting_no_request_stays_in_flight)
{
    constexpr int callers = 16;
    constexpr int rounds = 60;
    http_server_options options;
    options.workers = 8;
    options.queue_length = 8;
    http_server server(
        options,
        [](const http_request& request, http_response& response)
        {
            if (request.target == "/stream")
            {
                response.start_stream(200, json_type);
                for (int i = 0; i < 50 && response.write(std::string(2000, 'x')); ++i)
                {
                }
                response.finish();
                return;
            }
            response.send(200, json_type, request.target + "END");
        },
        [] { return std::string("refusedEND"); });
    server.start();
    std::vector<std::thread> threads;
    threads.reserve(callers);
    std::atomic<int> mismatched{0};
    for (int c = 0; c < callers; ++c)
    {
        threads.emplace_back(
            [&, c]
            {
                for (int i = 0; i < rounds; ++i)
                {
                    raw_socket caller = raw_socket::connect_to(server.port());
                    const std::string target =
                        (c + i) % 3 == 0 ? "/stream" : "/" + std::to_string(c * rounds + i);
                    caller.send("GET " + target + " HTTP/1.1\r\n\r\n");
                    if (i % 4 == 0)
                        caller.reset();
                    else if (i % 4 == 1)
                        caller.close();
                    else if (target != "/stream")
                    {
                        // Each response contains the target of its request or is a refusal.
                        const std::string raw_response = caller.read_until("END");
                        const bool refused = status_of(raw_response) == 503;
                        if (!refused &&
                            raw_response.find("\r\n\r\n" + target + "END") == std::string::npos)
                            ++mismatched;
                    }
                }
            });
    }
    for (std::thread& thread : threads)
        thread.join();
    cr_assert(mismatched == 0);
    cr_assert(eventually([&] { return server.in_flight() == 0; }));
}
