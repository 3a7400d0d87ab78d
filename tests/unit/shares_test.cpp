// Shares of limits that apply to all VMs together, and the rendezvous order used to compute them.
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

// Guards against VMs that compute different orders, and against the removal of a VM moving keys
// that were not assigned to it.
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

// Guards against a hash that assigns most keys to one VM.
Test(shares, rendezvous_order_many_keys_spread_evenly)
{
    std::map<std::string, int> keys_by_vm;
    for (int i = 0; i < 900; ++i)
        ++keys_by_vm[rendezvous_order("key-" + std::to_string(i), vm_names(9)).front()];
    for (const auto& [name, count] : keys_by_vm)
        cr_assert(count > 50 && count < 180, "%s has %d of 900", name.c_str(), count);
    cr_assert(keys_by_vm.size() == 9);
}

// Guards against shares whose sum exceeds the bound of a cold endpoint, for any number of VMs, and
// against shares that are zero for every VM.
Test(shares, cold_share_any_number_of_vms_sums_below_bound)
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
            cr_assert(sum >= 1, "%zu VMs, bound %f: no VM may send", count, bound);
        }
    }
}

// Guards against overloading a cold endpoint while the VMs have different membership lists: a VM
// has just been added or removed, and about half of the VMs do not know that yet.
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

// Guards against exceeding the retry budget of the deployment in any interval as long as the
// window while all VMs send retries.
Test(shares, service_retry_budget_all_vms_stay_within_total_budget_in_any_window)
{
    const service_retry_limits limits{0.2, 58, milliseconds(10000)};
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        random_source random(seed);
        constexpr std::size_t vms = 9;
        std::vector<service_retry_budget> budgets(vms);
        std::vector<time_point> first_attempts;
        std::vector<time_point> retries;
        for (int ms = 0; ms < 40000; ms += 20)
        {
            const time_point now = start + milliseconds(ms);
            service_retry_budget& budget = budgets[random.below(vms)];
            if (random.chance(0.6))
            {
                budget.on_first_attempt(limits, now);
                first_attempts.push_back(now);
            }
            if (random.chance(0.7) && budget.try_retry(limits, vms, now))
                retries.push_back(now);
        }
        for (const time_point end : retries)
        {
            const auto in_window = [&](time_point at)
            { return at <= end && at > end - limits.window; };
            const auto retries_in_window = std::count_if(retries.begin(), retries.end(), in_window);
            const auto first_attempts_in_window =
                std::count_if(first_attempts.begin(), first_attempts.end(), in_window);
            cr_assert(static_cast<double>(retries_in_window) <=
                          limits.ratio * static_cast<double>(first_attempts_in_window) +
                              limits.slack,
                      "seed %lu", static_cast<unsigned long>(seed));
        }
    }
}

// Guards against a counter that is reset at fixed times, which allows twice the limit around a
// reset.
Test(shares, window_counter_events_expire_one_by_one)
{
    window_counter counter(milliseconds(1000));
    counter.add(start);
    counter.add(start + milliseconds(900));
    cr_assert(counter.count(start + milliseconds(999)) == 2);
    cr_assert(counter.count(start + milliseconds(1000)) == 1);
    cr_assert(counter.count(start + milliseconds(1900)) == 0);
}
