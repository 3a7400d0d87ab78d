// http_client: distinction of not_run from may_have_run, timeouts, cancellation, streaming, and
// reuse of connections only after a complete response.
#include "transport/http_client.h"

#include "raw_socket.h"

#include <criterion/criterion.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace zinnianotch;
using namespace zinnianotch::test;

namespace
{

// Longer than any call of a passing test takes.
constexpr milliseconds long_timeout{60000};
// For calls that are expected to time out.
constexpr milliseconds short_timeout{200};

// More than the buffers of a connection hold.
constexpr std::size_t endless_bytes_max = 64 * 1024 * 1024;

constexpr std::string_view ok_response =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Mixed-Case: Yes\r\n"
    "Content-Length: 2\r\n\r\n{}";
constexpr std::string_view stream_header =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::string_view text)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + std::string(text) + "\r\n";
}

client_request get(std::string path)
{
    client_request out;
    out.path = std::move(path);
    return out;
}

client_request post(std::string path, std::string body)
{
    client_request out;
    out.method = "POST";
    out.path = std::move(path);
    out.body = std::move(body);
    return out;
}

// A response that begins with `first` and goes on with `rest` without end.
struct endless_response
{
    std::string first;
    std::string rest;
};

// Endpoint whose side of the exchange is a function, run on a thread of its own. The destructor
// joins the thread.
class scripted_endpoint
{
public:
    explicit scripted_endpoint(std::function<void()> script) : thread_(std::move(script)) {}
    ~scripted_endpoint() { thread_.join(); }
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;

private:
    std::thread thread_;
};

// Endpoint that serves any number of connections, one thread each, and responds to each GET request
// with the path as the body.
class echo_endpoint
{
public:
    // Called before the response is sent. Connections are numbered from 0 as they are accepted.
    using request_hook = std::function<void(const std::string& path, int connection)>;

    explicit echo_endpoint(request_hook on_request)
        : on_request_(std::move(on_request)), accept_thread_([this] { accept(); })
    {
    }
    // The client must have been destroyed: each thread runs until its connection is closed.
    ~echo_endpoint()
    {
        stop_ = true;
        accept_thread_.join();
        for (std::thread& connection_thread : connection_threads_)
            connection_thread.join();
    }
    echo_endpoint(const echo_endpoint&) = delete;
    echo_endpoint& operator=(const echo_endpoint&) = delete;

    std::string url() const { return listener_.url(); }

private:
    void accept()
    {
        for (int connection = 0; !stop_;)
        {
            raw_socket peer = listener_.accept(milliseconds(poll_step_ms));
            if (!peer.valid())
                continue;
            connection_threads_.emplace_back([this, connection, peer = std::move(peer)]() mutable
                                             { serve(peer, connection); });
            ++connection;
        }
    }

    void serve(raw_socket& peer, int connection)
    {
        for (;;)
        {
            const std::string head = peer.read_until("\r\n\r\n");
            if (peer.disconnected() || head.size() < 5)
                return;
            const std::string path = head.substr(4, head.find(' ', 4) - 4);
            on_request_(path, connection);
            if (!peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size()) +
                           "\r\n\r\n" + path))
                return;
        }
    }

    raw_listener listener_;
    request_hook on_request_;
    std::atomic<bool> stop_{false};
    std::vector<std::thread> connection_threads_;
    std::thread accept_thread_;
};

void expect_failure(const result<client_reply>& outcome, verdict expected_verdict,
                    reason expected_reason)
{
    cr_assert(outcome.has_error());
    cr_assert(outcome.error().why == expected_reason, "reason %s (%s)",
              std::string(to_string(outcome.error().why)).c_str(), outcome.error().detail.c_str());
    cr_assert(outcome.error().outcome == expected_verdict, "verdict %s",
              std::string(to_string(outcome.error().outcome)).c_str());
}

// Makes each kind of call to an endpoint that sends these bytes and closes the connection.
void expect_broken_calls(const std::string& response)
{
    const raw_listener listener;
    std::atomic<bool> stops{false};
    const scripted_endpoint server(
        [&]
        {
            while (!stops)
            {
                raw_socket peer = listener.accept(milliseconds(poll_step_ms));
                if (!peer.valid() || peer.read_until("\r\n\r\n").empty())
                    continue;
                peer.send(response);
            }
        });
    http_client client(listener.url());
    const auto no_line = [](std::string_view) { return true; };
    std::vector<result<client_reply>> outcomes;
    outcomes.push_back(client.send(get("/load"), long_timeout));
    outcomes.push_back(client.send_once(post("/loan", "{}"), long_timeout));
    outcomes.push_back(client.stream(post("/generate", "{}"), long_timeout, long_timeout, no_line));
    stops = true;
    for (const auto& outcome : outcomes)
        expect_failure(outcome, verdict::may_have_run, reason::connection_broken);
}

} // namespace

// Guards against a request or response whose status, headers or body are lost or altered.
Test(http_client, send_success_returns_status_headers_and_body)
{
    const raw_listener listener;
    std::string request_bytes;
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            request_bytes = peer.read_until("{\"a\":1}");
            peer.send(ok_response);
        });
    http_client client(listener.url());
    auto request = post("/run?x=1", "{\"a\":1}");
    request.headers["Deadline-Ms"] = "100";
    const auto outcome = client.send(request, long_timeout);
    cr_assert(outcome.has_value());
    cr_assert(outcome.value().status == 200);
    cr_assert(outcome.value().body == "{}");
    cr_assert(outcome.value().headers.at("x-mixed-case") == "Yes");
    cr_assert(request_bytes.starts_with("POST /run?x=1 HTTP/1.1\r\n"));
    cr_assert(request_bytes.find("\r\nDeadline-Ms:100\r\n") != std::string::npos);
}

// Guards against a refused connection being reported as may_have_run: a request that is not
// idempotent would then not be retried.
Test(http_client, connection_refused_not_run)
{
    const raw_listener bound_only(0);
    http_client client(bound_only.url());
    expect_failure(client.send(get("/load"), long_timeout), verdict::not_run,
                   reason::connect_failed);
    expect_failure(client.send_once(post("/loan", "{}"), long_timeout), verdict::not_run,
                   reason::connect_failed);
    expect_failure(client.stream(post("/generate", "{}"), long_timeout, long_timeout,
                                 [](std::string_view) { return true; }),
                   verdict::not_run, reason::connect_failed);
}

// Guards against an invalid base URL terminating the process or being reported as may_have_run.
Test(http_client, base_url_invalid_not_run)
{
    http_client client("not a url");
    expect_failure(client.send(get("/load"), long_timeout), verdict::not_run,
                   reason::connect_failed);
}

// Guards against a request being reported as not_run although the endpoint has received it.
Test(http_client, connection_closed_without_response_may_have_run)
{
    const raw_listener listener;
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.close();
            raw_socket second = listener.accept();
            second.read_until("\r\n\r\n");
            second.reset();
        });
    http_client client(listener.url());
    expect_failure(client.send_once(post("/loan", "{}"), long_timeout), verdict::may_have_run,
                   reason::connection_broken);
    expect_failure(client.send_once(post("/loan", "{}"), long_timeout), verdict::may_have_run,
                   reason::connection_broken);
}

// Guards against a truncated response being returned as a complete one, with Content-Length or
// chunked.
Test(http_client, body_truncated_connection_broken)
{
    const raw_listener listener;
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart of it");
            peer.close();
            raw_socket second = listener.accept();
            second.read_until("\r\n\r\n");
            second.send(stream_header);
            second.send(chunk("part of it"));
            second.close();
        });
    http_client client(listener.url());
    expect_failure(client.send(get("/a"), long_timeout), verdict::may_have_run,
                   reason::connection_broken);
    expect_failure(client.send(get("/b"), long_timeout), verdict::may_have_run,
                   reason::connection_broken);
}

// Guards against a response without length or chunks that is refused or cut although it ends with
// its connection in order, and against one that looks complete although the connection was reset.
Test(http_client, body_ends_with_connection_complete_unless_reset)
{
    constexpr std::string_view response = "HTTP/1.1 200 OK\r\n\r\npart of it";
    const raw_listener listener;
    const scripted_endpoint server(
        [&]
        {
            for (const bool resets : {false, true})
            {
                raw_socket peer = listener.accept();
                // The client also opens a connection to see whether the server lives.
                while (peer.valid() && peer.read_until("\r\n\r\n").empty())
                    peer = listener.accept();
                peer.send(response);
                std::this_thread::sleep_for(milliseconds(100));
                resets ? peer.reset() : peer.close();
            }
        });
    http_client client(listener.url());
    const result<client_reply> complete = client.send_once(get("/a"), long_timeout);
    cr_assert(complete.has_value() && complete.value().body == "part of it");
    expect_failure(client.send_once(get("/b"), long_timeout), verdict::may_have_run,
                   reason::connection_broken);
}

// Guards against part of a response without length that looks whole after its server crashed.
Test(http_client, body_ends_with_server_connection_broken)
{
    raw_listener listener;
    const std::string url = listener.url();
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            listener.close();
            peer.send("HTTP/1.1 200 OK\r\n\r\npart of it");
            peer.close();
        });
    http_client client(url);
    expect_failure(client.send_once(get("/a"), long_timeout), verdict::may_have_run,
                   reason::connection_broken);
}

// Guards against a success without a body that is made of a head whose connection ended within it.
Test(http_client, head_ends_within_connection_broken)
{
    const raw_listener listener;
    const scripted_endpoint server(
        [&]
        {
            for (const char* part : {"HTTP/1.1 200 OK\r\nContent-Ty", "HTTP/1.1 200 OK\r\n",
                                     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", "HTTP/1.1 20"})
            {
                raw_socket peer = listener.accept();
                peer.read_until("\r\n\r\n");
                peer.send(part);
                peer.close();
            }
        });
    http_client client(listener.url());
    for (int i = 0; i < 4; ++i)
        expect_failure(client.send_once(post("/loan", "{}"), long_timeout), verdict::may_have_run,
                       reason::connection_broken);
}

// Guards against a non-idempotent request being sent on a reused connection, which the endpoint may
// have closed, and against the connections of such requests being left open.
Test(http_client, send_once_repeated_new_connection_each)
{
    const raw_listener listener;
    std::atomic<int> closed{0};
    const scripted_endpoint server(
        [&]
        {
            raw_socket pooled = listener.accept();
            pooled.read_until("\r\n\r\n");
            pooled.send(ok_response);
            for (int i = 0; i < 2; ++i)
            {
                raw_socket fresh = listener.accept();
                fresh.read_until("\r\n\r\n{}");
                fresh.send(ok_response);
                if (fresh.read_to_end().empty() && fresh.disconnected())
                    ++closed;
            }
        });
    http_client client(listener.url());
    cr_assert(client.send(get("/load"), long_timeout).has_value());
    cr_assert(client.send_once(post("/loan", "{}"), long_timeout).has_value());
    cr_assert(client.send_once(post("/loan", "{}"), long_timeout).has_value());
    cr_assert(eventually([&] { return closed == 2; }));
}

// Guards against each call opening a connection of its own.
Test(http_client, send_repeated_connection_reused)
{
    std::atomic<int> last_connection{-1};
    std::atomic<bool> reused{false};
    echo_endpoint endpoint(
        [&](const std::string&, int connection)
        { reused = reused || last_connection.exchange(connection) == connection; });
    http_client client(endpoint.url());
    cr_assert(eventually(
        [&]
        {
            cr_assert(client.send(get("/load"), long_timeout).has_value());
            return reused.load();
        }));
}

// Guards against the late response to a timed-out call being taken for the response to the next
// call.
Test(http_client, timeout_connection_closed_and_not_reused)
{
    const raw_listener listener;
    std::atomic<bool> first_closed{false};
    const scripted_endpoint server(
        [&]
        {
            raw_socket first = listener.accept();
            first.read_until("\r\n\r\n");
            raw_socket second = listener.accept();
            second.read_until("\r\n\r\n");
            second.send(ok_response);
            first.read_to_end();
            first_closed = first.disconnected();
        });
    http_client client(listener.url());
    expect_failure(client.send(get("/slow"), short_timeout), verdict::may_have_run,
                   reason::silent_connection);
    const auto outcome = client.send(get("/next"), long_timeout);
    cr_assert(outcome.has_value());
    cr_assert(outcome.value().body == "{}");
    cr_assert(eventually([&] { return first_closed.load(); }));
}

// Guards against an endpoint that stalls within a response blocking a worker indefinitely.
Test(http_client, timeout_within_body_silent_connection)
{
    const raw_listener listener;
    std::atomic<bool> closed{false};
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart of it");
            peer.read_to_end();
            closed = peer.disconnected();
        });
    http_client client(listener.url());
    expect_failure(client.send(get("/slow"), short_timeout), verdict::may_have_run,
                   reason::silent_connection);
    cr_assert(eventually([&] { return closed.load(); }));
}

// Guards against a cancelled call running until its timeout and keeping the endpoint busy.
Test(http_client, cancel_waiting_call_ends_and_closes_connection)
{
    const raw_listener listener;
    auto cancelled = std::make_shared<std::atomic<bool>>(false);
    std::atomic<bool> closed{false};
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            *cancelled = true;
            peer.read_to_end();
            closed = peer.disconnected();
        });
    http_client client(listener.url());
    expect_failure(client.send(get("/slow"), long_timeout, cancelled), verdict::may_have_run,
                   reason::cancelled);
    cr_assert(eventually([&] { return closed.load(); }));
}

// Guards against a request being sent although it is already cancelled or out of time.
Test(http_client, cancel_before_send_nothing_sent)
{
    const raw_listener listener;
    auto cancelled = std::make_shared<std::atomic<bool>>(true);
    http_client client(listener.url());
    expect_failure(client.send(get("/load"), long_timeout, cancelled), verdict::not_run,
                   reason::cancelled);
    expect_failure(client.send(get("/load"), milliseconds(0)), verdict::not_run,
                   reason::silent_connection);
    cr_assert(!listener.accept(milliseconds(0)).valid());
}

// Guards against tokens being buffered until the stream ends, and against lines being split at
// chunk boundaries.
Test(http_client, stream_lines_delivered_as_they_arrive)
{
    const raw_listener listener;
    std::atomic<int> received{0};
    std::atomic<bool> in_time{true};
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.send(stream_header);
            peer.send(chunk("{\"index\":0}\n"));
            if (!eventually([&] { return received == 1; }))
                in_time = false;
            peer.send(chunk("{\"ind"));
            peer.send(chunk("ex\":1}\n{\"index\":2}\n"));
            if (!eventually([&] { return received == 3; }))
                in_time = false;
            peer.send(chunk("{\"done\":true}"));
            peer.send("0\r\n\r\n");
        });
    http_client client(listener.url());
    std::vector<std::string> lines;
    const auto outcome = client.stream(post("/generate", "{}"), long_timeout, long_timeout,
                                       [&](std::string_view line)
                                       {
                                           lines.emplace_back(line);
                                           ++received;
                                           return true;
                                       });
    cr_assert(outcome.has_value());
    cr_assert(in_time);
    const std::vector<std::string> expected = {"{\"index\":0}", "{\"index\":1}", "{\"index\":2}",
                                               "{\"done\":true}"};
    cr_assert(lines == expected);
}

// Guards against a truncated stream being reported as complete: the stage would not be resumed.
Test(http_client, stream_truncated_connection_broken_after_lines)
{
    const raw_listener listener;
    std::atomic<int> received{0};
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.send(stream_header);
            peer.send(chunk("{\"index\":0}\n"));
            eventually([&] { return received == 1; });
            peer.close();
        });
    http_client client(listener.url());
    expect_failure(client.stream(post("/generate", "{}"), long_timeout, long_timeout,
                                 [&](std::string_view)
                                 {
                                     ++received;
                                     return true;
                                 }),
                   verdict::may_have_run, reason::connection_broken);
    cr_assert(received == 1);
}

// Guards against a connection that stops delivering bytes mid-stream being detected only at the
// timeout of the whole call.
Test(http_client, stream_idle_fails_before_call_timeout)
{
    const raw_listener listener;
    std::atomic<bool> closed{false};
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.send(stream_header);
            peer.send(chunk("{\"index\":0}\n"));
            peer.read_to_end();
            closed = peer.disconnected();
        });
    http_client client(listener.url());
    int received = 0;
    expect_failure(client.stream(post("/generate", "{}"), milliseconds(1000), long_timeout,
                                 [&](std::string_view)
                                 {
                                     ++received;
                                     return true;
                                 }),
                   verdict::may_have_run, reason::silent_connection);
    cr_assert(received == 1);
    cr_assert(eventually([&] { return closed.load(); }));
}

// Guards against a steady trickle of tokens, which never reaches the idle timeout, exceeding the
// timeout of the whole call.
Test(http_client, stream_trickle_ends_at_call_timeout)
{
    const raw_listener listener;
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.send(stream_header);
            while (peer.send(chunk("{\"index\":0}\n")))
                ::poll(nullptr, 0, poll_step_ms);
        });
    http_client client(listener.url());
    expect_failure(client.stream(post("/generate", "{}"), long_timeout, short_timeout,
                                 [](std::string_view) { return true; }),
                   verdict::may_have_run, reason::silent_connection);
}

// Guards against an endpoint generating tokens for a caller that has disconnected.
Test(http_client, stream_handler_returns_false_connection_closed)
{
    const raw_listener listener;
    std::atomic<bool> closed{false};
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.send(stream_header);
            peer.send(chunk("{\"index\":0}\n"));
            peer.read_to_end();
            closed = peer.disconnected();
        });
    http_client client(listener.url());
    const auto outcome = client.stream(post("/generate", "{}"), long_timeout, long_timeout,
                                       [](std::string_view) { return false; });
    cr_assert(outcome.has_value());
    cr_assert(eventually([&] { return closed.load(); }));
}

// Guards against the body of an error response being passed to the line handler.
Test(http_client, stream_error_status_body_returned)
{
    const raw_listener listener;
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.send("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
        });
    http_client client(listener.url());
    const auto outcome =
        client.stream(post("/generate", "{}"), long_timeout, long_timeout,
                      [](std::string_view)
                      {
                          cr_assert_fail("the line handler was called for an error response");
                          return true;
                      });
    cr_assert(outcome.has_value());
    cr_assert(outcome.value().status == 503);
    cr_assert(outcome.value().body == "busy");
}

// Guards against an endpoint exhausting the memory of the VM with a line of unlimited length.
Test(http_client, stream_endless_line_endpoint_error)
{
    const raw_listener listener;
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.send(stream_header);
            const std::string data = chunk(std::string(65536, 'x'));
            while (peer.send(data))
            {
            }
        });
    http_client client(listener.url());
    expect_failure(client.stream(post("/generate", "{}"), long_timeout, long_timeout,
                                 [](std::string_view) { return true; }),
                   verdict::may_have_run, reason::endpoint_error);
}

// Guards against a response without end that fills the memory of the process until the timeout.
Test(http_client, endless_response_is_refused_soon)
{
    const std::string filler(16 * 1024, 'x');
    std::string interim;
    for (int i = 0; i < 500; ++i)
        interim += "HTTP/1.1 102 Processing\r\n\r\n";
    const std::vector<endless_response> responses = {
        {"HTTP/1.1 200 OK\r\nX-Filler: ", filler},
        {"HTTP/1.1 200 OK\r\n", "X-Filler: " + filler + "\r\n"},
        {"", filler},
        {"", interim},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", filler},
        {"HTTP/1.1 200 OK\r\n\r\n", filler},
    };
    for (const endless_response& response : responses)
    {
        const raw_listener listener;
        std::size_t sent = 0;
        {
            const scripted_endpoint server(
                [&]
                {
                    raw_socket peer = listener.accept();
                    peer.read_until("\r\n\r\n");
                    peer.send(response.first);
                    while (sent < endless_bytes_max && peer.send(response.rest))
                        sent += response.rest.size();
                });
            http_client client(listener.url());
            expect_failure(client.send_once(get("/a"), long_timeout), verdict::may_have_run,
                           response.first.ends_with("OK\r\n\r\n") ? reason::endpoint_error
                                                                  : reason::connection_broken);
        }
        cr_expect(sent < endless_bytes_max, "%s...: %zu bytes", response.first.c_str(), sent);
    }
}

// Guards against a response with an invalid status that counts as the endpoint's answer.
Test(http_client, status_out_of_range_connection_broken)
{
    for (const std::string status : {"000", "042", "099", "600", "999"})
        expect_broken_calls("HTTP/1.1 " + status + " x\r\nContent-Length: 2\r\n\r\n{}");
}

// Guards against a header with a damaged line that counts as valid, or that loses the length of the
// body.
Test(http_client, field_name_invalid_connection_broken)
{
    for (const std::string& line : {std::string("X Note: 1"), std::string("X-Note : 1"),
                                    std::string("X\001Note: 1"), std::string("X\0Note: 1", 9)})
        expect_broken_calls("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n{}");
}

Test(http_client, header_line_folded_connection_broken)
{
    expect_broken_calls("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Note: 1\r\n more: 2\r\n\r\n{}");
    expect_broken_calls("HTTP/1.1 200 OK\r\nX-Note: 1\r\n Content-Length: 9\r\n\r\n{}");
}

// Guards against a part of a response that looks complete because its endpoint reset the connection
// while the request was still being written.
Test(http_client, body_reset_under_request_connection_broken)
{
    constexpr std::size_t body_bytes = 32 * 1024 * 1024;
    constexpr int calls = 5;
    const raw_listener listener;
    const scripted_endpoint server(
        [&]
        {
            for (int i = 0; i < calls; ++i)
            {
                raw_socket peer = listener.accept();
                while (peer.valid() && peer.read_until("\r\n\r\n").empty())
                    peer = listener.accept();
                peer.wait_until_filled();
                peer.send("HTTP/1.1 200 OK\r\n\r\npart of it");
                peer.reset();
            }
        });
    http_client client(listener.url());
    for (int i = 0; i < calls; ++i)
        expect_failure(client.send_once(post("/loan", std::string(body_bytes, 'x')), long_timeout),
                       verdict::may_have_run, reason::connection_broken);
}

// Guards against a stream that is received faster than its lines are handled.
Test(http_client, stream_slow_handler_endpoint_is_paused)
{
    const raw_listener listener;
    std::atomic<std::size_t> sent{0};
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.send(stream_header);
            const std::string lines = chunk(std::string(64 * 1024 - 1, 'x') + "\n");
            while (sent < endless_bytes_max && peer.send(lines))
                sent += lines.size();
        });
    http_client client(listener.url());
    bool was_paused = false;
    const auto outcome =
        client.stream(post("/generate", "{}"), long_timeout, long_timeout,
                      [&](std::string_view)
                      {
                          was_paused = !eventually([&] { return sent >= endless_bytes_max; },
                                                   std::chrono::seconds(2));
                          return false;
                      });
    cr_assert(outcome.has_value());
    cr_assert(was_paused, "%zu bytes were received", sent.load());
}

// Guards against a kept connection that the endpoint has closed meanwhile ending a call.
Test(http_client, send_kept_connection_lost_is_sent_once_more)
{
    const raw_listener listener;
    const scripted_endpoint server(
        [&]
        {
            raw_socket kept = listener.accept();
            kept.read_until("\r\n\r\n");
            kept.send(ok_response);
            kept.read_until("\r\n\r\n");
            kept.close();
            // The client also opens a connection to see whether the server lives.
            raw_socket peer = listener.accept();
            while (peer.valid() && peer.read_until("\r\n\r\n").empty())
                peer = listener.accept();
            peer.send(ok_response);
        });
    http_client client(listener.url());
    cr_assert(client.send(get("/a"), long_timeout).has_value());
    cr_assert(client.send(get("/b"), long_timeout).has_value());
}

// Guards against a request reported as not_run because only its second attempt was not sent.
Test(http_client, send_kept_connection_lost_and_none_accepted_may_have_run)
{
    const raw_listener listener(1);
    http_client client(listener.url());
    std::vector<raw_socket> waiting;
    const scripted_endpoint server(
        [&]
        {
            raw_socket kept = listener.accept();
            kept.read_until("\r\n\r\n");
            waiting = listener.fill_backlog();
            kept.send(ok_response);
            kept.read_until("\r\n\r\n");
        });
    cr_assert(client.send(get("/a"), long_timeout).has_value());
    expect_failure(client.send(get("/b"), long_timeout), verdict::may_have_run,
                   reason::connection_broken);
}

// Guards against pooled connections, which may have stopped responding, being reused after
// reset_connections(), and against the reset aborting calls in progress.
Test(http_client, reset_connections_new_connection_and_calls_continue)
{
    std::atomic<int> highest_before{-1};
    std::atomic<int> connection_after{-1};
    std::atomic<bool> waiting{false};
    std::atomic<bool> reset{false};
    echo_endpoint endpoint(
        [&](const std::string& path, int connection)
        {
            if (path == "/after")
            {
                connection_after = connection;
                return;
            }
            highest_before = std::max(highest_before.load(), connection);
            if (path != "/held")
                return;
            waiting = true;
            eventually([&] { return reset.load(); });
        });
    http_client client(endpoint.url());
    for (int i = 0; i < 3; ++i)
        cr_assert(client.send(get("/before"), long_timeout).has_value());
    std::atomic<bool> held_succeeded{false};
    std::thread in_progress(
        [&] { held_succeeded = client.send(get("/held"), long_timeout).has_value(); });
    cr_assert(eventually([&] { return waiting.load(); }));
    client.reset_connections();
    cr_assert(client.send(get("/after"), long_timeout).has_value());
    reset = true;
    in_progress.join();
    cr_assert(held_succeeded);
    cr_assert(connection_after > highest_before);
}

// Guards against a redirect repeating a request at an address that is not in the configuration.
Test(http_client, redirect_returned_not_followed)
{
    const raw_listener listener;
    const raw_listener redirect_target;
    const scripted_endpoint server(
        [&]
        {
            raw_socket peer = listener.accept();
            peer.read_until("\r\n\r\n");
            peer.send("HTTP/1.1 307 Temporary Redirect\r\nLocation: " + redirect_target.url() +
                      "/loan\r\nContent-Length: 0\r\n\r\n");
        });
    http_client client(listener.url());
    const auto outcome = client.send_once(post("/loan", "{}"), long_timeout);
    cr_assert(outcome.has_value());
    cr_assert(outcome.value().status == 307);
    cr_assert(!redirect_target.accept(milliseconds(0)).valid());
}

// Guards against a response reaching another call when many calls share one client and some time
// out.
Test(http_client, concurrent_calls_with_timeouts_responses_not_mixed_up)
{
    constexpr int callers = 8;
    constexpr int calls = 20;
    echo_endpoint endpoint(
        [](const std::string& path, int)
        {
            // The response to a path that ends in 7 is sent after the client has timed out.
            if (path.ends_with('7'))
                ::poll(nullptr, 0, 150);
        });
    std::atomic<int> mismatched{0};
    std::atomic<int> answered{0};
    http_client client(endpoint.url());
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int c = 0; c < callers; ++c)
    {
        threads.emplace_back(
            [&, c]
            {
                for (int i = 0; i < calls; ++i)
                {
                    const std::string path = "/" + std::to_string(c) + "-" + std::to_string(i);
                    const bool late = path.ends_with('7');
                    const auto outcome =
                        client.send(get(path), late ? milliseconds(50) : long_timeout);
                    if (!outcome.has_value())
                        continue;
                    ++answered;
                    if (outcome.value().body != path)
                        ++mismatched;
                }
            });
    }
    for (std::thread& thread : threads)
        thread.join();
    cr_assert(mismatched == 0);
    cr_assert(answered >= callers * (calls - 2));
}
