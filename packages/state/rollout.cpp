#include "state/rollout.h"

#include "state/enum_names.h"
#include "state/hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 5> phase_names{"canary", "ramp", "full", "completed",
                                                      "rolled_back"};

// Load of an endpoint that takes a share, relative to one of the old version, above which another
// endpoint joins it. Faults that depend on load show at about the usual one.
constexpr double canary_load_max = 1.15;

constexpr milliseconds canary_report_interval{500};
constexpr milliseconds ramp_report_interval{250};

// True if the first position follows the second one within an order.
template <typename Decision>
bool is_further(const Decision& first, const Decision& second)
{
    if (is_final(second.phase))
        return false;
    return std::tie(first.phase, first.step) > std::tie(second.phase, second.step);
}

} // namespace

std::string_view to_string(rollout_phase value)
{
    return name_of(phase_names, value);
}

bool from_string(std::string_view name, rollout_phase& out)
{
    return value_of(phase_names, name, out);
}

bool is_final(rollout_phase value)
{
    return value == rollout_phase::completed || value == rollout_phase::rolled_back;
}

bool supersedes(const rollout_record& first, const rollout_record& second)
{
    if (first.order != second.order)
        return first.order > second.order;
    return is_further(first, second);
}

bool supersedes(const rollout_verdict& first, const rollout_verdict& second)
{
    if (first.order != second.order)
        return first.order > second.order;
    if (is_further(first, second))
        return true;
    return first.phase == second.phase && first.step == second.step && first.age > second.age;
}

const std::string& version_after(const rollout_record& last)
{
    const bool has_moved =
        last.phase == rollout_phase::full || last.phase == rollout_phase::completed;
    return has_moved ? last.version : last.old_version;
}

std::vector<std::string> rollout_judges(std::string_view service, std::vector<std::string> vms)
{
    const std::uint64_t base = fnv_1a(fnv_1a(fnv_offset_basis, "rollout/"), service);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(vms.size());
    for (std::string& vm : vms)
    {
        const std::uint64_t hash = avalanche(fnv_1a(fnv_1a(base, "/"), vm));
        ranked.emplace_back(hash, std::move(vm));
    }
    std::sort(ranked.begin(), ranked.end());
    vms.clear();
    for (auto& [hash, vm] : ranked)
        vms.push_back(std::move(vm));
    return vms;
}

milliseconds rollout_report_interval(rollout_phase phase)
{
    return phase == rollout_phase::canary ? canary_report_interval : ramp_report_interval;
}

std::size_t canary_count(double share, std::size_t old_endpoints, std::size_t new_endpoints)
{
    if (new_endpoints == 0)
        return 0;
    const std::size_t usual = old_endpoints == 0 ? new_endpoints : old_endpoints;
    const double count = std::ceil(share * static_cast<double>(usual) / canary_load_max);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(count, 1.0)), 1,
                                   new_endpoints);
}

void rollout_age::hear(milliseconds age, time_point now)
{
    started_at_ = std::min(started_at_, now - age);
}

milliseconds rollout_age::at(time_point now) const
{
    if (started_at_ >= now)
        return milliseconds{0};
    return std::chrono::duration_cast<milliseconds>(now - started_at_);
}

} // namespace zinnianotch
