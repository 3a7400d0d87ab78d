// Placement by expected time: against load that mixes sizes, speeds and stale views, and in single
// cases.
#include "state/timed_placement.h"

#include "state/hash.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <queue>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

time_point at_ms(double ms)
{
    return start + std::chrono::duration_cast<steady_clock::duration>(
                       std::chrono::duration<double, std::milli>(ms));
}

constexpr std::size_t engine_count = 90;
constexpr std::size_t vm_count = 60;
constexpr double read_per_ms = 38.7;
constexpr double step_ms = 5.5;
constexpr double noise_period_ms = 600.0;
constexpr double shared_delay_ms = 1000.0; // until all VMs know what one has seen of an engine
constexpr std::uint32_t slots = 64;
constexpr double memory = 232'000.0;

double uniform(std::uint64_t a, std::uint64_t b)
{
    return static_cast<double>(avalanche(avalanche(a) + b) >> 11U) / 9007199254740992.0;
}

struct kind
{
    const char* name;
    std::uint32_t shared, own, output, subjects;
    double share, goal_ms;
};

constexpr std::array<kind, 3> kinds = {{{"draft", 6300, 2890, 50, 200, 0.30, 1400},
                                        {"digest", 568, 1800, 25, 200, 0.38, 2300},
                                        {"chat", 172, 543, 280, 100, 0.32, 2000}}};

struct arrival
{
    double at = 0.0;
    std::size_t vm = 0;
    const kind* what = nullptr;
    std::string subject;
    std::vector<prompt_part> parts;
    double output = 0.0;
    double goal_left = 0.0; // after the stages
};

std::vector<arrival> make_arrivals(std::uint64_t seed, double seconds, double per_second)
{
    std::vector<arrival> list;
    double t = 0.0;
    for (std::uint64_t n = 0; t < 1000.0 * seconds; ++n)
    {
        const auto draw = [&](std::uint64_t which) { return uniform(seed * 64 + which, n); };
        const bool burst = t > 400.0 * seconds && t < 700.0 * seconds;
        t += -std::log(1.0 - draw(0)) * 1000.0 / (per_second * (burst ? 1.7 : 1.0));
        arrival next;
        next.at = t;
        // Demand of the three domains is 1.4 : 1.2 : 1.
        const double d = draw(1) * 3.6;
        const std::size_t domain = d < 1.4 ? 0 : d < 2.6 ? 1 : 2;
        next.vm = 3 * static_cast<std::size_t>(draw(2) * vm_count / 3) + domain;
        double k = draw(3);
        next.what = &kinds[0];
        for (std::size_t i = 0; i < kinds.size() && k >= 0.0; ++i, k -= kinds[i - 1].share)
            next.what = &kinds[i];
        const double rank = std::floor(std::pow(draw(4), 2.0) * next.what->subjects);
        next.subject = next.what->name + std::to_string(static_cast<int>(rank));
        const std::uint64_t key = fnv_1a(fnv_offset_basis, next.subject);
        const double size = 0.5 + draw(5); // of the own part
        next.parts = {{key, next.what->shared},
                      {avalanche(key + n), static_cast<std::uint32_t>(size * next.what->own)}};
        next.output = next.what->output * (0.4 + 1.2 * draw(6));
        next.goal_left = next.what->goal_ms * (0.12 + 0.3 * draw(7));
        list.push_back(next);
    }
    return list;
}

// Reads prompts one after the other; tokens of all requests are made beside that.
struct engine
{
    std::uint64_t number = 0;
    double speed = 1.0;
    double read_until = 0.0;
    std::vector<double> ends;
    std::map<std::uint64_t, double> cached; // last use

    double noise(double t) const
    {
        const auto period = static_cast<std::uint64_t>(t / noise_period_ms);
        return uniform(number + 1000, period) < 0.15 ? 2.5 : 1.0;
    }
    // End of work that takes `ms` on a machine of speed 1.
    double finish(double from, double ms) const
    {
        while (ms > 0.0)
        {
            const double period_end = (std::floor(from / noise_period_ms) + 1.0) * noise_period_ms;
            const double rate = speed / noise(from);
            if (from + ms / rate <= period_end)
                return from + ms / rate;
            ms -= (period_end - from) * rate;
            from = period_end;
        }
        return from;
    }
    bool holds(const arrival& request, double t) const
    {
        const auto found = cached.find(request.parts[0].key);
        return found != cached.end() && t - found->second < 10'000.0;
    }
    double first_byte(const arrival& request, double t) const
    {
        const double read =
            request.parts[1].tokens + (holds(request, t) ? 0 : request.what->shared);
        double begin = std::max(t, read_until);
        std::size_t running = 0;
        for (const double end : ends)
            running += end > t ? 1 : 0;
        if (running >= slots)
            begin = std::max(begin, *std::min_element(ends.begin(), ends.end()));
        return finish(begin, read / read_per_ms + step_ms);
    }
};

struct outcome
{
    double in_goal = 0.0;
    double p99_ms = 0.0;
    double read_again = 0.0; // share of all tokens read
};

enum class policy
{
    by_slots,
    by_time,
    full_knowledge
};

struct vm_view
{
    std::vector<endpoint_health> health{engine_count};
    std::vector<endpoint_pace> pace{engine_count};
    std::vector<endpoint_backlog> backlog{engine_count};
    cached_prompts prompts;
    output_lengths lengths;
    work_rates rates;
};

class simulation
{
public:
    simulation(policy how, std::uint64_t seed) : how_(how), views_(vm_count)
    {
        for (std::size_t i = 0; i < engine_count; ++i)
        {
            engines_.push_back({i + 100 * seed, i % 3 == 2 ? 1.7 : 0.7, 0.0, {}, {}});
            records_.emplace_back();
            records_.back().id = "engine-" + std::to_string(i);
            records_.back().domain = std::string(1, static_cast<char>('a' + i / 3 % 3));
            records_.back().slots = slots;
            keys_.push_back(endpoint_key(records_.back().id, 0));
        }
    }

    outcome play(const std::vector<arrival>& arrivals)
    {
        std::vector<double> waits;
        double in_goal = 0.0;
        for (const arrival& request : arrivals)
        {
            run_until(request.at);
            const double wait = serve(request);
            waits.push_back(wait);
            in_goal += wait <= request.goal_left ? 1.0 : 0.0;
        }
        std::sort(waits.begin(), waits.end());
        return {in_goal / static_cast<double>(waits.size()), waits[waits.size() * 99 / 100],
                again_ / read_};
    }

private:
    struct event
    {
        double at;
        std::function<void()> run;
        bool operator<(const event& other) const { return at > other.at; }
    };

    void run_until(double t)
    {
        while (!events_.empty() && events_.top().at <= t)
        {
            const event next = events_.top();
            events_.pop();
            next.run();
        }
    }

    std::size_t choose(const arrival& request, request_work& work, timed_choice& choice)
    {
        const time_point now = at_ms(request.at);
        vm_view& view = views_[request.vm];
        placement_query query;
        query.affinity = request.subject;
        query.default_slots = slots;
        query.tie_breaker = ++tie_breaker_;
        const std::string domain(1, static_cast<char>('a' + request.vm % 3));
        query.preferred_domain = domain;
        if (how_ == policy::full_knowledge)
        {
            std::size_t best = 0;
            for (std::size_t i = 1; i < engine_count; ++i)
            {
                if (engines_[i].first_byte(request, request.at) <
                    engines_[best].first_byte(request, request.at))
                    best = i;
            }
            return best;
        }
        if (how_ == policy::by_slots || !view.rates.knows_first_byte())
        {
            std::vector<placement_candidate> list;
            for (std::size_t i = 0; i < engine_count; ++i)
                list.push_back({&records_[i], &view.health[i], true});
            return *choose_endpoint(list, query, now);
        }
        std::vector<timed_candidate> list;
        for (std::size_t i = 0; i < engine_count; ++i)
            list.push_back(
                {{&records_[i], &view.health[i], true}, &view.pace[i], &view.backlog[i], keys_[i]});
        work.cached = view.prompts.holders(request.parts, now);
        choice = *choose_by_time(list, {query, &work, &view.rates, 232'000, tie_breaker_}, now);
        return choice.index;
    }

    double serve(const arrival& request)
    {
        const time_point now = at_ms(request.at);
        vm_view& view = views_[request.vm];
        request_work work;
        work.shared_tokens = request.what->shared;
        work.prompt_tokens = request.what->shared + request.parts[1].tokens;
        work.output_tokens = request.what->output;
        work.goal_left = milliseconds(static_cast<int>(request.goal_left));
        timed_choice choice;
        choice.tokens_to_read = request.parts[1].tokens;
        const std::size_t i = choose(request, work, choice);
        engine& to = engines_[i];
        const double first = to.first_byte(request, request.at);
        const bool held = to.holds(request, request.at);
        read_ += request.parts[1].tokens + (held ? 0 : request.what->shared);
        const bool elsewhere =
            std::any_of(engines_.begin(), engines_.end(),
                        [&](const engine& each) { return each.holds(request, request.at); });
        again_ += !held && elsewhere ? request.what->shared : 0;
        to.read_until = std::max(to.read_until, first);
        to.cached[request.parts[0].key] = first;
        std::erase_if(to.ends, [&](double end) { return end <= request.at; });
        const double step = step_ms + 0.012 * static_cast<double>(to.ends.size());
        const double end = to.finish(first, request.output * step);
        to.ends.push_back(end);
        const std::uint64_t id = ++next_id_;
        const double ahead = view.backlog[i].unread();
        view.health[i].on_sent(now);
        view.prompts.on_sent(keys_[i], {request.parts[0]}, now);
        view.backlog[i].add(
            {id, choice.tokens_to_read, work.memory_tokens(), now, choice.expected_ms, false});
        events_.push({first, [=, this, &view, &to] {
                          on_first_byte(view, to, i, id, choice, ahead, first - request.at, first);
                      }});
        const double stay = end - request.at;
        const double wait = first - request.at;
        const double noise = to.noise(first);
        events_.push({end, [=, this, &view]
                      {
                          view.health[i].on_finished();
                          view.backlog[i].remove(id);
                          view.rates.on_end(stay, work.memory_tokens());
                          on_end(view, i, request.output, end - first, noise, end);
                      }});
        return wait;
    }

    void on_first_byte(vm_view& view, const engine& from, std::size_t i, std::uint64_t id,
                       const timed_choice& choice, double ahead, double wait, double t)
    {
        const time_point now = at_ms(t);
        if (how_ != policy::by_time)
            return;
        const auto running = static_cast<std::uint32_t>(
            std::count_if(from.ends.begin(), from.ends.end(), [&](double end) { return end > t; }));
        view.health[i].on_load({running, 0, slots, from.noise(t)}, now);
        view.backlog[i].on_begun(id);
        view.pace[i].on_report(from.noise(t), now);
        const double own = view.pace[i].slowness(now);
        view.rates.on_first_byte(choice.tokens_to_read + ahead, wait / own);
        const double excess =
            std::max(0.0, wait - own * view.rates.first_byte_ms(choice.tokens_to_read + ahead));
        view.rates.on_wait(excess);
        view.pace[i].on_wait(excess, own_wait_weight, now);
        share(view, t,
              [=](vm_view& other, time_point at)
              {
                  other.rates.on_wait(excess);
                  other.pace[i].on_wait(excess, shared_wait_weight, at);
              });
    }

    void on_end(vm_view& view, std::size_t i, double tokens, double elapsed, double noise, double t)
    {
        const double each = elapsed / noise / tokens;
        view.rates.on_tokens(tokens, elapsed / noise);
        const double factor = each / view.rates.token_made_ms();
        view.pace[i].on_sample(factor, 1.0, at_ms(t));
        share(view, t,
              [=](vm_view& other, time_point at)
              { other.pace[i].on_shared_sample(factor, 1.0, at); });
    }

    void share(const vm_view& from, double t, const std::function<void(vm_view&, time_point)>& what)
    {
        if (how_ != policy::by_time)
            return;
        events_.push({t + shared_delay_ms, [=, this, &from]
                      {
                          for (vm_view& other : views_)
                          {
                              if (&other != &from)
                                  what(other, at_ms(t + shared_delay_ms));
                          }
                      }});
    }

    policy how_;
    std::vector<engine> engines_;
    std::vector<endpoint_record> records_;
    std::vector<std::uint64_t> keys_;
    std::vector<vm_view> views_;
    std::priority_queue<event> events_;
    std::uint64_t tie_breaker_ = 0;
    std::uint64_t next_id_ = 0;
    double read_ = 0.0;
    double again_ = 0.0;
};

} // namespace

// Guards against a choice that gains little of what full knowledge of all endpoints would.
Test(timed_placement, mixed_sizes_and_speeds_two_thirds_of_full_knowledge)
{
    const std::vector<arrival> arrivals = make_arrivals(7, 30.0, 400.0);
    const outcome slots_only = simulation(policy::by_slots, 7).play(arrivals);
    const outcome timed = simulation(policy::by_time, 7).play(arrivals);
    const outcome best = simulation(policy::full_knowledge, 7).play(arrivals);
    const auto print = [](const char* name, const outcome& each)
    {
        std::printf("%-15s in goal %.4f, first byte p99 %6.0f ms, read again %.4f\n", name,
                    each.in_goal, each.p99_ms, each.read_again);
    };
    print("by slots", slots_only);
    print("by time", timed);
    print("full knowledge", best);
    cr_assert_geq(timed.in_goal,
                  slots_only.in_goal + 2.0 / 3.0 * (best.in_goal - slots_only.in_goal));
}

namespace
{

// Endpoints of one service with what is known of them.
struct timed_pool
{
    std::deque<endpoint_record> records;
    std::deque<endpoint_health> healths;
    std::deque<endpoint_pace> paces;
    std::deque<endpoint_backlog> backlogs;
    work_rates rates;
    request_work work;

    explicit timed_pool(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            records.emplace_back();
            records.back().id = "engine-" + std::to_string(i);
            records.back().domain = "a";
            records.back().slots = 64;
            healths.emplace_back();
            paces.emplace_back();
            backlogs.emplace_back();
        }
        // 20 ms and 1 ms for 40 tokens.
        for (int i = 0; i < 100; ++i)
            rates.on_first_byte(100.0 * (i % 10), 20.0 + 2.5 * (i % 10));
        work.prompt_tokens = 4000.0;
        work.shared_tokens = 3000.0;
        work.output_tokens = 50.0;
        work.goal_left = milliseconds(1000);
    }

    timed_choice choose(std::string_view affinity, std::uint64_t salt = 0,
                        std::uint64_t memory = 0) const
    {
        std::vector<timed_candidate> list;
        for (std::size_t i = 0; i < records.size(); ++i)
            list.push_back({{&records[i], &healths[i], true}, &paces[i], &backlogs[i], keys_of(i)});
        placement_query query;
        query.affinity = affinity;
        query.preferred_domain = "a";
        return *choose_by_time(list, {query, &work, &rates, memory, salt}, start);
    }

    std::uint64_t keys_of(std::size_t i) const { return endpoint_key(records[i].id, 0); }
};

} // namespace

// Guards against prefixes that move although nothing is known that speaks for it.
Test(timed_placement, nothing_known_prefix_stays_at_the_home_of_the_other_choice)
{
    const timed_pool pool(90);
    std::vector<placement_candidate> list;
    for (std::size_t i = 0; i < pool.records.size(); ++i)
        list.push_back({&pool.records[i], &pool.healths[i], true});
    for (int prefix = 0; prefix < 50; ++prefix)
    {
        const std::string affinity = "prefix-" + std::to_string(prefix);
        const timed_choice choice = pool.choose(affinity, static_cast<std::uint64_t>(prefix));
        cr_assert(choice.index == home_endpoint(list, affinity, start));
        cr_assert(choice.cause == placement_cause::prefix);
        cr_assert_float_eq(choice.tokens_to_read, 1000.0, 0.1);
    }
}

// Guards against a request at an endpoint whose memory is full, where it or another is preempted,
// while another endpoint has room.
Test(timed_placement, endpoint_without_memory_is_avoided_while_another_has_room)
{
    timed_pool pool(9);
    const std::size_t home = pool.choose("x", 0, 20'000).index;
    pool.backlogs[home].add({1, 0.0, 17'000.0, start, 50.0, true});
    const timed_choice elsewhere = pool.choose("x", 0, 20'000);
    cr_assert(elsewhere.index != home && elsewhere.cause != placement_cause::crowded);
    for (endpoint_backlog& backlog : pool.backlogs)
        backlog.add({2, 0.0, 17'000.0, start, 50.0, true});
    cr_assert(pool.choose("x", 0, 20'000).cause == placement_cause::crowded);
}

// Guards against an endpoint that keeps its requests although it has not begun any for a while.
Test(timed_placement, endpoint_that_owes_a_first_byte_counts_as_slow)
{
    timed_pool pool(9);
    const std::size_t home = pool.choose("x").index;
    pool.backlogs[home].add({1, 0.0, 100.0, start - milliseconds(900), 50.0, false});
    cr_assert(pool.choose("x").index != home);
    pool.backlogs[home].on_begun(1);
    cr_assert(pool.choose("x").index == home);
}

// Guards against one outlier, one report or old knowledge that decides for long.
Test(timed_placement, pace_noise_is_damped_and_forgotten)
{
    endpoint_pace pace;
    cr_assert_float_eq(pace.slowness(start), 1.0, 1e-9);
    pace.on_report(2.5, start);
    cr_assert_lt(pace.slowness(start), 1.7);
    cr_assert_lt(pace.slowness(start + 3 * reported_pace_time), 1.05);
    for (int i = 0; i < 6; ++i)
        pace.on_sample(1.5, 1.0, start);
    cr_assert_gt(pace.slowness(start + milliseconds(100)), 1.35);
    pace.on_sample(100.0, 1.0, start);
    cr_assert_lt(pace.lasting_slowness(start), 1.8);
    cr_assert_float_eq(pace.lasting_slowness(start + 10 * pace_half_life), 1.0, 0.01);
    pace.on_wait(800.0, 1.0, start);
    cr_assert_float_eq(pace.wait_ms(100.0, start), 800.0, 1.0);
    cr_assert_float_eq(pace.wait_ms(100.0, start + 5 * wait_time), 100.0, 1.0);
}

// Guards against VMs that know the same of a loaded home and all leave it at once, or all stay.
Test(timed_placement, requests_with_equal_knowledge_leave_a_loaded_home_in_part)
{
    timed_pool pool(90);
    const std::size_t home = pool.choose("x").index;
    pool.paces[home].on_wait(110.0, 1.0, start);
    int stay = 0;
    for (std::uint64_t salt = 0; salt < 1000; ++salt)
        stay += pool.choose("x", salt).index == home ? 1 : 0;
    cr_assert(stay > 200 && stay < 800, "%d of 1000 stay", stay);
}

// Guards against hints that are believed where the answers of the route are known to differ.
Test(timed_placement, output_lengths_correct_the_hint_and_expire)
{
    output_lengths lengths;
    request_size size;
    size.output_hint = 100;
    size.output_limit = 400;
    cr_assert_float_eq(lengths.expected("r", size, start), 100.0, 0.1);
    for (int i = 0; i < 40; ++i)
        lengths.record("r", size, 300.0, start);
    cr_assert_gt(lengths.expected("r", size, start), 270.0);
    cr_assert_float_eq(lengths.expected("other", size, start), 100.0, 0.1);
    cr_assert_float_eq(lengths.expected("r", size, start + 2 * output_length_max_age), 100.0, 0.1);
}

// Guards against parts that count as cached for ever, without the parts before them, or that add
// up in memory.
Test(timed_placement, cached_prompts_need_all_parts_before_and_expire)
{
    cached_prompts prompts;
    const std::vector<prompt_part> parts = {{1, 800}, {2, 400}, {3, 200}};
    prompts.on_sent(7, {parts[0], parts[1]}, start);
    prompts.on_sent(8, {parts[1]}, start);
    const auto held = prompts.holders(parts, start);
    cr_assert(held.size() == 1 && held[0].endpoint == 7 && held[0].tokens == 1200);
    cr_assert(prompts.holders(parts, start + 2 * cached_part_max_age).empty());
    for (std::uint64_t key = 0; key < 3 * max_cached_parts; ++key)
        prompts.on_sent(7, {{key + 10, 1}}, start + milliseconds(key));
    cr_assert_leq(prompts.size(), max_cached_parts);
}
