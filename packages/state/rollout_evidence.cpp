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
// Factor by which a bad version's slow answers take longer, at the least.
constexpr double slow_factor = 3.0;
// Factor by which a good version's answers may take longer, and the same in `full`, where a burst
// can not be told from a slower version.
constexpr double tolerated_factor = 1.15;
constexpr double tolerated_factor_full = 1.5;
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

double log_likelihood_ratio(std::uint64_t bad, std::uint64_t total, double expected, double worse)
{
    return static_cast<double>(bad) * std::log(worse / expected) +
           static_cast<double>(total - bad) * std::log((1.0 - worse) / (1.0 - expected));
}

// Shares of the answers that take longer than each bound of the durations.
using slower_shares = std::array<double, rollout_duration_bounds_ms.size()>;

// The same at any duration, linear in its logarithm between the bounds.
double slower_share_at(const slower_shares& shares, double duration_ms)
{
    double lower_bound = rollout_duration_bounds_ms.front() / 2.0;
    double lower_share = 1.0;
    if (duration_ms <= lower_bound)
        return 1.0;
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        const double bound = rollout_duration_bounds_ms[i];
        if (duration_ms <= bound)
        {
            const double part = std::log(duration_ms / lower_bound) / std::log(bound / lower_bound);
            return lower_share + part * (shares[i] - lower_share);
        }
        lower_bound = bound;
        lower_share = shares[i];
    }
    return shares.back();
}

// The bound whose test tells a version that slows down this share of its answers with the fewest of
// them.
rollout_slow_test best_slow_test(const slower_shares& old, const bad_alternative& alternative,
                                 bool is_full)
{
    const double tolerated = is_full ? tolerated_factor_full : tolerated_factor;
    const double expected_min =
        std::max(is_full ? expected_slow_min_full : expected_slow_min, alternative.expected_min);
    rollout_slow_test best;
    double best_information = -1.0;
    for (std::size_t i = 0; i < old.size(); ++i)
    {
        const double bound = rollout_duration_bounds_ms[i];
        const double spoilt = slower_share_at(old, bound / slow_factor);
        const double expected =
            std::clamp(slower_share_at(old, bound / tolerated), expected_min, expected_share_max);
        const double worse = expected + alternative.share * std::max(spoilt - expected, 0.0);
        const double information = worse * std::log(worse / expected) +
                                   (1.0 - worse) * std::log((1.0 - worse) / (1.0 - expected));
        if (information <= best_information)
            continue;
        best_information = information;
        best = {i, expected, worse};
    }
    return best;
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

// Failures and slow answers of one route, or of all, for each of rollout_bad_shares.
struct route_sums
{
    std::array<evidence_sum, rollout_bad_shares.size()> failed;
    std::array<evidence_sum, rollout_bad_shares.size()> late;
    bool is_touched = false; // by the present slice

    void assess_from_here(bool has_one_endpoint, bool is_in_step, rollout_assessment& out) const
    {
        for (const auto* sums : {&failed, &late})
        {
            for (std::size_t by = 0; by < sums->size(); ++by)
            {
                const evidence_sum& sum = (*sums)[by];
                const double prior = rollout_bad_shares[by].prior_evidence;
                const double against = has_one_endpoint ? sum.total : sum.against_version();
                out.evidence = std::max(out.evidence, against + prior);
                if (is_in_step && sum.by_group.size() == 1)
                    out.single_evidence = std::max(out.single_evidence, sum.total + prior);
            }
        }
    }
};

} // namespace

double bad_evidence()
{
    return std::log((1.0 - rollout_miss_rate) / rollout_false_alarm_rate);
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
            const std::uint64_t timed = is_warm ? sum_of(counts.by_duration) : 0;
            // Without the old version's answers at the same time, only a comparison between domains
            // tells a slow one from a bad version.
            const std::size_t group = full_since ? endpoint.domain : index;
            for (const std::size_t to : {route, all})
            {
                result[to].answers += counts.answers;
                result[to].failures += counts.failures;
                if (timed > 0)
                    result[to].slow += slower_than(counts.by_duration, share.slow.front().bucket);
                result[to].step_answers += is_in_step ? counts.answers : 0;
                if (!is_judged)
                    continue;
                sums[to].is_touched = true;
                for (std::size_t by = 0; by < rollout_bad_shares.size(); ++by)
                {
                    const bad_alternative& alternative = rollout_bad_shares[by];
                    const double failures = std::max(share.failures, alternative.expected_min);
                    const double worse = failures + (1.0 - failures) * alternative.share;
                    sums[to].failed[by].add(
                        group, log_likelihood_ratio(counts.failures, ended, failures, worse));
                    if (timed == 0)
                        continue;
                    const rollout_slow_test& test = share.slow[by];
                    sums[to].late[by].add(
                        group, log_likelihood_ratio(slower_than(counts.by_duration, test.bucket),
                                                    timed, test.expected, test.worse));
                }
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
        for (std::size_t domain = 0; domain < domains; ++domain)
        {
            expectation& out = result[route * domains + domain];
            out.failures = is_full ? expected_failures_min_full : expected_failures_min;
            slower_shares slower{};
            const auto raise_to = [&](const answer_counts& all, const answer_counts& own)
            {
                const double failures = share_of(all.failures, all.answers);
                const double own_failures = share_within(own.failures, own.answers, failures);
                out.failures =
                    std::max(out.failures, std::min(own_failures, domain_failures_max * failures));
                const std::uint64_t all_timed = sum_of(all.by_duration);
                const std::uint64_t own_timed = sum_of(own.by_duration);
                for (std::size_t i = 0; i < slower.size(); ++i)
                {
                    const double share = share_of(slower_than(all.by_duration, i), all_timed);
                    slower[i] = std::max(
                        slower[i], share_within(slower_than(own.by_duration, i), own_timed, share));
                }
            };
            const std::size_t cell = route * domains + domain;
            raise_to(is_wide_enough ? wide.by_route[route] : old_totals_[route],
                     wide.by_domain[cell]);
            if (is_narrow_enough)
                raise_to(narrow.by_route[route], narrow.by_domain[cell]);
            out.failures = std::min(out.failures, expected_share_max);
            for (std::size_t by = 0; by < rollout_bad_shares.size(); ++by)
                out.slow[by] = best_slow_test(slower, rollout_bad_shares[by], is_full);
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
