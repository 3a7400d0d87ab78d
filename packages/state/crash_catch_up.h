// Brings VMs up to date on crashes after they could not hear from each other.
//
// News of crashes are sent to all VMs as they come (crash_report_outbox). A VM misses what is sent
// while its links are down. Each end of a link that comes up again therefore sends what it has sent
// to others since the link was lost. Only a VM that has started needs all that is known; it asks a
// few others for it, one at a time, since the answers of all of them would fill its network link.
#pragma once

#include "state/crash_report_outbox.h"
#include "state/crash_suspects.h"
#include "state/time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace zinnianotch
{

// Time for which reports that were sent are kept, and their maximum number. A VM that has missed
// more asks for all that is known.
inline constexpr milliseconds sent_report_memory{30'000};
inline constexpr std::size_t max_sent_reports = 1024;
// Reports may have been lost with a link for this time before its last received byte: until then,
// the other end may have been cut off without noticing it.
inline constexpr milliseconds missed_report_margin{1500};
// Longest time without any link for which a VM exchanges reports on its first link to another one.
inline constexpr milliseconds isolation_max{10'000};
// Number of VMs that a VM which has started asks for all that they know, and the time between two.
inline constexpr std::size_t full_queries_max = 3;
inline constexpr milliseconds full_query_interval{1000};
// Part of the speed of this VM's network link that answers may take, and the time that unused rate
// accumulates.
inline constexpr double catch_up_link_share = 0.2;
inline constexpr milliseconds catch_up_burst{200};
// Answers in progress; further ones are not begun.
inline constexpr std::size_t max_answers_in_progress = 512;

// Asks a VM for reports.
struct crash_query
{
    std::optional<milliseconds> since; // sent in this time; nothing: all that is known
    std::uint64_t digest = 0;          // without `since`: of what the asking VM knows

    bool operator==(const crash_query&) const = default;
};

// Digest of what the reports say, whatever their order and their ages.
std::uint64_t digest_of(const std::vector<crash_report>& reports);

// The reports that a VM has sent.
class sent_reports
{
public:
    void add(const outgoing_report& sent, time_point now);
    // Reports sent since, with their present ages, to links that this VM has accepted or made;
    // nothing if some of them are no longer kept.
    std::optional<std::vector<crash_report>> since(time_point from, bool to_accepted,
                                                   time_point now) const;

private:
    struct sent_report
    {
        outgoing_report outgoing;
        time_point at{};
    };

    std::deque<sent_report> sent_;
    time_point complete_since_ = time_point::min();
};

// Decides what a VM asks those that it has links to.
class crash_catch_up
{
public:
    explicit crash_catch_up(time_point started_at) : isolated_since_(started_at) {}

    // The link to the VM has come up. Returns the time for which each of the two may have missed
    // reports of the other one; nothing if they came by way of others. `is_remote`: the VM is in
    // another failure domain.
    std::optional<milliseconds> on_link_up(const std::string& vm, bool is_remote, time_point now);
    // The link to the VM was lost; bytes were last received on it at `received_at`.
    void on_link_down(const std::string& vm, time_point received_at, time_point now);
    // The VM to ask now for all that it knows. Those of other domains come first: the VMs of this
    // domain may have started at the same time.
    std::optional<std::string> next_full_query(time_point now);

private:
    std::set<std::string> up_;
    time_point isolated_since_; // while no link is up
    std::map<std::string, time_point> lost_at_;
    std::deque<std::string> candidates_;
    std::size_t full_queries_ = 0;
    std::string last_asked_;
    time_point asked_at_{};
};

// Answers on their way: sends them in turn and limits their rate.
template <typename Receiver>
class paced_answers
{
public:
    // `link_speed` of this VM in bytes per second.
    explicit paced_answers(double link_speed) : rate_(catch_up_link_share * link_speed) {}

    // Returns false if too many are in progress.
    bool add(Receiver receiver, std::vector<crash_report> reports, time_point now)
    {
        if (reports.empty())
            return true;
        if (answers_.size() >= max_answers_in_progress)
            return false;
        answers_.push_back({std::move(receiver), {reports.begin(), reports.end()}, now});
        return true;
    }

    // Takes the reports to send now. To be called periodically.
    std::vector<std::pair<Receiver, crash_report>> take(time_point now)
    {
        const auto seconds = [](time_point::duration time)
        { return std::chrono::duration<double>(time).count(); };
        credit_ = std::min(credit_ + rate_ * seconds(now - credited_at_),
                           rate_ * seconds(catch_up_burst));
        credited_at_ = now;
        std::vector<std::pair<Receiver, crash_report>> sent;
        while (credit_ > 0.0 && !answers_.empty())
        {
            answer current = std::move(answers_.front());
            answers_.pop_front();
            crash_report report = std::move(current.reports.front());
            current.reports.pop_front();
            report.age += std::chrono::duration_cast<milliseconds>(now - current.taken_at);
            credit_ -= static_cast<double>(approximate_bytes(report));
            sent.emplace_back(current.receiver, std::move(report));
            if (!current.reports.empty())
                answers_.push_back(std::move(current));
        }
        return sent;
    }

private:
    struct answer
    {
        Receiver receiver;
        std::deque<crash_report> reports;
        time_point taken_at{}; // at which the ages were right
    };

    double rate_; // bytes per second
    double credit_ = 0.0;
    time_point credited_at_{};
    std::deque<answer> answers_;
};

} // namespace zinnianotch
