#include "state/endpoint_exit.h"

#include "state/enum_names.h"

#include <array>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 3> response_end_names = {"complete", "broken", "undecided"};

} // namespace

std::string_view to_string(response_end value)
{
    return name_of(response_end_names, value);
}

response_end judge_response_end(const endpoint_exit& known, time_point now)
{
    const auto is_before_end = [&](const std::optional<time_point>& at)
    { return at && *at <= known.ended_at; };
    const bool has_announced = is_before_end(known.announced_at);
    if ((!has_announced && !is_before_end(known.withdrawn_at)) || known.others_broke)
        return response_end::broken;
    if (has_announced && known.withdrawn_at &&
        *known.withdrawn_at >= known.ended_at - withdrawal_timeout)
        return response_end::complete;
    if (!known.withdrawn_at && !known.replaced && known.is_list_current)
        return now - known.ended_at < withdrawal_timeout ? response_end::undecided
                                                         : response_end::broken;
    // Its record tells nothing more.
    if (now - known.ended_at < crash_spread)
        return response_end::undecided;
    const time_point leaving_since = has_announced ? *known.announced_at : *known.withdrawn_at;
    return known.ended_at - leaving_since >= shortest_drain ? response_end::complete
                                                            : response_end::broken;
}

} // namespace zinnianotch
