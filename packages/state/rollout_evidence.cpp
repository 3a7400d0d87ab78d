#include "state/rollout_evidence.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace zinnianotch
{

namespace
{

constexpr milliseconds slice_length_min{500};
// Slices before and after one whose answers of the old version are compared with it: reports of
// the same time arrive up to a report interval apart.
constexpr std::size_t slices_around = 1;
// The same in a wider window, which has enough answers of a rare route.
constexpr std::size_t slices_before_wide = 4;
// Bounds of durations by which an answer must be slower in `full` than before it: a burst can not
// be told from a bad version there.
constexpr std::size_t slow_buckets_full = 1;
// Answers of the old version from which a window is a measure.
constexpr std::uint64_t window_answers_min = 20;
// Weight of all domains' answers, as a number of them, in the estimate for one domain.
constexpr double domain_prior_answers = 10.0;

std::size_t index_of(std::vector<std::string>& names, const std::string& name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found != names.end())
        return static_cast<std::size_t>(found - names.begin());
    names.push_back(name);
    return names.size() - 1;
}

// Failures of the old version in one domain count up to this multiple of those in all: they may be
// those of one faulty endpoint, which must not hide a bad version.
constexpr double domain_failures_max = 1.5;
// Expected shares above this would make the logarithms unbounded.
constexpr double expected_share_max = 0.95;

template <typename Counts>
std::uint64_t slower_than(const Counts& by_duration, std::size_t bucket)
{
    std::uint64_t sum = 0;
    for (std::size_t i = bucket + 1; i < by_duration.size(); ++i)
        sum += by_duration[i];
    return sum;
}

template <typename Counts>
std::uint64_t sum_of(const Counts& by_duration)
{
    std::uint64_t sum = 0;
    for (const auto count : by_duration)
        sum += count;
    return sum;
}

double share_of(std::uint64_t part, std::uint64_t total)
{
    return (static_cast<double>(part) + 0.5) / (static_cast<double>(total) + 1.0);
}

// Share of a part of a population, as far as its own numbers tell.
double share_within(std::uint64_t part, std::uint64_t total, double usual)
{
    return (static_cast<double>(part) + domain_prior_answers * usual) /
           (static_cast<double>(total) + domain_prior_answers);
}

double log_likelihood_ratio(std::uint64_t bad, std::uint64_t total, double expected)
{
    const double worse = expected + (1.0 - expected) * rollout_bad_share;
    return static_cast<double>(bad) * std::log(worse / expected) +
           static_cast<double>(total - bad) * std::log((1.0 - worse) / (1.0 - expected));
}

// Index of the bound above which an answer is slow, given the old version's answers.
std::size_t slow_bucket_of(const std::array<std::uint64_t, rollout_buckets>& by_duration)
{
    const std::uint64_t total = sum_of(by_duration);
    std::size_t median_bucket = 0;
    std::uint64_t below = 0;
    while (median_bucket + 1 < rollout_buckets && 2 * (below + by_duration[median_bucket]) < total)
        below += by_duration[median_bucket++];
    const std::size_t last = rollout_duration_bounds_ms.size() - 1;
    if (median_bucket > last)
        return last;
    const double lower = median_bucket == 0 ? 0.0 : rollout_duration_bounds_ms[median_bucket - 1];
    const double upper = rollout_duration_bounds_ms[median_bucket];
    const auto in_bucket = static_cast<double>(by_duration[median_bucket]);
    const double part =
        in_bucket > 0.0
            ? (static_cast<double>(total) / 2.0 - static_cast<double>(below)) / in_bucket
            : 1.0;
    const double median = lower + part * (upper - lower);
    for (std::size_t bucket = median_bucket; bucket < last; ++bucket)
    {
        const auto slower = static_cast<double>(slower_than(by_duration, bucket));
        if (rollout_duration_bounds_ms[bucket] >= slow_factor * median &&
            slower <= slow_share_max * static_cast<double>(total))
            return bucket;
    }
    return last;
}

// Evidence by endpoint (by failure domain in `full`), summed over slices.
struct evidence_sum
{
    std::map<std::size_t, double> by_group;
    double total = 0.0;

    void add(std::size_t group, double evidence)
    {
        by_group[group] += evidence;
        total += evidence;
    }

    // That the version is worse rather than as good, but for at most one faulty group.
    double against_version() const
    {
        double worst = 0.0;
        for (const auto& [group, evidence] : by_group)
            worst = std::max(worst, evidence);
        return total - std::max(worst - faulty_endpoint_evidence, 0.0);
    }
};

// Failures and slow answers of one route, or of all.
struct route_sums
{
    evidence_sum failed;
    evidence_sum late;
    bool is_touched = false; // by the present slice

    void assess_from_here(bool has_one_endpoint, bool is_in_step, rollout_assessment& out) const
    {
        for (const evidence_sum* sum : {&failed, &late})
        {
            out.evidence =
                std::max(out.evidence, has_one_endpoint ? sum->total : sum->against_version());
            if (is_in_step && sum->by_group.size() == 1)
                out.single_evidence = std::max(out.single_evidence, sum->total);
        }
        // The evidence since the step began is the sum at its first slice.
        if (is_in_step)
            out.step_evidence = std::max(failed.against_version(), late.against_version());
    }
};

} // namespace

double bad_evidence()
{
    return std::log((1.0 - rollout_miss_rate) / rollout_false_alarm_rate);
}

double sound_evidence()
{
    return std::log(rollout_miss_rate / (1.0 - rollout_false_alarm_rate));
}

rollout_evidence::rollout_evidence(milliseconds duration_of_order)
    : slice_length_(
          std::max(slice_length_min, duration_of_order / static_cast<int>(rollout_max_slices)))
{
}

void rollout_evidence::add(const rollout_counts& growth, time_point now)
{
    if (routes_.size() >= rollout_max_routes &&
        std::find(routes_.begin(), routes_.end(), growth.route) == routes_.end())
        return;
    if (endpoints_.size() >= rollout_max_endpoints)
        return;
    const std::size_t route = index_of(routes_, growth.route);
    old_totals_.resize(routes_.size());
    const auto [found, is_new] = endpoint_indexes_.try_emplace(
        {growth.is_candidate ? growth.endpoint : std::string(), growth.domain}, endpoints_.size());
    if (is_new)
        endpoints_.push_back({index_of(domains_, growth.domain), growth.is_candidate, now});
    const endpoint_info& endpoint = endpoints_[found->second];

    if (slices_.empty() || now - slices_.back().begin >= slice_length_)
        slices_.emplace_back().begin = now;
    if (slices_.size() > rollout_max_slices)
        slices_.pop_front();
    answer_counts counts;
    counts.answers = growth.answers;
    counts.failures = growth.failures;
    std::copy(growth.by_duration.begin(), growth.by_duration.end(), counts.by_duration.begin());
    slice& last = slices_.back();
    if (endpoint.is_candidate)
    {
        const bool is_warm = now - endpoint.first_at >= endpoint_warm_up;
        last.samples[{route, found->second, is_warm}].add(counts);
        return;
    }
    last.old[{route, endpoint.domain}].add(counts);
    old_totals_[route].add(counts);
}

std::vector<rollout_assessment> rollout_evidence::assess(time_point step_began,
                                                         bool has_one_endpoint,
                                                         std::optional<time_point> full_since)
{
    // The last entry stands for all routes: with few requests, what is bad on all of them shows
    // first there.
    const std::size_t all = routes_.size();
    std::vector<rollout_assessment> result(all + 1);
    for (std::size_t route = 0; route < all; ++route)
    {
        result[route].route = routes_[route];
        result[route].old_answers = old_totals_[route].answers;
        result[route].old_failures = old_totals_[route].failures;
        result[all].old_answers += old_totals_[route].answers;
        result[all].old_failures += old_totals_[route].failures;
    }

    std::vector<route_sums> sums(all + 1);
    for (std::size_t i = slices_.size(); i-- > 0;)
    {
        const slice& of = slices_[i];
        const bool is_full = full_since && of.begin >= *full_since;
        const bool is_in_step = of.begin >= step_began;
        const std::vector<expectation>& expected = settled_expectation(i, is_full);
        for (const auto& [key, counts] : of.samples)
        {
            const auto [route, index, is_warm] = key;
            const endpoint_info& endpoint = endpoints_[index];
            const bool is_judged = old_totals_[route].answers >= old_answers_min;
            const expectation& share = expected[route * domains_.size() + endpoint.domain];
            // An answer that fails after its first byte counts in the slice of its failure.
            const std::uint64_t ended = std::max(counts.answers, counts.failures);
            const double failed = log_likelihood_ratio(counts.failures, ended, share.failures);
            const std::uint64_t timed = is_warm ? sum_of(counts.by_duration) : 0;
            const std::uint64_t slow_answers =
                is_warm ? slower_than(counts.by_duration, share.slow_bucket) : 0;
            const double late = log_likelihood_ratio(slow_answers, timed, share.slow);
            // Without the old version's answers at the same time, only a comparison between domains
            // tells a slow one from a bad version.
            const std::size_t group = full_since ? endpoint.domain : index;
            for (const std::size_t to : {route, all})
            {
                result[to].answers += counts.answers;
                result[to].failures += counts.failures;
                result[to].slow += slow_answers;
                result[to].step_answers += is_in_step ? counts.answers : 0;
                if (!is_judged)
                    continue;
                sums[to].is_touched = true;
                sums[to].failed.add(group, failed);
                if (timed > 0)
                    sums[to].late.add(group, late);
            }
        }
        for (std::size_t to = 0; to <= all; ++to)
        {
            if (sums[to].is_touched)
                sums[to].assess_from_here(has_one_endpoint, is_in_step, result[to]);
            sums[to].is_touched = false;
        }
    }
    return result;
}

void rollout_evidence::answer_counts::add(const answer_counts& other)
{
    answers += other.answers;
    failures += other.failures;
    for (std::size_t i = 0; i < rollout_buckets; ++i)
        by_duration[i] += other.by_duration[i];
}

const std::vector<rollout_evidence::expectation>&
rollout_evidence::settled_expectation(std::size_t at, bool is_full)
{
    slice& of = slices_[at];
    const std::size_t size = routes_.size() * domains_.size();
    if (!of.is_settled || of.expected.size() != size || of.is_expected_full != is_full)
    {
        of.expected = expected_at(at, is_full);
        of.is_expected_full = is_full;
        of.is_settled = at + slices_around + 1 < slices_.size();
    }
    return of.expected;
}

// Bad answers to expect in a slice, by route and failure domain: the larger one of the old
// version's shares in that domain and in all. They are those of the slices around it if these have
// enough answers, else those since the order.
std::vector<rollout_evidence::expectation> rollout_evidence::expected_at(std::size_t at,
                                                                         bool is_full) const
{
    const std::size_t domains = domains_.size();
    const std::size_t last = std::min(at + slices_around, slices_.size() - 1);
    const old_window narrow = old_answers(at - std::min(at, slices_around), last);
    const old_window wide = old_answers(at - std::min(at, slices_before_wide), last);
    std::vector<expectation> result(routes_.size() * domains);
    for (std::size_t route = 0; route < routes_.size(); ++route)
    {
        const bool is_narrow_enough = narrow.by_route[route].answers >= window_answers_min;
        const bool is_wide_enough = wide.by_route[route].answers >= window_answers_min;
        const answer_counts& usual = is_narrow_enough ? narrow.by_route[route]
                                     : is_wide_enough ? wide.by_route[route]
                                                      : old_totals_[route];
        std::size_t slow_bucket = slow_bucket_of(usual.by_duration);
        if (is_full)
            slow_bucket = std::min(slow_bucket + slow_buckets_full, rollout_buckets - 2);
        for (std::size_t domain = 0; domain < domains; ++domain)
        {
            expectation& out = result[route * domains + domain];
            out.slow_bucket = slow_bucket;
            out.failures = is_full ? expected_failures_min_full : expected_failures_min;
            out.slow = is_full ? expected_slow_min_full : expected_slow_min;
            const auto raise_to = [&](const answer_counts& all, const answer_counts& own)
            {
                const double failures = share_of(all.failures, all.answers);
                const double slow =
                    share_of(slower_than(all.by_duration, slow_bucket), sum_of(all.by_duration));
                const double own_failures = share_within(own.failures, own.answers, failures);
                out.failures =
                    std::max(out.failures, std::min(own_failures, domain_failures_max * failures));
                out.slow =
                    std::max(out.slow, share_within(slower_than(own.by_duration, slow_bucket),
                                                    sum_of(own.by_duration), slow));
            };
            const std::size_t cell = route * domains + domain;
            raise_to(is_wide_enough ? wide.by_route[route] : old_totals_[route],
                     wide.by_domain[cell]);
            if (is_narrow_enough)
                raise_to(narrow.by_route[route], narrow.by_domain[cell]);
            out.failures = std::min(out.failures, expected_share_max);
            out.slow = std::min(out.slow, expected_share_max);
        }
    }
    return result;
}

rollout_evidence::old_window rollout_evidence::old_answers(std::size_t first,
                                                           std::size_t last) const
{
    old_window result;
    result.by_domain.resize(routes_.size() * domains_.size());
    result.by_route.resize(routes_.size());
    for (std::size_t i = first; i <= last; ++i)
    {
        for (const auto& [key, counts] : slices_[i].old)
        {
            result.by_domain[key.first * domains_.size() + key.second].add(counts);
            result.by_route[key.first].add(counts);
        }
    }
    return result;
}

} // namespace zinnianotch
