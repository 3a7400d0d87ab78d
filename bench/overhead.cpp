// Measures the latency that zinnianotch adds to a stage call: a pipeline of three stages through an
// entry VM is compared with direct calls to the same stand-ins. Both kinds of call alternate in one
// run and use keep-alive connections.
#include "load.h"

#include <cstdio>
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

} // namespace

int main()
{
    try
    {
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
