// Pools of endpoints that gather together, and the observed times behind the choice.
#include "state/stage_shard.h"
#include "state/stage_times.h"

#include <criterion/criterion.h>

#include <map>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

} // namespace

// Guards against pools so small that a burst in one finds the others idle.
Test(stage_shard, stage_shards_few_endpoints_are_one_pool)
{
    const auto shards = stage_shards({{"a", 2}, {"b", 2}, {"c", 1}});
    cr_assert(shards.size() == 1 && shards[0].domain.empty() && shards[0].endpoints == 5);
}

// Guards against one VM that gathers for hundreds of endpoints, and against a domain without
// endpoints that is given stages.
Test(stage_shard, stage_shards_many_endpoints_are_pools_by_domain)
{
    const auto shards = stage_shards({{"a", 60}, {"b", 0}, {"c", 60}});
    cr_assert(shards.size() == 2 && shards[0].domain == "a" && shards[1].domain == "c");
}

// Guards against a spread that ignores how many endpoints a domain has.
Test(stage_shard, spread_shard_follows_endpoint_counts)
{
    const std::vector<stage_shard> shards = {{"a", 30}, {"b", 10}};
    std::map<std::string, int> counts;
    for (std::uint64_t hash = 0; hash < 400; ++hash)
        ++counts[shard_for_hash(shards, hash)];
    cr_assert(counts["a"] == 300 && counts["b"] == 100);
}

// Guards against stages that leave their inputs for a small gain, and against ones that stay with a
// pool that is overloaded or cut off.
Test(stage_shard, choose_shard_leaves_preferred_only_for_a_real_gain)
{
    std::vector<shard_option> options = {{"a", milliseconds(300)}, {"b", milliseconds(250)}};
    cr_assert(choose_shard(options, "a") == "a");
    options[0].expected = milliseconds(3000);
    cr_assert(choose_shard(options, "a") == "b");
}

// Guards against estimates that stay high after a burst has ended.
Test(stage_shard, observed_times_are_forgotten_without_news)
{
    observed_stage_times times;
    for (int i = 0; i < 30; ++i)
        times.record("q", milliseconds(2000), start);
    cr_assert(times.expected("q", milliseconds(300), start) > milliseconds(1900));
    cr_assert(times.expected("q", milliseconds(300),
                             start + stage_time_max_age + milliseconds(1)) == milliseconds(300));
    cr_assert(times.expected("other", milliseconds(300), start) == milliseconds(300));
}
