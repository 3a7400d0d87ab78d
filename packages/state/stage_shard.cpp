#include "state/stage_shard.h"

namespace zinnianotch
{

std::vector<stage_shard> stage_shards(const std::map<std::string, std::size_t>& endpoints)
{
    std::size_t sum = 0;
    std::vector<stage_shard> shards;
    for (const auto& [domain, count] : endpoints)
    {
        sum += count;
        if (count > 0)
            shards.push_back({domain, count});
    }
    if (shards.size() < 2 || sum < min_endpoints_per_shard * shards.size())
        return {{std::string(), sum}};
    return shards;
}

const std::string& shard_for_hash(const std::vector<stage_shard>& shards, std::uint64_t hash)
{
    std::size_t sum = 0;
    for (const stage_shard& shard : shards)
        sum += shard.endpoints;
    std::uint64_t at = sum == 0 ? 0 : hash % sum;
    for (const stage_shard& shard : shards)
    {
        if (at < shard.endpoints)
            return shard.domain;
        at -= shard.endpoints;
    }
    return shards.front().domain;
}

const std::string& choose_shard(const std::vector<shard_option>& options,
                                std::string_view preferred)
{
    const shard_option* best = nullptr;
    milliseconds best_cost{0};
    for (const shard_option& option : options)
    {
        const milliseconds cost =
            option.expected + (option.domain == preferred ? milliseconds(0) : cross_domain_penalty);
        if (best != nullptr && cost >= best_cost)
            continue;
        best = &option;
        best_cost = cost;
    }
    return best->domain;
}

} // namespace zinnianotch
