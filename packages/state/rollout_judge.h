// Judges the new version of a roll-out against the old one and proposes the next decision.
//
// Answers are counted in slices of time. In each slice the old version's answers to a route give
// the share of bad ones to expect, so a burst or a slow failure domain that hits both versions says
// nothing about the new one. The evidence is the log-likelihood ratio of "this much worse" to "as
// good", summed from the start of any slice until now, so a version that turns bad late shows as
// quickly as one that was bad from the start (CUSUM).
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
#include <string_view>
#include <utility>
#include <vector>

namespace zinnianotch
{

// What a VM knows besides the reports when it judges.
struct rollout_situation
{
    std::size_t old_endpoints = 0; // usable ones: neither draining nor gone
    std::size_t candidate_endpoints = 0;
    std::size_t vms = 0;  // that should report, including this one
    std::size_t rank = 0; // of this VM in rollout_judges, among those that can be reached
};

// Evidence on one route, for logs and metrics.
struct rollout_assessment
{
    std::string route;
    std::uint64_t old_answers = 0;
    std::uint64_t answers = 0; // of the new version, as the next ones
    std::uint64_t failures = 0;
    std::uint64_t slow = 0;
    double evidence = 0.0;        // that the version is bad; at bad_evidence it is
    double single_evidence = 0.0; // the same without leaving an endpoint out
    double step_evidence = 0.0;   // since the step began; at sound_evidence the route is sound
};

class rollout_judge
{
public:
    explicit rollout_judge(const rollout_limits& limits);

    // Replaces the order by the one in the store, or nothing if there is none.
    void set_order(const std::optional<rollout_order>& order, time_point now);
    // Replaces the decision by the one in the store, or nothing if there is none.
    void set_record(const std::optional<rollout_record>& stored, time_point now);
    // Reports of other orders are ignored. A VM also reports to itself.
    void on_report(const rollout_report& report, time_point now);

    // Decision to write now, or nothing. Its `revision` is that of the stored record on which it is
    // based (0: there must be none); the write must fail if the store has another one by then. It
    // is proposed again until set_record shows a change.
    std::optional<rollout_record> propose(const rollout_situation& situation, time_point now);

    // Answer to a report. Nothing while the order or its first record is not known.
    std::optional<rollout_verdict> verdict(time_point now) const;

    std::vector<rollout_assessment> assessments() const;

private:
    struct bad_counts
    {
        std::uint32_t answers = 0;
        std::uint32_t failures = 0;
        std::array<std::uint32_t, rollout_buckets> by_duration{};
    };
    struct sample
    {
        std::size_t route = 0;
        std::string endpoint; // empty: old version
        std::string domain;
        bool is_warm = true; // durations count
        bad_counts counts;
    };
    struct slice
    {
        time_point begin{};
        std::vector<sample> samples;
    };
    struct source
    {
        std::uint64_t sequence = 0;
        time_point heard_at{};
        rollout_phase phase = rollout_phase::canary;
        std::uint64_t sent = 0;
        std::uint64_t candidate_sent = 0;
        std::uint32_t old_in_flight = 0;
        std::uint32_t old_unrepeatable = 0;
        std::map<std::pair<std::string, std::string>, bad_counts> counts;
    };

    rollout_limits limits_;
    std::optional<rollout_order> order_;
    rollout_age age_;
    std::optional<rollout_record> stored_;
};

} // namespace zinnianotch
