// Decides on the progress of a roll-out from the reports of all VMs: proposes the next decision to
// write to the store, and answers reports with the latest verdict.
#pragma once

#include "state/rollout.h"
#include "state/rollout_evidence.h"
#include "state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace zinnianotch
{

// Plan of a roll-out, as parts of the time from order to deadline.
inline constexpr double canary_part = 0.5; // the canary ends at the earliest
// The first share of the ramp, at the least. It lasts until the requests that the exposure bound
// leaves suffice for the last one.
inline constexpr milliseconds first_ramp_step_min{800};
// All requests move. Until then the old version is there to compare with.
inline constexpr double full_begins_part = 0.86;
// The same with too few answers of the new version.
inline constexpr double few_answers_part_max = 0.9;
// A version that is suspect waits in the canary until this part, and is rolled back then if the
// evidence is at least this part of what condemns it.
inline constexpr double undecided_canary_part_max = 0.68;
inline constexpr double undecided_evidence = 0.8;
// The same when all requests are to move.
inline constexpr double undecided_evidence_ramp = 0.4;
// All requests go to the new version for this time before it is completed, but for at most this
// part.
inline constexpr milliseconds full_min{1600};
inline constexpr double full_part_max = 0.14;
inline constexpr double completion_margin = 0.07; // `completed` before the deadline
// First share of the ramp.
inline constexpr double ramp_share = 0.10;
// Bounds of the last one.
inline constexpr double last_ramp_share_min = 0.35;
inline constexpr double last_ramp_share_max = 0.6;
// Largest share of a rare route. The rest is left to the old version, to compare with.
inline constexpr double route_share_max = 0.5;
// Load of canaries, relative to that of old endpoints, to which shares are adjusted, and the most
// by which that may raise a share.
inline constexpr double usual_load = 1.05;
inline constexpr double share_adjustment_max = 1.6;
// Part of the exposure bound that is planned, and the part of that for the canary. The rest is for
// the time between a sign and the last request.
inline constexpr double planned_exposure = 0.95;
inline constexpr double canary_exposure = 0.5;
// Part of the exposure's slack that is planned.
inline constexpr double planned_slack = 0.9;
inline constexpr double planned_share_max = 0.4;
inline constexpr double canary_share_max = 0.15;
// Answers of a step of the ramp before the next one.
inline constexpr std::uint64_t ramp_step_answers = 10;
// Time after a move to other endpoints before the roll-out proceeds, and before a version that is
// still suspect is rolled back.
inline constexpr milliseconds second_opinion_min{1500};
// A VM whose last report is older is out of touch.
inline constexpr milliseconds report_max_age{2000};
// Share of the VMs whose reports are needed for a step.
inline constexpr double reporting_share_min = 0.5;
// An order that is missing while its decision is running was withdrawn: after the first time if
// this VM has seen it go, after the second if it has never seen it, since it may still arrive.
inline constexpr milliseconds order_withdrawn_after{2000};
inline constexpr milliseconds order_missing_max{10'000};
// Delay of a proposal per rank of the VM, for steps, and for `full` and the final phases.
inline constexpr milliseconds step_rank_delay{1000};
inline constexpr milliseconds final_rank_delay{300};
// Bound on memory.
inline constexpr std::size_t max_report_sources = 4096;

// What a VM knows besides the reports when it judges.
struct rollout_situation
{
    std::size_t old_endpoints = 0; // neither draining nor gone
    std::size_t candidate_endpoints = 0;
    std::size_t vms = 0;  // that should report, including this one
    std::size_t rank = 0; // of this VM in rollout_judges, among those that can be reached
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
    // is proposed again until set_record shows a change. Call it at least every 100 ms while an
    // order or a decision that is not final exists; a VM that only answers reports must call it,
    // too.
    std::optional<rollout_record> propose(const rollout_situation& situation, time_point now);

    // Answer to a report. Nothing while the order or its first record is not known.
    std::optional<rollout_verdict> verdict(time_point now) const;

    // Evidence as of the last call of propose.
    const std::vector<rollout_assessment>& assessments() const { return assessments_; }

private:
    struct answer_counts
    {
        std::uint32_t answers = 0;
        std::uint32_t failures = 0;
        std::array<std::uint32_t, rollout_buckets> by_duration{};
    };

    // One lifetime of a VM that reports.
    struct report_source
    {
        std::uint64_t sequence = 0;
        time_point heard_at{};
        rollout_phase phase = rollout_phase::canary;
        std::uint64_t sent = 0;           // also in sent_
        std::uint64_t candidate_sent = 0; // also in candidate_sent_
        std::uint32_t old_in_flight = 0;
        std::uint32_t old_unrepeatable = 0;
        std::map<std::tuple<std::string, std::string, std::string>, answer_counts> counts;
    };

    struct decision
    {
        rollout_phase phase = rollout_phase::canary;
        std::uint32_t step = 0;
        std::string why = {};
    };

    void restart(time_point now);
    bool is_stored_current() const;
    std::optional<decision> decide(const rollout_situation& situation, time_point now);
    std::optional<decision> decide_canary(const rollout_situation& situation, time_point now) const;
    std::optional<decision> decide_ramp(const rollout_situation& situation, time_point now) const;
    double affordable_share(time_point now) const;
    std::optional<decision> decide_without_endpoints(time_point now) const;
    std::optional<decision> decide_full(const rollout_situation& situation, time_point now) const;
    std::uint64_t requests_at_old(time_point now) const;
    milliseconds margin() const; // left before the deadline when a move ends in any case
    bool is_imminent(milliseconds left) const;
    decision next_stage() const;
    bool is_suspect(double part_of_evidence = 0.5) const;
    bool is_rotated() const { return furthest_->step % rollout_rotations > 0; }
    bool needs_second_opinion(const rollout_situation& situation, time_point now) const;
    bool has_enough_reports(const rollout_situation& situation, time_point now) const;
    bool has_endpoints_for(double share, const rollout_situation& situation) const;
    milliseconds part_of_order(double part) const;
    milliseconds step_age(time_point now) const;
    double canary_share(double bound) const;
    double first_ramp_share(double canary_share) const;
    double last_ramp_share(time_point now) const;
    double adjusted_to_load(double share) const;
    std::string describe_bad(const std::vector<rollout_assessment>& list) const;
    double planned_bound(time_point now) const;
    rollout_shares shares_at(rollout_phase phase, std::uint32_t step, time_point now) const;
    std::vector<rollout_share> route_shares(double usual) const;

    rollout_limits limits_;
    std::optional<rollout_order> order_;
    std::uint64_t withdrawn_ = 0; // revision of the order that this VM has seen go
    time_point order_missing_since_{};
    bool has_order_been_set_ = false;
    rollout_age age_;
    std::optional<rollout_record> stored_;   // as it is in the store
    std::optional<rollout_record> furthest_; // of the order; the store may have come back older
    time_point step_began_{};
    std::optional<time_point> full_since_;
    std::string condemned_; // reason; empty if the version is not bad
    std::optional<rollout_evidence> evidence_;
    std::map<std::pair<std::string, std::uint64_t>, report_source> sources_;
    std::uint64_t sent_ = 0;                             // requests that VMs have reported
    std::uint64_t candidate_sent_ = 0;                   // of these, at the new version
    std::map<std::string, std::uint64_t> route_answers_; // of both versions
    std::vector<rollout_assessment> assessments_;
    std::optional<std::pair<rollout_phase, std::uint32_t>> due_; // proposal that waits for its rank
    time_point due_since_{};
    std::size_t old_endpoints_ = 0;
    time_point no_old_since_ = time_point::max(); // no endpoint of the old version is left
};

} // namespace zinnianotch
