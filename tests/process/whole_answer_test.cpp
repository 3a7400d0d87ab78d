// Invariant 4: a caller receives the complete answer to its own request when streams break, stall
// or freeze on the way, and nothing is left running for a caller that is gone.
#include "load.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace fixture;

namespace
{

constexpr int streams = 8;
constexpr milliseconds stream_deadline{30000};

deployment_options generation_options(const std::vector<std::string>& endpoints,
                                      const std::vector<std::string>& endpoint_arguments)
{
    deployment_options options;
    options.endpoint_arguments = endpoint_arguments;
    options.adjust = [endpoints](web::json::value& document)
    {
        keep_generation_only(document, endpoints);
        document["defaults"]["stage_timeout_ms"] = web::json::value::number(1000);
        // Only the first engine has room for all streams; the other one must take them over under
        // its cold limit.
        auto room = web::json::value::object();
        room["id"] = web::json::value("ex-room");
        room["target"] = web::json::value("endpoint:generator-a1");
        room["setting"] = web::json::value("cold_limit");
        room["value"] = web::json::value::number(streams);
        room["reason"] = web::json::value("streams run at once");
        document["exceptions"] = web::json::value::array({room});
    };
    return options;
}

// Callers that stream one answer each through the same VM. Their answers must be complete.
class stream_group
{
public:
    stream_group(const deployment& all, const std::string& vm, const std::string& name)
        : answers_(streams), expected_(streams), seen_(streams)
    {
        target_.callers = all.vms.at(vm).callers;
        for (std::size_t i = 0; i < streams; ++i)
        {
            const std::string input = name + '-' + std::to_string(i);
            expected_[i] = generated_tokens(input);
            threads_.emplace_back([this, &all, i, input] { run(all, i, input); });
        }
    }

    ~stream_group() { join(); }

    stream_group(const stream_group&) = delete;
    stream_group& operator=(const stream_group&) = delete;

    // Waits until every caller has `count` lines and so is in the middle of its stream.
    bool wait_lines(int count) const
    {
        const auto reached = [&]
        {
            for (const auto& seen : seen_)
                if (seen < count)
                    return false;
            return true;
        };
        return eventually(reached);
    }

    // Checks all answers; returns how many attempts there were beyond the first ones.
    std::uint64_t check_complete()
    {
        join();
        std::uint64_t repeated = 0;
        for (std::size_t i = 0; i < streams; ++i)
        {
            const checked_answer answer = check_answer(answers_[i], expected_[i]);
            cr_assert(answer.kind == answer_kind::complete, "stream %zu: kind %d, %s, %zu tokens",
                      i, static_cast<int>(answer.kind), answer.detail.c_str(), answer.tokens);
            repeated += answer.attempts - 1;
        }
        std::printf("whole answer: %d of %d complete, attempts beyond the first: %llu\n", streams,
                    streams, (unsigned long long)repeated);
        return repeated;
    }

private:
    void run(const deployment& all, std::size_t i, const std::string& input)
    {
        const auto on_line = [this, i](std::string_view)
        {
            ++seen_[i];
            return true;
        };
        answers_[i] = all.run_pipeline(target_, input, stream_deadline, on_line);
    }

    void join()
    {
        for (std::thread& one : threads_)
            one.join();
        threads_.clear();
    }

    deployment::vm target_;
    std::vector<http_lines> answers_;
    std::vector<std::vector<std::string>> expected_;
    std::vector<std::atomic<int>> seen_;
    std::vector<std::thread> threads_;
};

// Waits until the VM knows an endpoint that has room for so many calls.
void wait_room(const deployment& all, const std::string& vm, const std::string& endpoint,
               int calls = streams)
{
    const auto has_room = [&]
    {
        const auto status = endpoint_status(all, vm, endpoint);
        return status && status->at("limit").as_integer() >= calls;
    };
    cr_assert(eventually(has_room), "%s stays at a low limit", endpoint.c_str());
}

// The same for an engine that takes all streams and one that replaces it under its cold limit.
void wait_two_engines(const deployment& all, const std::string& vm)
{
    wait_room(all, vm, "generator-a1");
    wait_room(all, vm, "generator-b1", 1);
}

} // namespace

// Guards against tokens that are lost or repeated when the engine dies in the middle of streams.
Test(whole_answer, engine_killed_mid_stream_is_replaced)
{
    deployment all(generation_options({"generator-a1", "generator-b1"}, {"--token-ms", "60"}));
    wait_two_engines(all, "vm-a1");
    stream_group callers(all, "vm-a1", "killed-engine");
    cr_assert(callers.wait_lines(3));
    cr_assert_geq(all.endpoints.at("generator-a1").count("running"), 1);
    all.endpoints.at("generator-a1").kill();
    cr_assert_geq(callers.check_complete(), 1);
}

// Guards against an answer that ends early, or begins again, when each engine cuts its streams.
Test(whole_answer, stream_cut_after_tokens_is_resumed)
{
    deployment all(generation_options({"generator-a1", "generator-b1"}, {"--token-ms", "5"}));
    wait_two_engines(all, "vm-a1");
    for (const char* id : {"generator-a1", "generator-b1"})
        all.endpoints.at(id).control(R"({"cut_after_tokens":9,"duplicate_lines":true})");
    stream_group callers(all, "vm-a1", "cut-stream");
    // Each of the 16 tokens counts, so one attempt of 9 tokens never suffices.
    cr_assert_geq(callers.check_complete(), streams);
}

// Guards against a caller that waits for a stalled engine until its deadline.
Test(whole_answer, slow_engine_is_given_up)
{
    deployment all(generation_options({"generator-a1", "generator-b1"}, {"--token-ms", "5"}));
    wait_two_engines(all, "vm-a1");
    all.endpoints.at("generator-a1").control(R"({"delay_ms":20000})");
    stream_group callers(all, "vm-a1", "slow-engine");
    cr_assert_geq(callers.check_complete(), 1);
    cr_assert(eventually([&] { return all.endpoints.at("generator-a1").count("running") == 0; }));
}

// Guards against a healthy endpoint that is given up because its established connections went
// silent. It is the only one, so the answers are complete only if it stays in use.
Test(whole_answer, frozen_connections_are_replaced_without_blaming_the_endpoint)
{
    auto options = generation_options({"generator-a1"}, {"--token-ms", "60"});
    options.proxies = true;
    deployment all(options);
    wait_room(all, "vm-a1", "generator-a1");
    stream_group callers(all, "vm-a1", "frozen");
    cr_assert(callers.wait_lines(3));
    all.endpoint_proxies.at("generator-a1").command("freeze_established");
    cr_assert_geq(callers.check_complete(), streams);
    cr_assert_geq(metric(all, "vm-a1", "zinnianotch_silent_connections_total"), 1);
    cr_assert_eq(metric(all, "vm-a1", "zinnianotch_silent_endpoints_total"), 0);
    const auto status = endpoint_status(all, "vm-a1", "generator-a1");
    cr_assert(status.has_value());
    cr_assert(status->at("phase").as_string() != "cold");
    cr_assert_geq(status->at("limit").as_integer(), streams);

    // The idle connections of the last streams go silent too. One attempt may find that out; the
    // next one must not take another of them.
    stream_group again(all, "vm-a1", "idle");
    again.check_complete();
    all.endpoint_proxies.at("generator-a1").command("freeze_established");
    const http_lines lines = all.run_pipeline(all.vms.at("vm-a1"), "single", stream_deadline);
    const checked_answer single = check_answer(lines, generated_tokens("single"));
    cr_assert(single.kind == answer_kind::complete, "%s", single.detail.c_str());
    cr_assert_leq(single.attempts, 2);
}

// Guards against a stream that ends with the VM that forwarded it.
Test(whole_answer, killed_forwarding_vm_is_replaced)
{
    auto options = generation_options({"generator-a1", "generator-b1"}, {"--token-ms", "60"});
    options.vms_per_domain = 2;
    deployment all(options);
    cr_assert(wait_view(all, {"vm-a1", "vm-a2"}, 2));
    const std::string owner = wait_owner(all, "vm-a1", "generator-a1");
    const std::string entry = owner == "vm-a1" ? "vm-a2" : "vm-a1";
    wait_two_engines(all, entry);
    stream_group callers(all, entry, "killed-vm");
    cr_assert(callers.wait_lines(3));
    cr_assert_geq(all.endpoints.at("generator-a1").count("running"), 1);
    all.vms.at(owner).process->kill();
    cr_assert_geq(callers.check_complete(), 1);
    cr_assert(eventually([&] { return all.endpoints.at("generator-a1").count("running") == 0; }));
}

// Guards against work that goes on, and a slot that stays taken, for a caller that left.
Test(whole_answer, caller_that_leaves_frees_the_engine)
{
    auto options = generation_options({"generator-a1"}, {"--token-ms", "400"});
    options.vms_per_domain = 2;
    deployment all(options);
    cr_assert(wait_view(all, {"vm-a1", "vm-a2"}, 2));
    const std::string owner = wait_owner(all, "vm-a1", "generator-a1");
    const standin& engine = all.endpoints.at("generator-a1");
    for (const char* entry : {"vm-a1", "vm-a2"}) // one of them forwards to the owner
    {
        const std::uint64_t cancelled = engine.count("cancelled");
        const std::uint64_t starts = engine.count("starts");
        const auto leave = [](std::string_view) { return false; };
        const http_lines left =
            all.run_pipeline(all.vms.at(entry), "leaver", stream_deadline, leave);
        cr_assert_eq(left.lines.size(), 1);
        cr_assert(eventually([&] { return engine.count("cancelled") == cancelled + 1; }),
                  "the work for a caller of %s goes on", entry);
        cr_assert_eq(engine.count("starts"), starts + 1);
        cr_assert_eq(engine.count("running"), 0);
        const auto is_free = [&]
        {
            const auto status = endpoint_status(all, owner, "generator-a1");
            return status && status->at("in_flight").as_integer() == 0;
        };
        cr_assert(eventually(is_free), "the slot stays taken");
    }
}
