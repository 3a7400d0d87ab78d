#include "state/work_book.h"

#include <algorithm>
#include <utility>

namespace zinnianotch
{

namespace
{

// VMs that have sent nothing for this long are forgotten.
constexpr milliseconds origin_expiry{60'000};

} // namespace

void pace_exchange::add(const pace_sample& sample)
{
    if (own_.size() < max_pace_samples)
        own_.push_back(sample);
}

void pace_exchange::add_limit(const limit_report& report)
{
    std::erase_if(own_limits_,
                  [&](const limit_report& each) { return each.endpoint == report.endpoint; });
    if (own_limits_.size() < max_pace_samples)
        own_limits_.push_back(report);
}

bool pace_exchange::on_report(const pace_report& report, bool from_accepted, time_point now)
{
    if (report.origin == origin_ || report.samples.size() > max_pace_samples ||
        report.limits.size() > max_pace_samples)
        return false;
    origin_state& known = heard_[report.origin];
    if (known.at != time_point{} && report.sequence <= known.sequence)
        return false;
    known = {report.sequence, now};
    if (waiting_.to_accepted.size() < max_pace_reports)
    {
        waiting_.to_accepted.push_back(report);
        if (from_accepted)
            waiting_.to_made.push_back(report);
    }
    return true;
}

outgoing_pace pace_exchange::take(time_point now)
{
    if (now - sent_at_ < pace_share_interval)
        return {};
    sent_at_ = now;
    std::erase_if(heard_, [&](const auto& entry) { return now - entry.second.at > origin_expiry; });
    if (!own_.empty() || !own_limits_.empty())
    {
        const pace_report report{origin_, ++sequence_, std::exchange(own_, {}),
                                 std::exchange(own_limits_, {})};
        waiting_.to_accepted.push_back(report);
        waiting_.to_made.push_back(report);
    }
    return std::exchange(waiting_, {});
}

void work_book::on_pace_reported(const std::string& service, time_point now)
{
    services_[service].reported_at = now;
}

bool work_book::is_observed(std::string_view service, time_point now) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.reported_at != time_point{} &&
           now - found->second.reported_at <= pace_report_expiry;
}

bool work_book::is_timed(std::string_view service, std::string_view route, bool has_prompt,
                         time_point now) const
{
    if (!is_observed(service, now))
        return false;
    const work_rates& rates = services_.find(service)->second.rates;
    return has_prompt ? rates.knows_first_byte() : rates.knows_plain(route);
}

request_work work_book::estimate(std::string_view service, std::string_view route,
                                 const request_size& size, milliseconds goal_left,
                                 time_point now) const
{
    request_work work;
    work.goal_left = goal_left;
    double tokens = 0.0;
    for (const prompt_part& part : size.parts)
        tokens += part.tokens;
    work.prompt_tokens = std::max<double>(tokens, size.prompt_tokens);
    work.output_tokens = lengths.expected(route, size, now);
    if (!size.parts.empty())
    {
        work.shared_tokens = tokens - size.parts.back().tokens;
        work.cached = prompts.holders(size.parts, now);
    }
    const auto found = services_.find(service);
    if (found != services_.end())
        work.plain_ms = found->second.rates.plain_ms(route);
    return work;
}

} // namespace zinnianotch
