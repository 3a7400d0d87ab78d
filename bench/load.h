// Open-loop load on a pipeline: requests arrive on a seeded schedule, independent of the responses,
// and latencies are measured from the scheduled arrival time.
#pragma once

#include "fixture.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

using seconds = std::chrono::duration<double>;

// Arrival rate from `at_s` on, until the next step.
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
    // Further arrivals wait; the wait is part of their latency.
    std::size_t max_in_flight = 640;
};

// One request and its outcome.
struct sample
{
    double at_s = 0;           // scheduled arrival, from the start of the load
    double first_token_ms = 0; // 0 if no token was received
    double done_ms = 0;
    int status = 0;
    bool complete = false;
    std::string reason; // of the error, if any
    std::string verdict;
    std::string vm;
};

// Poisson arrival times in seconds, at the rates of the plan.
std::vector<double> arrival_times(const load_plan& plan);

// Sends the requests of the plan to the VMs in turn. Calls `on_second(k)` on the calling thread
// when second k of the load begins.
std::vector<sample> run_load(const fixture::deployment& target, const load_plan& plan,
                             const std::vector<std::string>& vms,
                             const std::function<void(int)>& on_second = nullptr);

// Quantile of the values by nearest rank; `fraction` is from 0 to 1. 0 if there are no values.
double quantile(std::vector<double> values, double fraction);

} // namespace bench
