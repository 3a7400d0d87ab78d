#include "state/domain_reachability.h"

namespace zinnianotch
{

void domain_reachability::on_success(std::string_view domain)
{
    if (const auto found = domains_.find(domain); found != domains_.end())
        domains_.erase(found);
}

void domain_reachability::on_failure(std::string_view domain, const std::string& endpoint)
{
    on_dropped(domain, endpoint);
    domains_[std::string(domain)].failed.insert(endpoint);
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

} // namespace zinnianotch
