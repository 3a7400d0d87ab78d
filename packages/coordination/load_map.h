// Load of all endpoints as known to this VM: exact for the endpoints that it owns, from heartbeats
// for all others, plus the calls that it has sent since.
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
    // Stores the summaries of a heartbeat; they count as known for `max_age` from `now`.
    void on_summaries(const std::vector<endpoint_summary>& summaries, milliseconds max_age,
                      time_point now);

    // Called when this VM sends a call to the endpoint, and when such a call ends.
    void on_sent(const std::string& endpoint);
    void on_finished(const std::string& endpoint);

    // A call could not reach the endpoint or its owner: the endpoint's limit counts as 0 until the
    // next summary arrives.
    void on_unreachable(const std::string& endpoint);

    // Endpoints of the pool that may be tried: not leaving, in a failure domain that is not taken
    // out of service, and not in `excluded`. An endpoint whose summary is missing or too old is
    // returned with known == false.
    std::vector<endpoint_summary> candidates(const configuration& config, const pool_config& pool,
                                             const std::set<std::string>& excluded,
                                             time_point now) const;

    // Summary of one endpoint in any phase; known == false if it is missing or too old.
    endpoint_summary summary_of(const std::string& endpoint, time_point now) const;

    // All summaries of the failure domain that are not too old, for heartbeat partners in other
    // failure domains.
    std::vector<endpoint_summary> recent_summaries(const std::string& domain, time_point now) const;

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
