// Evidence that the new version of a roll-out is worse than the old one.
//
// Answers are counted in slices of time. In each slice, the old version's answers to a route give
// the share of bad ones to expect of the new one, so a burst or a slow failure domain that hits
// both says nothing about it. The evidence is the log-likelihood ratio of "this much worse" to "as
// good", summed from the start of any slice until now: a version that turns bad late shows as soon
// as one that was bad from the start (CUSUM).
#pragma once

#include "state/rollout.h"
#include "state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace zinnianotch
{

// Rates of the sequential test (Wald): a route of a good version is taken for bad with at most the
// first probability per start of the sum. The second one, that of a bad route which is taken for
// sound, hardly moves the threshold.
inline constexpr double rollout_false_alarm_rate = 2e-3;
inline constexpr double rollout_miss_rate = 0.02;
// Share of the answers that a bad version may spoil, on top of those that are bad anyway, and the
// share that is expected to be bad anyway at the least.
struct bad_alternative
{
    double share = 0.0;
    double expected_min = 0.0;
    double prior_evidence = 0.0; // added to that of the answers
};

// Alternatives to "as good". Where many answers are bad anyway, as in a slow failure domain, only
// the second one tells soon.
inline constexpr std::array<bad_alternative, 2> rollout_bad_shares{
    {{0.12, 0.0, 0.0}, {0.5, 0.2, -4.0}}};
// Shares of bad answers expected at least, however good the old version is.
inline constexpr double expected_failures_min = 0.01;
inline constexpr double expected_slow_min = 0.02;
// The same while the new version takes over all requests: its endpoints are new to most of them.
inline constexpr double expected_failures_min_full = 0.02;
inline constexpr double expected_slow_min_full = 0.08;
// Evidence of one endpoint above this is taken for a fault of that endpoint: about one in twenty
// roll-outs has a faulty one.
inline constexpr double faulty_endpoint_evidence = 3.0;
// Durations of an endpoint's answers do not count for this time after its first one, while its
// caches are empty.
inline constexpr milliseconds endpoint_warm_up{1000};
// Answers of the old version without which a route is not judged.
inline constexpr std::uint64_t old_answers_min = 8;
// Bounds on memory.
inline constexpr std::size_t rollout_max_slices = 48;
inline constexpr std::size_t rollout_max_endpoints = 4096;

// Logarithm of the likelihood ratio at which a route condemns the version.
double bad_evidence();

// Evidence on one route, for decisions, logs and metrics.
struct rollout_assessment
{
    std::string route;
    std::uint64_t old_answers = 0;
    std::uint64_t old_failures = 0;
    std::uint64_t answers = 0; // of the new version, as the next two
    std::uint64_t failures = 0;
    std::uint64_t slow = 0;
    std::uint64_t step_answers = 0; // of the new version since the step began
    // Evidence that the version is bad, rather than one of its endpoints, and that of an endpoint
    // which alone has answered since the step began.
    double evidence = 0.0;
    double single_evidence = 0.0;
};

// Test for slow answers: those above a bound.
struct rollout_slow_test
{
    std::size_t bucket = 0; // the last one that is not slow
    double expected = 0.0;  // share of slow answers of a good version
    double worse = 0.0;     // of a bad one
};

class rollout_evidence
{
public:
    explicit rollout_evidence(milliseconds duration_of_order);

    // Adds answers that have become known.
    void add(const rollout_counts& growth, time_point now);
    // By route, and then for all routes together with an empty name. `has_one_endpoint` is true if
    // the version has no other, so that its faults are the version's. Keeps what is settled for the
    // next call.
    std::vector<rollout_assessment> assess(time_point step_began, bool has_one_endpoint,
                                           std::optional<time_point> full_since);

private:
    struct answer_counts
    {
        std::uint64_t answers = 0;
        std::uint64_t failures = 0;
        std::array<std::uint64_t, rollout_buckets> by_duration{};

        void add(const answer_counts& other);
    };

    struct endpoint_info
    {
        std::size_t domain = 0;
        bool is_candidate = false;
        time_point first_at{};
    };

    // What to expect of a version that is as good as the old one.
    struct expectation
    {
        double failures = 0.0; // share
        std::array<rollout_slow_test, rollout_bad_shares.size()> slow;
    };

    // Route, new endpoint, and whether that has warmed up.
    using sample_key = std::tuple<std::size_t, std::size_t, bool>;

    struct slice
    {
        time_point begin{};
        std::map<sample_key, answer_counts> samples;
        std::map<std::pair<std::size_t, std::size_t>, answer_counts> old; // by route and domain
        std::vector<expectation> expected;                                // by route and domain
        bool is_settled = false;       // of `expected`: its windows change no more
        bool is_expected_full = false; // for the phase `full`
    };

    // The old version's answers in some slices.
    struct old_window
    {
        std::vector<answer_counts> by_domain; // of each route
        std::vector<answer_counts> by_route;
    };

    old_window old_answers(std::size_t first, std::size_t last) const;
    const std::vector<expectation>& settled_expectation(std::size_t at, bool is_full);
    std::vector<expectation> expected_at(std::size_t at, bool is_full) const;

    milliseconds slice_length_;
    std::vector<std::string> routes_;
    std::vector<std::string> domains_;
    std::vector<endpoint_info> endpoints_;
    std::map<std::pair<std::string, std::string>, std::size_t> endpoint_indexes_;
    std::vector<answer_counts> old_totals_; // by route
    std::deque<slice> slices_;
};

} // namespace zinnianotch
