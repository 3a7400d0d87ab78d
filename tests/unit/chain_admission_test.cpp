#include "seeds.h"
#include "state/chain_admission.h"
#include "state/queue_delay.h"
#include "state/stage_batch.h"
#include "state/stage_times.h"

#include <criterion/criterion.h>

#include <array>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

using namespace zinnianotch;
using zinnianotch::testing::random_source;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr std::size_t stage_count = 3;
constexpr milliseconds first_byte{100};

struct request_kind
{
    double rate = 0.0; // per second
    milliseconds goal{0};
    milliseconds deadline{0};
};

struct kind_counts
{
    std::size_t asked = 0;
    std::size_t in_goal = 0;
    std::size_t late = 0;
    std::size_t refused_at_arrival = 0;
    std::size_t refused_after_work = 0; // after a stage has run
};

using kinds_type = std::array<request_kind, 3>; // by priority

// About 1.1 times the 909 pieces per second of 15 endpoints.
constexpr kinds_type overload{{{270, milliseconds(1000), milliseconds(6000)},
                               {165, milliseconds(1500), milliseconds(20000)},
                               {561, milliseconds(4000), milliseconds(6000)}}};

struct open_request
{
    std::size_t kind = 0;
    std::size_t stage = 0;
    time_point arrived{};
    time_point submitted{};
};

struct running_call
{
    std::size_t stage = 0;
    time_point ends;
    stage_batch batch;
};

// Requests of one piece a stage run through three queues of 15 endpoints. Without `reserving`,
// estimates are shared by all kinds and each stage decides for itself.
class chain_load
{
public:
    chain_load(const kinds_type& kinds, bool reserving, std::uint64_t seed)
        : kinds_(kinds), reserving_(reserving), random_(seed)
    {
        batch_spec spec;
        spec.batch = 16;
        spec.call_time = milliseconds(200);
        spec.piece_time_ms = 4;
        for (stage_queue& queue : queues_)
        {
            queue.set_service(spec);
            queue.set_reserving(reserving);
            std::vector<stage_endpoint> listed;
            listed.reserve(15);
            for (int i = 0; i < 15; ++i)
                listed.push_back({"e" + std::to_string(i), "a"});
            queue.set_endpoints(listed);
        }
    }

    std::array<kind_counts, 3> play(int seconds)
    {
        for (int ms = 0; ms < seconds * 1000; ++ms)
        {
            now_ = start + milliseconds(ms);
            end_calls();
            for (std::size_t kind = 0; kind < kinds_.size(); ++kind)
            {
                if (random_.chance(kinds_[kind].rate / 1000.0))
                    arrive(kind);
            }
            for (std::size_t stage = 0; stage < stage_count; ++stage)
                dispatch(stage);
        }
        return counts_;
    }

private:
    milliseconds expected(std::size_t stage, std::size_t kind, bool late) const
    {
        const milliseconds nominal{264};
        if (!reserving_)
            return times_.expected(std::to_string(stage), nominal, now_);
        const queue_delays delays = queues_[stage].delays(now_);
        const auto own = find_delay(delays, static_cast<std::uint32_t>(kind));
        if (!own)
            return nominal;
        return late ? std::max(*own, delays.late) : *own;
    }
    milliseconds rest(std::size_t from, std::size_t kind, bool late) const
    {
        milliseconds sum = first_byte;
        for (std::size_t stage = from; stage < stage_count; ++stage)
            sum += expected(stage, kind, late);
        return sum;
    }
    void arrive(std::size_t kind)
    {
        ++counts_[kind].asked;
        const chain_verdict verdict = decide_chain({rest(0, kind, false), rest(0, kind, true)},
                                                   kinds_[kind].goal, kinds_[kind].deadline);
        if (reserving_ && verdict.decision == chain_decision::refused)
        {
            ++counts_[kind].refused_at_arrival;
            cr_assert(verdict.retry_after > milliseconds(0));
            return;
        }
        open_[++next_id_] = {kind, 0, now_, now_};
        submit(next_id_);
    }
    void submit(std::uint64_t id)
    {
        open_request& request = open_[id];
        request.submitted = now_;
        const milliseconds after = rest(request.stage + 1, request.kind, false);
        const request_kind& kind = kinds_[request.kind];
        const stage_job job{id,
                            1,
                            static_cast<std::uint32_t>(request.kind),
                            0,
                            request.arrived + kind.goal - after,
                            request.arrived + kind.deadline - after,
                            "",
                            request.stage > 0};
        stage_queue& queue = queues_[request.stage];
        const milliseconds wait = queue.expected_time(job, now_);
        if (queue.admits(job, wait, now_))
            return queue.add(job, wait, now_);
        drop(id);
    }
    void drop(std::uint64_t id)
    {
        kind_counts& counts = counts_[open_[id].kind];
        ++(open_[id].stage == 0 ? counts.refused_at_arrival : counts.refused_after_work);
        open_.erase(id);
    }
    void dispatch(std::size_t stage)
    {
        for (const std::uint64_t id : queues_[stage].take_expired(now_))
            drop(id);
        while (auto batch = queues_[stage].next(now_))
        {
            const time_point ends = now_ + batch->expected;
            running_.push_back({stage, ends, std::move(*batch)});
        }
    }
    void end_calls()
    {
        std::vector<running_call> ended;
        std::erase_if(running_,
                      [&](const running_call& call)
                      {
                          if (call.ends > now_)
                              return false;
                          ended.push_back(call);
                          return true;
                      });
        for (const running_call& call : ended)
        {
            queues_[call.stage].on_done(call.batch.endpoint, call.batch, call.batch.expected);
            for (const batch_part& part : call.batch.parts)
                advance(part.job);
        }
    }
    void advance(std::uint64_t id)
    {
        open_request& request = open_[id];
        times_.record(std::to_string(request.stage),
                      std::chrono::duration_cast<milliseconds>(now_ - request.submitted), now_);
        if (++request.stage < stage_count)
            return submit(id);
        const bool in_goal = now_ + first_byte <= request.arrived + kinds_[request.kind].goal;
        ++(in_goal ? counts_[request.kind].in_goal : counts_[request.kind].late);
        open_.erase(id);
    }

    kinds_type kinds_;
    bool reserving_;
    random_source random_;
    std::array<stage_queue, stage_count> queues_;
    observed_stage_times times_;
    std::map<std::uint64_t, open_request> open_;
    std::vector<running_call> running_;
    std::array<kind_counts, 3> counts_{};
    std::uint64_t next_id_ = 0;
    time_point now_{};
};

double share(std::size_t part, std::size_t whole)
{
    return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(whole, 1));
}

void print(const char* title, const std::array<kind_counts, 3>& counts)
{
    for (std::size_t i = 0; i < counts.size(); ++i)
        std::printf("%s, priority %zu: %zu asked, in goal %.3f, late %.3f, refused at arrival "
                    "%.3f, after work %.3f\n",
                    title, i, counts[i].asked, share(counts[i].in_goal, counts[i].asked),
                    share(counts[i].late, counts[i].asked),
                    share(counts[i].refused_at_arrival, counts[i].asked),
                    share(counts[i].refused_after_work, counts[i].asked));
}

route_spec route(std::uint32_t priority, int goal_ms, const std::string& service = "s")
{
    route_spec spec;
    spec.priority = priority;
    spec.goal = milliseconds(goal_ms);
    spec.stages.push_back({service, {}, 0});
    return spec;
}

} // namespace

// Guards against urgent requests with a short goal that are refused while less urgent ones with a
// long goal are served, and against refusals after stages have run.
Test(chain_admission, play_overload_urgent_requests_are_served)
{
    const auto before = chain_load(overload, false, 7).play(60);
    const auto after = chain_load(overload, true, 7).play(60);
    print("shared estimates", before);
    print("reserved by urgency", after);
    for (std::size_t kind = 0; kind < 2; ++kind)
        cr_assert(share(after[kind].in_goal, after[kind].asked) > 0.8);
    cr_assert(share(after[2].in_goal, after[2].asked) > 0.25);
    for (const kind_counts& counts : after)
        cr_assert(share(counts.refused_after_work, counts.asked) < 0.03);
}

// Guards against starvation of the least urgent kind when urgent ones alone exceed the capacity.
Test(chain_admission, play_urgent_overload_each_kind_keeps_a_floor)
{
    kinds_type kinds = overload;
    kinds[0].rate = 990;
    const auto counts = chain_load(kinds, true, 3).play(60);
    print("urgent overload", counts);
    for (const kind_counts& kind : counts)
        cr_assert(share(kind.in_goal + kind.late, kind.asked) > 0.08);
}

// Guards against a deployment whose urgent requests have long goals being served in another way.
Test(chain_admission, find_contended_services_needs_shorter_urgent_goal)
{
    serving_state state;
    state.routes = {route(0, 1900), route(1, 2000), route(2, 910)};
    cr_assert(find_contended_services(state).empty());
    state.routes = {route(0, 1000), route(1, 1500), route(2, 4000), route(2, 9000, "other")};
    cr_assert(find_contended_services(state).contains("s"));
    cr_assert_not(find_contended_services(state).contains("other"));
}

// Guards against decisions by the report of a VM that has been lost or no longer batches the queue.
Test(chain_admission, find_old_report_is_ignored)
{
    queue_delay_reports reports;
    reports.record("q", {{{1, milliseconds(3000)}}, milliseconds(9000), {}}, start);
    const queue_delays* const known = reports.find("q", start + queue_delays_max_age);
    cr_assert(known != nullptr && find_delay(*known, 2) == milliseconds(3000));
    cr_assert_not(find_delay(*known, 0).has_value());
    cr_assert(reports.find("q", start + queue_delays_max_age + milliseconds(1)) == nullptr);
}
