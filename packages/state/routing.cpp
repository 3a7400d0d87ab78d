#include "state/routing.h"

#include "state/enum_names.h"

#include <algorithm>
#include <array>
#include <limits>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 3> routing_kind_names = {"least_load", "round_robin",
                                                                "least_reported_load"};

constexpr milliseconds retry_window{10'000};
constexpr std::uint32_t base_retry_allowance = 10; // allows retries in a pool with little traffic

constexpr std::size_t stage_samples_max = 64;
constexpr std::size_t stage_samples_min = 5; // the median of fewer samples is unreliable

// An endpoint without a recent heartbeat report is tried with one call at a time.
std::uint32_t effective_limit(const endpoint_summary& endpoint)
{
    return endpoint.known ? endpoint.limit : 1;
}

bool has_room(const endpoint_summary& endpoint)
{
    return endpoint.phase != endpoint_phase::leaving &&
           std::uint64_t{endpoint.in_flight} + endpoint.sent_since_report <
               effective_limit(endpoint);
}

// Compares (load + 1) / limit of two endpoints. An endpoint with limit 0 ranks last.
bool is_less_loaded(std::uint64_t left_load, std::uint32_t left_limit, std::uint64_t right_load,
                    std::uint32_t right_limit)
{
    if (left_limit == 0 || right_limit == 0)
        return left_limit > right_limit;
    return (left_load + 1) * right_limit < (right_load + 1) * left_limit;
}

// Returns the first best candidate by `is_better`. The scan starts at an index that depends on the
// request number, so that equal candidates share the load.
template <typename IsBetter>
std::size_t choose_best(const std::vector<endpoint_summary>& candidates, const routing_query& query,
                        IsBetter is_better)
{
    const std::size_t count = candidates.size();
    const std::size_t start = query.request_number % count;
    std::size_t best = start;
    for (std::size_t i = 1; i < count; ++i)
    {
        const std::size_t index = (start + i) % count;
        if (is_better(candidates[index], candidates[best]))
            best = index;
    }
    return best;
}

} // namespace

std::string_view to_string(routing_kind value)
{
    return name_of(routing_kind_names, value);
}

bool from_string(std::string_view name, routing_kind& out)
{
    return value_of(routing_kind_names, name, out);
}

std::size_t least_load::choose(const std::vector<endpoint_summary>& candidates,
                               const routing_query& query) const
{
    const auto rank = [&](const endpoint_summary& endpoint)
    {
        if (!has_room(endpoint))
            return endpoint.phase == endpoint_phase::leaving ? 3 : 2;
        return endpoint.domain == query.own_domain ? 0 : 1;
    };
    const auto is_better = [&](const endpoint_summary& left, const endpoint_summary& right)
    {
        const int left_rank = rank(left);
        const int right_rank = rank(right);
        if (left_rank != right_rank)
            return left_rank < right_rank;
        return is_less_loaded(
            std::uint64_t{left.in_flight} + left.sent_since_report, effective_limit(left),
            std::uint64_t{right.in_flight} + right.sent_since_report, effective_limit(right));
    };
    return choose_best(candidates, query, is_better);
}

std::size_t round_robin::choose(const std::vector<endpoint_summary>& candidates,
                                const routing_query& query) const
{
    return query.request_number % candidates.size();
}

std::size_t least_reported_load::choose(const std::vector<endpoint_summary>& candidates,
                                        const routing_query& query) const
{
    const auto is_better = [](const endpoint_summary& left, const endpoint_summary& right)
    {
        return is_less_loaded(left.in_flight, effective_limit(left), right.in_flight,
                              effective_limit(right));
    };
    return choose_best(candidates, query, is_better);
}

void retry_budget::on_first_attempt(time_point now)
{
    advance_window(now);
    ++attempts_;
}

bool retry_budget::try_retry(std::uint32_t retry_percent, time_point now)
{
    advance_window(now);
    const std::uint64_t attempts = std::uint64_t{attempts_} + previous_attempts_;
    const std::uint64_t allowed = attempts * retry_percent / 100 + base_retry_allowance;
    if (std::uint64_t{retries_} + previous_retries_ >= allowed)
        return false;
    ++retries_;
    return true;
}

// The sliding window consists of the current and the previous interval. Retries are carried over
// like attempts: if only the attempts were, the retries could reach twice the allowed percentage.
void retry_budget::advance_window(time_point now)
{
    const auto elapsed = now - window_start_;
    if (elapsed < retry_window)
        return;
    const bool is_adjacent = elapsed < 2 * retry_window;
    previous_attempts_ = is_adjacent ? attempts_ : 0;
    previous_retries_ = is_adjacent ? retries_ : 0;
    attempts_ = 0;
    retries_ = 0;
    window_start_ = is_adjacent ? window_start_ + retry_window : now;
}

void stage_durations::record(const std::string& stage, milliseconds elapsed)
{
    std::vector<std::uint32_t>& samples = samples_[stage];
    if (samples.size() == stage_samples_max)
        samples.erase(samples.begin());
    const std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
    const std::int64_t bounded = std::clamp<std::int64_t>(elapsed.count(), 0, longest);
    samples.push_back(static_cast<std::uint32_t>(bounded));
}

milliseconds stage_durations::median(const std::string& stage) const
{
    const auto found = samples_.find(stage);
    if (found == samples_.end() || found->second.size() < stage_samples_min)
        return milliseconds{0};
    std::vector<std::uint32_t> samples = found->second;
    const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
    std::nth_element(samples.begin(), middle, samples.end());
    return milliseconds{*middle};
}

milliseconds stage_time_budget(const pipeline_config& pipeline, std::size_t index,
                               const stage_durations& times, time_point deadline, time_point now)
{
    milliseconds left = std::chrono::floor<milliseconds>(deadline - now);
    for (std::size_t i = index + 1; i < pipeline.stages.size(); ++i)
        left -= times.median(pipeline.stages[i].name);
    return left;
}

} // namespace zinnianotch
