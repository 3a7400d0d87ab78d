#include "state/rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace zinnianotch
{

namespace
{

// Time without endpoints of the old version after which the new one takes over regardless.
constexpr milliseconds no_old_endpoints_min{3000};
// Endpoints that the new version needs, relative to those of the old one that it replaces.
constexpr double replacement_min = 0.5;
// Requests expected at least, before rates are known.
constexpr double expected_requests_min = 1.0;
// Age from which the rate of requests is known.
constexpr milliseconds rate_known_after{1000};
// Stages of the ramp, each with rollout_rotations steps.
constexpr std::uint32_t ramp_last_stage = 1;

// Growth of a cumulative count; nothing if the report is older than what is known.
template <typename Number>
Number grow(Number& known, Number reported)
{
    if (reported <= known)
        return 0;
    const Number growth = reported - known;
    known = reported;
    return growth;
}

} // namespace

rollout_judge::rollout_judge(const rollout_limits& limits) : limits_(limits) {}

void rollout_judge::set_order(const std::optional<rollout_order>& order, time_point now)
{
    const bool is_same =
        order_ && order && order_->revision == order->revision && order_->version == order->version;
    if (!order && (order_ || !has_order_been_set_))
        order_missing_since_ = now;
    if (!order && order_)
        withdrawn_ = order_->revision;
    has_order_been_set_ = true;
    const bool was_known = order_.has_value();
    order_ = order;
    if (is_same || (!order && !was_known))
        return;
    restart(now);
    if (stored_)
        set_record(std::optional<rollout_record>(*stored_), now);
}

void rollout_judge::restart(time_point now)
{
    age_ = {};
    furthest_.reset();
    step_began_ = now;
    full_since_.reset();
    condemned_.clear();
    evidence_.reset();
    sources_.clear();
    sent_ = 0;
    candidate_sent_ = 0;
    route_answers_.clear();
    assessments_.clear();
    due_.reset();
    no_old_since_ = time_point::max();
    if (!order_)
        return;
    age_.hear(milliseconds{0}, now);
    evidence_.emplace(order_->duration);
}

void rollout_judge::set_record(const std::optional<rollout_record>& stored, time_point now)
{
    stored_ = stored;
    if (!stored || !order_ || stored->order != order_->revision ||
        stored->version != order_->version)
        return;
    age_.hear(stored->age, now);
    if (furthest_ && !supersedes(*stored, *furthest_))
        return;
    furthest_ = stored;
    step_began_ = now - std::max(age_.at(now) - stored->age, milliseconds{0});
    if (stored->phase == rollout_phase::full)
        full_since_ = step_began_;
}

void rollout_judge::on_report(const rollout_report& report, time_point now)
{
    if (!order_ || report.order != order_->revision || report.service != order_->service)
        return;
    age_.hear(report.age, now);
    const std::pair<std::string, std::uint64_t> key(report.vm, report.lifetime);
    if (!sources_.contains(key) && sources_.size() >= max_report_sources)
        return;
    report_source& source = sources_[key];
    if (report.sequence > source.sequence)
    {
        source.sequence = report.sequence;
        source.heard_at = now;
        source.phase = report.phase;
        sent_ += grow(source.sent, report.sent);
        candidate_sent_ += grow(source.candidate_sent, report.candidate_sent);
        source.old_in_flight = report.old_in_flight;
        source.old_unrepeatable = report.old_unrepeatable;
    }
    std::size_t entries = 0;
    for (const rollout_counts& counts : report.counts)
    {
        if (++entries > rollout_max_counts)
            break;
        const auto entry = std::tie(counts.route, counts.endpoint, counts.domain);
        if (source.counts.size() >= rollout_max_endpoints && !source.counts.contains(entry))
            continue;
        answer_counts& known = source.counts[entry];
        rollout_counts growth = counts;
        growth.answers = grow(known.answers, counts.answers);
        growth.failures = grow(known.failures, counts.failures);
        for (std::size_t i = 0; i < rollout_buckets; ++i)
            growth.by_duration[i] = grow(known.by_duration[i], counts.by_duration[i]);
        if (growth.answers == 0 && growth.failures == 0)
            continue;
        evidence_->add(growth, now);
        if (route_answers_.size() < rollout_max_routes || route_answers_.contains(counts.route))
            route_answers_[counts.route] += growth.answers;
    }
}

std::optional<rollout_record> rollout_judge::propose(const rollout_situation& situation,
                                                     time_point now)
{
    if (!has_order_been_set_)
        return std::nullopt;
    rollout_record next;
    std::optional<decision> decided;
    if (order_)
    {
        decided = decide(situation, now);
        next.service = order_->service;
        next.version = order_->version;
        next.order = order_->revision;
        next.age = age_.at(now);
    }
    else if (stored_ && !is_final(stored_->phase) &&
             now - order_missing_since_ >=
                 (stored_->order == withdrawn_ ? order_withdrawn_after : order_missing_max))
    {
        next = *stored_;
        decided = decision{rollout_phase::rolled_back, 0, "the order was withdrawn"};
    }
    if (!decided)
    {
        due_.reset();
        return std::nullopt;
    }
    next.phase = decided->phase;
    next.step = decided->step;
    next.why = decided->why;
    next.revision = stored_ ? stored_->revision : 0;
    next.shares = order_ ? shares_at(next.phase, next.step, now) : rollout_shares{};

    const auto position = std::pair(next.phase, next.step);
    if (due_ != position)
    {
        due_ = position;
        due_since_ = now;
    }
    milliseconds delay = next.phase < rollout_phase::full ? step_rank_delay : final_rank_delay;
    if (next.phase == rollout_phase::completed && order_ &&
        is_imminent(order_->duration - age_.at(now)))
        delay = milliseconds(0); // the condition in the store settles a race
    if (now - due_since_ < delay * static_cast<milliseconds::rep>(situation.rank))
        return std::nullopt;
    return next;
}

std::optional<rollout_verdict> rollout_judge::verdict(time_point now) const
{
    if (!order_ || (!furthest_ && condemned_.empty()))
        return std::nullopt;
    rollout_verdict result;
    result.service = order_->service;
    result.order = order_->revision;
    result.age = age_.at(now);
    if (furthest_)
    {
        result.phase = furthest_->phase;
        result.step = furthest_->step;
    }
    if (!condemned_.empty() && !is_final(result.phase))
    {
        result.phase = rollout_phase::rolled_back;
        result.step = 0;
    }
    result.shares = shares_at(result.phase, result.step, now);
    return result;
}

bool rollout_judge::is_stored_current() const
{
    return stored_ && stored_->order == order_->revision && stored_->version == order_->version &&
           furthest_ && !supersedes(*furthest_, *stored_);
}

std::optional<rollout_judge::decision> rollout_judge::decide(const rollout_situation& situation,
                                                             time_point now)
{
    old_endpoints_ = situation.old_endpoints;
    no_old_since_ = situation.old_endpoints > 0 ? time_point::max() : std::min(no_old_since_, now);
    assessments_ = evidence_->assess(step_began_, situation.candidate_endpoints <= 1, full_since_);
    if (!furthest_)
        return decision{rollout_phase::canary, 0};
    // The store came back from an older copy.
    if (!is_stored_current())
        return decision{furthest_->phase, furthest_->step, furthest_->why};
    if (is_final(furthest_->phase))
        return std::nullopt;

    if (condemned_.empty())
        condemned_ = describe_bad(assessments_);
    if (!condemned_.empty())
        return decision{rollout_phase::rolled_back, 0, condemned_};
    if (!has_enough_reports(situation, now))
        return std::nullopt;
    if (situation.candidate_endpoints > 0 && no_old_since_ < now - no_old_endpoints_min &&
        (requests_at_old(now) == 0 || order_->duration - age_.at(now) < margin()))
        return decision{rollout_phase::completed, 0, "no endpoint of the old version is left"};

    std::optional<decision> decided;
    switch (furthest_->phase)
    {
    case rollout_phase::canary:
        decided = decide_canary(situation, now);
        break;
    case rollout_phase::ramp:
        decided = decide_ramp(situation, now);
        break;
    default:
        decided = decide_full(situation, now);
        break;
    }
    if (decided && decided->phase == rollout_phase::rolled_back)
        condemned_ = decided->why;
    return decided;
}

std::optional<rollout_judge::decision>
rollout_judge::decide_canary(const rollout_situation& situation, time_point now) const
{
    if (needs_second_opinion(situation, now))
        return decision{rollout_phase::canary, furthest_->step + 1};
    const milliseconds age = age_.at(now);
    if (age < part_of_order(canary_part))
        return std::nullopt;
    if (!has_endpoints_for(ramp_share, situation))
        return decide_without_endpoints(now);
    if (is_rotated() && step_age(now) < second_opinion_min)
        return std::nullopt;
    if (is_suspect() && age < part_of_order(undecided_canary_part_max))
        return std::nullopt;
    if (is_suspect(undecided_evidence))
        return decision{rollout_phase::rolled_back, 0, "still suspect when its time was over"};
    return next_stage();
}

std::optional<rollout_judge::decision>
rollout_judge::decide_ramp(const rollout_situation& situation, time_point now) const
{
    const bool is_last = furthest_->step / rollout_rotations >= ramp_last_stage;
    if (!is_last)
    {
        if (step_age(now) < first_ramp_step_min || affordable_share(now) < last_ramp_share(now))
            return std::nullopt;
        return has_endpoints_for(last_ramp_share(now), situation) ? next_stage()
                                                                  : decide_without_endpoints(now);
    }
    const milliseconds age = age_.at(now);
    if (age < part_of_order(full_begins_part))
        return std::nullopt;
    if (is_suspect(undecided_evidence_ramp))
        return decision{rollout_phase::rolled_back, 0, "suspect when all requests were to move"};
    std::uint64_t answers = 0;
    for (const rollout_assessment& each : assessments_)
        answers += each.route.empty() ? 0 : each.step_answers;
    if (answers < ramp_step_answers && age < part_of_order(few_answers_part_max))
        return std::nullopt;
    return has_endpoints_for(1.0, situation) ? next_stage() : decide_without_endpoints(now);
}

// Share of all requests from now until all move that the exposure bound leaves to the new version.
double rollout_judge::affordable_share(time_point now) const
{
    const milliseconds age = std::max(age_.at(now), rate_known_after);
    const milliseconds left = part_of_order(full_begins_part) - age;
    if (left.count() <= 0)
        return 1.0;
    const double rate = static_cast<double>(sent_) / static_cast<double>(age.count());
    const double expected = rate * static_cast<double>(order_->duration.count());
    const double budget = planned_bound(now) * expected - static_cast<double>(candidate_sent_);
    return budget / std::max(rate * static_cast<double>(left.count()), expected_requests_min);
}

// The new version has too few endpoints for the next step.
std::optional<rollout_judge::decision> rollout_judge::decide_without_endpoints(time_point now) const
{
    if (age_.at(now) < order_->duration)
        return std::nullopt;
    return decision{rollout_phase::rolled_back, 0, "too few endpoints of the version"};
}

// Requests at endpoints of the old version, as far as VMs have reported lately.
std::uint64_t rollout_judge::requests_at_old(time_point now) const
{
    std::uint64_t requests = 0;
    for (const auto& [key, source] : sources_)
        requests += now - source.heard_at > report_max_age ? 0 : source.old_in_flight;
    return requests;
}

milliseconds rollout_judge::margin() const
{
    return part_of_order(completion_margin);
}

// True if a good version has to be completed now, whatever is left at the old endpoints.
bool rollout_judge::is_imminent(milliseconds left) const
{
    return left < margin() / 2;
}

std::optional<rollout_judge::decision>
rollout_judge::decide_full(const rollout_situation& situation, time_point now) const
{
    const milliseconds left = order_->duration - age_.at(now);
    if (step_age(now) < std::min(full_min, part_of_order(full_part_max)) && left >= margin())
        return std::nullopt;
    std::size_t reporting = 0;
    std::uint64_t unrepeatable = 0;
    bool do_all_follow = true;
    for (const auto& [key, source] : sources_)
    {
        if (now - source.heard_at > report_max_age)
            continue;
        ++reporting;
        unrepeatable += source.old_unrepeatable;
        do_all_follow = do_all_follow && source.phase >= rollout_phase::full;
    }
    // A VM that does not report may have requests at the old endpoints.
    do_all_follow = do_all_follow && reporting >= situation.vms;
    if (is_suspect() && left >= margin())
        return std::nullopt;
    if (is_suspect(undecided_evidence))
        return decision{rollout_phase::rolled_back, 0, "suspect when its time was over"};
    const bool may_break = left < margin() && unrepeatable == 0;
    // The old endpoints stop with the completion, so all VMs first have to send elsewhere.
    if (is_imminent(left) || (do_all_follow && (may_break || requests_at_old(now) == 0)))
        return decision{rollout_phase::completed, 0};
    return std::nullopt;
}

// The rotation is kept: the endpoints before it are suspect.
rollout_judge::decision rollout_judge::next_stage() const
{
    const std::uint32_t rotation = furthest_->step % rollout_rotations;
    if (furthest_->phase == rollout_phase::canary)
        return {rollout_phase::ramp, rotation};
    const std::uint32_t stage = furthest_->step / rollout_rotations;
    if (stage >= ramp_last_stage)
        return {rollout_phase::full, 0};
    return {rollout_phase::ramp, (stage + 1) * rollout_rotations + rotation};
}

// True if the evidence may soon decide against the version.
bool rollout_judge::is_suspect(double part_of_evidence) const
{
    for (const rollout_assessment& each : assessments_)
    {
        if (std::max(each.evidence, each.single_evidence) >= part_of_evidence * bad_evidence())
            return true;
    }
    return false;
}

bool rollout_judge::needs_second_opinion(const rollout_situation& situation, time_point now) const
{
    if ((furthest_->step + 1) % rollout_rotations == 0 || situation.candidate_endpoints < 2 ||
        (is_rotated() && step_age(now) < second_opinion_min))
        return false;
    for (const rollout_assessment& each : assessments_)
    {
        if (each.single_evidence >= bad_evidence() / 2.0)
            return true;
    }
    return false;
}

bool rollout_judge::has_enough_reports(const rollout_situation& situation, time_point now) const
{
    std::size_t count = 0;
    for (const auto& [key, source] : sources_)
        count += now - source.heard_at <= report_max_age ? 1 : 0;
    return count > 0 &&
           static_cast<double>(count) >= reporting_share_min * static_cast<double>(situation.vms);
}

bool rollout_judge::has_endpoints_for(double share, const rollout_situation& situation) const
{
    const auto old = static_cast<double>(situation.old_endpoints);
    return situation.candidate_endpoints > 0 &&
           static_cast<double>(situation.candidate_endpoints) >= replacement_min * share * old;
}

milliseconds rollout_judge::part_of_order(double part) const
{
    return milliseconds(
        static_cast<milliseconds::rep>(part * static_cast<double>(order_->duration.count())));
}

milliseconds rollout_judge::step_age(time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(now - step_began_);
}

double rollout_judge::canary_share(double bound) const
{
    return adjusted_to_load(std::min(canary_exposure * bound, canary_share_max));
}

// Larger than the canary's share.
double rollout_judge::first_ramp_share(double canary_share) const
{
    return adjusted_to_load(std::max(ramp_share, canary_share));
}

// The largest affordable one under which whole endpoints work under the usual load.
double rollout_judge::last_ramp_share(time_point now) const
{
    const double share =
        std::clamp(affordable_share(now), last_ramp_share_min, last_ramp_share_max);
    if (old_endpoints_ == 0)
        return share;
    const double unit = usual_load / static_cast<double>(old_endpoints_);
    return std::min(std::max(std::floor(share / unit + 0.01), 1.0) * unit, last_ramp_share_max);
}

// Raises a share so that the endpoints that take it work under the usual load, if that does not
// raise it much.
double rollout_judge::adjusted_to_load(double share) const
{
    if (old_endpoints_ == 0)
        return share;
    const double unit = usual_load / static_cast<double>(old_endpoints_);
    const double adjusted = std::ceil(share / unit - 0.01) * unit;
    return adjusted <= share_adjustment_max * share ? std::min(adjusted, 1.0) : share;
}

// Reason to roll back; empty if there is none.
std::string rollout_judge::describe_bad(const std::vector<rollout_assessment>& list) const
{
    for (const rollout_assessment& each : list)
    {
        // An endpoint that alone takes the ramp's share was sound as a canary, or follows one that
        // was not.
        const bool is_ramp = furthest_->phase == rollout_phase::ramp;
        if (std::max(each.evidence, is_ramp ? each.single_evidence : 0.0) < bad_evidence())
            continue;
        return (each.route.empty() ? "all routes" : "route " + each.route) + ": " +
               std::to_string(each.failures) + " failed and " + std::to_string(each.slow) +
               " slow of " + std::to_string(each.answers) + ", old version " +
               std::to_string(each.old_failures) + " failed of " + std::to_string(each.old_answers);
    }
    return {};
}

// Share of the requests until the deadline that the new version may get before `full`.
double rollout_judge::planned_bound(time_point now) const
{
    const milliseconds age = age_.at(now);
    double bound = planned_exposure * limits_.exposure_share;
    if (age < rate_known_after)
        return bound;
    const double longer = std::max(1.0, static_cast<double>(order_->duration.count()) /
                                            static_cast<double>(age.count()));
    const double expected = static_cast<double>(sent_) * longer;
    bound += planned_slack * limits_.exposure_slack / std::max(expected, expected_requests_min);
    return std::min(bound, std::max(planned_share_max, limits_.exposure_share));
}

rollout_shares rollout_judge::shares_at(rollout_phase phase, std::uint32_t step,
                                        time_point now) const
{
    rollout_shares result;
    result.bound = planned_bound(now);
    if (phase == rollout_phase::rolled_back)
        return result;
    if (phase == rollout_phase::full || phase == rollout_phase::completed)
    {
        result.usual = 1.0;
        return result;
    }
    result.usual = canary_share(result.bound);
    if (phase == rollout_phase::ramp)
    {
        const bool is_last = step / rollout_rotations >= ramp_last_stage;
        result.usual = is_last ? last_ramp_share(now) : first_ramp_share(result.usual);
    }
    if (age_.at(now) >= rate_known_after)
        result.routes = route_shares(result.usual);
    return result;
}

// Shares that bring the same number of answers of each route, as far as its requests and the
// control group allow.
std::vector<rollout_share> rollout_judge::route_shares(double usual) const
{
    std::vector<rollout_share> result;
    std::vector<std::uint64_t> sorted;
    double total = 0.0;
    for (const auto& [route, answers] : route_answers_)
    {
        sorted.push_back(std::max<std::uint64_t>(answers, 1));
        total += static_cast<double>(sorted.back());
    }
    std::sort(sorted.begin(), sorted.end());
    // What the rare routes can not use goes to the others.
    const double share_max = std::max(route_share_max, usual);
    double available = usual * total;
    double each_route = 0.0;
    for (std::size_t i = 0; i < sorted.size(); ++i)
    {
        each_route = available / static_cast<double>(sorted.size() - i);
        const double most = share_max * static_cast<double>(sorted[i]);
        if (each_route <= most)
            break;
        available -= most;
    }
    for (const auto& [route, answers] : route_answers_)
    {
        const double share = each_route / static_cast<double>(std::max<std::uint64_t>(answers, 1));
        // Steps of a thousandth keep the shares of VMs that ask at different times the same.
        result.push_back({route, std::round(std::min(share, share_max) * 1000.0) / 1000.0});
    }
    return result;
}

} // namespace zinnianotch
