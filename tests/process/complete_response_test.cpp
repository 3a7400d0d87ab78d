// Invariant 4: a caller receives the complete response to its own request although streams break,
// stall or freeze, and no work continues for a caller that has disconnected.
#include "load.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace fixture;

namespace
{

constexpr int stream_count = 8;
constexpr milliseconds stream_deadline{30000};

deployment_options generation_options(const std::vector<std::string>& endpoints,
                                      const std::vector<std::string>& endpoint_arguments)
{
    deployment_options options;
    options.endpoint_arguments = endpoint_arguments;
    options.modify_configuration = [endpoints](web::json::value& document)
    {
        keep_generation_only(document, endpoints);
        document["defaults"]["stage_timeout_ms"] = web::json::value::number(1000);
        // Only the first engine accepts all streams at once; the other one must take them over
        // within its cold limit.
        auto limit_exception = web::json::value::object();
        limit_exception["id"] = web::json::value("ex-room");
        limit_exception["target"] = web::json::value("endpoint:generator-a1");
        limit_exception["setting"] = web::json::value("cold_limit");
        limit_exception["value"] = web::json::value::number(stream_count);
        limit_exception["reason"] = web::json::value("streams run at once");
        document["exceptions"] = web::json::value::array({limit_exception});
    };
    return options;
}

// Callers that each stream one response through the same VM.
class stream_group
{
public:
    stream_group(const deployment& cluster, const std::string& vm, const std::string& name)
        : results_(stream_count), expected_tokens_(stream_count), received_lines_(stream_count)
    {
        target_.caller_port = cluster.vms.at(vm).caller_port;
        for (std::size_t i = 0; i < stream_count; ++i)
        {
            const std::string input = name + '-' + std::to_string(i);
            expected_tokens_[i] = expected_generated_tokens(input);
            threads_.emplace_back([this, &cluster, i, input] { run(cluster, i, input); });
        }
    }

    ~stream_group() { join(); }

    stream_group(const stream_group&) = delete;
    stream_group& operator=(const stream_group&) = delete;

    // Waits until every caller has received `count` lines; false on timeout.
    bool wait_lines(int count) const
    {
        const auto reached = [&]
        {
            for (const auto& received : received_lines_)
                if (received < count)
                    return false;
            return true;
        };
        return eventually(reached);
    }

    // Asserts that all responses are complete; returns the number of retries of the last stage.
    std::uint64_t check_all_complete()
    {
        join();
        std::uint64_t retried = 0;
        for (std::size_t i = 0; i < stream_count; ++i)
        {
            const response_check check = check_stream_response(results_[i], expected_tokens_[i]);
            cr_assert(check.outcome == response_outcome::complete,
                      "stream %zu: outcome %d, %s, %zu tokens", i, static_cast<int>(check.outcome),
                      check.detail.c_str(), check.tokens);
            retried += check.attempts - 1;
        }
        std::printf("complete response: %d of %d complete, retries: %llu\n", stream_count,
                    stream_count, (unsigned long long)retried);
        return retried;
    }

private:
    void run(const deployment& cluster, std::size_t i, const std::string& input)
    {
        const auto on_line = [this, i](std::string_view)
        {
            ++received_lines_[i];
            return true;
        };
        results_[i] = cluster.run_pipeline(target_, input, stream_deadline, on_line);
    }

    void join()
    {
        for (std::thread& thread : threads_)
            thread.join();
        threads_.clear();
    }

    deployment::vm target_;
    std::vector<http_stream_result> results_;
    std::vector<std::vector<std::string>> expected_tokens_;
    std::vector<std::atomic<int>> received_lines_;
    std::vector<std::thread> threads_;
};

// Waits until the VM reports that the limit of the endpoint is at least `calls`.
void wait_for_limit(const deployment& cluster, const std::string& vm, const std::string& endpoint,
                    int calls = stream_count)
{
    const auto limit_reached = [&]
    {
        const auto status = endpoint_status(cluster, vm, endpoint);
        return status && status->at("limit").as_integer() >= calls;
    };
    cr_assert(eventually(limit_reached), "the limit of %s stays too low", endpoint.c_str());
}

// Waits until generator-a1 accepts all streams and generator-b1 can replace it within its cold
// limit.
void wait_for_engines(const deployment& cluster, const std::string& vm)
{
    wait_for_limit(cluster, vm, "generator-a1");
    wait_for_limit(cluster, vm, "generator-b1", 1);
}

} // namespace

// Guards against lost or duplicated tokens when the engine dies in the middle of streams.
Test(complete_response, engine_killed_mid_stream_is_replaced)
{
    deployment cluster(generation_options({"generator-a1", "generator-b1"}, {"--token-ms", "60"}));
    wait_for_engines(cluster, "vm-a1");
    stream_group callers(cluster, "vm-a1", "killed-engine");
    cr_assert(callers.wait_lines(3));
    cr_assert_geq(cluster.endpoints.at("generator-a1").count("running"), 1);
    cluster.endpoints.at("generator-a1").kill();
    cr_assert_geq(callers.check_all_complete(), 1);
}

// Guards against a response that ends early or starts over when every engine cuts its streams.
Test(complete_response, stream_cut_after_tokens_is_resumed)
{
    deployment cluster(generation_options({"generator-a1", "generator-b1"}, {"--token-ms", "5"}));
    wait_for_engines(cluster, "vm-a1");
    for (const char* id : {"generator-a1", "generator-b1"})
        cluster.endpoints.at(id).control(R"({"cut_after_tokens":9,"duplicate_lines":true})");
    stream_group callers(cluster, "vm-a1", "cut-stream");
    // A response has 16 tokens, so one attempt that is cut after 9 is never enough.
    cr_assert_geq(callers.check_all_complete(), stream_count);
}

// Guards against a caller that waits for a stalled engine until its deadline.
Test(complete_response, stalled_engine_is_replaced)
{
    deployment cluster(generation_options({"generator-a1", "generator-b1"}, {"--token-ms", "5"}));
    wait_for_engines(cluster, "vm-a1");
    cluster.endpoints.at("generator-a1").control(R"({"delay_ms":20000})");
    stream_group callers(cluster, "vm-a1", "slow-engine");
    cr_assert_geq(callers.check_all_complete(), 1);
    cr_assert(
        eventually([&] { return cluster.endpoints.at("generator-a1").count("running") == 0; }));
}

// Guards against a healthy endpoint that is taken out of use because its established connections
// stopped responding. It is the only one, so the responses are complete only if it stays in use.
Test(complete_response, frozen_connections_are_replaced_and_endpoint_stays_in_use)
{
    auto options = generation_options({"generator-a1"}, {"--token-ms", "60"});
    options.proxies = true;
    deployment cluster(options);
    wait_for_limit(cluster, "vm-a1", "generator-a1");
    stream_group callers(cluster, "vm-a1", "frozen");
    cr_assert(callers.wait_lines(3));
    cluster.endpoint_proxies.at("generator-a1").command("freeze_established");
    cr_assert_geq(callers.check_all_complete(), stream_count);
    cr_assert_geq(read_metric(cluster, "vm-a1", "zinnianotch_silent_connections_total"), 1);
    cr_assert_eq(read_metric(cluster, "vm-a1", "zinnianotch_silent_endpoints_total"), 0);
    const auto status = endpoint_status(cluster, "vm-a1", "generator-a1");
    cr_assert(status.has_value());
    cr_assert(status->at("phase").as_string() != "cold");
    cr_assert_geq(status->at("limit").as_integer(), stream_count);

    // The idle connections of the earlier streams stop responding too. One attempt may fail on such
    // a connection; the next one must not reuse another.
    stream_group idle_callers(cluster, "vm-a1", "idle");
    idle_callers.check_all_complete();
    cluster.endpoint_proxies.at("generator-a1").command("freeze_established");
    const http_stream_result result =
        cluster.run_pipeline(cluster.vms.at("vm-a1"), "single", stream_deadline);
    const response_check single =
        check_stream_response(result, expected_generated_tokens("single"));
    cr_assert(single.outcome == response_outcome::complete, "%s", single.detail.c_str());
    cr_assert_leq(single.attempts, 2);
}

// Guards against a stream that breaks when the VM that forwards it is killed.
Test(complete_response, killed_forwarding_vm_is_replaced)
{
    auto options = generation_options({"generator-a1", "generator-b1"}, {"--token-ms", "60"});
    options.vms_per_domain = 2;
    deployment cluster(options);
    cr_assert(wait_view(cluster, {"vm-a1", "vm-a2"}, 2));
    const std::string owner = wait_owner(cluster, "vm-a1", "generator-a1");
    const std::string entry = owner == "vm-a1" ? "vm-a2" : "vm-a1";
    wait_for_engines(cluster, entry);
    stream_group callers(cluster, entry, "killed-vm");
    cr_assert(callers.wait_lines(3));
    cr_assert_geq(cluster.endpoints.at("generator-a1").count("running"), 1);
    cluster.vms.at(owner).process->kill();
    cr_assert_geq(callers.check_all_complete(), 1);
    cr_assert(
        eventually([&] { return cluster.endpoints.at("generator-a1").count("running") == 0; }));
}

// Guards against work that continues, and a slot that stays occupied, after the caller
// disconnected.
Test(complete_response, caller_disconnect_frees_engine)
{
    auto options = generation_options({"generator-a1"}, {"--token-ms", "400"});
    options.vms_per_domain = 2;
    deployment cluster(options);
    cr_assert(wait_view(cluster, {"vm-a1", "vm-a2"}, 2));
    const std::string owner = wait_owner(cluster, "vm-a1", "generator-a1");
    const standin& engine = cluster.endpoints.at("generator-a1");
    for (const char* entry : {"vm-a1", "vm-a2"}) // one of them forwards to the owner
    {
        const std::uint64_t cancelled = engine.count("cancelled");
        const std::uint64_t starts = engine.count("starts");
        const auto disconnect = [](std::string_view) { return false; };
        const http_stream_result truncated =
            cluster.run_pipeline(cluster.vms.at(entry), "leaver", stream_deadline, disconnect);
        cr_assert_eq(truncated.lines.size(), 1);
        cr_assert(eventually([&] { return engine.count("cancelled") == cancelled + 1; }),
                  "work continues for a disconnected caller of %s", entry);
        cr_assert_eq(engine.count("starts"), starts + 1);
        cr_assert_eq(engine.count("running"), 0);
        const auto is_free = [&]
        {
            const auto status = endpoint_status(cluster, owner, "generator-a1");
            return status && status->at("in_flight").as_integer() == 0;
        };
        cr_assert(eventually(is_free), "the slot stays occupied");
    }
}
