// How long the stages of each service have taken lately, queueing included.
//
// It answers bursts: while a queue grows, the time by the service's figures is far too short, and a
// request that is bound to be late at its last stage would use up the first ones.
#pragma once

#include "state/time.h"

#include <map>
#include <string>
#include <string_view>

namespace zinnianotch
{

// Weight of the newest stage in the moving average; some ten stages decide.
inline constexpr double stage_time_weight = 0.1;
// An average without news for so long no longer counts: the burst is over.
inline constexpr milliseconds stage_time_max_age{1500};

class observed_stage_times
{
public:
    // A stage that was in time when it was queued has taken so long.
    void record(const std::string& service, milliseconds elapsed, time_point now);

    // The longer one of the average and `usual`, the time by the service's figures.
    milliseconds expected(std::string_view service, milliseconds nominal, time_point now) const;

private:
    struct average
    {
        double ms = 0.0;
        time_point at{};
    };

    std::map<std::string, average, std::less<>> averages_;
};

} // namespace zinnianotch
