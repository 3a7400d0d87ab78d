// Partitions the endpoints of a service into shards, each of which has its own batching queue.
//
// In large deployments one VM cannot batch for dozens of endpoints, and results that stay in their
// failure domain cause no traffic between domains. In small ones a domain has too few endpoints to
// form a shard.
#pragma once

#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// A service is sharded by failure domain if its domains have at least this many endpoints on
// average. Below that, one pool absorbs bursts better, which use nine tenths of all endpoints.
inline constexpr std::size_t min_endpoints_per_shard = 12;
// A stage is sent to another domain only if that saves more than this much time.
inline constexpr milliseconds cross_domain_penalty{80};

// Endpoints that share a batching queue.
struct stage_shard
{
    std::string domain; // empty when all endpoints of the service are one pool
    std::size_t endpoints = 0;
};

// One shard for each failure domain that has endpoints, or a single one for all endpoints.
// `endpoints` holds the number of usable endpoints of each domain.
std::vector<stage_shard> stage_shards(const std::map<std::string, std::size_t>& endpoints);

// Shard of a request by its hash, weighted by the number of endpoints: the load from callers in a
// failure domain may exceed the capacity of its endpoints. `shards` must not be empty.
const std::string& shard_for_hash(const std::vector<stage_shard>& shards, std::uint64_t hash);

struct shard_option
{
    std::string domain;
    milliseconds expected{0}; // recent duration of a stage there
};

// Domain for a stage: the preferred one unless another one is faster by more than
// cross_domain_penalty. `options` must not be empty.
const std::string& choose_shard(const std::vector<shard_option>& options,
                                std::string_view preferred);

} // namespace zinnianotch
