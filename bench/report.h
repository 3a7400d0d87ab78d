// Tables, JSON results and plots of experiments.
#pragma once

#include "load.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bench
{

struct policy_result
{
    std::string policy;
    std::vector<sample> samples;
    // Requests that the endpoint began to process, by endpoint id.
    std::map<std::string, std::uint64_t> starts;
    std::uint64_t overruns = 0; // calls beyond the cold capacity of an endpoint
    std::uint64_t cancelled = 0;
};

// Prints attainment, latencies and errors of each policy.
void print_table(const std::string& name, const load_plan& plan,
                 const std::vector<policy_result>& results);

// Writes NAME.json and NAME.svg to the directory.
void write_files(const std::string& directory, const std::string& name, const load_plan& plan,
                 const std::vector<policy_result>& results);

} // namespace bench
