#include "state/crash_report_outbox.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace zinnianotch
{

namespace
{

// Order of sending; the last are dropped first if too many reports wait.
enum class urgency
{
    likely_cause, // a request that its engine had just begun to answer
    probe,
    sound,
    unlikely_cause
};

urgency urgency_of(const crash_report& report)
{
    switch (report.kind)
    {
    case crash_report_kind::crash:
        break;
    case crash_report_kind::sound:
        return urgency::sound;
    case crash_report_kind::probe:
        return urgency::probe;
    }
    const bool is_likely =
        report.progress != answer_progress::no_head && report.answering_for <= crash_delay_max;
    return is_likely ? urgency::likely_cause : urgency::unlikely_cause;
}

// Adds the missing values, and returns true unless there would be too many.
template <typename Value>
bool unite(std::vector<Value>& into, const std::vector<Value>& values)
{
    std::vector<Value> united = into;
    for (const Value& value : values)
    {
        if (std::find(united.begin(), united.end(), value) == united.end())
            united.push_back(value);
    }
    if (united.size() > max_merged_entries)
        return false;
    into = std::move(united);
    return true;
}

} // namespace

std::size_t approximate_bytes(const crash_report& report)
{
    return report_base_bytes + report_entry_bytes * (report.engines.size() + report.parts.size());
}

void crash_report_outbox::add(crash_report report, report_receivers to, time_point now)
{
    if (merge(report, to, now))
        return;
    const time_point at = now - report.age;
    const waiting_report added{{to, std::move(report)}, at, now};
    const auto before = [](const waiting_report& a, const waiting_report& b)
    { return urgency_of(a.outgoing.report) < urgency_of(b.outgoing.report); };
    waiting_.insert(std::upper_bound(waiting_.begin(), waiting_.end(), added, before), added);
    if (waiting_.size() > max_waiting_reports)
        waiting_.pop_back();
}

// Adds a report of sound parts to a waiting one with the same engines or the same parts, and
// requests that broke with an engine to others that did.
bool crash_report_outbox::merge(const crash_report& report, report_receivers to, time_point now)
{
    const bool is_sound = report.kind == crash_report_kind::sound;
    const bool is_of_requests = report.subject == crash_report_subject::requests;
    if (!is_sound && !(is_of_requests && report.kind == crash_report_kind::crash))
        return false;
    for (waiting_report& each : waiting_)
    {
        crash_report& other = each.outgoing.report;
        if (other.kind != report.kind || other.subject != report.subject ||
            other.route != report.route)
            continue;
        const bool is_merged =
            (other.engines == report.engines && unite(other.parts, report.parts)) ||
            (is_sound && other.parts == report.parts && unite(other.engines, report.engines));
        if (!is_merged)
            continue;
        if (to == report_receivers::all_links)
            each.outgoing.to = to;
        // What was seen of requests holds since the earlier time only.
        if (is_of_requests && is_sound)
            each.at = std::min(each.at, now - report.age);
        return true;
    }
    return false;
}

std::vector<outgoing_report> crash_report_outbox::take(const fleet_links& links, time_point now)
{
    const auto seconds = [](time_point::duration time)
    { return std::chrono::duration<double>(time).count(); };
    credit_ =
        std::min(credit_ + rate_ * seconds(now - credited_at_), rate_ * seconds(report_burst));
    credited_at_ = now;
    std::vector<outgoing_report> sent;
    std::vector<waiting_report> left;
    for (waiting_report& each : waiting_)
    {
        const crash_report& report = each.outgoing.report;
        // A report of answered requests releases them.
        const bool is_sound =
            report.kind == crash_report_kind::sound &&
            (report.subject == crash_report_subject::prompt_parts || report.parts.empty());
        const bool may_be_merged =
            is_sound && now - each.added_at < static_cast<int>(links.vms) * sound_delay_per_vm;
        if (credit_ <= 0.0 || may_be_merged)
        {
            left.push_back(std::move(each));
            continue;
        }
        const std::size_t receivers =
            each.outgoing.to == report_receivers::all_links ? links.all : links.accepted;
        credit_ -= static_cast<double>(receivers * approximate_bytes(each.outgoing.report));
        each.outgoing.report.age = std::chrono::duration_cast<milliseconds>(now - each.at);
        sent.push_back(std::move(each.outgoing));
    }
    waiting_ = std::move(left);
    return sent;
}

} // namespace zinnianotch
