// Responses that end early: a client is told that a response is complete only if its endpoint has
// said so, or lives on after it has closed the connection that ends a response without a length.
#include "raw_socket.h"
#include "serving_fixture.h"

#include <criterion/criterion.h>

using namespace serving;
using web::json::value;
using zinnianotch::test::raw_listener;
using zinnianotch::test::raw_socket;

namespace
{

struct ending_deployment : four_endpoint_deployment
{
    ending_deployment()
    {
        for (fake_endpoint* endpoint : {&plain_1, &plain_2, &engine_1, &engine_2})
            endpoint->close_delimited = true;
    }

    void start() { cr_assert(four_endpoint_deployment::start()); }

    // Sends requests to the path until the endpoint has crashed; returns the exchange during which
    // it did.
    std::unique_ptr<client_exchange> send_until_crash(const fake_endpoint& crashing,
                                                      const std::string& method,
                                                      const std::string& path)
    {
        for (int i = 0; i < 20; ++i)
        {
            auto exchange = send_and_wait(0, request_text(method, path, "a" + std::to_string(i), "",
                                                          method == "POST" ? "x" : ""));
            if (crashing.crashes > 0)
                return exchange;
            cr_assert(exchange->done && exchange->head.status == 200, "request %d: status %d", i,
                      exchange->head.status);
        }
        cr_assert(false, "the fault was not met");
        return nullptr;
    }

    // Breaks a stream after two events; the engine that should go on responds with `status`.
    void check_error_after_break(int status, bool not_run, bool delimited)
    {
        ending_deployment& harness = *this;
        harness.routes["/stream/"]["attempts"] = value::number(4);
        harness.start();
        for (fake_endpoint* engine : {&engine_1, &engine_2})
        {
            engine->close_delimited = delimited;
            engine->break_after_event = 2;
        }
        const auto exchange = start_request(0, request_text("POST", "/stream/1", "s1", "", "x"));
        cr_assert(run_until([&] { return exchange->body == events_text(2); }));
        fake_endpoint& next = engine_1.requests.empty() ? engine_1 : engine_2;
        next.fail_next = 1;
        next.fail_status = status;
        next.fail_as_not_run = not_run;
        cr_assert(run_until([&] { return exchange->ended(); }));
        cr_assert(next.fail_next == 0, "the fault was not met");
        cr_assert(events_text(5).starts_with(exchange->body), "status %d: %s", status,
                  exchange->body.c_str());
        cr_assert(exchange->failure || exchange->body == events_text(5),
                  "status %d: the stream looks complete: %s", status, exchange->body.c_str());
    }
};

// The only endpoint of each service answers before it has read a request, and resets the
// connection.
struct resetting_deployment : deployment
{
    raw_listener listener;

    resetting_deployment()
    {
        constexpr std::uint64_t body_bytes_max = 32 * 1024 * 1024;
        client_limits["max_body_bytes"] = value::number(body_bytes_max);
        add_stage();
        for (const std::string service : {"plain", "engines", "encoders"})
            publish_address(service, "resetting-" + service, address(), "dom-a");
        configure(1);
        add_vm();
        cr_assert(run_until([&] { return is_ready(0) && vm(0).known_endpoints() >= 3; }));
    }

    std::string address() const
    {
        return std::string(loopback) + ":" + std::to_string(listener.port());
    }

    // Uploads more than the buffers of a connection hold, resets the connection this long after
    // `part` of the response, and returns the client's side.
    std::unique_ptr<client_exchange> upload(const std::string& path, const std::string& part,
                                            milliseconds delay)
    {
        constexpr std::size_t body_bytes = 24 * 1024 * 1024;
        constexpr milliseconds write_time{100};
        auto exchange =
            start_request(0, request_text("POST", path, "a1", "", std::string(body_bytes, 'x')));
        raw_socket endpoint;
        cr_assert(run_until([&] { return (endpoint = listener.accept(milliseconds(0))).valid(); }));
        run_for(write_time);
        (void)endpoint.send("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: seal\r\n\r\n" +
                            part);
        run_for(delay);
        endpoint.reset();
        cr_assert(run_until([&] { return exchange->ended(); }));
        return exchange;
    }
};

} // namespace

// Guards against a stream that looks complete although its engine crashed between two events.
Test(edge_complete_response, stream_engine_crashes_between_events_other_engine_continues)
{
    ending_deployment harness;
    harness.start();
    harness.engine_1.crash_in_answer = 2;
    const auto exchange = harness.send_until_crash(harness.engine_1, "POST", "/stream/1");
    cr_assert(exchange->done && exchange->body == events_text(5), "%s", exchange->body.c_str());
}

// Guards against the same where the stream may not run again and must be broken off.
Test(edge_complete_response, stream_engine_crashes_between_events_not_resumable_breaks_off)
{
    ending_deployment harness;
    harness.start();
    harness.engine_1.crash_in_answer = 2;
    const auto exchange = harness.send_until_crash(harness.engine_1, "POST", "/once/1");
    cr_assert(exchange->failure.has_value(), "the stream looks complete: %s",
              exchange->body.c_str());
    cr_assert(exchange->body == events_text(2), "%s", exchange->body.c_str());
}

// Guards against part of a body that looks whole because its length is not known.
Test(edge_complete_response, body_endpoint_crashes_within_other_endpoint_answers)
{
    ending_deployment harness;
    harness.start();
    harness.plain_1.crash_in_answer = 6;
    const auto exchange = harness.send_until_crash(harness.plain_1, "GET", "/read/1");
    cr_assert(exchange->done && exchange->body.starts_with("answer to a"), "%s",
              exchange->body.c_str());
}

// Guards against the same for an order, of which nobody knows whether it was run.
Test(edge_complete_response, order_endpoint_crashes_within_body_caller_gets_502)
{
    ending_deployment harness;
    harness.start();
    harness.plain_1.crash_in_answer = 6;
    const auto exchange = harness.send_until_crash(harness.plain_1, "POST", "/order/1");
    cr_assert(exchange->done && exchange->head.status == 502, "status %d: %s",
              exchange->head.status, exchange->body.c_str());
    cr_assert_not(zinnianotch::find_field(exchange->head, "Response-Seal").has_value());
}

// Guards against part of an error body that is passed on as the endpoint's whole answer.
Test(edge_complete_response, error_endpoint_crashes_within_body_caller_gets_502)
{
    ending_deployment harness;
    harness.start();
    for (fake_endpoint* endpoint : {&harness.plain_1, &harness.plain_2})
    {
        endpoint->fail_next = 1;
        endpoint->fail_status = 422;
        endpoint->crash_in_answer = 3;
    }
    const auto exchange = harness.send_and_wait(0, request_text("POST", "/order/1", "a1", "", "x"));
    cr_assert(exchange->done && exchange->head.status == 502, "status %d: %s",
              exchange->head.status, exchange->body.c_str());
}

// Guards against a body too large to be held back that looks whole after a crash.
Test(edge_complete_response, large_body_endpoint_crashes_within_breaks_off)
{
    ending_deployment harness;
    harness.start();
    harness.plain_1.filler_bytes = 200 * 1024;
    harness.plain_1.crash_in_answer = 100 * 1024;
    const auto exchange = harness.send_until_crash(harness.plain_1, "GET", "/read/1");
    cr_assert(exchange->failure.has_value(), "the body looks complete: %zu bytes",
              exchange->body.size());
}

// Guards against responses without a length that are refused although their endpoint lives on.
Test(edge_complete_response, responses_without_length_endpoint_lives_are_complete)
{
    ending_deployment harness;
    harness.start();
    for (int i = 0; i < 6; ++i)
    {
        const std::string attempt = std::to_string(i);
        const auto read = harness.send_and_wait(0, request_text("GET", "/read/1", "r" + attempt));
        cr_assert(read->done && read->body == "answer to r" + attempt, "%s", read->body.c_str());
        const auto order =
            harness.send_and_wait(0, request_text("POST", "/order/1", "o" + attempt, "", "x"));
        cr_assert(order->done && order->body == "answer to o" + attempt);
        const auto stream =
            harness.send_and_wait(0, request_text("POST", "/once/1", "s" + attempt, "", "x"));
        cr_assert(stream->done && stream->body == events_text(5), "%s", stream->body.c_str());
    }
}

// Guards against a success without a body that is made of a head whose connection ended within it.
Test(edge_complete_response, head_ends_within_is_no_success)
{
    for (const char* path : {"/order/1", "/once/1", "/read/1", "/stream/1"})
    {
        ending_deployment harness;
        harness.start();
        for (fake_endpoint* endpoint :
             {&harness.plain_1, &harness.plain_2, &harness.engine_1, &harness.engine_2})
            endpoint->end_in_head = 2;
        const auto exchange = harness.send_and_wait(0, request_text("POST", path, "a1", "", "x"));
        cr_assert(exchange->done && exchange->head.status == 502, "%s: status %d", path,
                  exchange->head.status);
    }
}

// Guards against an error response that a client reads in the middle of its stream, or that ends
// the stream as if it were complete.
Test(edge_complete_response, resumed_stream_next_engine_answers_error_is_not_joined)
{
    for (const bool delimited : {false, true})
    {
        for (const int status : {204, 400, 404, 409, 500, 502, 504})
            ending_deployment().check_error_after_break(status, false, delimited);
        for (const int status : {400, 409, 421, 429, 503})
            ending_deployment().check_error_after_break(status, true, delimited);
    }
}

// Guards against a part of a body that looks whole: the endpoint answers a long upload at once and
// resets the connection while the rest of the upload is being sent.
Test(edge_complete_response, body_reset_under_upload_caller_gets_502)
{
    for (const milliseconds delay : {milliseconds(0), milliseconds(5), milliseconds(50)})
    {
        resetting_deployment harness;
        const auto exchange = harness.upload("/order/1", "part", delay);
        cr_assert(exchange->done && exchange->head.status == 502, "status %d: %s",
                  exchange->head.status, exchange->body.c_str());
        cr_assert_not(zinnianotch::find_field(exchange->head, "Response-Seal").has_value());
    }
}

// Guards against a stream that looks complete because it was reset between two events.
Test(edge_complete_response, stream_reset_under_upload_breaks_off)
{
    for (const milliseconds delay : {milliseconds(0), milliseconds(5), milliseconds(50)})
    {
        resetting_deployment harness;
        const auto exchange = harness.upload("/once/1", events_text(2), delay);
        cr_assert(exchange->failure || exchange->head.status == 502,
                  "the stream looks complete: %s", exchange->body.c_str());
    }
}

// Guards against results of a stage call whose connection was reset.
Test(edge_complete_response, stage_results_reset_are_not_used)
{
    resetting_deployment harness;
    const auto exchange = harness.start_request(
        0, request_text("POST", "/stream/1", "a1", "Pieces: 1\r\nPiece-Key: k\r\n", "x"));
    int calls = 0;
    const auto answer_calls = [&]
    {
        raw_socket endpoint = harness.listener.accept(milliseconds(0));
        if (!endpoint.valid())
            return exchange->ended();
        cr_assert(harness.run_until([&] { return endpoint.is_readable(); }));
        const std::string request = endpoint.read_until("\r\n\r\n");
        cr_assert(request.starts_with("POST /stage-run "), "%s", request.c_str());
        (void)endpoint.send("HTTP/1.1 200 OK\r\n\r\n{\"items\":[{\"handle\":\"" +
                            harness.address() + "/1\"}]}");
        endpoint.reset();
        ++calls;
        return exchange->ended();
    };
    cr_assert(harness.run_until(answer_calls));
    cr_assert(exchange->done && exchange->head.status >= 500, "status %d", exchange->head.status);
    cr_assert(calls > 0, "the fault was not met");
}
