#include "state/crash_catch_up.h"

#include "state/hash.h"

#include <algorithm>
#include <chrono>

namespace zinnianotch
{

namespace
{

std::uint64_t hash_number(std::uint64_t hash, std::uint64_t number)
{
    return avalanche(hash ^ avalanche(number + 1));
}

// What all parts of the report have in common.
std::uint64_t hash_head(const crash_report& report)
{
    std::uint64_t hash = fnv_1a(fnv_offset_basis, to_string(report.kind));
    hash = hash_number(hash, static_cast<std::uint64_t>(report.subject));
    for (const engine_lifetime& engine : report.engines)
        hash = hash_number(fnv_1a(hash, engine.id), static_cast<std::uint64_t>(engine.started_at));
    // Several requests at one crash of engines share a report.
    if (report.subject == crash_report_subject::prompt_parts)
        hash = hash_number(fnv_1a(hash, report.origin), report.sequence);
    return hash_number(fnv_1a(hash, report.route), report.probes);
}

} // namespace

std::uint64_t digest_of(const std::vector<crash_report>& reports)
{
    std::uint64_t digest = 0;
    for (const crash_report& report : reports)
    {
        const std::uint64_t head = hash_head(report);
        for (const std::string& part : report.parts)
            digest ^= avalanche(fnv_1a(head, part));
    }
    return digest;
}

void sent_reports::add(const outgoing_report& sent, time_point now)
{
    sent_.push_back({sent, now});
    while (sent_.size() > max_sent_reports || now - sent_.front().at > sent_report_memory)
    {
        complete_since_ = sent_.front().at + time_point::duration(1);
        sent_.pop_front();
    }
}

std::optional<std::vector<crash_report>> sent_reports::since(time_point from, bool to_accepted,
                                                             time_point now) const
{
    if (from < complete_since_)
        return std::nullopt;
    std::vector<crash_report> reports;
    for (const sent_report& sent : sent_)
    {
        if (sent.at < from ||
            (!to_accepted && sent.outgoing.to == report_receivers::accepted_links))
            continue;
        reports.push_back(sent.outgoing.report);
        reports.back().age += std::chrono::duration_cast<milliseconds>(now - sent.at);
    }
    return reports;
}

std::optional<milliseconds> crash_catch_up::on_link_up(const std::string& vm, bool is_remote,
                                                       time_point now)
{
    const auto since = [now](time_point then)
    { return std::chrono::ceil<milliseconds>(now - then); };
    const bool was_isolated = up_.empty();
    up_.insert(vm);
    if (const auto lost = lost_at_.find(vm); lost != lost_at_.end())
        return since(lost->second) + missed_report_margin;
    lost_at_[vm] = now;
    if (is_remote)
        candidates_.push_front(vm);
    else
        candidates_.push_back(vm);
    if (!was_isolated)
        return std::nullopt;
    return std::min(since(isolated_since_), isolation_max);
}

void crash_catch_up::on_link_down(const std::string& vm, time_point received_at, time_point now)
{
    lost_at_[vm] = received_at;
    up_.erase(vm);
    if (up_.empty())
        isolated_since_ = received_at;
    // The answer may have been lost with the link.
    if (vm == last_asked_ && now - asked_at_ < full_query_interval)
    {
        last_asked_.clear();
        --full_queries_;
        candidates_.push_back(vm);
    }
}

std::optional<std::string> crash_catch_up::next_full_query(time_point now)
{
    if (candidates_.empty() || full_queries_ >= full_queries_max ||
        (full_queries_ > 0 && now - asked_at_ < full_query_interval))
        return std::nullopt;
    last_asked_ = std::move(candidates_.front());
    candidates_.pop_front();
    ++full_queries_;
    asked_at_ = now;
    return last_asked_;
}

} // namespace zinnianotch
