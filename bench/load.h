// Open-loop load on a pipeline: arrivals follow a seeded schedule, whatever the answers do, and
// times count from when a request should have been sent.
#pragma once

#include "fixture.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

using seconds = std::chrono::duration<double>;

// A rate of arrivals that holds from `at` on.
struct rate_step
{
    double at_s = 0;
    double per_second = 0;
};

struct load_plan
{
    std::vector<rate_step> rates;
    double duration_s = 10;
    std::uint64_t seed = 1;
    std::string path = "/v1/pipelines/suggest";
    std::string input = "half-hull pennant";
    zinnianotch::milliseconds deadline{5000};
    std::size_t senders = 640; // requests in flight at the most; later arrivals wait and count it
};

// One request and its end.
struct sample
{
    double at_s = 0;           // scheduled, from the start of the load
    double first_token_ms = 0; // 0 when none came
    double done_ms = 0;
    int status = 0;
    bool complete = false;
    std::string reason; // of a refusal
    std::string verdict;
    std::string vm;
};

// Times of Poisson arrivals at the rates of the plan.
std::vector<double> arrivals(const load_plan& plan);

// Runs the plan against the VMs in turn. Calls `on_second(k)` in its own thread when second k of
// the load begins.
std::vector<sample> run_load(const fixture::deployment& target, const load_plan& plan,
                             const std::vector<std::string>& vms,
                             const std::function<void(int)>& on_second = nullptr);

// Value below which the share of the sorted values lies; 0 for none.
double quantile(std::vector<double> values, double share);

} // namespace bench
