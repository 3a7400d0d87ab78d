#include "state/stage_shard.h"

namespace zinnianotch
{

std::vector<std::string> stage_shards(const std::map<std::string, std::size_t>& endpoints)
{
    std::size_t sum = 0;
    std::vector<std::string> domains;
    for (const auto& [domain, count] : endpoints)
    {
        sum += count;
        if (count > 0)
            domains.push_back(domain);
    }
    if (domains.size() < 2 || sum < shard_endpoints * domains.size())
        return {std::string()};
    return domains;
}

const std::string& choose_shard(const std::vector<shard_option>& options,
                                std::string_view preferred)
{
    const shard_option* best = nullptr;
    milliseconds best_cost{0};
    for (const shard_option& option : options)
    {
        const milliseconds cost =
            option.expected + (option.domain == preferred ? milliseconds(0) : shard_away);
        if (best != nullptr && cost >= best_cost)
            continue;
        best = &option;
        best_cost = cost;
    }
    return best->domain;
}

} // namespace zinnianotch
