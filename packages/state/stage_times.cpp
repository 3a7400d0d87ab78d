#include "state/stage_times.h"

#include <algorithm>
#include <cmath>

namespace zinnianotch
{

void observed_stage_times::record(const std::string& service, milliseconds elapsed, time_point now)
{
    const auto taken = static_cast<double>(elapsed.count());
    const auto [entry, added] = averages_.try_emplace(service, average{taken, now});
    average& known = entry->second;
    if (!added && now - known.at > stage_time_max_age)
        known.ms = taken;
    known.ms += stage_time_weight * (taken - known.ms);
    known.at = now;
}

milliseconds observed_stage_times::expected(std::string_view service, milliseconds nominal,
                                            time_point now) const
{
    const auto found = averages_.find(service);
    if (found == averages_.end() || now - found->second.at > stage_time_max_age)
        return nominal;
    return std::max(nominal, milliseconds(static_cast<std::int64_t>(found->second.ms)));
}

void time_estimate::record(milliseconds elapsed)
{
    const auto taken = static_cast<double>(elapsed.count());
    if (!known_)
    {
        known_ = true;
        mean_ms_ = taken;
        deviation_ms_ = taken / 2.0;
        return;
    }
    deviation_ms_ += time_estimate_weight * (std::abs(taken - mean_ms_) - deviation_ms_);
    mean_ms_ += time_estimate_weight * (taken - mean_ms_);
}

milliseconds time_estimate::upper_bound() const
{
    return milliseconds(std::llround(mean_ms_ + time_estimate_deviations * deviation_ms_));
}

} // namespace zinnianotch
