#include "coordination/load_map.h"

namespace zinnianotch
{

void load_map::on_summaries(const std::vector<endpoint_summary>& summaries, milliseconds max_age,
                            time_point now)
{
    const std::lock_guard lock(mutex_);
    for (const endpoint_summary& summary : summaries)
    {
        entry& known = entries_[summary.id];
        known.summary = summary;
        known.summary.known = true;
        known.summary.sent_since_report = 0;
        known.known_until = now + max_age;
    }
}

void load_map::on_sent(const std::string& endpoint)
{
    const std::lock_guard lock(mutex_);
    ++entries_[endpoint].summary.sent_since_report;
}

void load_map::on_finished(const std::string& endpoint)
{
    const std::lock_guard lock(mutex_);
    endpoint_summary& summary = entries_[endpoint].summary;
    // If a summary that arrived in between already includes the call, decrement its count instead.
    if (summary.sent_since_report > 0)
        --summary.sent_since_report;
    else if (summary.in_flight > 0)
        --summary.in_flight;
}

void load_map::on_unreachable(const std::string& endpoint)
{
    const std::lock_guard lock(mutex_);
    entries_[endpoint].summary.limit = 0;
}

std::vector<endpoint_summary> load_map::candidates(const configuration& config,
                                                   const pool_config& pool,
                                                   const std::set<std::string>& excluded,
                                                   time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<endpoint_summary> found;
    for (const endpoint_config& endpoint : pool.endpoints)
    {
        if (endpoint.leaving || excluded.contains(endpoint.id) ||
            is_domain_out(config, endpoint.domain))
            continue;
        endpoint_summary summary;
        const auto known = entries_.find(endpoint.id);
        if (known != entries_.end())
            summary = known->second.summary;
        summary.id = endpoint.id;
        summary.domain = endpoint.domain;
        summary.known = known != entries_.end() && now <= known->second.known_until;
        if (summary.known && summary.phase == endpoint_phase::leaving)
            continue;
        found.push_back(std::move(summary));
    }
    return found;
}

endpoint_summary load_map::summary_of(const std::string& endpoint, time_point now) const
{
    const std::lock_guard lock(mutex_);
    const auto known = entries_.find(endpoint);
    if (known == entries_.end() || now > known->second.known_until)
        return {};
    return known->second.summary;
}

std::vector<endpoint_summary> load_map::recent_summaries(const std::string& domain,
                                                         time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<endpoint_summary> found;
    for (const auto& [id, known] : entries_)
    {
        if (known.summary.domain == domain && now <= known.known_until)
            found.push_back(known.summary);
    }
    return found;
}

} // namespace zinnianotch
