// Recognizes failure domains that cannot be reached, from the calls to their endpoints that fail.
#pragma once

#include "state/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// A domain counts as unreachable once calls to this many of its endpoints have failed since the
// last one that succeeded there. One endpoint alone may have crashed.
inline constexpr std::size_t unreachable_domain_endpoints = 2;
// Interval between calls to an unreachable domain, to detect that it is back.
inline constexpr milliseconds domain_probe_interval{500};

class domain_reachability
{
public:
    // True if the domain was unreachable before.
    bool on_success(std::string_view domain);
    // True if the domain has become unreachable.
    bool on_failure(std::string_view domain, const std::string& endpoint);
    // A call ended that says nothing about the domain.
    void on_dropped(std::string_view domain, const std::string& endpoint);
    // A call to an unreachable domain was sent.
    void on_probe(std::string_view domain, const std::string& endpoint, time_point now);
    // The endpoint is no longer listed.
    void forget(std::string_view domain, const std::string& endpoint);

    bool is_unreachable(std::string_view domain) const;
    // True if an unreachable domain may get a call: one at a time, once per domain_probe_interval.
    bool may_probe(std::string_view domain, time_point now) const;
    // Unreachable domains that may get a call.
    std::vector<std::string> due_probes(time_point now) const;
    // Earliest time at which an unreachable domain may turn out to be reachable.
    time_point retry_at(std::string_view domain, time_point now) const;
    std::size_t unreachable() const;

private:
    struct domain_state
    {
        std::set<std::string> failed; // endpoints with a failed call since the last success
        std::string probe;            // endpoint with a call while the domain is unreachable
        time_point probed_at{};
    };

    std::map<std::string, domain_state, std::less<>> domains_;
};

} // namespace zinnianotch
