// Responses whose head is not valid HTTP, at each place where a VM reads responses: they are passed
// on to no client and take no effect.
#include "serving_fixture.h"

#include <criterion/criterion.h>

using namespace serving;
using web::json::value;

TestSuite(edge_invalid_response, .timeout = 120);

namespace
{

// What makes a head invalid.
struct invalid_head
{
    std::string status = "200";
    std::string fields;           // header lines, each with its line end
    bool close_delimited = false; // the end of the connection ends the response
};

const std::vector<invalid_head> status_out_of_range = {
    {"000", ""}, {"042", ""}, {"099", ""}, {"600", ""}, {"999", ""}};

const std::vector<invalid_head> field_name_invalid = {
    {"200", "X Note: 1\r\n"},    {"200", "X\tNote: 1\r\n"},
    {"200", "X-Note : 1\r\n"},   {"200", "X\001Note: 1\r\n"},
    {"200", "X\177Note: 1\r\n"}, {"200", std::string("X\0Note: 1\r\n", 11)},
    {"200", ": 1\r\n"},          {"200", "no field\r\n"}};

// A line that begins with a blank continues the field before it.
const std::vector<invalid_head> folded_lines = {
    {"200", "X-Note: 1\r\n more: 2\r\n"},
    {"200", "X-Note: 1\r\n\tmore: 2\r\n"},
    {"200", "X-Note:\r\n more: 2\r\n"},
    {"200", "X-Note: 1\r\n Content-Length: 1000\r\n", true}};

void set_head(fake_endpoint& endpoint, const invalid_head& head)
{
    endpoint.success_status = head.status;
    endpoint.answer_fields = head.fields;
    endpoint.close_delimited = head.close_delimited;
}

void check_is_own_error(const client_exchange& exchange, const invalid_head& head)
{
    cr_assert(exchange.done && exchange.head.status == 502, "%s %s: status %d, %s",
              head.status.c_str(), head.fields.c_str(), exchange.head.status,
              exchange.body.c_str());
    cr_assert_not(zinnianotch::find_field(exchange.head, "Response-Seal").has_value());
}

struct invalid_response_deployment : four_endpoint_deployment
{
    void start() { cr_assert(four_endpoint_deployment::start()); }

    std::unique_ptr<client_exchange> post(const std::string& path, const std::string& attempt)
    {
        return send_and_wait(0, request_text("POST", path, attempt, "", "x"));
    }

    // Sends requests until the faulty endpoint has got one, and checks that all are answered whole.
    void check_other_endpoint_answers(const fake_endpoint& faulty, const invalid_head& head,
                                      const std::string& path)
    {
        for (int i = 0; i < 6; ++i)
        {
            const std::string attempt = "a" + std::to_string(i);
            const auto exchange = post(path, attempt);
            const std::string whole =
                faulty.event_count > 0 ? events_text(faulty.event_count) : "answer to " + attempt;
            cr_assert(exchange->done && exchange->head.status == 200 && exchange->body == whole,
                      "%s %s: status %d, %s", head.status.c_str(), head.fields.c_str(),
                      exchange->head.status, exchange->body.c_str());
            cr_assert_not(zinnianotch::find_field(exchange->head, "X-Note").has_value());
        }
        cr_assert(!faulty.requests.empty(), "the fault was not met");
    }
};

void check_orders(const std::vector<invalid_head>& heads)
{
    for (const invalid_head& head : heads)
    {
        invalid_response_deployment harness;
        harness.start();
        for (fake_endpoint* endpoint : {&harness.plain_1, &harness.plain_2})
            set_head(*endpoint, head);
        const auto exchange = harness.post("/order/1", "a1");
        check_is_own_error(*exchange, head);
        cr_assert(harness.plain_1.executions["a1"] + harness.plain_2.executions["a1"] == 1);
    }
}

void check_reads(const std::vector<invalid_head>& heads)
{
    for (const invalid_head& head : heads)
    {
        invalid_response_deployment harness;
        harness.start();
        set_head(harness.plain_1, head);
        harness.check_other_endpoint_answers(harness.plain_1, head, "/read/1");
    }
}

void check_streams(const std::vector<invalid_head>& heads)
{
    for (const invalid_head& head : heads)
    {
        invalid_response_deployment harness;
        harness.routes["/stream/"]["attempts"] = value::number(4);
        harness.start();
        set_head(harness.engine_1, head);
        harness.check_other_endpoint_answers(harness.engine_1, head, "/stream/1");
        set_head(harness.engine_2, head);
        check_is_own_error(*harness.post("/once/1", "a9"), head);
    }
}

void check_stage_calls(const std::vector<invalid_head>& heads)
{
    for (const invalid_head& head : heads)
    {
        invalid_response_deployment harness;
        harness.add_stage();
        fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
        harness.start();
        set_head(encoder, head);
        const std::string pieces = "Pieces: 1\r\nPiece-Key: k\r\n";
        const auto exchange =
            harness.send_and_wait(0, request_text("POST", "/stream/1", "a1", pieces, "x"));
        cr_assert(exchange->done && exchange->head.status >= 500, "%s %s: status %d, %s",
                  head.status.c_str(), head.fields.c_str(), exchange->head.status,
                  exchange->body.c_str());
        cr_assert(!encoder.requests.empty(), "the fault was not met");
        cr_assert(harness.engine_1.requests.empty() && harness.engine_2.requests.empty(),
                  "an engine got results of an invalid response");
    }
}

void check_store(const std::vector<invalid_head>& heads)
{
    constexpr milliseconds update_time{1500}; // well above the time that a valid response takes
    for (const invalid_head& head : heads)
    {
        invalid_response_deployment harness;
        harness.start();
        harness.store.success_status = head.status;
        harness.store.response_fields = head.fields;
        harness.routes["/late/"] = route("idempotent", "plain");
        harness.configure(2);
        const auto late_status = [&] { return harness.post("/late/1", "a1")->head.status; };
        harness.run_for(update_time);
        cr_assert(late_status() == 404, "%s %s: a record of an invalid response is in force",
                  head.status.c_str(), head.fields.c_str());
        harness.store.success_status = "200";
        harness.store.response_fields.clear();
        cr_assert(harness.run_until([&] { return late_status() == 200; }));
    }
}

} // namespace

// Guards against a response with an invalid status that a client gets as the endpoint's answer.
Test(edge_invalid_response, order_status_out_of_range_caller_gets_502)
{
    check_orders(status_out_of_range);
}

Test(edge_invalid_response, read_status_out_of_range_other_endpoint_answers)
{
    check_reads(status_out_of_range);
}

Test(edge_invalid_response, stream_status_out_of_range_other_engine_answers)
{
    check_streams(status_out_of_range);
}

Test(edge_invalid_response, stage_call_status_out_of_range_has_no_results)
{
    check_stage_calls(status_out_of_range);
}

Test(edge_invalid_response, store_status_out_of_range_changes_nothing)
{
    check_store(status_out_of_range);
}

// Guards against a response that a client gets with an invalid header line, or cut short by one.
Test(edge_invalid_response, order_field_name_invalid_caller_gets_502)
{
    check_orders(field_name_invalid);
}

Test(edge_invalid_response, read_field_name_invalid_other_endpoint_answers)
{
    check_reads(field_name_invalid);
}

Test(edge_invalid_response, stream_field_name_invalid_other_engine_answers)
{
    check_streams(field_name_invalid);
}

Test(edge_invalid_response, stage_call_field_name_invalid_has_no_results)
{
    check_stage_calls(field_name_invalid);
}

Test(edge_invalid_response, store_field_name_invalid_changes_nothing)
{
    check_store(field_name_invalid);
}

Test(edge_invalid_response, order_header_line_folded_caller_gets_502)
{
    check_orders(folded_lines);
}

Test(edge_invalid_response, read_header_line_folded_other_endpoint_answers)
{
    check_reads(folded_lines);
}

Test(edge_invalid_response, stream_header_line_folded_other_engine_answers)
{
    check_streams(folded_lines);
}

Test(edge_invalid_response, stage_call_header_line_folded_has_no_results)
{
    check_stage_calls(folded_lines);
}

Test(edge_invalid_response, store_header_line_folded_changes_nothing)
{
    check_store(folded_lines);
}
