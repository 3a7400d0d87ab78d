// Selection of an endpoint, and the health and load observed for each.
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
struct endpoint_pool
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

endpoint_pool nine_engines()
{
    endpoint_pool pool;
    for (int i = 0; i < 9; ++i)
        pool.add("engine-" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)));
    return pool;
}

} // namespace

// Guards against a VM that hears from few of many engines and takes these for overloaded, because
// the others, from which it has no report, seem idle: shared prompt parts would be read again.
Test(placement, choose_endpoint_few_engines_report_prefix_stays_at_its_engine)
{
    endpoint_pool engines;
    for (int i = 0; i < 100; ++i)
        engines.add("engine-" + std::to_string(i), "a", 24);
    placement_query query;
    query.preferred_domain = "a";
    for (int prefix = 0; prefix < 50; ++prefix)
    {
        const std::string affinity = "prefix-" + std::to_string(prefix);
        query.affinity = affinity;
        const auto home = home_endpoint(engines.candidates(), query.affinity, start);
        cr_assert(home.has_value());
        engines.healths[*home].on_load({8, 0, 24}, start);
        cr_assert(choose_endpoint(engines.candidates(), query, start) == home);
    }
}

// Guards against a shared prompt prefix being processed again by every engine: requests with the
// same prefix go to one engine unless it is loaded more than the others.
Test(placement, choose_endpoint_same_prompt_same_engine)
{
    const endpoint_pool engines = nine_engines();
    placement_query query;
    query.affinity = "5c1e07a2";
    query.preferred_domain = "a";
    const auto first = choose_endpoint(engines.candidates(), query, start);
    for (std::uint64_t rotation = 0; rotation < 20; ++rotation)
    {
        query.tie_breaker = rotation;
        cr_assert(choose_endpoint(engines.candidates(), query, start) == first);
    }
}

// Guards against one popular prompt overloading its engine while the others are idle: sends 300
// requests, of which 40 % share one prompt, and checks the most loaded engine.
Test(placement, choose_endpoint_hot_prompt_load_stays_bounded)
{
    endpoint_pool engines = nine_engines();
    for (int i = 0; i < 300; ++i)
    {
        placement_query query;
        const std::string affinity = i % 5 < 2 ? "hot" : "p" + std::to_string(i % 60);
        query.affinity = affinity;
        query.default_slots = 64;
        const auto chosen = choose_endpoint(engines.candidates(), query, start);
        engines.healths[*chosen].on_sent(start);
    }
    std::uint32_t max_in_flight = 0;
    for (const endpoint_health& health : engines.healths)
        max_in_flight = std::max(max_in_flight, health.in_flight());
    cr_assert(max_in_flight <= 300.0 / 9 * 1.3 + 64 * affinity_load_margin + 2,
              "most loaded engine has %u", max_in_flight);
}

// Guards against repeatedly trying an endpoint that refuses connections while others are available.
Test(placement, may_try_unreachable_endpoint_backs_off_longer_each_time)
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

// Guards against an endpoint that reports itself healthy while its requests fail: failed responses
// exclude it except for occasional probes, and successful ones restore it.
Test(placement, is_failing_follows_own_responses)
{
    endpoint_health health;
    for (int i = 0; i < 8; ++i)
        health.on_outcome(false, start);
    cr_assert(health.is_failing(start));
    health.on_sent(start);
    cr_assert_not(health.may_try(start + failing_probe_interval - milliseconds(1)));
    cr_assert(health.may_try(start + failing_probe_interval));
    for (int i = 0; i < 8; ++i)
        health.on_outcome(true, start + failing_probe_interval);
    cr_assert_not(health.is_failing(start + failing_probe_interval));
}

// Guards against a failure rate that excludes an endpoint forever, because it is not updated while
// nothing is sent to the endpoint.
Test(placement, is_failing_old_failures_expire)
{
    endpoint_health health;
    for (int i = 0; i < 8; ++i)
        health.on_outcome(false, start);
    cr_assert_not(health.is_failing(start + failure_rate_expiry + milliseconds(1)));
}

// Guards against all VMs sending to the same endpoint because they read the same outdated report.
Test(placement, load_adds_own_sends_since_report)
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

// Guards against large inputs sent to another failure domain while their own has capacity, and
// against requests that stay in a domain that is full.
Test(placement, choose_endpoint_large_inputs_stay_in_domain_until_full)
{
    endpoint_pool engines = nine_engines();
    placement_query query;
    query.affinity = "x";
    query.preferred_domain = "b";
    query.stay_in_preferred = true;
    query.default_slots = 64;
    const auto in_domain = choose_endpoint(engines.candidates(), query, start);
    cr_assert(engines.records[*in_domain].domain == "b");
    for (std::size_t i = 0; i < 9; ++i)
    {
        if (engines.records[i].domain == "b")
            engines.healths[i].on_load({64, 20, 64}, start);
    }
    const auto elsewhere = choose_endpoint(engines.candidates(), query, start);
    cr_assert(engines.records[*elsewhere].domain != "b");
}

// Guards against choosing an endpoint whose cold share is used up.
Test(placement, choose_endpoint_not_allowed_is_excluded)
{
    endpoint_pool engines = nine_engines();
    auto candidates = engines.candidates();
    for (placement_candidate& candidate : candidates)
        candidate.allowed = false;
    cr_assert_not(choose_endpoint(candidates, {}, start).has_value());
    candidates[4].allowed = true;
    cr_assert(choose_endpoint(candidates, {}, start) == 4);
}

// Guards against a sound endpoint that gets no requests for seconds after it was silent once.
Test(placement, endpoint_answers_after_silence_of_all_its_requests_failure_rate_is_restored)
{
    endpoint_health health;
    health.on_outcome(true, start);
    for (int i = 0; i < 10; ++i)
        health.on_silent(start + milliseconds(100), start + milliseconds(1000 + i));
    cr_assert(health.is_failing(start + milliseconds(1100)));
    health.on_outcome(true, start + milliseconds(1200));
    cr_assert(!health.is_failing(start + milliseconds(1200)));
}

// Guards against an endpoint that leaves some requests without an answer and counts as sound.
Test(placement, endpoint_answers_beside_silent_requests_it_counts_as_failing)
{
    endpoint_health health;
    for (int i = 0; i < 10; ++i)
    {
        const time_point sent = start + milliseconds(1000 * i);
        health.on_outcome(true, sent + milliseconds(10));
        for (int k = 0; k < 4; ++k)
            health.on_silent(sent, sent + milliseconds(900));
    }
    cr_assert(health.is_failing(start + milliseconds(9900)));
}
