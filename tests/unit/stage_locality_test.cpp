// Dispatch of stages by failure domain: what callers get in time, and the bytes that cross domains.
#include "state/stage_batch.h"

#include "seeds.h"

#include <criterion/criterion.h>

#include <array>
#include <cmath>
#include <map>
#include <queue>
#include <string>
#include <vector>

using namespace zinnianotch;
using zinnianotch::testing::random_source;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr std::size_t domain_count = 3;
constexpr std::size_t endpoints_per_domain = 6;
constexpr std::uint64_t large_result_bytes = 1'500'000;
constexpr milliseconds connect_timeout{500};
// From the end of a call until the reader has fetched the results.
constexpr milliseconds reading_time{250};

std::string domain_name(std::size_t index)
{
    return std::string(1, static_cast<char>('a' + index));
}

// Jobs per second by preferred domain, for a number of seconds.
struct load_phase
{
    int seconds = 0;
    std::array<double, domain_count> rate{};
};

struct domain_result
{
    std::size_t jobs = 0;
    std::size_t in_goal = 0;
};

struct locality_result
{
    std::array<domain_result, domain_count> domains;
    std::size_t jobs = 0;
    std::size_t in_goal = 0;
    std::uint64_t bytes = 0;
    std::uint64_t bytes_crossing = 0;

    double share_in_goal() const
    {
        return static_cast<double>(in_goal) / static_cast<double>(jobs);
    }
    double share_in_goal(std::size_t domain) const
    {
        return static_cast<double>(domains[domain].in_goal) /
               static_cast<double>(domains[domain].jobs);
    }
    double share_crossing() const
    {
        return static_cast<double>(bytes_crossing) / static_cast<double>(bytes);
    }
};

struct running_call
{
    time_point ends;
    stage_batch batch;
    bool is_unreachable = false;
    bool operator>(const running_call& other) const { return ends > other.ends; }
};

struct held_results
{
    time_point read_at;
    std::string endpoint;
    std::uint64_t bytes = 0;
    bool operator>(const held_results& other) const { return read_at > other.read_at; }
};

// Seconds in which the batching VM reaches no endpoint outside domain a.
struct domain_cut
{
    int from = 0;
    int to = 0;
};

// Plays jobs with large results that arrive at random in a pool of three domains. One in four jobs
// has small results and prefers no domain.
locality_result simulate(const std::vector<load_phase>& phases, std::uint64_t seed,
                         domain_cut cut = {})
{
    batch_spec service;
    service.batch = 12;
    service.call_time = milliseconds(200);
    service.piece_time_ms = 14.0;
    service.result_memory_bytes = 27'000'000;
    service.result_lifetime = milliseconds(4000);
    stage_queue queue;
    queue.set_service(service);
    std::map<std::string, std::string> domain_of;
    std::vector<stage_endpoint> listed;
    for (std::size_t i = 0; i < domain_count * endpoints_per_domain; ++i)
    {
        listed.push_back({"e" + std::to_string(i), domain_name(i % domain_count)});
        domain_of[listed.back().id] = listed.back().domain;
    }
    queue.set_endpoints(listed);

    random_source random(seed);
    struct open_job
    {
        stage_job job;
        std::size_t domain = 0;
        std::uint32_t left = 0;
    };
    std::map<std::uint64_t, open_job> open;
    std::priority_queue<running_call, std::vector<running_call>, std::greater<>> running;
    std::priority_queue<held_results, std::vector<held_results>, std::greater<>> held;
    locality_result result;
    const auto finish = [&](const running_call& call)
    {
        if (call.is_unreachable)
        {
            queue.on_failed(call.batch.endpoint, call.ends);
            for (const batch_part& part : call.batch.parts)
            {
                const auto found = open.find(part.job);
                if (found == open.end())
                    continue;
                queue.on_result_bytes_released(call.batch.endpoint,
                                               part.count * found->second.job.result_bytes);
                queue.requeue(found->second.job, part);
            }
            return;
        }
        queue.on_done(call.batch.endpoint, call.batch, call.batch.expected);
        std::uint64_t bytes = 0;
        for (const batch_part& part : call.batch.parts)
        {
            const auto found = open.find(part.job);
            if (found == open.end())
                continue; // expired while a part of it was running
            open_job& owner = found->second;
            const std::uint64_t part_bytes = part.count * owner.job.result_bytes;
            bytes += part_bytes;
            if (!owner.job.preferred_domain.empty())
            {
                result.bytes += part_bytes;
                if (domain_of[call.batch.endpoint] != owner.job.preferred_domain)
                    result.bytes_crossing += part_bytes;
            }
            owner.left -= part.count;
            if (owner.left > 0)
                continue;
            if (call.ends <= owner.job.goal_at)
            {
                ++result.in_goal;
                ++result.domains[owner.domain].in_goal;
            }
            open.erase(found);
        }
        held.push({call.ends + reading_time, call.batch.endpoint, bytes});
    };
    const auto arrive = [&](std::size_t domain, time_point now)
    {
        stage_job job;
        job.id = ++result.jobs;
        ++result.domains[domain].jobs;
        const bool is_large = random.below(4) != 0;
        job.pieces = is_large ? static_cast<std::uint32_t>(random.between(1, 4)) : 1;
        job.priority = is_large ? 1 : 0;
        job.result_bytes = is_large ? large_result_bytes : 8'000;
        job.goal_at = now + milliseconds(900);
        job.deadline_at = now + milliseconds(5000);
        if (is_large)
            job.preferred_domain = domain_name(domain);
        const milliseconds expected = queue.expected_time(job, now);
        if (!queue.admits(job, expected, now))
            return;
        queue.add(job, expected, now);
        open[job.id] = {job, domain, job.pieces};
    };
    time_point now = start;
    const auto step = [&]
    {
        while (!held.empty() && held.top().read_at <= now)
        {
            queue.on_result_bytes_released(held.top().endpoint, held.top().bytes);
            held.pop();
        }
        while (!running.empty() && running.top().ends <= now)
        {
            const running_call done = running.top();
            running.pop();
            finish(done);
        }
        for (const std::uint64_t id : queue.take_expired(now))
            open.erase(id);
        while (const auto batch = queue.next(now))
        {
            const bool is_cut = now >= start + std::chrono::seconds(cut.from) &&
                                now < start + std::chrono::seconds(cut.to) &&
                                domain_of[batch->endpoint] != domain_name(0);
            running.push({now + (is_cut ? connect_timeout : batch->expected), *batch, is_cut});
        }
        now += milliseconds(1);
    };
    for (const load_phase& phase : phases)
    {
        for (int ms = 0; ms < phase.seconds * 1000; ++ms)
        {
            for (std::size_t domain = 0; domain < domain_count; ++domain)
            {
                if (random.chance(phase.rate[domain] / 1000.0))
                    arrive(domain, now);
            }
            step();
        }
    }
    for (int ms = 0; ms < 5000; ++ms)
        step();
    return result;
}

constexpr std::array<std::uint64_t, 3> seeds{1, 2, 3};

} // namespace

// Guards against large results that cross domains while there is room in their own, although one
// domain asks for 1.4 times as much as another.
Test(stage_locality, uneven_load_within_capacity_results_stay_in_their_domain)
{
    for (const std::uint64_t seed : seeds)
    {
        const locality_result result = simulate({{15, {66, 56, 47}}}, seed);
        cr_assert(result.share_crossing() <= 0.05, "seed %lu: %.3f of the bytes cross",
                  static_cast<unsigned long>(seed), result.share_crossing());
        for (std::size_t domain = 0; domain < domain_count; ++domain)
            cr_assert(result.share_in_goal(domain) >= 0.99, "seed %lu: %.3f in goal in domain %zu",
                      static_cast<unsigned long>(seed), result.share_in_goal(domain), domain);
    }
}

// Guards against a domain whose burst does not reach the room of the others.
Test(stage_locality, burst_in_one_domain_reaches_room_of_others)
{
    for (const std::uint64_t seed : seeds)
    {
        const locality_result result =
            simulate({{4, {60, 50, 43}}, {4, {150, 50, 43}}, {4, {60, 50, 43}}}, seed);
        cr_assert(result.share_crossing() <= 0.17, "seed %lu: %.3f of the bytes cross",
                  static_cast<unsigned long>(seed), result.share_crossing());
        cr_assert(result.share_in_goal(0) >= 0.93, "seed %lu: %.3f in goal in the burst",
                  static_cast<unsigned long>(seed), result.share_in_goal(0));
        for (std::size_t domain = 1; domain < domain_count; ++domain)
            cr_assert(result.share_in_goal(domain) >= 0.98, "seed %lu: %.3f in goal in domain %zu",
                      static_cast<unsigned long>(seed), result.share_in_goal(domain), domain);
    }
}

// Guards against results that cross domains to no one's benefit while all are overloaded, and
// against a domain with more demand that is served worse then.
Test(stage_locality, overload_everywhere_domains_are_served_alike)
{
    for (const std::uint64_t seed : seeds)
    {
        const locality_result result =
            simulate({{4, {60, 50, 43}}, {5, {132, 112, 94}}, {4, {60, 50, 43}}}, seed);
        cr_assert(result.share_crossing() <= 0.1, "seed %lu: %.3f of the bytes cross",
                  static_cast<unsigned long>(seed), result.share_crossing());
        cr_assert(result.share_in_goal() >= 0.85, "seed %lu: %.3f in goal",
                  static_cast<unsigned long>(seed), result.share_in_goal());
        cr_assert(std::abs(result.share_in_goal(0) - result.share_in_goal(2)) <= 0.06,
                  "seed %lu: %.3f and %.3f in goal", static_cast<unsigned long>(seed),
                  result.share_in_goal(0), result.share_in_goal(2));
    }
}

// Guards against a VM that is cut off with its domain and sends its jobs to endpoints in other
// domains, where each loses the time of a failed connection.
Test(stage_locality, domain_cut_off_jobs_run_in_reachable_domain)
{
    for (const std::uint64_t seed : seeds)
    {
        const locality_result result =
            simulate({{4, {30, 15, 15}}, {6, {30, 15, 15}}, {4, {30, 15, 15}}}, seed, {4, 10});
        cr_assert(result.share_in_goal() >= 0.95, "seed %lu: %.3f in goal",
                  static_cast<unsigned long>(seed), result.share_in_goal());
    }
}

// Guards against a domain that stays without calls after its connection is back.
Test(stage_locality, domain_back_after_cut_is_used_again)
{
    for (const std::uint64_t seed : seeds)
    {
        const locality_result result =
            simulate({{8, {30, 15, 15}}, {1, {30, 15, 15}}, {8, {80, 70, 60}}}, seed, {4, 8});
        cr_assert(result.share_in_goal() >= 0.95, "seed %lu: %.3f in goal",
                  static_cast<unsigned long>(seed), result.share_in_goal());
    }
}
