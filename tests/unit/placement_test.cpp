// Choice of an endpoint and what is learned of each.
#include "state/placement.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

// Endpoints of one service with their health.
struct pool
{
    std::deque<endpoint_record> records;
    std::deque<endpoint_health> healths;

    void add(const std::string& id, const std::string& domain, std::uint32_t slots = 64)
    {
        endpoint_record record;
        record.id = id;
        record.domain = domain;
        record.slots = slots;
        records.push_back(record);
        healths.emplace_back();
    }

    std::vector<placement_candidate> candidates() const
    {
        std::vector<placement_candidate> list;
        for (std::size_t i = 0; i < records.size(); ++i)
            list.push_back({&records[i], &healths[i], true});
        return list;
    }
};

pool nine_engines()
{
    pool made;
    for (int i = 0; i < 9; ++i)
        made.add("engine-" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)));
    return made;
}

} // namespace

// Guards against shared prompts that every engine reads again: the same parts meet at one engine
// while it is not loaded above the others.
Test(placement, choose_endpoint_same_prompt_same_engine)
{
    const pool engines = nine_engines();
    placement_query query;
    query.affinity = "5c1e07a2";
    query.preferred_domain = "a";
    const auto first = choose_endpoint(engines.candidates(), query, start);
    for (std::uint64_t spread = 0; spread < 20; ++spread)
    {
        query.tie_breaker = spread;
        cr_assert(choose_endpoint(engines.candidates(), query, start) == first);
    }
}

// Guards against one popular prompt that fills its engine while the others idle: it plays 300
// requests of which 40 % share one prompt and checks the fullest engine.
Test(placement, choose_endpoint_hot_prompt_load_stays_bounded)
{
    pool engines = nine_engines();
    for (int i = 0; i < 300; ++i)
    {
        placement_query query;
        const std::string affinity = i % 5 < 2 ? "hot" : "p" + std::to_string(i % 60);
        query.affinity = affinity;
        query.default_slots = 64;
        const auto chosen = choose_endpoint(engines.candidates(), query, start);
        engines.healths[*chosen].on_sent(start);
    }
    std::uint32_t most = 0;
    for (const endpoint_health& health : engines.healths)
        most = std::max(most, health.in_flight());
    cr_assert(most <= 300.0 / 9 * 1.3 + 64 * affinity_load_margin + 2, "fullest engine has %u",
              most);
}

// Guards against a request that is tried at an endpoint that refuses connections while others work.
Test(placement, may_try_unreachable_endpoint_pauses_longer_each_time)
{
    endpoint_health health;
    health.on_unreachable(start);
    cr_assert_not(health.may_try(start + connect_backoff - milliseconds(1)));
    cr_assert(health.may_try(start + connect_backoff));
    health.on_unreachable(start);
    cr_assert_not(health.may_try(start + connect_backoff));
    for (int i = 0; i < 10; ++i)
        health.on_unreachable(start);
    cr_assert(health.may_try(start + connect_backoff_max));
}

// Guards against an endpoint whose health word is good and whose requests fail: its own answers
// take it out, with a trial now and then, and good answers bring it back.
Test(placement, is_failing_own_answers_decide)
{
    endpoint_health health;
    for (int i = 0; i < 8; ++i)
        health.on_answered(false, start);
    cr_assert(health.is_failing(start));
    health.on_sent(start);
    cr_assert_not(health.may_try(start + failing_probe_interval - milliseconds(1)));
    cr_assert(health.may_try(start + failing_probe_interval));
    for (int i = 0; i < 8; ++i)
        health.on_answered(true, start + failing_probe_interval);
    cr_assert_not(health.is_failing(start + failing_probe_interval));
}

// Guards against a share of failures that keeps an endpoint out for ever once nothing is sent to
// it.
Test(placement, is_failing_old_failures_are_forgotten)
{
    endpoint_health health;
    for (int i = 0; i < 8; ++i)
        health.on_answered(false, start);
    cr_assert_not(health.is_failing(start + failure_rate_expiry + milliseconds(1)));
}

// Guards against VMs that all read the same old report and send to the same endpoint.
Test(placement, load_own_sends_since_report_count)
{
    endpoint_health health;
    health.on_load({10, 2, 64}, start);
    cr_assert_float_eq(health.load(start), 12.0, 0.01);
    health.on_sent(start);
    health.on_sent(start);
    cr_assert_float_eq(health.load(start), 14.0, 0.01);
    health.on_finished();
    cr_assert_float_eq(health.load(start), 13.0, 0.01);
}

// Guards against large inputs that cross failure domains while their own has room, and against a
// full domain that still attracts them.
Test(placement, choose_endpoint_large_inputs_stay_in_domain_until_full)
{
    pool engines = nine_engines();
    placement_query query;
    query.affinity = "x";
    query.preferred_domain = "b";
    query.stay_in_preferred = true;
    query.default_slots = 64;
    const auto near = choose_endpoint(engines.candidates(), query, start);
    cr_assert(engines.records[*near].domain == "b");
    for (std::size_t i = 0; i < 9; ++i)
    {
        if (engines.records[i].domain == "b")
            engines.healths[i].on_load({64, 20, 64}, start);
    }
    const auto far = choose_endpoint(engines.candidates(), query, start);
    cr_assert(engines.records[*far].domain != "b");
}

// Guards against an endpoint that is chosen although its cold share is used up.
Test(placement, choose_endpoint_not_allowed_is_left_out)
{
    pool engines = nine_engines();
    auto candidates = engines.candidates();
    for (placement_candidate& candidate : candidates)
        candidate.allowed = false;
    cr_assert_not(choose_endpoint(candidates, {}, start).has_value());
    candidates[4].allowed = true;
    cr_assert(choose_endpoint(candidates, {}, start) == 4);
}
