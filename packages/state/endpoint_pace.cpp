#include "state/endpoint_pace.h"

#include <algorithm>
#include <cmath>

namespace zinnianotch
{

namespace
{

// Ages in units of a decay time beyond which the rest is not worth an exponential.
constexpr double decayed_away = 4.0;
// Routes whose times are kept; a configuration that changes often must not add up.
constexpr std::size_t max_plain_routes = 256;

double ratio(time_point now, time_point at, milliseconds unit)
{
    return std::chrono::duration<double, std::milli>(now - at).count() /
           static_cast<double>(unit.count());
}

double decayed(double value, time_point now, time_point at, milliseconds time)
{
    const double age = ratio(now, at, time);
    return value == 0.0 || age > decayed_away ? 0.0 : value * std::exp(-std::max(0.0, age));
}

double clamped_log(double factor)
{
    return std::log(std::clamp(factor, 1.0 / pace_sample_max, pace_sample_max));
}

double average_weight(double& samples)
{
    samples += 1.0;
    return std::max(1.0 / samples, work_rate_weight);
}

} // namespace

void endpoint_pace::add(double log_factor, double weight, time_point now)
{
    const double keep = weight_ > 0.0 ? std::exp2(-ratio(now, at_, pace_half_life)) : 0.0;
    sum_ = sum_ * keep + log_factor * weight;
    weight_ = weight_ * keep + weight;
    at_ = now;
}

void endpoint_pace::on_sample(double factor, double weight, time_point now)
{
    const double sample = clamped_log(factor);
    recent_ = sample - lasting_log(now);
    recent_at_ = now;
    add(sample, weight, now);
}

void endpoint_pace::on_shared_sample(double factor, double weight, time_point now)
{
    add(clamped_log(factor), weight, now);
}

void endpoint_pace::on_wait(double ms, double weight, time_point now)
{
    const double before = wait_ms(ms, now);
    wait_ms_ = before + weight * (ms - before);
    waited_at_ = now;
}

double endpoint_pace::wait_ms(double average_ms, time_point now) const
{
    return average_ms + decayed(wait_ms_ - average_ms, now, waited_at_, wait_time);
}

void endpoint_pace::on_report(double factor, time_point now)
{
    reported_ = clamped_log(factor);
    reported_at_ = now;
}

double endpoint_pace::lasting_log(time_point now) const
{
    if (weight_ == 0.0)
        return 0.0;
    const double keep = std::exp2(-ratio(now, at_, pace_half_life));
    return sum_ * keep / (pace_prior + weight_ * keep);
}

double endpoint_pace::lasting_slowness(time_point now) const
{
    return std::exp(lasting_log(now));
}

double endpoint_pace::slowness(time_point now) const
{
    const double sum =
        lasting_log(now) + decayed(recent_ * recent_pace_share, now, recent_at_, recent_pace_time) +
        decayed(reported_ * reported_pace_share, now, reported_at_, reported_pace_time);
    return sum == 0.0 ? 1.0 : std::clamp(std::exp(sum), 1.0 / slowness_max, slowness_max);
}

backlog_item* endpoint_backlog::find(std::uint64_t id)
{
    const auto found = std::find_if(items_.begin(), items_.end(),
                                    [&](const backlog_item& item) { return item.id == id; });
    return found == items_.end() ? nullptr : &*found;
}

void endpoint_backlog::add(const backlog_item& item)
{
    items_.push_back(item);
    unread_ += item.unread;
    memory_ += item.memory;
}

void endpoint_backlog::on_begun(std::uint64_t id)
{
    backlog_item* const item = find(id);
    if (item == nullptr)
        return;
    unread_ -= item->unread;
    item->unread = 0.0;
    item->begun = true;
}

void endpoint_backlog::remove(std::uint64_t id)
{
    const backlog_item* const item = find(id);
    if (item == nullptr)
        return;
    unread_ -= item->unread;
    memory_ -= item->memory;
    items_.erase(items_.begin() + (item - items_.data()));
    // Rounding errors must not add up.
    if (items_.empty())
        unread_ = memory_ = 0.0;
}

bool fits_memory(const memory_use& held, double request_tokens, double memory_tokens)
{
    const double used = held.own_tokens + held.others * held.tokens_per_request;
    return used <= 0.0 || used + request_tokens <= memory_tokens;
}

double endpoint_backlog::overdue(time_point now) const
{
    double longest = 0.0;
    for (const backlog_item& item : items_)
    {
        if (item.begun || item.expected_ms <= 0.0)
            continue;
        const double waited = std::chrono::duration<double, std::milli>(now - item.sent_at).count();
        longest = std::max(longest, waited / item.expected_ms);
    }
    return longest;
}

void work_rates::on_first_byte(double tokens, double elapsed_ms)
{
    const bool is_late = knows_first_byte() && elapsed_ms > first_byte_ms(tokens);
    const double weight = average_weight(samples_) * (is_late ? late_sample_weight : 1.0);
    const double tokens_off = tokens - mean_tokens_;
    const double ms_off = elapsed_ms - mean_ms_;
    mean_tokens_ += weight * tokens_off;
    mean_ms_ += weight * ms_off;
    variance_ = (1.0 - weight) * (variance_ + weight * tokens_off * tokens_off);
    covariance_ = (1.0 - weight) * (covariance_ + weight * tokens_off * ms_off);
    // Neither part of the time is negative, whatever a few samples say.
    const double slope = variance_ > 0.0 ? covariance_ / variance_ : 0.0;
    const double steepest = mean_tokens_ > 0.0 ? mean_ms_ / mean_tokens_ : 0.0;
    token_read_ms_ = std::clamp(slope, 0.0, steepest);
    base_ms_ = mean_ms_ - token_read_ms_ * mean_tokens_;
}

void work_rates::on_wait(double ms)
{
    wait_ms_ += (ms - wait_ms_) * average_weight(waits_);
}

void work_rates::on_tokens(double tokens, double elapsed_ms)
{
    if (tokens <= 0.0)
        return;
    token_made_ms_ += (elapsed_ms / tokens - token_made_ms_) * average_weight(token_samples_);
}

void work_rates::on_plain(const std::string& route, double elapsed_ms)
{
    if (plain_.size() >= max_plain_routes && !plain_.contains(route))
        plain_.clear();
    plain_time& time = plain_[route];
    time.mean_ms += (elapsed_ms - time.mean_ms) * average_weight(time.samples);
}

void work_rates::on_end(double total_ms, double memory)
{
    const double weight = average_weight(ended_);
    total_ms_ += (total_ms - total_ms_) * weight;
    memory_ += (memory - memory_) * weight;
}

bool work_rates::knows_plain(std::string_view route) const
{
    const auto found = plain_.find(route);
    return found != plain_.end() && found->second.samples >= min_work_samples;
}

double work_rates::plain_ms(std::string_view route) const
{
    const auto found = plain_.find(route);
    return found == plain_.end() ? 0.0 : found->second.mean_ms;
}

} // namespace zinnianotch
