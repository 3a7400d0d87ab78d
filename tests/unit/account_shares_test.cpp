// Max-min fair sharing of a stage's capacity among client accounts, under load from several VMs.
#include "state/account_shares.h"

#include "seeds.h"
#include "state/chain_admission.h"
#include "state/hash.h"
#include "state/stage_batch.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>
#include <map>
#include <string>
#include <vector>

using namespace zinnianotch;
using zinnianotch::testing::random_source;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr std::size_t account_count = 16;
constexpr std::size_t large_count = 3;
constexpr std::size_t vm_count = 6;
constexpr int endpoint_count = 15;
constexpr double full_capacity = 909.0; // pieces per second of all endpoints
constexpr milliseconds goal{1500};
constexpr milliseconds deadline{6000};
constexpr milliseconds report_interval{200};
constexpr milliseconds nominal{264};
constexpr int burst_from_s = 10;
constexpr int burst_to_s = 30;
constexpr std::size_t bursting = 1;

using rates_type = std::array<double, account_count>; // requests of one piece per second

// Three large accounts ask for half of the capacity, the others for 0.3 of it.
rates_type usual_rates()
{
    rates_type rates{};
    rates.fill(0.3 * full_capacity / (account_count - large_count));
    std::fill_n(rates.begin(), large_count, 0.5 * full_capacity / large_count);
    return rates;
}

// One large account asks for four times as much: 1.3 times the capacity in sum.
rates_type burst_rates()
{
    rates_type rates = usual_rates();
    rates[bursting] *= 4;
    return rates;
}

struct account_counts
{
    std::size_t asked = 0;
    std::size_t in_goal = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
};

using counts_type = std::array<account_counts, account_count>;

// Requests of one stage that arrive at several VMs, each of which submits to one of the queues. The
// endpoints of a queue may be those of another one as well.
class account_load
{
public:
    account_load(bool sharing, std::uint64_t seed) : sharing_(sharing), random_(seed)
    {
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            markers_.emplace_back(avalanche(seed * vm_count + vm));
        add_queue(0, endpoint_count);
    }

    void play(int until_s, const rates_type& rates)
    {
        for (; now_ < start + std::chrono::seconds(until_s); now_ += milliseconds(1))
        {
            end_calls();
            for (std::size_t account = 0; account < account_count; ++account)
            {
                if (random_.chance(rates[account] / 1000.0))
                    arrive(account, random_.below(vm_count));
            }
            for (std::size_t queue = 0; queue < queues_.size(); ++queue)
                dispatch(queue);
        }
    }

    // The VM that batches the queue is lost: its successor gets the jobs again.
    void lose_batching_vm()
    {
        running_.clear();
        queues_.clear();
        add_queue(0, endpoint_count);
        const std::map<std::uint64_t, open_request> moved = std::move(open_);
        open_.clear();
        for (const auto& [id, request] : moved)
        {
            open_[id] = request;
            submit(id, 0);
        }
    }

    // From now on half of the VMs take another VM for the one that batches; both of these send to
    // all endpoints.
    void split_views()
    {
        add_queue(0, endpoint_count);
        for (std::size_t vm = vm_count / 2; vm < vm_count; ++vm)
            queue_of_[vm] = 1;
    }

    // The VMs and endpoints of one of three domains are on their own.
    void cut_off_domain()
    {
        queues_[0].set_endpoints(endpoints(0, endpoint_count * 2 / 3));
        add_queue(endpoint_count * 2 / 3, endpoint_count);
        for (std::size_t vm = vm_count * 2 / 3; vm < vm_count; ++vm)
            queue_of_[vm] = 1;
    }

    // Counts since the last time; requests that are open then count again.
    counts_type take_counts()
    {
        const counts_type taken = std::exchange(counts_, {});
        for (const auto& [id, request] : open_)
            ++counts_[request.account].asked;
        return taken;
    }
    std::size_t waiting_pieces() const { return queues_[0].waiting_pieces(); }

private:
    struct open_request
    {
        std::size_t account = 0;
        std::size_t vm = 0;
        bool is_above_share = false;
        time_point arrived{};
    };

    struct running_call
    {
        std::size_t queue = 0;
        time_point began{};
        time_point ends{};
        stage_batch batch;
    };

    static std::vector<stage_endpoint> endpoints(int first, int last)
    {
        std::vector<stage_endpoint> listed;
        for (int i = first; i < last; ++i)
            listed.push_back({"e" + std::to_string(i), "a"});
        return listed;
    }
    void add_queue(int first_endpoint, int last_endpoint)
    {
        batch_spec spec;
        spec.batch = 16;
        spec.call_time = milliseconds(200);
        spec.piece_time_ms = 4;
        stage_queue& queue = queues_.emplace_back();
        queue.set_service(spec);
        queue.set_reserving(true);
        queue.set_sharing(sharing_);
        queue.set_endpoints(endpoints(first_endpoint, last_endpoint));
    }
    std::string report_name(std::size_t vm) const
    {
        return std::to_string(vm) + "/" + std::to_string(queue_of_[vm]);
    }
    void arrive(std::size_t account, std::size_t vm)
    {
        ++counts_[account].asked;
        const std::string queue = report_name(vm);
        if (now_ - reported_at_[vm] >= report_interval)
        {
            reports_.record(queue, queues_[queue_of_[vm]].delays(now_), now_);
            reported_at_[vm] = now_;
        }
        const queue_delays* const delays = reports_.find(queue, now_);
        const double share = delays == nullptr ? 1.0 : share_of(delays->shares, account + 1, 0);
        const bool is_above = !markers_[vm].is_within_share(account + 1, 0, share);
        chain_estimate estimate{nominal, nominal};
        if (const auto delay = delays == nullptr ? std::nullopt : find_delay(*delays, 0, is_above))
            estimate = {std::max(nominal, *delay),
                        std::max(nominal, std::max(*delay, delays->late))};
        if (decide_chain(estimate, goal, deadline).decision == chain_decision::refused)
        {
            ++counts_[account].refused;
            return refused_.add(queue, account + 1, 0, 1);
        }
        open_[++next_id_] = {account, vm, is_above, now_};
        submit(next_id_, refused_.take(queue, account + 1, 0));
    }
    void submit(std::uint64_t id, std::uint32_t refused)
    {
        const open_request& request = open_[id];
        stage_job job;
        job.id = id;
        job.pieces = 1;
        job.goal_at = request.arrived + goal;
        job.deadline_at = request.arrived + deadline;
        job.account = request.account + 1;
        job.is_above_share = request.is_above_share;
        stage_queue& queue = queues_[queue_of_[request.vm] % queues_.size()];
        queue.count_asked(job, refused, now_);
        const milliseconds expected = queue.expected_time(job, now_);
        if (queue.admits(job, expected, now_))
            return queue.add(job, expected, now_);
        drop(id);
    }
    void drop(std::uint64_t id)
    {
        ++counts_[open_[id].account].refused;
        open_.erase(id);
    }
    void dispatch(std::size_t queue)
    {
        for (const std::uint64_t id : queues_[queue].take_expired(now_))
            drop(id);
        while (auto batch = queues_[queue].next(now_))
        {
            // An endpoint runs one call after the other.
            time_point& free_at = free_at_[batch->endpoint];
            const milliseconds needs{200 + 4 * batch->pieces};
            free_at = std::max(free_at, now_) + needs;
            running_.push_back({queue, now_, free_at, std::move(*batch)});
        }
    }
    void end_calls()
    {
        std::vector<running_call> ended;
        std::erase_if(running_,
                      [&](const running_call& call)
                      {
                          if (call.ends <= now_)
                              ended.push_back(call);
                          return call.ends <= now_;
                      });
        for (const running_call& call : ended)
        {
            queues_[call.queue].on_done(
                call.batch.endpoint, call.batch,
                std::chrono::duration_cast<milliseconds>(now_ - call.began));
            for (const batch_part& done : call.batch.parts)
            {
                const open_request& request = open_[done.job];
                account_counts& counts = counts_[request.account];
                ++(now_ <= request.arrived + goal ? counts.in_goal : counts.late);
                open_.erase(done.job);
            }
        }
    }

    bool sharing_;
    random_source random_;
    time_point now_ = start;
    std::vector<stage_queue> queues_;
    std::array<std::size_t, vm_count> queue_of_{};
    std::vector<share_marker> markers_;
    std::array<time_point, vm_count> reported_at_{};
    queue_delay_reports reports_;
    refused_pieces refused_;
    std::map<std::uint64_t, open_request> open_;
    std::map<std::string, time_point> free_at_;
    std::vector<running_call> running_;
    counts_type counts_{};
    std::uint64_t next_id_ = 0;
};

// Requests that a max-min fair allocation of the capacity serves.
std::array<double, account_count> ideal(const counts_type& counts, double capacity, int seconds)
{
    std::vector<double> asked;
    for (const account_counts& account : counts)
        asked.push_back(static_cast<double>(account.asked));
    const double level = max_min_level(asked, capacity * seconds);
    std::array<double, account_count> allocation{};
    for (std::size_t i = 0; i < account_count; ++i)
        allocation[i] = std::min(asked[i], level);
    return allocation;
}

struct summary
{
    std::size_t in_goal = 0;
    double of_ideal_bursting = 0.0;
    double of_ideal_lowest = std::numeric_limits<double>::max(); // among the other accounts
    double of_ideal_others = 0.0;                                // their sum
};

summary print(const char* title, const counts_type& counts, double capacity, int seconds)
{
    const auto best = ideal(counts, capacity, seconds);
    summary out;
    double others = 0.0;
    double others_best = 0.0;
    for (std::size_t i = 0; i < account_count; ++i)
    {
        const account_counts& own = counts[i];
        const auto in_goal = static_cast<double>(own.in_goal);
        out.in_goal += own.in_goal;
        if (i == bursting)
            out.of_ideal_bursting = in_goal / best[i];
        else
        {
            out.of_ideal_lowest = std::min(out.of_ideal_lowest, in_goal / best[i]);
            others += in_goal;
            others_best += best[i];
        }
        if (i <= large_count)
            std::printf("%s, account %zu: %zu asked, ideal %.0f, in goal %zu, late %zu, refused "
                        "%zu\n",
                        title, i, own.asked, best[i], own.in_goal, own.late, own.refused);
    }
    out.of_ideal_others = others / others_best;
    std::printf("%s: %zu in goal; of the ideal: bursting %.3f, others %.3f, lowest %.3f\n", title,
                out.in_goal, out.of_ideal_bursting, out.of_ideal_others, out.of_ideal_lowest);
    return out;
}

} // namespace

// Guards against limits that leave capacity unused or exceed it.
Test(account_shares, max_min_level_limits_only_the_largest)
{
    cr_assert(std::isinf(max_min_level({}, 10)));
    cr_assert(std::isinf(max_min_level({1, 2, 3}, 6)));
    cr_assert(max_min_level({10, 1, 10}, 9) == 4.0);
    cr_assert(max_min_level({5, 2}, 0) == 0.0);
    cr_assert(max_min_level({5, 2}, -1) == 0.0);
}

// Guards against memory that grows with the number of accounts, and against a large account that is
// forgotten when many small ones come by.
Test(account_shares, above_share_many_accounts_keeps_the_large_one)
{
    account_rates rates;
    for (std::uint64_t i = 0; i < 5000; ++i)
    {
        const time_point now = start + milliseconds(i);
        rates.add(7, 1, 1, now);
        rates.add(100 + i, 1, 1, now);
    }
    cr_assert(rates.size() <= account_rates_max);
    const time_point now = start + milliseconds(5000);
    const auto above = rates.above_share(1, 1500, now);
    cr_assert(above.size() == 1 && above[0].account == 7);
    // The others ask for 1000 a second.
    cr_assert(std::abs(above[0].share - 0.5) < 0.1, "share %f", above[0].share);
    cr_assert(rates.above_share(1, 2500, now).empty());
    cr_assert(rates.above_share(0, 1, now).empty());
}

// Guards against VMs with few requests each that together exceed the share or fall below it.
Test(account_shares, is_within_share_many_vms_keep_the_share)
{
    std::size_t within = 0;
    for (std::uint64_t vm = 0; vm < 100; ++vm)
    {
        share_marker marker(avalanche(vm));
        for (int i = 0; i < 3; ++i)
            within += marker.is_within_share(7, 1, 0.4) ? 1 : 0;
    }
    cr_assert(within > 100 && within < 140, "%zu of 300", within);
    share_marker marker(1);
    cr_assert(marker.is_within_share(7, 1, 1.0));
    cr_assert_not(marker.is_within_share(7, 1, 0.0));
}

// Guards against refusals that are reported twice, or with the job of another account.
Test(account_shares, refused_pieces_are_taken_once_by_their_account)
{
    refused_pieces refused;
    refused.add("q", 7, 1, 3);
    refused.add("q", 7, 1, 4);
    refused.add("q", 8, 1, std::numeric_limits<std::uint32_t>::max());
    refused.add("q", 8, 1, std::numeric_limits<std::uint32_t>::max());
    cr_assert(refused.take("q", 7, 1) == 7);
    cr_assert(refused.take("q", 7, 1) == 0);
    cr_assert(refused.take("q", 8, 2) == 0);
    cr_assert(refused.take("p", 8, 1) == 0);
    cr_assert(refused.take("q", 8, 1) > 0);
}

// Guards against the burst of one account that costs the others, and against capacity that is left
// unused to prevent it.
Test(account_shares, play_burst_costs_only_its_account)
{
    std::array<summary, 2> results;
    for (const bool sharing : {false, true})
    {
        account_load load(sharing, 7);
        load.play(burst_from_s, usual_rates());
        (void)load.take_counts();
        load.play(burst_to_s, burst_rates());
        results[sharing ? 1 : 0] = print(sharing ? "shared" : "not shared", load.take_counts(),
                                         full_capacity, burst_to_s - burst_from_s);
    }
    cr_assert(results[0].of_ideal_others < 0.9);
    cr_assert(results[1].of_ideal_others > 0.97);
    cr_assert(results[1].of_ideal_lowest > 0.93);
    cr_assert(results[1].of_ideal_bursting > 0.85);
    cr_assert(static_cast<double>(results[1].in_goal) >
              0.97 * static_cast<double>(results[0].in_goal));
}

// Guards against large accounts that keep more than their part under lasting overload, and against
// small ones that get less than they ask for.
Test(account_shares, play_lasting_overload_allocation_is_max_min)
{
    rates_type rates = usual_rates();
    std::fill_n(rates.begin(), large_count, full_capacity / large_count);
    for (const bool sharing : {false, true})
    {
        account_load load(sharing, 5);
        load.play(burst_to_s, rates);
        const summary result =
            print(sharing ? "lasting overload, shared" : "lasting overload, not shared",
                  load.take_counts(), full_capacity, burst_to_s);
        cr_assert(!sharing || result.of_ideal_bursting > 0.9);
        cr_assert(!sharing || result.of_ideal_lowest > 0.9);
    }
}

// Guards against a successor without rates that lets the burst push the other accounts out.
Test(account_shares, play_batching_vm_lost_with_full_queue)
{
    std::array<summary, 2> results;
    for (const bool sharing : {false, true})
    {
        account_load load(sharing, 11);
        load.play(burst_from_s, usual_rates());
        load.play(burst_from_s + 10, burst_rates());
        (void)load.take_counts();
        cr_assert(load.waiting_pieces() > 200);
        load.lose_batching_vm();
        load.play(burst_from_s + 20, burst_rates());
        results[sharing ? 1 : 0] =
            print(sharing ? "batching VM lost, shared" : "batching VM lost, not shared",
                  load.take_counts(), full_capacity, 10);
    }
    cr_assert(results[1].of_ideal_others > 0.9);
    cr_assert(results[1].of_ideal_others > results[0].of_ideal_others);
    cr_assert(results[1].of_ideal_bursting > 0.7);
}

// Guards against two queues that each divide the capacity as if they had it alone.
Test(account_shares, play_views_of_the_batching_vm_differ)
{
    std::array<summary, 2> results;
    for (const bool sharing : {false, true})
    {
        account_load load(sharing, 13);
        load.play(burst_from_s, usual_rates());
        load.split_views();
        (void)load.take_counts();
        load.play(burst_to_s, burst_rates());
        results[sharing ? 1 : 0] =
            print(sharing ? "two views, shared" : "two views, not shared", load.take_counts(),
                  full_capacity, burst_to_s - burst_from_s);
    }
    cr_assert(results[1].of_ideal_others > results[0].of_ideal_others);
    cr_assert(results[1].of_ideal_lowest > 0.5);
}

// Guards against shares of the whole capacity on either side of a cut.
Test(account_shares, play_domain_cut_off_in_a_burst)
{
    std::array<summary, 2> results;
    for (const bool sharing : {false, true})
    {
        account_load load(sharing, 17);
        load.play(burst_from_s, usual_rates());
        load.play(burst_from_s + 5, burst_rates());
        load.cut_off_domain();
        (void)load.take_counts();
        load.play(burst_to_s, burst_rates());
        results[sharing ? 1 : 0] =
            print(sharing ? "domain cut off, shared" : "domain cut off, not shared",
                  load.take_counts(), full_capacity, burst_to_s - burst_from_s - 5);
    }
    cr_assert(results[1].of_ideal_others > 0.93);
    cr_assert(results[1].of_ideal_lowest > 0.85);
    cr_assert(results[1].of_ideal_bursting > 0.7);
}
