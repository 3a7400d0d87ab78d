// End-to-end tests with separate processes: caller, entry VMs of two failure domains, endpoints and
// the platform table.
#include "fixture.h"

#include <criterion/criterion.h>

using namespace fixture;

namespace
{

// Token texts of a streamed response, in order, without the closing line.
std::vector<std::string> tokens_of(const http_stream_result& response)
{
    std::vector<std::string> texts;
    for (const std::string& line : response.lines)
    {
        const auto value = web::json::value::parse(line);
        if (value.at("type").as_string() == "token")
            texts.push_back(value.at("text").as_string());
    }
    return texts;
}

} // namespace

// Guards against a stage that is skipped, or a response that is truncated.
Test(end_to_end, pipeline_call_streams_complete_response)
{
    const deployment cluster;
    for (const auto& [name, vm] : cluster.vms)
    {
        const http_stream_result response = cluster.run_pipeline(vm, "half-hull pennant");
        cr_assert(response.complete, "%s: %s", name.c_str(), response.body.c_str());
        cr_assert(tokens_of(response) == deployment::expected_tokens("half-hull pennant"));
        const auto end = web::json::value::parse(response.lines.back());
        cr_assert(end.at("type").as_string() == "end");
        cr_assert_eq(end.at("stages").size(), 4);
    }
}

// Guards against a second run when the caller repeats an order through another VM.
Test(end_to_end, order_repeated_at_another_vm_runs_once)
{
    const deployment cluster;
    const http_result first = cluster.place_order(cluster.vms.at("vm-a1"), "key-1", "order-1");
    cr_assert_eq(first.status, 200, "%s", first.body.c_str());
    const http_result second = cluster.place_order(cluster.vms.at("vm-b1"), "key-1", "order-1");
    cr_assert_eq(second.status, 200, "%s", second.body.c_str());
    cr_assert_eq(second.headers.count("replayed"), 1);
    cr_assert(first.body == second.body);
}
