#include "state/chain_admission.h"

#include <algorithm>
#include <vector>

namespace zinnianotch
{

namespace
{

struct service_user
{
    std::uint32_t priority = 0;
    milliseconds goal{0};
};

// Compares each route with the shortest goal among more urgent ones.
bool has_yielding_route(std::vector<service_user> users)
{
    std::sort(users.begin(), users.end(),
              [](const service_user& a, const service_user& b) { return a.priority < b.priority; });
    milliseconds shortest_above = milliseconds::max();
    milliseconds shortest_here = milliseconds::max();
    for (std::size_t i = 0; i < users.size(); ++i)
    {
        if (i > 0 && users[i].priority != users[i - 1].priority)
            shortest_above = std::min(shortest_above, shortest_here);
        if (shortest_above != milliseconds::max() &&
            users[i].goal >= yielding_goal_ratio * shortest_above)
            return true;
        shortest_here = std::min(shortest_here, users[i].goal);
    }
    return false;
}

} // namespace

std::set<std::string, std::less<>> find_contended_services(const serving_state& state)
{
    std::map<std::string, std::vector<service_user>> users;
    for (const route_spec& route : state.routes)
    {
        if (route.goal.count() <= 0)
            continue;
        for (const stage_spec& stage : route.stages)
            users[stage.service].push_back({route.priority, route.goal});
    }
    std::set<std::string, std::less<>> contended;
    for (auto& [service, entries] : users)
    {
        if (has_yielding_route(std::move(entries)))
            contended.insert(service);
    }
    return contended;
}

std::uint32_t urgency_rank(std::optional<std::uint32_t> account_priority,
                           std::uint32_t route_priority)
{
    constexpr std::uint32_t levels = 16;
    const std::uint32_t first = std::min(account_priority.value_or(route_priority), levels - 1);
    return first * levels + std::min(route_priority, levels - 1);
}

chain_verdict decide_chain(const chain_estimate& estimate, milliseconds goal_left,
                           milliseconds deadline_left)
{
    if (estimate.on_time <= goal_left && estimate.on_time <= deadline_left)
        return {chain_decision::on_time, {}};
    if (estimate.late <= deadline_left)
        return {chain_decision::late, {}};
    // The backlog shrinks as time passes, so the excess is the time until the request would fit.
    const milliseconds latest = std::min(std::max(goal_left, milliseconds(0)), deadline_left);
    return {chain_decision::refused, std::max(estimate.on_time - latest, milliseconds(0))};
}

} // namespace zinnianotch
