// Measures the latency that zinnianotch adds to a stage call: a pipeline of three stages through an
// entry VM is compared with direct calls to the same stand-ins. Both kinds of call alternate in one
// run and use keep-alive connections. Measures before that how long the choice of an endpoint
// takes.
#include "load.h"

#include "state/timed_placement.h"

#include <cstdio>
#include <ctime>
#include <iostream>
#include <thread>

namespace
{

using namespace bench;
using web::json::value;

constexpr int calls_per_thread = 300;
constexpr int warm_up_calls = 50;
constexpr int stage_count = 3;

using clock = std::chrono::steady_clock;

double ms_since(clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(clock::now() - start).count();
}

// Latencies in milliseconds.
struct timings
{
    std::vector<double> direct;   // one stage
    std::vector<double> pipeline; // all stages, divided by the number of stages
};

zinnianotch::client_request make_request(const std::string& path, const std::string& body)
{
    zinnianotch::client_request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    return request;
}

void require_ok(const zinnianotch::result<zinnianotch::client_reply>& reply)
{
    if (!reply || reply.value().status != 200)
        throw std::runtime_error(reply ? reply.value().body : reply.error().detail);
}

timings run_thread(const fixture::deployment& cluster)
{
    zinnianotch::http_client endpoint("http://127.0.0.1:" +
                                      std::to_string(cluster.endpoints.at("encoder-a1").port()));
    zinnianotch::http_client vm("http://127.0.0.1:" +
                                std::to_string(cluster.vms.at("vm-a1").caller_port));
    const zinnianotch::client_request direct =
        make_request("/run", R"({"attempt":"direct","stage":"encoder","input":"pennant"})");
    zinnianotch::client_request pipeline =
        make_request("/v1/pipelines/suggest", R"({"input":"pennant"})");
    pipeline.headers["Authorization"] = std::string("Bearer ") + fixture::caller_key;
    timings out;
    for (int i = 0; i < warm_up_calls + calls_per_thread; ++i)
    {
        const clock::time_point direct_start = clock::now();
        require_ok(endpoint.send(direct, fixture::default_timeout));
        const double direct_ms = ms_since(direct_start);
        const clock::time_point pipeline_start = clock::now();
        require_ok(vm.send(pipeline, fixture::default_timeout));
        const double pipeline_ms = ms_since(pipeline_start) / stage_count;
        if (i < warm_up_calls)
            continue;
        out.direct.push_back(direct_ms);
        out.pipeline.push_back(pipeline_ms);
    }
    return out;
}

void measure(int callers, int vms_per_domain)
{
    fixture::deployment_options options;
    options.vms_per_domain = vms_per_domain;
    options.endpoint_arguments = {"--work-ms", "5"};
    // Removes the generation stage, which streams its output.
    options.modify_configuration = [](value& document)
    { document["pipelines"][0]["stages"].erase(stage_count); };
    const fixture::deployment cluster(options);
    std::vector<timings> per_thread(static_cast<std::size_t>(callers));
    {
        std::vector<std::jthread> threads;
        threads.reserve(per_thread.size());
        for (timings& samples : per_thread)
            threads.emplace_back([&] { samples = run_thread(cluster); });
    }
    timings combined;
    for (const timings& samples : per_thread)
    {
        combined.direct.insert(combined.direct.end(), samples.direct.begin(), samples.direct.end());
        combined.pipeline.insert(combined.pipeline.end(), samples.pipeline.begin(),
                                 samples.pipeline.end());
    }
    for (const double fraction : {0.50, 0.99})
    {
        const double direct = quantile(combined.direct, fraction);
        const double pipeline = quantile(combined.pipeline, fraction);
        std::printf("%7d %7d    p%02.0f %10.3f %10.3f %10.3f %8.2f\n", callers, vms_per_domain,
                    100 * fraction, direct, pipeline, pipeline - direct, pipeline / direct);
    }
    (void)std::fflush(stdout);
}

// Candidates with all that may be known of them: load, pace, backlog and cached parts.
void measure_choice(std::size_t endpoints)
{
    using namespace zinnianotch;
    constexpr int choices = 20'000;
    const time_point now = steady_clock::now();
    std::vector<endpoint_record> records(endpoints);
    std::vector<endpoint_health> healths(endpoints);
    std::vector<endpoint_pace> paces(endpoints);
    std::vector<endpoint_backlog> backlogs(endpoints);
    std::vector<placement_candidate> candidates;
    std::vector<timed_candidate> timed;
    request_work work;
    work.prompt_tokens = 4000.0;
    work.shared_tokens = 3000.0;
    work.goal_left = milliseconds(1000);
    work_rates rates;
    for (std::size_t i = 0; i < endpoints; ++i)
    {
        records[i].id = "endpoint-" + std::to_string(i);
        healths[i].on_load({static_cast<std::uint32_t>(i % 40), 1, 64}, now);
        paces[i].on_sample(1.0 + 0.01 * static_cast<double>(i % 60), 1.0, now);
        paces[i].on_report(1.0 + static_cast<double>(i % 2), now);
        paces[i].on_wait(static_cast<double>(i % 90), 1.0, now);
        backlogs[i].add({1, 500.0, 4000.0, now, 50.0, false});
        rates.on_first_byte(static_cast<double>(100 * (i % 9)), 20.0 + static_cast<double>(i % 9));
        rates.on_wait(40.0);
        candidates.push_back({&records[i], &healths[i], true});
        timed.push_back({candidates[i], &paces[i], &backlogs[i], endpoint_key(records[i].id, 0)});
        if (i % 100 == 0)
            work.cached.push_back({timed[i].key, 3000});
    }
    const auto micros_per_choice = [&](auto choose)
    {
        // Processor time, so that other load of the machine does not count.
        const std::clock_t begin = std::clock();
        for (int i = 0; i < choices; ++i)
        {
            const std::string affinity = "prefix-" + std::to_string(i % 500);
            placement_query query;
            query.affinity = affinity;
            query.tie_breaker = static_cast<std::uint64_t>(i);
            choose(query);
        }
        return 1e6 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC / choices;
    };
    std::size_t sum = 0; // keeps the calls
    const double by_load =
        micros_per_choice([&](const placement_query& query)
                          { sum += choose_endpoint(candidates, query, now).value_or(0); });
    const auto by_time = [&](const placement_query& query)
    {
        const timed_query timed_one{query, &work, &rates, 1'000'000, query.tie_breaker};
        sum += choose_by_time(timed, timed_one, now)->index;
    };
    const double in_goal = micros_per_choice(by_time);
    work.goal_left = milliseconds(1); // out of reach, so that all endpoints are compared
    const double late = micros_per_choice(by_time);
    std::printf("choice among %4zu endpoints: by load %6.2f us, by time %6.2f us, late %6.2f us "
                "(%zu)\n",
                endpoints, by_load, in_goal, late, sum % 10);
}

} // namespace

int main()
{
    try
    {
        for (const std::size_t endpoints : {140, 600})
            measure_choice(endpoints);
        std::printf("%7s %7s %6s %10s %10s %10s %8s\n", "callers", "VMs/dom", "", "direct ms",
                    "stage ms", "added ms", "ratio");
        for (const int vms : {1, 3})
        {
            for (const int callers : {1, 8})
                measure(callers, vms);
        }
    }
    catch (const std::exception& error)
    {
        std::cerr << "overhead: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
