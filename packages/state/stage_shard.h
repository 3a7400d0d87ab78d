// Which of a service's endpoints gather pieces together.
//
// It answers the load of large installations: one VM cannot gather for dozens of endpoints, and
// results that stay in their failure domain cost nothing between domains. On small ones a domain
// has too few endpoints to be a pool of its own.
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

// A service is gathered by failure domain when its domains have so many endpoints on average. Below
// that the larger pool matters more: bursts use nine tenths of all endpoints.
inline constexpr std::size_t min_endpoints_per_shard = 12;
// A stage goes to another domain when that saves this much time.
inline constexpr milliseconds cross_domain_penalty{80};

// Endpoints that are gathered together.
struct stage_shard
{
    std::string domain; // empty when all endpoints of the service are one pool
    std::size_t endpoints = 0;
};

// Failure domains that gather for themselves, or one pool of all endpoints. `endpoints` counts the
// usable endpoints of each domain.
std::vector<stage_shard> stage_shards(const std::map<std::string, std::size_t>& endpoints);

// Shard of a request by its hash, in proportion to the endpoints: the callers of a failure domain
// may be more than its endpoints can serve. `shards` is never empty.
const std::string& shard_for_hash(const std::vector<stage_shard>& shards, std::uint64_t hash);

struct shard_option
{
    std::string domain;
    milliseconds expected{0}; // time that a stage has taken there lately
};

// Domain for a stage: the preferred one unless another one is faster by cross_domain_penalty. `options` is
// never empty.
const std::string& choose_shard(const std::vector<shard_option>& options,
                                std::string_view preferred);

} // namespace zinnianotch
