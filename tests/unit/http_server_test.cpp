// The HTTP server bounds what a peer may send or hold, and notices at once when a caller leaves.
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

// A condition that one thread sets and others wait for, with the deadline of the tests.
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
        return changed_.wait_for(lock, wait_limit, [this] { return set_; });
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

// A started server whose handler is given by the test.
class running_server
{
public:
    explicit running_server(http_handler handler, http_server_options options = {})
        : server(std::move(options), std::move(handler), overloaded_body)
    {
        server.start();
    }

    raw_socket connect(int receive_buffer = 0) const
    {
        return raw_socket::connect_to(server.port(), receive_buffer);
    }

    http_server server;
};

void answer_target(const http_request& request, http_response& response)
{
    response.send(200, json_type, request.target + "|" + request.body);
}

int status_of(const std::string& answer)
{
    return answer.size() < 12 ? 0 : std::atoi(answer.c_str() + 9);
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

void expect_rejection(const std::string& answer, int status, std::string_view reason_name)
{
    cr_assert(status_of(answer) == status, "%s", answer.c_str());
    cr_assert(answer.find("\"reason\":\"" + std::string(reason_name) + "\"") != std::string::npos);
    cr_assert(answer.find("\"verdict\":\"not_run\"") != std::string::npos);
    cr_assert(answer.find("\"request\":\"\"") != std::string::npos);
    cr_assert(answer.find("Connection: close\r\n") != std::string::npos);
}

} // namespace

// Guards against parts of a request that are lost or altered before the handler sees them.
Test(http_server, request_with_body_reaches_handler_whole)
{
    std::optional<http_request> seen;
    running_server running(
        [&](const http_request& request, http_response& response)
        {
            seen = request;
            response.send(201, json_type, "{}", {{"X-Extra", "1"}});
        });
    raw_socket caller = running.connect();
    caller.send("POST /v1/pipelines/a?b=c HTTP/1.1\r\nHost: h\r\nDeadline-MS: 50\r\n"
                "X-Twice: 1\r\nx-twice: 2\r\nContent-Length: 5\r\n\r\nhello");
    const std::string answer = caller.read_until("\r\n\r\n{}");
    cr_assert(status_of(answer) == 201);
    cr_assert(answer.find("X-Extra: 1\r\n") != std::string::npos);
    cr_assert(answer.find("Content-Length: 2\r\n") != std::string::npos);
    cr_assert(seen->method == "POST");
    cr_assert(seen->target == "/v1/pipelines/a?b=c");
    cr_assert(seen->header("deadline-ms") == "50");
    cr_assert(seen->header("x-twice") == "1, 2");
    cr_assert(seen->header("absent").empty());
    cr_assert(seen->body == "hello");
}

// Guards against answers that are lost, doubled or out of order on a kept-alive connection.
Test(http_server, pipelined_requests_answered_in_order)
{
    running_server running(answer_target);
    raw_socket caller = running.connect();
    std::string all;
    for (int i = 0; i < 50; ++i)
        all += "POST /" + std::to_string(i) + " HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    cr_assert(caller.send(all));
    std::string answers;
    for (int i = 0; i < 50; ++i)
    {
        const std::string expected = "/" + std::to_string(i) + "|abc";
        if (answers.find(expected) == std::string::npos)
            answers += caller.read_until(expected);
        const std::size_t at = answers.find(expected);
        cr_assert(at != std::string::npos, "answer %d is missing", i);
        answers.erase(0, at + expected.size());
    }
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against chunks that are held back until the answer ends.
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
    // The connection carries the next request.
    caller.send(simple_request);
    cr_assert(status_of(caller.read_until("\r\n\r\n")) == 200);
}

// Guards against a handler that goes on working for a caller who has left.
Test(http_server, caller_closes_while_handler_works_cancelled)
{
    for (const bool with_reset : {false, true})
    {
        event started;
        std::atomic<bool> noticed{false};
        running_server running(
            [&](const http_request&, http_response& response)
            {
                started.set();
                noticed = eventually([&] { return response.cancelled()->load(); });
                response.send(200, json_type, "{}");
            });
        raw_socket caller = running.connect();
        caller.send(simple_request);
        cr_assert(started.wait());
        if (with_reset)
            caller.reset();
        else
            caller.close();
        cr_assert(eventually([&] { return noticed.load(); }));
        cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
    }
}

// Guards against a close that goes unnoticed behind pipelined requests which nobody has read yet.
Test(http_server, caller_closes_behind_pipelined_data_cancelled)
{
    event started;
    std::atomic<bool> noticed{false};
    running_server running(
        [&](const http_request&, http_response& response)
        {
            started.set();
            noticed = eventually([&] { return response.cancelled()->load(); });
            response.send(200, json_type, "{}");
        });
    raw_socket caller = running.connect();
    caller.send(simple_request);
    cr_assert(started.wait());
    std::string more;
    while (more.size() < 16384)
        more += simple_request;
    cr_assert(caller.send(more));
    caller.close();
    cr_assert(eventually([&] { return noticed.load(); }));
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against a writer that keeps producing, or blocks for ever, when its reader disappears.
Test(http_server, caller_disappears_mid_stream_write_fails)
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
            write_failed = true;
            was_cancelled = response.cancelled()->load();
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

// Guards against a stalled reader for whom the server buffers without bound or holds a worker for
// ever.
Test(http_server, reader_stops_writer_blocks_and_connection_dropped)
{
    http_server_options options;
    options.write_timeout = milliseconds(300);
    std::atomic<std::size_t> written{0};
    std::atomic<bool> write_failed{false};
    const std::string piece(4096, 'x');
    // Far more than all buffers on the way hold.
    const std::size_t endless = std::size_t(1) << 30;
    running_server running(
        [&](const http_request&, http_response& response)
        {
            response.start_stream(200, json_type);
            while (written < endless && response.write(piece))
                written += piece.size();
            write_failed = written < endless;
            response.finish();
        },
        options);
    raw_socket caller = running.connect(4096);
    caller.send(simple_request);
    cr_assert(eventually([&] { return write_failed.load(); }));
    cr_assert(written < 8 * 1024 * 1024, "%zu bytes were taken", written.load());
    cr_assert(running.server.dropped_connections() == 1);
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against the same for a whole answer, which is larger than the socket's buffer.
Test(http_server, reader_stops_during_whole_answer_connection_dropped)
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

// Guards against a slow reader who is dropped although it keeps reading, or whose answer is cut or
// reordered by the back-pressure.
Test(http_server, slow_reader_receives_whole_stream)
{
    constexpr int pieces = 2000;
    running_server running(
        [&](const http_request&, http_response& response)
        {
            response.start_stream(200, json_type);
            for (int i = 0; i < pieces; ++i)
            {
                if (!response.write(std::to_string(i) + std::string(1000, '.') + "\n"))
                    return;
            }
            response.finish();
        });
    raw_socket caller = running.connect(4096);
    caller.send(simple_request);
    const std::string answer = caller.read_until("\r\n0\r\n\r\n");
    std::size_t at = 0;
    for (int i = 0; i < pieces; ++i)
    {
        at = answer.find("\n" + std::to_string(i) + std::string(1000, '.'), at);
        cr_assert(at != std::string::npos, "piece %d is missing", i);
    }
}

// Guards against an aborted stream that the caller takes for a complete answer.
Test(http_server, abort_stream_cut_without_final_chunk)
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
    const std::string answer = caller.read_to_end();
    cr_assert(caller.ended());
    cr_assert(answer.find("one\n") != std::string::npos);
    cr_assert(answer.find("0\r\n\r\n") == std::string::npos);
}

// Guards against a handler that throws, forgets its answer or its stream's end, and leaves the
// caller waiting or takes the process down.
Test(http_server, handler_without_complete_answer_error_or_cut)
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
        const std::string answer = caller.read_until("}}");
        cr_assert(status_of(answer) == 500);
        cr_assert(answer.find("\"verdict\":\"may_have_run\"") != std::string::npos);
    }
    raw_socket caller = running.connect();
    caller.send("GET /stream HTTP/1.1\r\n\r\n");
    const std::string answer = caller.read_to_end();
    cr_assert(caller.ended());
    cr_assert(answer.find("0\r\n\r\n") == std::string::npos);
}

// Guards against a header without bound; a line without end is as dangerous as many lines.
Test(http_server, header_too_large_rejected_431)
{
    running_server running(answer_target);
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

// Guards against a body without bound, declared or chunked.
Test(http_server, body_too_large_rejected_413)
{
    running_server running(answer_target);
    raw_socket declared = running.connect();
    declared.send("POST / HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n");
    expect_rejection(declared.read_to_end(), 413, "bad_request");
    // The answer must reach a caller that is still sending: a reset would destroy it.
    raw_socket chunked = running.connect();
    chunked.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string piece = "10000\r\n" + std::string(65536, 'x') + "\r\n";
    for (int i = 0; i < 24; ++i)
        chunked.send(piece);
    expect_rejection(chunked.read_to_end(), 413, "bad_request");
}

// Guards against a limit that rejects what it should still allow.
Test(http_server, body_at_limit_accepted)
{
    running_server running([](const http_request& request, http_response& response)
                           { response.send(200, json_type, std::to_string(request.body.size())); });
    raw_socket caller = running.connect();
    caller.send("POST / HTTP/1.1\r\nContent-Length: 1048576\r\n\r\n" + std::string(1048576, 'x'));
    cr_assert(caller.read_until("\r\n\r\n1048576").ends_with("1048576"));
}

// Guards against a caller that sends its request so slowly that it holds a connection for ever,
// in the header as in the body.
Test(http_server, request_read_timeout_rejected_408)
{
    http_server_options options;
    options.read_timeout = milliseconds(300);
    running_server running(answer_target, options);
    raw_socket in_header = running.connect();
    in_header.send("GET / HTTP/1.1\r\nX-");
    expect_rejection(in_header.read_to_end(), 408, "bad_request");
    raw_socket in_body = running.connect();
    in_body.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    expect_rejection(in_body.read_to_end(), 408, "bad_request");
    // Single bytes don't extend the time.
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

// Guards against idle connections that are never given up.
Test(http_server, idle_connection_closed_without_answer)
{
    http_server_options options;
    options.idle_timeout = milliseconds(300);
    running_server running(answer_target, options);
    raw_socket fresh = running.connect();
    cr_assert(fresh.read_to_end().empty());
    cr_assert(fresh.ended());
    raw_socket used = running.connect();
    used.send(simple_request);
    used.read_until("/healthz|");
    cr_assert(used.read_to_end().empty());
    cr_assert(used.ended());
}

// Guards against binary junk, request smuggling by conflicting lengths and other invalid input.
Test(http_server, invalid_http_rejected_400)
{
    running_server running(answer_target);
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
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;" + std::string(100000, 'e'),
        "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n",
    };
    for (std::size_t i = 0; i < inputs.size(); ++i)
    {
        raw_socket caller = running.connect();
        caller.send(inputs[i]);
        const std::string answer = caller.read_to_end();
        cr_assert(status_of(answer) == 400, "input %zu: %s", i, answer.c_str());
        expect_rejection(answer, 400, "bad_request");
    }
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
    raw_socket caller = running.connect();
    caller.send(simple_request);
    cr_assert(status_of(caller.read_until("\r\n\r\n")) == 200);
}

// Guards against an answer to junk that is lost when the caller ends its side at once.
Test(http_server, invalid_http_then_half_close_still_answered)
{
    running_server running(answer_target);
    raw_socket caller = running.connect();
    caller.send("nonsense\r\n\r\n");
    caller.shutdown_send();
    expect_rejection(caller.read_to_end(), 400, "bad_request");
}

// Guards against a caller that waits in vain for permission to send its body.
Test(http_server, expect_continue_answered_before_body)
{
    running_server running(answer_target);
    raw_socket caller = running.connect();
    caller.send("POST /a HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
    cr_assert(caller.read_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("abc");
    cr_assert(status_of(caller.read_until("/a|abc")) == 200);
}

// Guards against chunks sent to a peer that doesn't know them, and a body after HEAD.
Test(http_server, older_version_and_head_framed_accordingly)
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
    raw_socket old = running.connect();
    old.send("GET /stream HTTP/1.0\r\n\r\n");
    const std::string plain = old.read_to_end();
    cr_assert(plain.ends_with("\r\n\r\nonetwo"));
    cr_assert(plain.find("chunked") == std::string::npos);
    raw_socket head = running.connect();
    head.send("HEAD /whole HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string header = head.read_to_end();
    cr_assert(header.find("Content-Length: 5\r\n") != std::string::npos);
    cr_assert(header.ends_with("\r\n\r\n"));
}

// Guards against an unbounded queue, and against a refused request that is lost or ends its
// connection.
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
            answer_target(request, response);
        },
        options);
    std::vector<raw_socket> taken;
    for (int i = 0; i < 5; ++i)
    {
        taken.push_back(running.connect());
        taken.back().send(simple_request);
    }
    cr_assert(eventually([&] { return running.server.in_flight() == 5 && started == 2; }));
    raw_socket refused = running.connect();
    refused.send(simple_request);
    const std::string answer = refused.read_until(overloaded_body());
    cr_assert(status_of(answer) == 503);
    cr_assert(answer.find("Retry-After: ") != std::string::npos);
    release.set();
    for (raw_socket& caller : taken)
        cr_assert(status_of(caller.read_until("/healthz|")) == 200);
    refused.send(simple_request);
    cr_assert(status_of(refused.read_until("/healthz|")) == 200);
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against work that is started for a caller who left while the request was queued.
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
            answer_target(request, response);
        },
        options);
    raw_socket first = running.connect();
    first.send(simple_request);
    cr_assert(eventually([&] { return started == 1; }));
    raw_socket second = running.connect();
    second.send(simple_request);
    cr_assert(eventually([&] { return running.server.in_flight() == 2; }));
    // An answer on a later connection shows that the only I/O thread has handled the close.
    second.close();
    raw_socket third = running.connect();
    third.send("junk\r\n\r\n");
    third.read_to_end();
    release.set();
    cr_assert(status_of(first.read_until("/healthz|")) == 200);
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
    cr_assert(started == 1);
}

// Guards against idle connections that lock out callers once all places are taken.
Test(http_server, connections_full_longest_idle_gives_way)
{
    http_server_options options;
    options.max_connections = 3;
    options.io_threads = 1; // keeps the order in which the connections become idle
    running_server running(answer_target, options);
    std::vector<raw_socket> idle;
    for (int i = 0; i < 3; ++i)
    {
        idle.push_back(running.connect());
        idle.back().send(simple_request);
        idle.back().read_until("/healthz|");
    }
    // The first becomes the one used last.
    idle[0].send(simple_request);
    idle[0].read_until("/healthz|");
    raw_socket added = running.connect();
    added.send(simple_request);
    cr_assert(status_of(added.read_until("/healthz|")) == 200);
    cr_assert(idle[1].read_to_end().empty());
    cr_assert(idle[1].ended());
    cr_assert(running.server.dropped_connections() == 1);
    idle[0].send(simple_request);
    cr_assert(status_of(idle[0].read_until("/healthz|")) == 200);
}

// Guards against a request in progress that is cut to make room, and connections beyond the bound.
Test(http_server, connections_full_of_requests_new_one_refused)
{
    http_server_options options;
    options.max_connections = 2;
    event release;
    running_server running(
        [&](const http_request& request, http_response& response)
        {
            release.wait();
            answer_target(request, response);
        },
        options);
    raw_socket first = running.connect();
    raw_socket second = running.connect();
    first.send(simple_request);
    second.send(simple_request);
    cr_assert(eventually([&] { return running.server.in_flight() == 2; }));
    raw_socket refused = running.connect();
    cr_assert(refused.read_to_end().empty());
    cr_assert(refused.ended());
    cr_assert(running.server.dropped_connections() == 1);
    release.set();
    cr_assert(status_of(first.read_until("/healthz|")) == 200);
    cr_assert(status_of(second.read_until("/healthz|")) == 200);
}

// Guards against a planned stop that cuts or refuses requests, and connections kept after it.
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
            answer_target(request, response);
        });
    raw_socket slow = running.connect();
    raw_socket idle = running.connect();
    idle.send(simple_request);
    cr_assert(idle.read_until("/healthz|").find("Connection: close") == std::string::npos);
    slow.send("GET /slow HTTP/1.1\r\n\r\n");
    cr_assert(started.wait());
    cr_assert(eventually([&] { return running.server.in_flight() == 1; }));
    running.server.begin_drain();
    raw_socket added = running.connect();
    for (raw_socket* caller : {&idle, &added})
    {
        caller->send(simple_request);
        const std::string answer = caller->read_to_end();
        cr_assert(caller->ended());
        cr_assert(status_of(answer) == 200);
        cr_assert(answer.find("Connection: close\r\n") != std::string::npos);
    }
    cr_assert(eventually([&] { return running.server.in_flight() == 1; }));
    release.set();
    const std::string answer = slow.read_to_end();
    cr_assert(status_of(answer) == 200);
    cr_assert(answer.find("Connection: close\r\n") != std::string::npos);
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against a stop that waits for handlers whose connections it has closed.
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

// Guards against an address that is in use being passed over silently.
Test(http_server, start_port_in_use_throws)
{
    running_server running(answer_target);
    http_server_options options;
    options.port = running.server.port();
    http_server second(options, answer_target, overloaded_body);
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

// Guards against thousands of idle and half-open connections that exhaust memory or stop the
// service of other callers.
Test(http_server, thousands_of_idle_and_half_open_connections_callers_still_served)
{
    constexpr std::size_t held = 4000;
    constexpr std::size_t memory_bound = 128 * 1024 * 1024;
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    // Both ends of each connection are in this process.
    cr_assert(limit.rlim_cur > 2 * held + 100, "the limit of open files is too low");
    running_server running(answer_target);
    const std::size_t before = resident_bytes();
    std::vector<raw_socket> connections;
    for (std::size_t i = 0; i < held; ++i)
    {
        connections.push_back(running.connect());
        if (i % 2 == 0)
            connections.back().send("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\nab");
    }
    cr_assert(eventually([&] { return running.server.in_flight() == held / 2; }));
    raw_socket caller = running.connect();
    for (int i = 0; i < 100; ++i)
    {
        caller.send(simple_request);
        cr_assert(status_of(caller.read_until("/healthz|")) == 200);
    }
    cr_assert(resident_bytes() < before + memory_bound, "%zu bytes more",
              resident_bytes() - before);
    connections.clear();
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
}

// Guards against bodies that together exhaust the memory although each is within its limit.
Test(http_server, bodies_of_many_connections_bounded_together)
{
    constexpr std::size_t held = 300;
    constexpr std::size_t memory_bound = 256 * 1024 * 1024;
    running_server running(answer_target);
    const std::size_t before = resident_bytes();
    const std::string most(1000000, 'x');
    std::vector<raw_socket> connections;
    for (std::size_t i = 0; i < held; ++i)
    {
        connections.push_back(running.connect());
        connections.back().send("POST / HTTP/1.1\r\nContent-Length: 1000001\r\n\r\n");
        connections.back().send(most);
    }
    cr_assert(eventually([&] { return running.server.dropped_connections() > 0; }));
    cr_assert(resident_bytes() < before + memory_bound, "%zu bytes more",
              resident_bytes() - before);
    connections.clear();
    cr_assert(eventually([&] { return running.server.in_flight() == 0; }));
    raw_socket caller = running.connect();
    caller.send(simple_request);
    cr_assert(status_of(caller.read_until("/healthz|")) == 200);
}

// Guards against races between answers, closes and new requests under load.
Test(http_server, many_callers_leaving_at_random_nothing_stays_in_flight)
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
    std::atomic<int> wrong{0};
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
                        // Every answer names its target or is the refusal.
                        const std::string answer = caller.read_until("END");
                        const bool refused = status_of(answer) == 503;
                        if (!refused &&
                            answer.find("\r\n\r\n" + target + "END") == std::string::npos)
                            ++wrong;
                    }
                }
            });
    }
    for (std::thread& thread : threads)
        thread.join();
    cr_assert(wrong == 0);
    cr_assert(eventually([&] { return server.in_flight() == 0; }));
}
