// Shares of limits that hold over all VMs, and the rendezvous order behind them.
#include "state/shares.h"

#include "seeds.h"

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace zinnianotch;
using zinnianotch::testing::random_source;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

std::vector<std::string> vm_names(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("vm-" + std::to_string(i));
    return names;
}

} // namespace

// Guards against VMs that compute different orders, and against a VM that moves more than its own
// part when it leaves.
Test(shares, rendezvous_order_vm_leaves_others_keep_their_order)
{
    std::vector<std::string> names = vm_names(9);
    const auto order = rendezvous_order("stage/a", names);
    std::vector<std::string> shuffled(names.rbegin(), names.rend());
    cr_assert(rendezvous_order("stage/a", shuffled) == order);
    std::erase(names, order.front());
    const auto after = rendezvous_order("stage/a", names);
    cr_assert(std::equal(after.begin(), after.end(), order.begin() + 1));
}

// Guards against a hash that gives most keys to one VM.
Test(shares, rendezvous_order_many_keys_spread_evenly)
{
    std::map<std::string, int> firsts;
    for (int i = 0; i < 900; ++i)
        ++firsts[rendezvous_order("key-" + std::to_string(i), vm_names(9)).front()];
    for (const auto& [name, count] : firsts)
        cr_assert(count > 50 && count < 180, "%s has %d of 900", name.c_str(), count);
    cr_assert(firsts.size() == 9);
}

// Guards against shares that add up to more than a cold endpoint bears, for any number of VMs, and
// against a bound that no VM may use at all.
Test(shares, cold_share_any_fleet_sums_below_bound)
{
    for (const std::size_t count : {1, 2, 3, 6, 9, 30, 69, 370})
    {
        for (const double bound : {2.0, 5.0, 26.0, 30.5})
        {
            const auto vms = vm_names(count);
            std::uint32_t sum = 0;
            for (const std::string& vm : vms)
                sum += cold_share("endpoint-1", vm, vms, bound);
            cr_assert(sum <= bound, "%zu VMs, bound %f: %u", count, bound, sum);
            cr_assert(sum >= 1, "%zu VMs, bound %f: nobody may send", count, bound);
        }
    }
}

// Guards against a cold endpoint that falls over while the VMs know different lists of VMs: one has
// just been added or removed and half of them have not heard of it.
Test(shares, cold_share_lists_differ_by_one_vm_sums_below_bound)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        random_source random(seed);
        const std::size_t count = 2 + random.below(68);
        const double bound = static_cast<double>(random.between(4, 40));
        const auto before = vm_names(count);
        const auto after = vm_names(count + 1);
        std::uint32_t sum = 0;
        for (const std::string& vm : after)
            sum += cold_share("e-" + std::to_string(seed), vm, random.chance(0.5) ? before : after,
                              bound);
        cr_assert(sum <= bound, "seed %lu: %u of %f", static_cast<unsigned long>(seed), sum, bound);
    }
}

// Guards against repeats beyond the budget of the fleet when all VMs use their shares at once, over
// any span of the window's length.
Test(shares, repeat_budget_all_vms_stay_within_fleet_budget_in_any_window)
{
    const repeat_limits limits{0.2, 58, milliseconds(10000)};
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        random_source random(seed);
        constexpr std::size_t vms = 9;
        std::vector<repeat_budget> budgets(vms);
        std::vector<time_point> firsts;
        std::vector<time_point> repeats;
        for (int ms = 0; ms < 40000; ms += 20)
        {
            const time_point now = start + milliseconds(ms);
            repeat_budget& budget = budgets[random.below(vms)];
            if (random.chance(0.6))
            {
                budget.on_first(limits, now);
                firsts.push_back(now);
            }
            if (random.chance(0.7) && budget.try_repeat(limits, vms, now))
                repeats.push_back(now);
        }
        for (const time_point end : repeats)
        {
            const auto within = [&](time_point at)
            { return at <= end && at > end - limits.window; };
            const auto sent = std::count_if(repeats.begin(), repeats.end(), within);
            const auto asked = std::count_if(firsts.begin(), firsts.end(), within);
            cr_assert(static_cast<double>(sent) <=
                          limits.ratio * static_cast<double>(asked) + limits.slack,
                      "seed %lu", static_cast<unsigned long>(seed));
        }
    }
}

// Guards against a window that starts anew at fixed times and lets twice the limit through.
Test(shares, window_counter_sliding_window_forgets_one_by_one)
{
    window_counter counter(milliseconds(1000));
    counter.add(start);
    counter.add(start + milliseconds(900));
    cr_assert(counter.count(start + milliseconds(999)) == 2);
    cr_assert(counter.count(start + milliseconds(1000)) == 1);
    cr_assert(counter.count(start + milliseconds(1900)) == 0);
}
