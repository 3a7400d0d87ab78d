#include "state/shares.h"

#include "state/hash.h"

#include <algorithm>
#include <cmath>

namespace zinnianotch
{

namespace
{

void drop_before(std::deque<time_point>& times, time_point limit)
{
    while (!times.empty() && times.front() <= limit)
        times.pop_front();
}

} // namespace

// A zero byte separates the names, so that pairs with equal concatenations differ.
rendezvous_key::rendezvous_key(std::string_view a)
    : hash_(fnv_1a(fnv_1a(fnv_offset_basis, a), std::string_view("\0", 1)))
{
}

std::uint64_t rendezvous_key::weight(std::string_view b) const
{
    return avalanche(fnv_1a(hash_, b));
}

std::uint64_t rendezvous_weight(std::string_view a, std::string_view b)
{
    return rendezvous_key(a).weight(b);
}

std::vector<std::string> rendezvous_order(std::string_view key,
                                          const std::vector<std::string>& names)
{
    std::vector<std::string> order = names;
    std::sort(order.begin(), order.end(),
              [&](const std::string& a, const std::string& b)
              {
                  const std::uint64_t weight_a = rendezvous_weight(key, a);
                  const std::uint64_t weight_b = rendezvous_weight(key, b);
                  return weight_a != weight_b ? weight_a > weight_b : a < b;
              });
    return order;
}

std::vector<std::string> rendezvous_order(std::string_view key,
                                          const std::vector<weighted_name>& names)
{
    // Weighted rendezvous hashing: maps each hash to a number u in (0, 1) and scores the name with
    // -weight / ln(u).
    constexpr double steps = 9007199254740992.0; // 2^53, exact in a double
    std::vector<std::pair<double, std::string>> scored;
    scored.reserve(names.size());
    for (const weighted_name& entry : names)
    {
        const std::uint64_t hash = rendezvous_weight(key, entry.name) >> 11;
        const double number = (static_cast<double>(hash) + 0.5) / steps;
        scored.emplace_back(-entry.weight / std::log(number), entry.name);
    }
    std::sort(scored.begin(), scored.end(),
              [](const auto& a, const auto& b)
              { return a.first != b.first ? a.first > b.first : a.second < b.second; });
    std::vector<std::string> order;
    order.reserve(scored.size());
    for (auto& [score, name] : scored)
        order.push_back(std::move(name));
    return order;
}

std::uint32_t cold_share(std::string_view endpoint, std::string_view own,
                         const std::vector<std::string>& vms, double bound)
{
    const double usable = bound * cold_limit_usage;
    std::size_t senders = std::min(max_cold_senders, std::max<std::size_t>(vms.size(), 1));
    senders = std::min(senders, static_cast<std::size_t>(std::max(1.0, std::floor(usable))));
    const std::uint64_t own_weight = rendezvous_weight(endpoint, own);
    std::size_t before = 0;
    for (const std::string& vm : vms)
    {
        if (vm != own && rendezvous_weight(endpoint, vm) > own_weight)
            ++before;
    }
    if (before >= senders)
        return 0;
    return static_cast<std::uint32_t>(usable / static_cast<double>(senders));
}

void window_counter::add(time_point now)
{
    times_.push_back(now);
}

std::size_t window_counter::count(time_point now)
{
    drop_before(times_, now - window_);
    return times_.size();
}

void service_retry_budget::on_first_attempt(const service_retry_limits& limits, time_point now)
{
    remove_expired(limits, now);
    first_attempts_.push_back(now);
}

bool service_retry_budget::may_retry(const service_retry_limits& limits, std::size_t vms,
                                     time_point now)
{
    remove_expired(limits, now);
    const double share = limits.slack / static_cast<double>(std::max<std::size_t>(vms, 1));
    const double allowed =
        limits.ratio * static_cast<double>(first_attempts_.size()) + std::floor(share);
    return static_cast<double>(retries_sent_.size() + 1) <= allowed;
}

bool service_retry_budget::try_retry(const service_retry_limits& limits, std::size_t vms,
                                     time_point now)
{
    if (!may_retry(limits, vms, now))
        return false;
    retries_sent_.push_back(now);
    return true;
}

void service_retry_budget::remove_expired(const service_retry_limits& limits, time_point now)
{
    drop_before(first_attempts_, now - limits.window);
    drop_before(retries_sent_, now - limits.window);
}

} // namespace zinnianotch
