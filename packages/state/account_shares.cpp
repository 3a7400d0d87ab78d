#include "state/account_shares.h"

#include "state/hash.h"

#include <algorithm>
#include <limits>

namespace zinnianotch
{

namespace
{

constexpr std::uint32_t pieces_limit = 1'000'000; // of one refused_pieces count

} // namespace

std::uint64_t account_key(std::string_view name)
{
    return avalanche(fnv_1a(fnv_offset_basis, name));
}

double max_min_level(std::vector<double> demands, double capacity)
{
    std::sort(demands.begin(), demands.end());
    double left = std::max(capacity, 0.0);
    for (std::size_t i = 0; i < demands.size(); ++i)
    {
        const double level = left / static_cast<double>(demands.size() - i);
        if (demands[i] > level)
            return level;
        left -= demands[i];
    }
    return std::numeric_limits<double>::infinity();
}

double share_of(const std::vector<account_share>& shares, std::uint64_t account,
                std::uint32_t priority)
{
    for (const account_share& entry : shares)
    {
        if (entry.account == account && entry.priority == priority)
            return entry.share;
    }
    return 1.0;
}

void account_rates::add(std::uint64_t account, std::uint32_t priority, std::uint32_t pieces,
                        time_point now)
{
    const std::pair key(priority, account);
    if (rates_.size() >= account_rates_max && !rates_.contains(key))
        merge_smallest(now);
    if (since_ == time_point{})
        since_ = now;
    rates_.try_emplace(key, account_rate_window, since_).first->second.add(pieces, now);
}

void account_rates::merge_smallest(time_point now)
{
    const auto smallest =
        std::min_element(rates_.begin(), rates_.end(),
                         [now](const auto& a, const auto& b)
                         { return a.second.per_second(now) < b.second.per_second(now); });
    merged_.try_emplace(smallest->first.first, account_rate_window, since_)
        .first->second.merge(smallest->second, now);
    rates_.erase(smallest);
}

std::vector<account_share> account_rates::above_share(std::uint32_t priority, double capacity,
                                                      time_point now) const
{
    std::vector<account_share> asked; // `share` holds the rate
    std::vector<double> demands;
    for (auto entry = rates_.lower_bound({priority, 0});
         entry != rates_.end() && entry->first.first == priority; ++entry)
    {
        demands.push_back(entry->second.per_second(now));
        asked.push_back({entry->first.second, priority, demands.back()});
    }
    const auto merged = merged_.find(priority);
    if (asked.size() < accounts_sharing_min && merged == merged_.end())
        return {}; // nobody to share with
    const double small = merged == merged_.end() ? 0.0 : merged->second.per_second(now);
    const double level = max_min_level(std::move(demands), capacity - small);
    std::erase_if(asked, [level](const account_share& entry) { return entry.share <= level; });
    for (account_share& entry : asked)
        entry.share = level / entry.share;
    return asked;
}

std::vector<std::uint32_t> account_rates::priorities() const
{
    std::vector<std::uint32_t> found;
    for (const auto& [key, rate] : rates_)
    {
        if (found.empty() || found.back() != key.first)
            found.push_back(key.first);
    }
    return found;
}

bool share_marker::is_within_share(std::uint64_t account, std::uint32_t priority, double share)
{
    if (share >= 1.0)
        return true;
    if (credits_.size() >= account_rates_max)
        credits_.clear();
    constexpr double phases = 1024.0;
    const auto phase = static_cast<double>(avalanche(account ^ seed_) % 1024) / phases;
    double& credit = credits_.try_emplace({priority, account}, phase).first->second;
    credit += std::max(share, 0.0);
    if (credit < 1.0)
        return false;
    credit -= 1.0;
    return true;
}

void refused_pieces::add(const std::string& queue, std::uint64_t account, std::uint32_t priority,
                         std::uint32_t pieces)
{
    if (pieces_.size() >= refused_pieces_max)
        pieces_.clear();
    std::uint32_t& count = pieces_[{queue, account, priority}];
    count += std::min(pieces, pieces_limit - std::min(count, pieces_limit));
}

std::uint32_t refused_pieces::take(const std::string& queue, std::uint64_t account,
                                   std::uint32_t priority)
{
    const auto found = pieces_.find({queue, account, priority});
    if (found == pieces_.end())
        return 0;
    const std::uint32_t pieces = found->second;
    pieces_.erase(found);
    return pieces;
}

} // namespace zinnianotch
