#include "state/domain_reachability.h"

#include <algorithm>

namespace zinnianotch
{

bool domain_reachability::on_success(std::string_view domain)
{
    const auto found = domains_.find(domain);
    if (found == domains_.end())
        return false;
    const bool was_unreachable = is_unreachable(domain);
    domains_.erase(found);
    return was_unreachable;
}

bool domain_reachability::on_failure(std::string_view domain, const std::string& endpoint)
{
    on_dropped(domain, endpoint);
    const bool was_unreachable = is_unreachable(domain);
    domains_[std::string(domain)].failed.insert(endpoint);
    return !was_unreachable && is_unreachable(domain);
}

void domain_reachability::on_dropped(std::string_view domain, const std::string& endpoint)
{
    const auto found = domains_.find(domain);
    if (found != domains_.end() && found->second.probe == endpoint)
        found->second.probe.clear();
}

void domain_reachability::on_probe(std::string_view domain, const std::string& endpoint,
                                   time_point now)
{
    domain_state& state = domains_[std::string(domain)];
    state.probe = endpoint;
    state.probed_at = now;
}

void domain_reachability::forget(std::string_view domain, const std::string& endpoint)
{
    on_dropped(domain, endpoint);
    if (const auto found = domains_.find(domain); found != domains_.end())
        found->second.failed.erase(endpoint);
}

bool domain_reachability::is_unreachable(std::string_view domain) const
{
    const auto found = domains_.find(domain);
    return found != domains_.end() && found->second.failed.size() >= unreachable_domain_endpoints;
}

bool domain_reachability::may_probe(std::string_view domain, time_point now) const
{
    const auto found = domains_.find(domain);
    return found == domains_.end() ||
           (found->second.probe.empty() && now >= found->second.probed_at + domain_probe_interval);
}

std::vector<std::string> domain_reachability::due_probes(time_point now) const
{
    std::vector<std::string> due;
    for (const auto& [domain, state] : domains_)
    {
        if (is_unreachable(domain) && may_probe(domain, now))
            due.push_back(domain);
    }
    return due;
}

time_point domain_reachability::retry_at(std::string_view domain, time_point now) const
{
    const auto found = domains_.find(domain);
    if (found == domains_.end())
        return now;
    const time_point soon = now + milliseconds(1);
    if (!found->second.probe.empty())
        return soon;
    return std::max(soon, found->second.probed_at + domain_probe_interval);
}

std::size_t domain_reachability::unreachable() const
{
    return static_cast<std::size_t>(
        std::count_if(domains_.begin(), domains_.end(),
                      [&](const auto& entry)
                      { return entry.second.failed.size() >= unreachable_domain_endpoints; }));
}

} // namespace zinnianotch
