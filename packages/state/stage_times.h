// Recent durations of the stages of each service, including queueing, and of single steps.
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

// Weight of the newest time in a time_estimate.
inline constexpr double time_estimate_weight = 0.1;
// Deviations that upper_bound adds to the mean; about nine times in ten are then below it.
inline constexpr double time_estimate_deviations = 2.5;

// Mean and mean deviation of a time that varies from request to request. Under overload, work is
// done shortly before its latest time, so one that relies on the mean makes every second one late.
class time_estimate
{
public:
    void record(milliseconds elapsed);
    milliseconds upper_bound() const;

private:
    bool known_ = false;
    double mean_ms_ = 0.0;
    double deviation_ms_ = 0.0;
};

} // namespace zinnianotch
