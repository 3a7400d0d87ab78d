// Load of all endpoints as known on this VM: own ones exactly, others by heartbeat.
#pragma once

#include "state/configuration.h"
#include "state/routing.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace zinnianotch
{

class load_map
{
public:
    // Adopts the summaries of a heartbeat, which count as known for `max_age`.
    void on_summaries(const std::vector<endpoint_summary>& summaries, milliseconds max_age,
                      time_point now);

    // This VM sends a call to the endpoint, or one of its calls ended.
    void on_sent(const std::string& endpoint);
    void on_finished(const std::string& endpoint);

    // A call lost the endpoint or its owner: the endpoint counts as without room until the next
    // heartbeat of its owner.
    void on_unreachable(const std::string& endpoint);

    // Endpoints of the pool that may be tried: not leaving, domain not out, not in `excluded`.
    // An endpoint whose summary is missing or too old is returned as unknown.
    std::vector<endpoint_summary> candidates(const configuration& config, const pool_config& pool,
                                             const std::set<std::string>& excluded,
                                             time_point now) const;

    // Summary of one endpoint, whatever its phase; unknown when none came within peer_timeout.
    endpoint_summary summary_of(const std::string& endpoint, time_point now) const;

    // All summaries of the failure domain that are still known, for the partners in other failure
    // domains.
    std::vector<endpoint_summary> recent(const std::string& domain, time_point now) const;

private:
    struct entry
    {
        endpoint_summary summary;
        time_point known_until{};
    };

    mutable std::mutex mutex_;
    std::map<std::string, entry> entries_;
};

} // namespace zinnianotch
