// Which of a service's endpoints gather pieces together.
//
// It answers the load of large installations: one VM cannot gather for dozens of endpoints, and
// results that stay in their failure domain cost nothing between domains. On small ones a domain
// has too few endpoints to be a pool of its own.
#pragma once

#include "state/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// A service is gathered by failure domain when its domains have so many endpoints on average.
inline constexpr std::size_t shard_endpoints = 3;
// A stage goes to another domain when that saves this much time.
inline constexpr milliseconds shard_away{80};

// Failure domains that gather for themselves, or one empty name when all endpoints are one pool.
// `endpoints` counts the usable endpoints of each domain.
std::vector<std::string> stage_shards(const std::map<std::string, std::size_t>& endpoints);

struct shard_option
{
    std::string domain;
    milliseconds expected{0}; // time that a stage has taken there lately
};

// Domain for a stage: the preferred one unless another one is faster by shard_away. `options` is
// never empty.
const std::string& choose_shard(const std::vector<shard_option>& options,
                                std::string_view preferred);

} // namespace zinnianotch
