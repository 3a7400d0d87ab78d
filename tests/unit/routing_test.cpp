// Unit tests of routing policies, retry budgets and stage time budgets.
#include "state/routing.h"

#include <criterion/criterion.h>

#include <set>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

endpoint_summary summary(const std::string& domain, std::uint32_t in_flight, std::uint32_t limit,
                         std::uint32_t sent_since_report = 0)
{
    return {"id", domain, endpoint_phase::warm, in_flight, limit, sent_since_report, true};
}

} // namespace

// Guards against calls to other failure domains while the own one has free capacity.
Test(routing, least_load_own_domain_has_capacity_is_preferred)
{
    const std::vector<endpoint_summary> candidates = {summary("b", 0, 16), summary("a", 14, 16),
                                                      summary("a", 15, 16)};
    cr_assert(least_load{}.choose(candidates, {"a", 0}) == 1);
    cr_assert(least_load{}.choose(candidates, {"c", 0}) == 0);
}

// Guards against calls that queue in the own failure domain while another one has free capacity.
Test(routing, least_load_full_own_domain_uses_other)
{
    const std::vector<endpoint_summary> candidates = {summary("a", 2, 2), summary("b", 15, 16)};
    cr_assert(least_load{}.choose(candidates, {"a", 0}) == 1);
}

// Guards against comparing absolute call counts, which overloads small and cold endpoints.
Test(routing, least_load_compares_relative_load)
{
    const std::vector<endpoint_summary> candidates = {summary("a", 1, 2), summary("a", 4, 16)};
    cr_assert(least_load{}.choose(candidates, {"a", 0}) == 1);
}

// Guards against all VMs choosing the same endpoint until the next heartbeat.
Test(routing, least_load_counts_own_recent_work)
{
    const std::vector<endpoint_summary> candidates = {summary("a", 0, 16, 8), summary("a", 4, 16)};
    cr_assert(least_load{}.choose(candidates, {"a", 0}) == 1);
    cr_assert(least_reported_load{}.choose(candidates, {"a", 0}) == 0);
}

// Guards against sending every request to the first endpoint while the load is equal.
Test(routing, least_load_equal_candidates_share_requests)
{
    const std::vector<endpoint_summary> candidates(4, summary("a", 0, 16));
    std::set<std::size_t> chosen;
    for (std::uint64_t number = 0; number < 4; ++number)
        chosen.insert(least_load{}.choose(candidates, {"a", number}));
    cr_assert(chosen.size() == 4);
}

// Guards against preferring endpoints that are leaving or have a limit of zero.
Test(routing, least_load_leaving_and_full_come_last)
{
    std::vector<endpoint_summary> candidates = {summary("a", 0, 16), summary("a", 0, 0),
                                                summary("b", 15, 16)};
    candidates[0].phase = endpoint_phase::leaving;
    for (std::uint64_t number = 0; number < 3; ++number)
        cr_assert(least_load{}.choose(candidates, {"a", number}) == 2);
}

// Guards against a new endpoint that never receives its first call.
Test(routing, least_load_unknown_endpoint_gets_one_call)
{
    std::vector<endpoint_summary> candidates(1);
    candidates[0].domain = "a";
    candidates.push_back(summary("a", 16, 16));
    cr_assert(least_load{}.choose(candidates, {"a", 1}) == 0);
    candidates[0].sent_since_report = 1;
    candidates[1] = summary("a", 15, 16);
    cr_assert(least_load{}.choose(candidates, {"a", 0}) == 1);
}

// Guards against a round_robin baseline that does not use the endpoints in turn.
Test(routing, round_robin_takes_each_in_turn)
{
    const std::vector<endpoint_summary> candidates(3, summary("a", 0, 16));
    for (std::uint64_t number = 0; number < 9; ++number)
        cr_assert(round_robin{}.choose(candidates, {"a", number}) == number % 3);
}

// Guards against retries that multiply the load of a slow pool.
Test(retry_budget, try_retry_stops_at_share_plus_constant)
{
    retry_budget budget;
    for (int i = 0; i < 100; ++i)
        budget.on_first_attempt(start);
    int retries = 0;
    while (retries < 1000 && budget.try_retry(20, start))
        ++retries;
    cr_assert(retries == 30, "%d retries", retries);
}

// Guards against a window that drops its retries and therefore allows twice the percentage.
Test(retry_budget, try_retry_over_many_windows_keeps_share)
{
    retry_budget budget;
    int attempts = 0;
    int retries = 0;
    for (int second = 0; second < 600; ++second)
    {
        const time_point now = start + std::chrono::seconds(second);
        for (int i = 0; i < 100; ++i, ++attempts)
            budget.on_first_attempt(now);
        while (budget.try_retry(20, now))
            ++retries;
    }
    const int bound = attempts / 5 + 10 * 60;
    cr_assert(retries <= bound, "%d retries of %d attempts", retries, attempts);
    cr_assert(retries > attempts / 10, "only %d retries of %d attempts", retries, attempts);
}

// Guards against spending, all at once, a budget that accumulated long ago.
Test(retry_budget, try_retry_after_idle_time_has_constant_only)
{
    retry_budget budget;
    for (int i = 0; i < 1000; ++i)
        budget.on_first_attempt(start);
    const time_point later = start + std::chrono::minutes(5);
    int retries = 0;
    while (retries < 1000 && budget.try_retry(20, later))
        ++retries;
    cr_assert(retries == 10, "%d retries", retries);
}

// Guards against a median of too few samples, and against samples that are never discarded.
Test(stage_durations, median_follows_recent_samples)
{
    stage_durations durations;
    for (int i = 0; i < 4; ++i)
        durations.record("encode", milliseconds(1000));
    cr_assert(durations.median("encode").count() == 0);
    durations.record("encode", milliseconds(1000));
    cr_assert(durations.median("encode").count() == 1000);
    for (int i = 0; i < 64; ++i)
        durations.record("encode", milliseconds(i));
    cr_assert(durations.median("encode").count() == 32);
    durations.record("broken clock", milliseconds(-5));
    cr_assert(durations.median("unknown").count() == 0);
}

// Guards against a stage that uses the time needed by the stages after it.
Test(stage_durations, stage_time_budget_reserves_later_stages)
{
    pipeline_config pipeline;
    for (const char* name : {"encode", "rank", "generate"})
        pipeline.stages.push_back({name, stage_kind::encoding, "pool", 0});
    stage_durations durations;
    for (int i = 0; i < 5; ++i)
    {
        durations.record("encode", milliseconds(100));
        durations.record("rank", milliseconds(200));
        durations.record("generate", milliseconds(500));
    }
    const time_point deadline = start + milliseconds(1000);
    cr_assert(stage_time_budget(pipeline, 0, durations, deadline, start).count() == 300);
    cr_assert(stage_time_budget(pipeline, 1, durations, deadline, start).count() == 500);
    cr_assert(stage_time_budget(pipeline, 2, durations, deadline, start).count() == 1000);
    cr_assert(
        stage_time_budget(pipeline, 0, durations, deadline, start + milliseconds(400)).count() < 0);
}
