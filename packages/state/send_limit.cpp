#include "state/send_limit.h"

#include "state/shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace zinnianotch
{

namespace
{

// Up to this rate one VM sends all requests.
constexpr double single_sender_limit = 0.25;

time_point::duration to_duration(double seconds)
{
    return std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(seconds));
}

double probe_rate()
{
    return 1.0 / std::chrono::duration<double>(limit_probe_interval).count();
}

} // namespace

// In any window, each sender may send one request, and a burst, more than its share; what they add
// up to stays small beside the limit.
std::size_t limit_senders(double limit)
{
    if (limit < single_sender_limit)
        return 1;
    return static_cast<std::size_t>(std::min({4.0 * limit + 2.0, 1.75 * limit + 4.0, 1e6}));
}

limit_share share_of_limit(double limit, std::string_view endpoint, std::string_view own,
                           const std::vector<std::string>& vms)
{
    const rendezvous_key key(endpoint);
    const std::uint64_t weight = key.weight(own);
    std::size_t rank = 0;
    std::size_t count = 1;
    for (const std::string& vm : vms)
    {
        if (vm == own)
            continue;
        ++count;
        const std::uint64_t other = key.weight(vm);
        rank += other > weight || (other == weight && vm < own) ? 1 : 0;
    }
    const std::size_t senders = std::min(limit_senders(limit), count);
    if (rank >= senders)
        return {0.0, rank};
    return {std::max(limit / static_cast<double>(senders), probe_rate()), rank};
}

void send_limit::set(double limit, const limit_share& share, time_point now)
{
    limit_ = limit;
    share_ = share;
    named_at_ = now;
}

bool send_limit::expire(time_point now)
{
    if (!limit_ ||
        now - named_at_ <= limit_expiry + limit_expiry_per_rank * static_cast<int>(share_.rank))
        return false;
    clear();
    return true;
}

void send_limit::on_sent(time_point now)
{
    sends_.push_back(now);
    if (sends_.size() > limit_burst_max)
        sends_.pop_front();
}

time_point send_limit::next_at(double rate, time_point now) const
{
    const double burst_time = std::chrono::duration<double>(limit_burst_time).count();
    const double burst =
        std::clamp(std::floor(rate * burst_time), 1.0, static_cast<double>(limit_burst_max));
    const auto count = static_cast<std::size_t>(burst);
    if (sends_.size() < count)
        return now;
    return sends_[sends_.size() - count] + to_duration(burst / rate);
}

time_point send_limit::next_send_at(time_point now) const
{
    if (!limit_)
        return now;
    if (share_.rate <= 0.0)
        return now + std::max<time_point::duration>(
                         limit_elsewhere_min, to_duration(1.0 / std::max(*limit_, probe_rate())));
    return next_at(share_.rate, now);
}

time_point send_limit::next_call_at(time_point now) const
{
    if (!limit_)
        return now;
    return next_at(std::max(stage_limit_usage * *limit_, probe_rate()), now);
}

bool send_limit::take_report(time_point now)
{
    if (!limit_ || now - reported_at_ < limit_report_interval)
        return false;
    reported_at_ = now;
    return true;
}

} // namespace zinnianotch
