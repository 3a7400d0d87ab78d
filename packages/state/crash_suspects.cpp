#include "state/crash_suspects.h"

#include "state/enum_names.h"
#include "state/shares.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <set>
#include <span>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 4> progress_names = {"no_head", "head", "first_event",
                                                            "events"};
constexpr std::array<std::string_view, 3> kind_names = {"crash", "sound", "probe"};

// Part of a crash that another part may miss and still explain the same crashes.
constexpr double combination_slack = 0.75;
constexpr double combination_slack_ratio = 0.25;
// Largest weight of a crash at which no response had begun.
constexpr double no_head_alone_scale = 0.5;
// Fraction of the weights of further crashes with the same cause that counts for a part which would
// not be at each of them by chance.
constexpr double common_cause_weight = 0.5;
// Number of ordinary requests with a part that are assumed besides those that were seen, so that a
// part is not taken for rare when few were seen.
constexpr double assumed_requests_with_part = 1.0;
// Fraction of the crashes of a held part at which another part makes it ambiguous.
constexpr double ambiguity_ratio = 0.5;
// Fraction of the crashes of an ambiguous held part that still counts for others.
constexpr double ambiguous_unexplained = 0.75;
// Weight of crashes before which a part was sound, relative to crashes at which it is suspect.
constexpr double sound_presence_factor = 0.5;
// Exponent of the fraction of the crashes at which a part is suspect, in its rank.
constexpr double coverage_exponent = 1.5;
constexpr std::size_t max_holds = 64;
constexpr std::size_t max_sound_parts = 256; // per crash
constexpr std::size_t max_pending_reports = 1024;
constexpr std::uint32_t max_probe_growth_steps = 8;
constexpr milliseconds expiry_interval{1000};
constexpr milliseconds update_interval{100};
// Time for which a crash counts after its first report, however old it is.
constexpr milliseconds snapshot_grace{5000};

template <typename Range, typename Value>
bool contains(const Range& range, const Value& value)
{
    return std::find(range.begin(), range.end(), value) != range.end();
}

bool contains_all(const std::vector<std::string>& parts, const std::vector<std::string>& wanted)
{
    return std::all_of(wanted.begin(), wanted.end(),
                       [&](const std::string& part) { return contains(parts, part); });
}

bool contains_any(const std::vector<std::string>& parts, const std::vector<std::string>& wanted)
{
    return std::any_of(wanted.begin(), wanted.end(),
                       [&](const std::string& part) { return contains(parts, part); });
}

// Numbers the parts of all crashes, so that each text is looked up only once.
using part_number = std::uint32_t;

class part_numbers
{
public:
    part_number add(std::string_view part)
    {
        const auto [found, is_new] =
            numbers_.try_emplace(part, static_cast<part_number>(names_.size()));
        if (is_new)
            names_.push_back(part);
        return found->second;
    }
    std::size_t size() const { return names_.size(); }
    std::string_view name(part_number part) const { return names_[part]; }
    // VMs number parts differently, and have to agree on the order.
    void sort_by_name(std::vector<part_number>& parts) const
    {
        std::sort(parts.begin(), parts.end(),
                  [this](part_number a, part_number b) { return names_[a] < names_[b]; });
    }

private:
    std::unordered_map<std::string_view, part_number> numbers_;
    std::vector<std::string_view> names_;
};

// A request that may be the cause of a crash, with the parts not shown sound since.
struct candidate
{
    std::vector<part_number> parts; // sorted
    double share = 0.0;             // of the suspicion of all candidates; their strength at first
};

// A crash as it is evaluated.
struct crash_case
{
    const engine_lifetime* engine = nullptr;
    std::string_view domain;
    time_point at{};
    std::size_t cause = 0; // equal for crashes with a common cause
    std::vector<candidate> candidates;
    double scale = 0.0;                                  // largest possible weight
    double strong_candidates = 0.0;                      // number, in units of the strongest one
    std::vector<std::pair<part_number, double>> weights; // by part, sorted
    double unexplained = 1.0; // fraction of the weights that no held part explains

    double weight(part_number part) const
    {
        const auto found = std::lower_bound(weights.begin(), weights.end(), part,
                                            [](const auto& entry, part_number searched)
                                            { return entry.first < searched; });
        return found != weights.end() && found->first == part ? found->second : 0.0;
    }
};

// Largest weight of a crash by the strength of its strongest candidate.
double scale_of(double strongest)
{
    if (strongest >= several_events_weight)
        return 1.0;
    return strongest > no_head_weight ? strongest : no_head_alone_scale;
}

// Weight of a crash for parts that these candidates have. The square root keeps a crash with
// several candidates from counting as next to none.
double weight_of(const crash_case& of, double share)
{
    return of.scale * std::sqrt(std::min(share, 1.0));
}

// Weight of the crash for requests that have all these parts.
double joint_weight(const crash_case& of, const std::vector<part_number>& parts)
{
    double share = 0.0;
    for (const candidate& each : of.candidates)
    {
        if (std::all_of(parts.begin(), parts.end(),
                        [&](part_number part)
                        { return std::binary_search(each.parts.begin(), each.parts.end(), part); }))
            share += each.share;
    }
    return weight_of(of, share);
}

// Sorts by part and adds up the shares of each.
void unite_shares(std::vector<std::pair<part_number, double>>& shares)
{
    std::stable_sort(shares.begin(), shares.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::size_t count = 0;
    for (const auto& [part, share] : shares)
    {
        if (count > 0 && shares[count - 1].first == part)
            shares[count - 1].second += share;
        else
            shares[count++] = {part, share};
    }
    shares.resize(count);
}

// Sets the shares of the candidates and the weights of their parts from their strengths.
void assign_weights(crash_case& of)
{
    double total = 0.0;
    double strongest = 0.0;
    for (const candidate& each : of.candidates)
    {
        total += each.share;
        strongest = std::max(strongest, each.share);
    }
    of.scale = scale_of(strongest);
    of.strong_candidates = total / strongest;
    std::optional<part_number> only_strongest;
    bool has_several_strongest = false;
    for (candidate& each : of.candidates)
    {
        const bool is_strongest = each.share == strongest;
        each.share /= total;
        for (const part_number part : each.parts)
        {
            of.weights.emplace_back(part, each.share);
            has_several_strongest |= is_strongest && only_strongest.value_or(part) != part;
            if (is_strongest)
                only_strongest = part;
        }
    }
    unite_shares(of.weights);
    for (auto& [part, weight] : of.weights)
    {
        weight = weight_of(of, weight);
        if (!has_several_strongest && strongest >= 1.0 && part == only_strongest)
            weight *= sole_suspect_weight;
    }
}

// Numbers the common causes of crashes, which are sorted by time.
void assign_causes(std::vector<crash_case>& crashes)
{
    std::vector<std::size_t> first_of_cause;
    for (std::size_t i = 0; i < crashes.size(); ++i)
    {
        crash_case& each = crashes[i];
        each.cause = first_of_cause.size();
        for (std::size_t cause = first_of_cause.size(); cause-- > 0;)
        {
            const crash_case& first = crashes[first_of_cause[cause]];
            const milliseconds window = !each.domain.empty() && first.domain == each.domain
                                            ? domain_cause_window
                                            : common_cause_window;
            if (each.at - first.at > domain_cause_window)
                break;
            if (each.at - first.at <= window)
                each.cause = cause;
        }
        if (each.cause == first_of_cause.size())
            first_of_cause.push_back(i);
    }
}

double strength_of(const broken_request& request)
{
    if (request.progress == answer_progress::no_head)
        return no_head_weight;
    if (request.answering_for > crash_delay_max)
        return long_answering_weight;
    return request.progress == answer_progress::events ? several_events_weight : 1.0;
}

// The requests that an engine had not begun to answer, or had been answering for long: a sample of
// all requests.
class request_sample
{
public:
    void add(const std::vector<part_number>& parts)
    {
        requests_ += 1.0;
        for (const part_number part : parts)
        {
            if (part >= with_part_.size())
                with_part_.resize(part + 1);
            with_part_[part] += 1.0;
        }
    }

    // Probability that the candidates of a crash would not have a part which is not its cause.
    double absence(const crash_case& of, part_number part) const
    {
        const double seen = part < with_part_.size() ? with_part_[part] : 0.0;
        const double frequency = (seen + assumed_requests_with_part) / requests_;
        return std::pow(1.0 - frequency, of.strong_candidates);
    }

private:
    double requests_ = assumed_requests_with_part;
    std::vector<double> with_part_;
};

// The crashes that have candidates, by time.
struct crash_cases
{
    part_numbers parts;
    std::vector<crash_case> list;
    request_sample sample;
};

// Sum over the causes of the largest weight that `weight` gives to one of its crashes, and of a
// fraction of the others: the less `part` is expected at an unrelated crash, the more these count.
template <typename Weight>
double sum_over_causes(const crash_cases& crashes, part_number part,
                       std::span<const std::size_t> indices, Weight weight)
{
    if (indices.size() == 1)
        return weight(crashes.list[indices.front()]);
    struct cause_sum
    {
        double largest = 0.0;
        double largest_unexpected = 0.0;
        double unexpected = 0.0;
    };
    std::map<std::size_t, cause_sum> by_cause;
    for (const std::size_t i : indices)
    {
        const crash_case& each = crashes.list[i];
        cause_sum& sum = by_cause[each.cause];
        const double value = weight(each);
        const double unexpected = value * crashes.sample.absence(each, part);
        sum.unexpected += unexpected;
        if (value <= sum.largest)
            continue;
        sum.largest = value;
        sum.largest_unexpected = unexpected;
    }
    double total = 0.0;
    for (const auto& [cause, sum] : by_cause)
        total += sum.largest + common_cause_weight * (sum.unexpected - sum.largest_unexpected);
    return total;
}

std::vector<std::size_t> unexplained(const std::vector<crash_case>& crashes,
                                     const std::vector<std::size_t>& indices)
{
    std::vector<std::size_t> found;
    for (const std::size_t i : indices)
    {
        if (crashes[i].unexplained > 0.0)
            found.push_back(i);
    }
    return found;
}

double score_of(const crash_cases& crashes, part_number part, std::span<const std::size_t> indices)
{
    return sum_over_causes(crashes, part, indices,
                           [&](const crash_case& of) { return of.weight(part) * of.unexplained; });
}

void add_candidates(crash_cases& crashes, const crash_record& record, crash_case& to)
{
    for (const broken_request& request : record.requests)
    {
        candidate of;
        of.share = strength_of(request);
        std::vector<part_number> all;
        for (const std::string& part : request.parts)
        {
            all.push_back(crashes.parts.add(part));
            if (!record.sound.contains(part))
                of.parts.push_back(all.back());
        }
        if (of.share < several_events_weight)
            crashes.sample.add(all);
        if (of.parts.empty())
            continue;
        std::sort(of.parts.begin(), of.parts.end());
        of.parts.erase(std::unique(of.parts.begin(), of.parts.end()), of.parts.end());
        to.candidates.push_back(std::move(of));
    }
}

crash_cases make_cases(const std::map<engine_lifetime, crash_record>& records)
{
    crash_cases crashes;
    for (const auto& [engine, record] : records)
    {
        crash_case each;
        each.engine = &engine;
        each.domain = record.domain;
        each.at = record.at;
        add_candidates(crashes, record, each);
        if (each.candidates.empty())
            continue;
        assign_weights(each);
        crashes.list.push_back(std::move(each));
    }
    std::sort(crashes.list.begin(), crashes.list.end(),
              [](const crash_case& a, const crash_case& b) { return a.at < b.at; });
    assign_causes(crashes.list);
    return crashes;
}

// By part.
struct suspect_index
{
    std::vector<std::vector<std::size_t>> crashes; // at which the part is suspect
    std::vector<double> sound_crashes;             // number since it was sound
};

suspect_index make_index(crash_cases& crashes,
                         const std::map<engine_lifetime, crash_record>& records)
{
    suspect_index index;
    for (const auto& [engine, record] : records)
    {
        for (const std::string& part : record.sound)
        {
            const part_number number = crashes.parts.add(part);
            if (number >= index.sound_crashes.size())
                index.sound_crashes.resize(number + 1);
            index.sound_crashes[number] += 1.0;
        }
    }
    index.sound_crashes.resize(crashes.parts.size());
    index.crashes.resize(crashes.parts.size());
    for (std::size_t i = 0; i < crashes.list.size(); ++i)
    {
        for (const auto& [part, weight] : crashes.list[i].weights)
            index.crashes[part].push_back(i);
    }
    return index;
}

// A part that was often shown sound after a crash is rather present by chance.
double specificity(const suspect_index& index, part_number part)
{
    const auto suspect = static_cast<double>(index.crashes[part].size());
    return suspect / (suspect + sound_presence_factor * index.sound_crashes[part]);
}

// A part at more of the crashes is rather the cause: one cause of all of them is more likely than
// several.
double coverage(const suspect_index& index, part_number part, std::size_t crashes)
{
    const auto suspect = static_cast<double>(index.crashes[part].size());
    return std::pow(suspect / static_cast<double>(crashes), coverage_exponent);
}

struct suspect_part
{
    part_number part = 0;
    double score = 0.0;
    std::vector<std::size_t> crashes; // that no held part explains
};

// The most suspect of the parts with a score of combination_threshold or more.
std::optional<suspect_part> most_suspect(const crash_cases& crashes, const suspect_index& index,
                                         const std::vector<part_number>& parts)
{
    std::optional<suspect_part> top;
    double top_rank = 0.0;
    for (const part_number part : parts)
    {
        std::vector<std::size_t> left = unexplained(crashes.list, index.crashes[part]);
        const double score = score_of(crashes, part, left);
        const double rank =
            score * specificity(index, part) * coverage(index, part, crashes.list.size());
        if (score < combination_threshold || rank <= top_rank)
            continue;
        top = suspect_part{part, score, std::move(left)};
        top_rank = rank;
    }
    return top;
}

// Parts at the crashes of a suspect part.
struct companions
{
    std::vector<part_number> present;  // at all of its crashes, in the same requests
    std::vector<part_number> frequent; // others at many of its crashes
};

companions find_companions(const crash_cases& crashes, const suspect_part& top)
{
    const auto joint_score = [&](const std::vector<part_number>& parts)
    {
        return sum_over_causes(crashes, top.part, top.crashes,
                               [&](const crash_case& of)
                               { return joint_weight(of, parts) * of.unexplained; });
    };
    const double slack = std::min(combination_slack, combination_slack_ratio * top.score);
    const double present_min = top.score - slack;
    const double frequent_min = ambiguity_ratio * top.score;

    // No joint score of a part is above the sum of its weights, which is cheap.
    std::vector<double> weight_sums(crashes.parts.size());
    for (const std::size_t i : top.crashes)
    {
        for (const auto& [other, weight] : crashes.list[i].weights)
            weight_sums[other] += weight * crashes.list[i].unexplained;
    }
    std::vector<part_number> others;
    for (part_number other = 0; other < weight_sums.size(); ++other)
    {
        if (other != top.part && weight_sums[other] >= std::min(present_min, frequent_min))
            others.push_back(other);
    }
    crashes.parts.sort_by_name(others);

    std::vector<part_number> combination{top.part};
    companions found;
    for (const part_number other : others)
    {
        combination.push_back(other);
        if (joint_score(combination) > present_min)
            continue;
        combination.pop_back();
        if (joint_score({top.part, other}) >= frequent_min)
            found.frequent.push_back(other);
    }
    found.present.assign(combination.begin() + 1, combination.end());
    return found;
}

} // namespace

std::string_view to_string(answer_progress value)
{
    return name_of(progress_names, value);
}

bool from_string(std::string_view name, answer_progress& out)
{
    return value_of(progress_names, name, out);
}

std::string_view to_string(crash_report_kind value)
{
    return name_of(kind_names, value);
}

bool from_string(std::string_view name, crash_report_kind& out)
{
    return value_of(kind_names, name, out);
}

void crash_suspects::on_crash(const engine_lifetime& engine, const std::string& domain,
                              const std::vector<std::string>& parts, answer_progress progress,
                              milliseconds answering_for, time_point now)
{
    if (parts.empty() || is_past_crash(progress, answering_for))
        return;
    crash_report report;
    report.kind = crash_report_kind::crash;
    report.origin = origin_;
    report.sequence = next_sequence_++;
    report.engines = {engine};
    report.domain = domain;
    report.parts.assign(parts.begin(),
                        parts.begin() + std::min(parts.size(), max_parts_per_request));
    report.progress = progress;
    report.answering_for = answering_for;
    if (add_crash(report, now))
        emit(std::move(report), now);
}

void crash_suspects::on_sound(const std::vector<std::string>& parts, time_point sent_at,
                              time_point now)
{
    update(now);
    crash_report report;
    report.kind = crash_report_kind::sound;
    for (const std::string& part : parts)
    {
        if (scores_.contains(part))
            report.parts.push_back(part);
    }
    if (report.parts.empty())
        return;
    for (const auto& [engine, record] : crashes_)
    {
        const bool is_known = std::all_of(report.parts.begin(), report.parts.end(),
                                          [&sound = record.sound](const std::string& part)
                                          { return sound.contains(part); });
        if (record.at < sent_at && !is_known)
            report.engines.push_back(engine);
    }
    if (add_sound(report, now))
        emit(std::move(report), now);
}

bool crash_suspects::on_report(const crash_report& report, time_point now)
{
    if (report.age > hold_idle_max || report.age < milliseconds(0))
        return false;
    switch (report.kind)
    {
    case crash_report_kind::crash:
        return add_crash(report, now);
    case crash_report_kind::sound:
        return add_sound(report, now);
    case crash_report_kind::probe:
        return add_probe(report, now);
    }
    return false;
}

std::vector<crash_report> crash_suspects::take_reports(time_point now)
{
    std::vector<crash_report> reports;
    reports.reserve(pending_.size());
    for (pending_report& each : pending_)
    {
        each.report.age = std::chrono::duration_cast<milliseconds>(now - each.at);
        reports.push_back(std::move(each.report));
    }
    pending_.clear();
    return reports;
}

std::vector<crash_report> crash_suspects::snapshot(time_point now)
{
    update(now);
    std::vector<crash_report> reports;
    for (const auto& [engine, record] : crashes_)
    {
        if (now - record.at > crash_evidence_max_age && !supports_hold(engine))
            continue;
        crash_report report;
        report.engines = {engine};
        report.domain = record.domain;
        report.age = std::chrono::duration_cast<milliseconds>(now - record.at);
        if (!record.sound.empty())
        {
            report.kind = crash_report_kind::sound;
            report.parts.assign(record.sound.begin(), record.sound.end());
            reports.push_back(report);
        }
        report.kind = crash_report_kind::crash;
        for (const broken_request& request : record.requests)
        {
            report.origin = request.origin;
            report.sequence = request.sequence;
            report.progress = request.progress;
            report.answering_for = request.answering_for;
            report.parts.clear();
            std::copy_if(
                request.parts.begin(), request.parts.end(), std::back_inserter(report.parts),
                [&sound = record.sound](const std::string& part) { return !sound.contains(part); });
            if (!report.parts.empty())
                reports.push_back(report);
        }
    }
    for (const auto& [part, state] : probes_)
    {
        crash_report report;
        report.kind = crash_report_kind::probe;
        report.parts = {part};
        report.probes = state.count;
        report.age = std::chrono::duration_cast<milliseconds>(now - state.last_at);
        reports.push_back(std::move(report));
    }
    return reports;
}

std::optional<held_request> crash_suspects::held(const std::vector<std::string>& parts,
                                                 time_point now)
{
    update(now);
    const std::string* const part = find_held(parts);
    if (part == nullptr)
        return std::nullopt;
    asked_at_[*part] = now;
    const auto wait = std::chrono::ceil<milliseconds>(probe_due(*part) - now);
    return held_request{*part, std::max(wait, probe_rank_delay)};
}

bool crash_suspects::may_probe(const std::vector<std::string>& parts, std::string_view own,
                               const std::vector<std::string>& vms, time_point now)
{
    update(now);
    const std::string* const part = find_held(parts);
    if (part == nullptr || now < probe_due(*part))
        return false;
    if (contains_any(parts, holds_.find(*part)->second.without))
        return false;
    const auto is_also_held = [&](const std::string& other)
    { return other != *part && find_held({other}) != nullptr; };
    if (std::any_of(parts.begin(), parts.end(), is_also_held))
        return false;
    const auto state = probes_.find(*part);
    const std::uint32_t count = state == probes_.end() ? 0 : state->second.count;
    const std::uint64_t key = rendezvous_weight(*part, std::to_string(count));
    const std::uint64_t own_weight = rendezvous_weight(std::to_string(key), own);
    const auto before = std::count_if(
        vms.begin(), vms.end(),
        [&](const std::string& vm)
        { return vm != own && rendezvous_weight(std::to_string(key), vm) > own_weight; });
    return now >= probe_due(*part) + before * probe_rank_delay;
}

void crash_suspects::on_probe(const std::vector<std::string>& parts, time_point now)
{
    update(now);
    const std::string* const part = find_held(parts);
    if (part == nullptr)
        return;
    const auto state = probes_.find(*part);
    crash_report report;
    report.kind = crash_report_kind::probe;
    report.parts = {*part};
    report.probes = (state == probes_.end() ? 0 : state->second.count) + 1;
    if (add_probe(report, now))
        emit(std::move(report), now);
}

std::optional<std::string> crash_suspects::suspect(const std::vector<std::string>& parts,
                                                   time_point now)
{
    update(now);
    const std::string* most = nullptr;
    double most_score = 0.0;
    for (const std::string& part : parts)
    {
        const auto found = scores_.find(part);
        if (found == scores_.end() || found->second < placement_threshold ||
            found->second <= most_score)
            continue;
        most = &part;
        most_score = found->second;
    }
    if (most == nullptr)
        return std::nullopt;
    return *most;
}

std::vector<std::string> crash_suspects::held_parts(time_point now)
{
    update(now);
    std::vector<std::string> parts;
    parts.reserve(holds_.size());
    for (const auto& [part, each] : holds_)
        parts.push_back(part);
    return parts;
}

std::size_t crash_suspects::suspect_count(time_point now)
{
    update(now);
    return scores_.size();
}

bool crash_suspects::add_crash(const crash_report& report, time_point now)
{
    if (report.engines.size() != 1 || report.parts.empty() ||
        is_past_crash(report.progress, report.answering_for))
        return false;
    const time_point at = now - report.age;
    const auto existing = crashes_.find(report.engines.front());
    if (existing == crashes_.end() || existing->second.requests.empty())
    {
        const auto same_cause =
            std::count_if(crashes_.begin(), crashes_.end(),
                          [&](const auto& entry)
                          {
                              return !entry.second.requests.empty() &&
                                     std::chrono::abs(entry.second.at - at) <= common_cause_window;
                          });
        if (static_cast<std::size_t>(same_cause) >= max_crashes_per_cause)
            return false;
    }
    broken_request request{report.origin, report.sequence, report.parts, report.progress,
                           report.answering_for};
    if (request.parts.size() > max_parts_per_request)
        request.parts.resize(max_parts_per_request);
    crash_record* const record = find_or_add(report.engines.front(), at, now);
    if (record == nullptr)
        return false;
    const bool is_known =
        std::any_of(record->requests.begin(), record->requests.end(),
                    [&](const broken_request& known) {
                        return known.origin == request.origin && known.sequence == request.sequence;
                    });
    if (is_known)
        return false;
    if (!make_room_in(*record, request))
        return false;
    part_count_ += request.parts.size();
    record->domain = report.domain;
    record->at = std::min(record->at, at);
    record->requests.push_back(std::move(request));
    is_changed_ = true;
    make_room(0, time_point::max(), now);
    return true;
}

bool crash_suspects::add_sound(const crash_report& report, time_point now)
{
    bool is_news = false;
    for (const engine_lifetime& engine : report.engines)
    {
        crash_record* const record = find_or_add(engine, now - report.age, now);
        if (record == nullptr)
            continue;
        for (const std::string& part : report.parts)
        {
            if (record->sound.size() < max_sound_parts)
                is_news |= record->sound.insert(part).second;
        }
    }
    if (!is_news)
        return false;
    for (const std::string& part : report.parts)
        probes_.erase(part);
    is_changed_ = true;
    return true;
}

bool crash_suspects::add_probe(const crash_report& report, time_point now)
{
    if (report.parts.size() != 1 || report.probes == 0)
        return false;
    const std::string& part = report.parts.front();
    if (!probes_.contains(part) && probes_.size() >= max_holds)
    {
        const auto oldest = std::min_element(probes_.begin(), probes_.end(),
                                             [](const auto& a, const auto& b)
                                             { return a.second.last_at < b.second.last_at; });
        probes_.erase(oldest);
    }
    probe_state& state = probes_[part];
    if (report.probes <= state.count)
        return false;
    state.count = report.probes;
    state.last_at = now - report.age;
    return true;
}

crash_record* crash_suspects::find_or_add(const engine_lifetime& engine, time_point at,
                                          time_point now)
{
    const auto found = crashes_.find(engine);
    if (found != crashes_.end())
        return &found->second;
    if (!make_room(1, at, now))
        return nullptr;
    crash_record& record = crashes_[engine];
    record.at = at;
    record.received_at = now;
    return &record;
}

bool crash_suspects::supports_hold(const engine_lifetime& engine) const
{
    return std::any_of(holds_.begin(), holds_.end(),
                       [&](const auto& entry) { return contains(entry.second.crashes, engine); });
}

// Drops the oldest crashes until `added` more are within the bounds. Returns false if a crash at
// `at` would be dropped itself.
bool crash_suspects::make_room(std::size_t added, time_point at, time_point now)
{
    const auto is_full = [&]
    { return crashes_.size() + added > max_crashes || part_count_ > max_suspect_parts; };
    // Bounds the work for many reports in a short time.
    if (is_full() && now - updated_at_ >= update_interval)
        update(now);
    while (is_full())
    {
        auto oldest = crashes_.end();
        bool oldest_is_needed = true;
        for (auto each = crashes_.begin(); each != crashes_.end(); ++each)
        {
            const bool is_needed = supports_hold(each->first);
            if (oldest != crashes_.end() && std::pair(is_needed, each->second.at) >=
                                                std::pair(oldest_is_needed, oldest->second.at))
                continue;
            oldest = each;
            oldest_is_needed = is_needed;
        }
        if (oldest_is_needed || oldest->second.at >= at)
            return false;
        for (const broken_request& request : oldest->second.requests)
            part_count_ -= request.parts.size();
        crashes_.erase(oldest);
        is_changed_ = true;
    }
    return true;
}

// Drops less likely causes of the crash until the request is within the bounds of one crash.
// Returns false if those that are as likely leave no room.
bool crash_suspects::make_room_in(crash_record& record, const broken_request& added)
{
    std::vector<broken_request>& requests = record.requests;
    std::size_t parts = added.parts.size();
    for (const broken_request& each : requests)
        parts += each.parts.size();
    while (requests.size() >= max_requests_per_crash || parts > max_parts_per_crash)
    {
        const auto least = std::min_element(requests.begin(), requests.end(),
                                            [](const broken_request& a, const broken_request& b)
                                            { return strength_of(a) < strength_of(b); });
        if (strength_of(added) <= strength_of(*least))
            return false;
        parts -= least->parts.size();
        part_count_ -= least->parts.size();
        requests.erase(least);
    }
    return true;
}

void crash_suspects::emit(crash_report report, time_point now)
{
    if (pending_.size() < max_pending_reports)
        pending_.push_back({std::move(report), now});
}

void crash_suspects::expire(time_point now)
{
    if (now - expired_at_ < expiry_interval)
        return;
    expired_at_ = now;
    const auto is_idle = [&](const std::string& part, const hold& of)
    {
        const auto asked = asked_at_.find(part);
        const time_point last =
            asked == asked_at_.end() ? of.last_crash_at : std::max(asked->second, of.last_crash_at);
        return now - last > hold_idle_max;
    };
    is_changed_ |= std::erase_if(holds_, [&](const auto& entry)
                                 { return is_idle(entry.first, entry.second); }) > 0;
    const auto is_expired = [&](const auto& entry)
    {
        // A crash of a snapshot may be old: it belongs to a part that the sender holds.
        if (now - entry.second.at <= crash_evidence_max_age ||
            now - entry.second.received_at <= snapshot_grace || supports_hold(entry.first))
            return false;
        for (const broken_request& request : entry.second.requests)
            part_count_ -= request.parts.size();
        return true;
    };
    is_changed_ |= std::erase_if(crashes_, is_expired) > 0;
    std::erase_if(probes_,
                  [&](const auto& entry) { return now - entry.second.last_at > hold_idle_max; });
}

// Holds the part that explains most of the crashes, then the one that explains most of the others.
// Parts that were at the same crashes are held in combination only, so that requests with some of
// them show which is sound.
void crash_suspects::evaluate()
{
    is_changed_ = false;

    crash_cases crashes = make_cases(crashes_);
    const suspect_index index = make_index(crashes, crashes_);
    scores_.clear();
    std::vector<part_number> open; // parts that may be held
    for (part_number part = 0; part < crashes.parts.size(); ++part)
    {
        if (index.crashes[part].empty())
            continue;
        const double score = score_of(crashes, part, index.crashes[part]);
        scores_.emplace(crashes.parts.name(part), score);
        if (score >= combination_threshold)
            open.push_back(part);
    }
    crashes.parts.sort_by_name(open);

    holds_.clear();
    while (holds_.size() < max_holds)
    {
        const auto top = most_suspect(crashes, index, open);
        if (!top)
            break;
        std::erase(open, top->part);
        const companions beside = find_companions(crashes, *top);
        if (top->score < hold_threshold && beside.present.empty())
            continue;
        const double left = beside.frequent.empty() ? 0.0 : ambiguous_unexplained;
        hold each;
        for (const part_number part : beside.present)
            each.with.emplace_back(crashes.parts.name(part));
        for (const part_number part : beside.frequent)
            each.without.emplace_back(crashes.parts.name(part));
        std::set<std::size_t> causes;
        for (const std::size_t i : top->crashes)
        {
            crash_case& crash = crashes.list[i];
            crash.unexplained *= left;
            causes.insert(crash.cause);
            each.crashes.push_back(*crash.engine);
            each.last_crash_at = std::max(each.last_crash_at, crash.at);
        }
        each.is_confirmed = each.without.empty() && causes.size() >= confirming_crashes;
        holds_.emplace(crashes.parts.name(top->part), std::move(each));
    }
    std::erase_if(asked_at_, [&](const auto& entry) { return !holds_.contains(entry.first); });
}

void crash_suspects::update(time_point now)
{
    expire(now);
    if (is_changed_)
        evaluate();
    updated_at_ = now;
}

const std::string* crash_suspects::find_held(const std::vector<std::string>& parts) const
{
    if (holds_.empty())
        return nullptr;
    for (const std::string& part : parts)
    {
        const auto found = holds_.find(part);
        if (found != holds_.end() && contains_all(parts, found->second.with))
            return &found->first;
    }
    return nullptr;
}

time_point crash_suspects::probe_due(const std::string& part) const
{
    const hold& of = holds_.find(part)->second;
    milliseconds interval = first_probe_interval;
    std::int64_t growth = probe_growth;
    if (of.is_confirmed)
    {
        interval = confirmed_probe_interval;
        growth = confirmed_probe_growth;
    }
    else if (!of.without.empty())
        interval = ambiguous_probe_interval;
    const auto found = probes_.find(part);
    if (found == probes_.end())
        return of.last_crash_at + interval;
    for (std::uint32_t i = 0; i < std::min(found->second.count, max_probe_growth_steps); ++i)
        interval *= growth;
    return std::max(of.last_crash_at, found->second.last_at) + interval;
}

} // namespace zinnianotch
