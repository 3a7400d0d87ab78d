// Recent durations of the stages of each service, including queueing.
//
// During a burst the configured times of a service are far too short, and a request that will be
// late at its last stage would waste capacity in the earlier ones.
#pragma once

#include "state/time.h"

#include <map>
#include <string>
#include <string_view>

namespace zinnianotch
{

// Weight of the newest stage in the moving average, which covers about the last ten stages.
inline constexpr double stage_time_weight = 0.1;
// An average that has not been updated for this long is ignored: the burst is over.
inline constexpr milliseconds stage_time_max_age{1500};

class observed_stage_times
{
public:
    // Adds the duration of a stage that was on time when it was queued.
    void record(const std::string& service, milliseconds elapsed, time_point now);

    // The longer of the average and `nominal`, the time by the service's configuration.
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
