#include "state/rollout_samples.h"

#include <algorithm>
#include <utility>

namespace zinnianotch
{

namespace
{

// Answers of the old version from which its typical time is taken.
constexpr std::uint32_t typical_answers_min = 4;

std::size_t bucket_of(milliseconds elapsed)
{
    const auto found =
        std::lower_bound(rollout_duration_bounds_ms.begin(), rollout_duration_bounds_ms.end(),
                         std::max<milliseconds::rep>(elapsed.count(), 0));
    return static_cast<std::size_t>(found - rollout_duration_bounds_ms.begin());
}

} // namespace

rollout_samples::rollout_samples(std::string vm, std::uint64_t lifetime, std::string service,
                                 std::uint64_t order)
    : vm_(std::move(vm)), lifetime_(lifetime), service_(std::move(service)), order_(order)
{
}

std::uint64_t rollout_samples::on_sent(const rollout_attempt& attempt, time_point now)
{
    sent_ += attempt.is_retry ? 0 : 1;
    candidate_sent_ += attempt.is_candidate ? 1 : 0;
    const std::uint64_t number = next_number_++;
    if (awaited_.size() >= max_awaited_attempts)
        return number;
    if (!attempt.is_candidate)
    {
        ++old_in_flight_;
        old_unrepeatable_ += attempt.is_repeatable ? 0 : 1;
    }
    awaited_.emplace(number, awaited_attempt{attempt, now, false});
    return number;
}

void rollout_samples::on_first_byte(std::uint64_t number, time_point now)
{
    const auto found = awaited_.find(number);
    if (found == awaited_.end())
        return;
    count_duration(found->second,
                   std::chrono::duration_cast<milliseconds>(now - found->second.sent_at));
}

void rollout_samples::on_failed(std::uint64_t number, time_point)
{
    const auto found = awaited_.find(number);
    if (found == awaited_.end())
        return;
    rollout_counts& counts = changed_entry(found->second.attempt).counts;
    ++counts.failures;
    counts.answers += found->second.is_counted ? 0 : 1;
    on_ended(number);
}

void rollout_samples::on_ended(std::uint64_t number)
{
    const auto found = awaited_.find(number);
    if (found == awaited_.end())
        return;
    if (!found->second.attempt.is_candidate)
    {
        --old_in_flight_;
        old_unrepeatable_ -= found->second.attempt.is_repeatable ? 0 : 1;
    }
    awaited_.erase(found);
}

rollout_report rollout_samples::report(const std::string& receiver, rollout_phase phase,
                                       milliseconds age, time_point now)
{
    count_overlong(now);
    rollout_report report;
    report.vm = vm_;
    report.lifetime = lifetime_;
    report.sequence = ++sequence_;
    report.service = service_;
    report.order = order_;
    report.phase = phase;
    report.sent = sent_;
    report.candidate_sent = candidate_sent_;
    report.old_in_flight = old_in_flight_;
    report.old_unrepeatable = old_unrepeatable_;
    report.age = age;

    receiver_state& state = reported_[receiver];
    if (++state.reports % complete_report_interval == 0)
        state.changed = 0;
    std::vector<const counts_entry*> changed;
    for (const auto& [key, entry] : entries_)
    {
        if (entry.changed > state.changed)
            changed.push_back(&entry);
    }
    // The longest unreported go first, so that what does not fit is the next report's beginning.
    std::sort(changed.begin(), changed.end(),
              [](const counts_entry* a, const counts_entry* b) { return a->changed < b->changed; });
    if (changed.size() > rollout_max_counts)
        changed.resize(rollout_max_counts);
    for (const counts_entry* entry : changed)
        report.counts.push_back(entry->counts);
    if (!changed.empty())
        state.changed = changed.back()->changed;
    return report;
}

void rollout_samples::on_report_lost(const std::string& receiver)
{
    reported_.erase(receiver);
}

rollout_samples::counts_entry& rollout_samples::changed_entry(const rollout_attempt& attempt)
{
    counts_key key(attempt.route, attempt.is_candidate ? attempt.endpoint : std::string(),
                   attempt.domain);
    const auto [found, is_new] = entries_.try_emplace(key);
    counts_entry& entry = found->second;
    if (is_new)
    {
        entry.counts.route = attempt.route;
        entry.counts.endpoint = std::get<1>(key);
        entry.counts.domain = attempt.domain;
        entry.counts.is_candidate = attempt.is_candidate;
    }
    entry.changed = ++change_;
    return entry;
}

void rollout_samples::count_duration(awaited_attempt& of, milliseconds elapsed)
{
    if (of.is_counted)
        return;
    of.is_counted = true;
    rollout_counts& counts = changed_entry(of.attempt).counts;
    ++counts.answers;
    ++counts.by_duration[bucket_of(elapsed)];
}

void rollout_samples::count_overlong(time_point now)
{
    std::map<std::string, milliseconds> overlong;
    for (auto& [number, attempt] : awaited_)
    {
        if (attempt.is_counted || now - attempt.sent_at < overlong_min)
            continue;
        const auto [found, is_new] = overlong.try_emplace(attempt.attempt.route);
        if (is_new)
            found->second = overlong_after(found->first);
        const auto waited = std::chrono::duration_cast<milliseconds>(now - attempt.sent_at);
        if (waited >= found->second)
            count_duration(attempt, waited);
    }
}

milliseconds rollout_samples::overlong_after(const std::string& route) const
{
    std::array<std::uint32_t, rollout_buckets> durations{};
    std::uint32_t total = 0;
    for (auto entry = entries_.lower_bound(counts_key(route, "", ""));
         entry != entries_.end() && std::get<0>(entry->first) == route &&
         std::get<1>(entry->first).empty();
         ++entry)
    {
        for (std::size_t i = 0; i < rollout_buckets; ++i)
        {
            durations[i] += entry->second.counts.by_duration[i];
            total += entry->second.counts.by_duration[i];
        }
    }
    constexpr milliseconds longest{rollout_duration_bounds_ms.back()};
    if (total < typical_answers_min)
        return longest;
    std::uint32_t below = 0;
    for (std::size_t i = 0; i < rollout_duration_bounds_ms.size(); ++i)
    {
        below += durations[i];
        if (2 * below < total)
            continue;
        const milliseconds late(
            static_cast<milliseconds::rep>(overlong_factor * rollout_duration_bounds_ms[i]));
        return std::clamp(late, overlong_min, longest);
    }
    return longest;
}

} // namespace zinnianotch
