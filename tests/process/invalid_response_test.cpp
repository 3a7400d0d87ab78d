// Invariant 4: responses whose head is not valid HTTP take no effect, wherever the own interface
// reads responses.
#include "load.h"
#include "order_calls.h"

#include <criterion/criterion.h>

using namespace fixture;

namespace
{

constexpr milliseconds order_deadline{5000};

// Changes of a stand-in's faults.
constexpr const char* status_out_of_range = R"({"invalid_status":"999"})";
constexpr const char* field_name_invalid = R"({"invalid_lines":"X Note: 1\r\n"})";
constexpr const char* header_line_folded = R"({"invalid_lines":"X-Note: 1\r\n more: 2\r\n"})";
constexpr const char* no_fault = R"({"invalid_status":"","invalid_lines":""})";

// Places an order while the services answer like this: it runs once, and nobody knows its result.
void check_order(const char* fault)
{
    const deployment cluster;
    const std::uint16_t port = cluster.vms.at("vm-a1").caller_port;
    cr_assert(eventually(
        [&] { return send_order(port, "first", order_deadline).verdict == order_verdict::ran; }));
    for (const char* id : {"loans-a1", "loans-b1"})
        cluster.endpoints.at(id).control(fault);
    order_result broken;
    const auto is_sent = [&]
    {
        broken = send_order(port, "broken", order_deadline);
        return broken.verdict != order_verdict::not_run;
    };
    cr_assert(eventually(is_sent));
    cr_assert(broken.verdict == order_verdict::may_have_run, "%d %s", broken.response.status,
              broken.response.body.c_str());
    cr_assert_eq(count_runs_by_key(cluster)["broken"], 1);
}

// Places an order while the table answers like this: the order is not run.
void check_table(const char* fault)
{
    const deployment cluster;
    const std::uint16_t port = cluster.vms.at("vm-a1").caller_port;
    cr_assert(eventually(
        [&] { return send_order(port, "first", order_deadline).verdict == order_verdict::ran; }));
    cluster.table.control(fault);
    const order_result broken = send_order(port, "broken", order_deadline);
    cr_assert(broken.verdict != order_verdict::ran, "%s", broken.response.body.c_str());
    cr_assert_eq(count_runs_by_key(cluster)["broken"], 0);
}

// The load report of a cold endpoint that is warm meanwhile is invalid, and then valid again.
void check_load_report(const char* fault)
{
    deployment_options options;
    options.endpoint_arguments = {"--cold-ms", "-1"};
    const deployment cluster(options);
    const standin& endpoint = cluster.endpoints.at("generator-a1");
    const auto phase = [&]
    {
        const auto status = endpoint_status(cluster, "vm-a1", "generator-a1");
        return status ? status->at("phase").as_string() : std::string();
    };
    cr_assert(eventually([&] { return phase() == "cold"; }));
    endpoint.control(fault);
    endpoint.control(R"({"phase":"warm"})");
    const auto not_used = [&]
    {
        return read_metric(cluster, "vm-a1", "zinnianotch_load_reports_missed_total") +
               read_metric(cluster, "vm-a1", "zinnianotch_load_reports_invalid_total");
    };
    const std::uint64_t not_used_before = not_used();
    cr_assert(eventually([&] { return not_used() >= not_used_before + 3; }));
    cr_assert(phase() == "cold", "an invalid load report has taken effect");
    endpoint.control(no_fault);
    cr_assert(eventually([&] { return phase() != "cold"; }));
}

} // namespace

// Guards against an order that is recorded with a response that its service has not given.
Test(invalid_response, order_status_out_of_range_may_have_run)
{
    check_order(status_out_of_range);
}

Test(invalid_response, order_field_name_invalid_may_have_run)
{
    check_order(field_name_invalid);
}

Test(invalid_response, order_header_line_folded_may_have_run)
{
    check_order(header_line_folded);
}

// Guards against a claim of an order that rests on a response which the table has not given.
Test(invalid_response, table_status_out_of_range_order_is_not_run)
{
    check_table(status_out_of_range);
}

Test(invalid_response, table_field_name_invalid_order_is_not_run)
{
    check_table(field_name_invalid);
}

Test(invalid_response, table_header_line_folded_order_is_not_run)
{
    check_table(header_line_folded);
}

// Guards against a state of an endpoint that it has not reported.
Test(invalid_response, load_report_status_out_of_range_has_no_effect)
{
    check_load_report(status_out_of_range);
}

Test(invalid_response, load_report_field_name_invalid_has_no_effect)
{
    check_load_report(field_name_invalid);
}

Test(invalid_response, load_report_header_line_folded_has_no_effect)
{
    check_load_report(header_line_folded);
}
