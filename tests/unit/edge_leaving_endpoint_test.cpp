// Responses without a length whose endpoint leaves: it exits in order with its last response, or
// crashes in the middle of one.
#include "serving_fixture.h"

#include "state/endpoint_exit.h"

#include <criterion/criterion.h>

using namespace serving;
using zinnianotch::shortest_drain;

namespace
{

// How an endpoint says that it leaves.
enum class announcement
{
    none,
    draining_record,
    withdrawn_record,
    answer_field
};

struct leaving_deployment : deployment
{
    fake_endpoint& engine = add_endpoint("engines", "engine-1");
    fake_endpoint& plain = add_endpoint("plain", "plain-1");

    leaving_deployment()
    {
        engine.event_count = 5;
        for (fake_endpoint* endpoint : {&engine, &plain})
        {
            endpoint->close_delimited = true;
            endpoint->on_exit = [this, endpoint] { store.remove("servers", endpoint->id()); };
        }
        configure(1);
        add_vm();
        cr_assert(run_until([&] { return is_ready(0) && vm(0).known_endpoints() >= 2; }));
    }

    // Starts a request and lets its endpoint announce that it leaves once it has the request.
    std::unique_ptr<client_exchange> start_at(fake_endpoint& endpoint, const std::string& path,
                                              announcement how)
    {
        if (how == announcement::answer_field)
            endpoint.answer_fields = "Server-Leaving: 1\r\n";
        auto exchange = start_request(0, request_text("POST", path, "a1", "", "x"));
        cr_assert(run_until([&] { return !endpoint.requests.empty(); }));
        announce(endpoint, how);
        return exchange;
    }
    void announce(fake_endpoint& endpoint, announcement how)
    {
        if (how == announcement::draining_record)
            publish_endpoint(&endpoint == &engine ? "engines" : "plain", endpoint, "dom-a",
                             "draining");
        else if (how == announcement::withdrawn_record)
            store.remove("servers", endpoint.id());
        if (how == announcement::draining_record || how == announcement::withdrawn_record)
            cr_assert(run_until([&] { return !vm(0).routes_to(endpoint.id()); }));
    }
    void expect_complete(const client_exchange& exchange, const std::string& body)
    {
        cr_assert(run_until([&] { return exchange.ended(); }));
        cr_assert(exchange.done && exchange.head.status == 200, "status %d, %s",
                  exchange.head.status,
                  exchange.failure ? to_string(*exchange.failure).data() : "no failure");
        cr_assert(exchange.body == body, "%s", exchange.body.c_str());
    }
    void expect_broken(const client_exchange& exchange)
    {
        cr_assert(run_until([&] { return exchange.ended(); }));
        cr_assert(exchange.failure.has_value(), "the stream looks complete: %s",
                  exchange.body.c_str());
    }
};

} // namespace

TestSuite(edge_leaving_endpoint, .timeout = 60);

// Guards against a complete stream that is broken off because its engine exits with it.
Test(edge_leaving_endpoint, stream_draining_engine_exits_with_it_is_complete)
{
    leaving_deployment harness;
    harness.engine.exits_after_answer = true;
    harness.engine.processing_time = milliseconds(1500);
    const auto exchange =
        harness.start_at(harness.engine, "/once/1", announcement::draining_record);
    harness.expect_complete(*exchange, events_text(5));
}

// Guards against the same where only the head of this response tells that the engine leaves.
Test(edge_leaving_endpoint, stream_engine_tells_in_its_head_and_exits_is_complete)
{
    leaving_deployment harness;
    harness.engine.exits_after_answer = true;
    const auto exchange = harness.start_at(harness.engine, "/once/1", announcement::answer_field);
    harness.expect_complete(*exchange, events_text(5));
}

// Guards against the same for an engine that is withdrawn first and serves on for a while.
Test(edge_leaving_endpoint, stream_withdrawn_engine_serves_on_and_exits_is_complete)
{
    leaving_deployment harness;
    harness.engine.exits_after_answer = true;
    harness.engine.processing_time = shortest_drain + milliseconds(1500);
    const auto exchange =
        harness.start_at(harness.engine, "/once/1", announcement::withdrawn_record);
    harness.expect_complete(*exchange, events_text(5));
}

// Guards against the same for an order, which its client could not repeat.
Test(edge_leaving_endpoint, order_draining_endpoint_exits_with_answer_is_complete)
{
    leaving_deployment harness;
    harness.plain.exits_after_answer = true;
    harness.plain.processing_time = milliseconds(1500);
    const auto exchange =
        harness.start_at(harness.plain, "/order/1", announcement::draining_record);
    harness.expect_complete(*exchange, "answer to a1");
}

// Guards against the same while the store cannot be read, so that no withdrawal is seen.
Test(edge_leaving_endpoint, stream_draining_engine_exits_without_store_is_complete)
{
    leaving_deployment harness;
    harness.engine.exits_after_answer = true;
    harness.engine.processing_time = milliseconds(4000);
    const auto exchange =
        harness.start_at(harness.engine, "/once/1", announcement::draining_record);
    harness.store.refuse_status = 503;
    harness.expect_complete(*exchange, events_text(5));
}

// Guards against part of a stream that looks complete because its engine was leaving when it
// crashed.
Test(edge_leaving_endpoint, stream_draining_engine_crashes_between_events_is_broken_off)
{
    for (const announcement how : {announcement::draining_record, announcement::answer_field})
    {
        leaving_deployment harness;
        harness.engine.crash_in_answer = 2;
        harness.engine.processing_time = milliseconds(1500);
        const auto exchange = harness.start_at(harness.engine, "/once/1", how);
        harness.expect_broken(*exchange);
    }
}

// Guards against the same for an engine that ends sooner than it would have exited.
Test(edge_leaving_endpoint, stream_withdrawn_engine_crashes_soon_is_broken_off)
{
    leaving_deployment harness;
    harness.engine.crash_in_answer = 2;
    const auto exchange =
        harness.start_at(harness.engine, "/once/1", announcement::withdrawn_record);
    harness.expect_broken(*exchange);
}

// Guards against the same where the engine ends within an event as it exits.
Test(edge_leaving_endpoint, stream_ends_within_event_as_engine_exits_is_broken_off)
{
    leaving_deployment harness;
    harness.engine.exits_after_answer = true;
    harness.engine.end_in_event_after = 2;
    harness.engine.processing_time = milliseconds(1500);
    const auto exchange =
        harness.start_at(harness.engine, "/once/1", announcement::draining_record);
    harness.expect_broken(*exchange);
}

// Guards against the same where a crash ends several streams, which an exit never does.
Test(edge_leaving_endpoint, streams_end_together_at_withdrawn_engine_are_broken_off)
{
    leaving_deployment harness;
    harness.engine.event_interval = milliseconds(400);
    const auto first = harness.start_at(harness.engine, "/once/1", announcement::none);
    const auto second = harness.start_request(0, request_text("POST", "/once/2", "a2", "", "x"));
    cr_assert(harness.run_until([&] { return harness.engine.requests.size() == 2; }));
    harness.announce(harness.engine, announcement::withdrawn_record);
    harness.run_for(shortest_drain + milliseconds(200));
    harness.engine.crash_for_good();
    harness.expect_broken(*first);
    harness.expect_broken(*second);
}
