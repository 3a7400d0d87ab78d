// Crash reports on their way to other VMs: merges them and limits their rate.
//
// VMs that many others are linked to pass each report on to all of them. Stage calls and their
// results use the same network link, so reports may take only a small part of it.
#pragma once

#include "state/crash_suspects.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace zinnianotch
{

// Part of the speed of this VM's network link that crash reports may take.
inline constexpr double report_link_share = 0.1;
// Time that unused rate accumulates.
inline constexpr milliseconds report_burst{500};
// Time for each VM of the fleet that a report of sound parts waits for others to be sent with it.
inline constexpr milliseconds sound_delay_per_vm{7};
// Approximate size in bytes of an encoded report, and of each engine and part in it.
inline constexpr std::size_t report_base_bytes = 160;
inline constexpr std::size_t report_entry_bytes = 32;
// Bounds on a merged report of sound parts and on the reports that wait.
inline constexpr std::size_t max_merged_entries = 64;
inline constexpr std::size_t max_waiting_reports = 1024;

std::size_t approximate_bytes(const crash_report& report);

// A link between two VMs is made by one of them; the other accepts it. VMs that accept links reach
// all others, so a report that came over a link that this VM made goes only to links that it
// accepted.
enum class report_receivers
{
    all_links,
    accepted_links
};

// Sizes on which the rate of reports depends.
struct fleet_links
{
    std::size_t accepted = 0; // links that this VM accepted
    std::size_t all = 0;      // links of this VM
    std::size_t vms = 0;      // VMs of the fleet
};

struct outgoing_report
{
    report_receivers to = report_receivers::all_links;
    crash_report report;
};

class crash_report_outbox
{
public:
    // `link_speed` of this VM in bytes per second.
    explicit crash_report_outbox(double link_speed) : rate_(report_link_share * link_speed) {}

    void add(crash_report report, report_receivers to, time_point now);
    // Takes the reports to send now; likely causes of crashes come first. To be called
    // periodically, and after reports that should not wait.
    std::vector<outgoing_report> take(const fleet_links& links, time_point now);
    std::size_t waiting() const { return waiting_.size(); }

private:
    struct waiting_report
    {
        outgoing_report outgoing;
        time_point at{}; // of the crash or the probe
        time_point added_at{};
    };

    bool merge(const crash_report& report, report_receivers to, time_point now);

    double rate_; // bytes per second
    double credit_ = 0.0;
    time_point credited_at_{};
    std::vector<waiting_report> waiting_;
};

} // namespace zinnianotch
