// Shares of the limit that an endpoint has named, on fleets of many sizes.
#include "state/send_limit.h"

#include "seeds.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace zinnianotch;
using zinnianotch::testing::random_source;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr milliseconds step{5};
constexpr milliseconds window{4000};
constexpr milliseconds played{40'000};
const std::string endpoint = "engine-1";
const std::vector<double> limits = {0.0, 0.05, 0.24, 0.3, 1.0, 1.3, 2.5, 7.0, 20.0, 150.0};

std::vector<std::string> fleet_of(std::size_t vms)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < vms; ++i)
        names.push_back("vm-" + std::to_string(i));
    return names;
}

// What the rule allows in a window.
std::size_t allowed(double limit)
{
    return static_cast<std::size_t>(1.5 * limit * 4.0 + 5.0);
}

std::size_t most_in_window(std::vector<time_point> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; first < times.size(); ++first)
    {
        while (last < times.size() && times[last] - times[first] <= window)
            ++last;
        most = std::max(most, last - first);
    }
    return most;
}

// Times at which the VM sends if it always has a request, from a moment after `begin` on.
std::vector<time_point> play_vm(send_limit& limit, time_point begin, bool is_batching)
{
    std::vector<time_point> sent;
    for (time_point now = begin; now < start + played; now += step)
    {
        while ((is_batching ? limit.next_call_at(now) : limit.next_send_at(now)) <= now)
        {
            limit.on_sent(now);
            sent.push_back(now);
        }
    }
    return sent;
}

// All VMs of the fleet hear of the limit within half a second after a request of theirs.
std::vector<time_point> play_fleet(std::size_t vms, double per_second, random_source& random)
{
    const std::vector<std::string> names = fleet_of(vms);
    std::vector<time_point> all;
    for (const std::string& name : names)
    {
        send_limit limit;
        limit.on_sent(start);
        const time_point told_at = start + milliseconds(random.between(0, 500));
        limit.set(per_second, share_of_limit(per_second, endpoint, name, names), told_at);
        const std::vector<time_point> sent = play_vm(limit, told_at, false);
        all.insert(all.end(), sent.begin(), sent.end());
    }
    return all;
}

} // namespace

// Guards against VMs that together send more than an endpoint in need takes, whatever the size of
// the fleet and the limit.
Test(send_limit, fleets_with_more_than_enough_requests_keep_to_limit)
{
    random_source random(1);
    for (const std::size_t vms : {1, 2, 3, 6, 9, 30, 69, 295})
    {
        for (const double limit : limits)
        {
            const std::vector<time_point> sent = play_fleet(vms, limit, random);
            const std::size_t most = most_in_window(sent);
            cr_assert(most <= allowed(limit), "%zu VMs, limit %f: %zu in a window, %zu allowed",
                      vms, limit, most, allowed(limit));
            const double probes = 1.0 / std::chrono::duration<double>(limit_probe_interval).count();
            const double in_all =
                std::max(limit, probes) * std::chrono::duration<double>(played).count();
            const double senders = static_cast<double>(std::min(vms, limit_senders(limit)));
            cr_assert(static_cast<double>(sent.size()) <= in_all + senders,
                      "%zu VMs, limit %f: %zu in all", vms, limit, sent.size());
            cr_assert(static_cast<double>(sent.size()) >= 0.8 * in_all - senders,
                      "%zu VMs, limit %f: %zu in all", vms, limit, sent.size());
        }
    }
}

// Guards against two VMs that batch the calls of a stage for some seconds, each up to the limit.
Test(send_limit, two_vms_batch_calls_together_keep_to_limit)
{
    for (const double per_second : limits)
    {
        std::vector<time_point> all;
        for (int i = 0; i < 2; ++i)
        {
            send_limit limit;
            limit.on_sent(start);
            limit.set(per_second, {}, start);
            const std::vector<time_point> sent = play_vm(limit, start, true);
            all.insert(all.end(), sent.begin(), sent.end());
        }
        cr_assert(most_in_window(all) <= allowed(per_second), "limit %f: %zu in a window",
                  per_second, most_in_window(all));
    }
}

// Guards against shares that add up to more while the VMs see different lists for some seconds.
Test(send_limit, vm_leaves_and_half_of_fleet_knows_shares_stay_near_limit)
{
    for (const std::size_t vms : {6, 9, 69})
    {
        const std::vector<std::string> before = fleet_of(vms);
        const std::vector<std::string> after(before.begin() + 1, before.end());
        for (const double limit : {0.3, 1.0, 2.5, 20.0})
        {
            double sum = 0.0;
            for (std::size_t i = 0; i < vms; ++i)
                sum += share_of_limit(limit, endpoint, before[i], i % 2 == 0 ? before : after).rate;
            cr_assert(sum <= 1.5 * limit, "%zu VMs, limit %f: %f", vms, limit, sum);
        }
    }
}

// Guards against one VM that gets the share of all endpoints, while others get none.
Test(send_limit, many_endpoints_with_small_limits_each_vm_has_a_share_of_some)
{
    const std::vector<std::string> names = fleet_of(30);
    for (const std::string& name : names)
    {
        std::size_t shares = 0;
        for (int i = 0; i < 100; ++i)
            shares += share_of_limit(0.5, "engine-" + std::to_string(i), name, names).rate > 0.0;
        cr_assert(shares >= 3 && shares <= 40, "%zu shares", shares);
    }
}

// Guards against requests that wait at a VM which may not use the only endpoint.
Test(send_limit, vm_without_share_expects_room_elsewhere_later)
{
    for (const double per_second : limits)
    {
        send_limit limit;
        limit.set(per_second, {0.0, 300}, start);
        cr_assert_not(limit.may_send(start));
        cr_assert(limit.next_send_at(start) >= start + limit_elsewhere_min);
        cr_assert(limit.next_send_at(start) <= start + limit_probe_interval);
    }
}

// Guards against a limit that outlives the endpoint's need, where no VM hears that it is over, and
// against VMs that then all try the endpoint at once.
Test(send_limit, limit_not_named_any_more_expires_by_rank)
{
    send_limit first;
    first.set(1.0, {0.0, 0}, start);
    cr_assert_not(first.expire(start + limit_expiry));
    cr_assert(first.expire(start + limit_expiry + milliseconds(1)));
    cr_assert_not(first.limit());
    cr_assert(first.may_send(start + limit_expiry + milliseconds(1)));
    send_limit later;
    later.set(1.0, {0.0, 5}, start);
    cr_assert_not(later.expire(start + limit_expiry + limit_expiry_per_rank * 5));
    cr_assert(later.expire(start + limit_expiry + limit_expiry_per_rank * 5 + milliseconds(1)));
}

// Guards against other VMs that are told of a limit with each response.
Test(send_limit, take_report_once_in_interval_while_named)
{
    send_limit limit;
    cr_assert_not(limit.take_report(start));
    limit.set(1.0, {1.0, 0}, start);
    cr_assert(limit.take_report(start));
    cr_assert_not(limit.take_report(start + limit_report_interval - milliseconds(1)));
    cr_assert(limit.take_report(start + limit_report_interval));
}
