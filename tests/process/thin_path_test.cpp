// The whole path with separate processes: caller, entry VMs of two failure domains, endpoints,
// platform table.
#include "fixture.h"

#include <criterion/criterion.h>

using namespace fixture;

namespace
{

// Token texts of a streamed answer, in order; the closing line is left out.
std::vector<std::string> tokens_of(const http_stream_result& answer)
{
    std::vector<std::string> texts;
    for (const std::string& line : answer.lines)
    {
        const auto value = web::json::value::parse(line);
        if (value.at("type").as_string() == "token")
            texts.push_back(value.at("text").as_string());
    }
    return texts;
}

} // namespace

// Guards against a stage that is left out, or an answer that is cut.
Test(thin_path, pipeline_call_streams_whole_answer)
{
    const deployment all;
    for (const auto& [name, vm] : all.vms)
    {
        const http_stream_result answer = all.run_pipeline(vm, "half-hull pennant");
        cr_assert(answer.complete, "%s: %s", name.c_str(), answer.body.c_str());
        cr_assert(tokens_of(answer) == deployment::expected_tokens("half-hull pennant"));
        const auto end = web::json::value::parse(answer.lines.back());
        cr_assert(end.at("type").as_string() == "end");
        cr_assert_eq(end.at("stages").size(), 4);
    }
}

// Guards against a second run when the caller repeats an order through another VM.
Test(thin_path, order_repeated_at_another_vm_runs_once)
{
    const deployment all;
    const http_result first = all.place_order(all.vms.at("vm-a1"), "key-1", "order-1");
    cr_assert_eq(first.status, 200, "%s", first.body.c_str());
    const http_result second = all.place_order(all.vms.at("vm-b1"), "key-1", "order-1");
    cr_assert_eq(second.status, 200, "%s", second.body.c_str());
    cr_assert_eq(second.headers.count("replayed"), 1);
    cr_assert(first.body == second.body);
}
