// Tables, machine-readable results and plots of experiments.
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
    std::map<std::string, std::uint64_t> starts; // work begun, by endpoint
    std::uint64_t overruns = 0;                  // calls beyond what a cold endpoint bears
    std::uint64_t cancelled = 0;
};

// Prints attainment, times and refusals of each policy.
void print_table(const std::string& name, const load_plan& plan,
                 const std::vector<policy_result>& results);

// Writes NAME.json and NAME.svg into the folder.
void write_files(const std::string& folder, const std::string& name, const load_plan& plan,
                 const std::vector<policy_result>& results);

} // namespace bench
