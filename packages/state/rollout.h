// Data of roll-outs: the traffic of a service moves to endpoints of another version, under the
// judgement of all VMs. docs/design/rollouts.md describes who decides and how.
#pragma once

#include "state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Bounds that the operators of an installation set for all VMs together.
struct rollout_limits
{
    double exposure_share = 0.1;  // of the service's requests that a bad version may get ...
    double exposure_slack = 0.0;  // ... plus this many requests
    milliseconds roll_back{5000}; // from the sign that a version is bad to its last request

    bool operator==(const rollout_limits&) const = default;
};

// Order of the operators: the service moves to `version` within `duration`.
struct rollout_order
{
    std::string service;
    std::string version;
    milliseconds duration{0};
    std::uint64_t revision = 0; // of the order's record; tells orders apart

    bool operator==(const rollout_order&) const = default;
};

// Phases in their order; only rolled_back may follow any phase but completed.
enum class rollout_phase
{
    canary,     // a small share of each route, at few endpoints under usual load
    ramp,       // rising shares, see rollout_record::step
    full,       // all new requests; those at the old endpoints end
    completed,  // final: the old endpoints stop
    rolled_back // final: no further request
};

std::string_view to_string(rollout_phase value);
bool from_string(std::string_view name, rollout_phase& out);
bool is_final(rollout_phase value);

// Share of a route's requests that go to the new version.
struct rollout_share
{
    std::string route;
    double share = 0.0;

    bool operator==(const rollout_share&) const = default;
};

// Shares of the routes at one step.
struct rollout_shares
{
    double usual = 0.0; // of all requests, and of those of a route that is not listed
    double bound = 0.0; // of the requests between order and deadline, as a limit on every VM
    std::vector<rollout_share> routes; // at most rollout_max_routes

    bool operator==(const rollout_shares&) const = default;
};

// What the VMs have decided on an order. Kept in the store, where it is replaced only under the
// condition that its revision is still the one that the decision was based on.
struct rollout_record
{
    std::string service;
    std::string version;
    std::string old_version; // that serves besides it; empty if not known
    std::uint64_t order = 0; // revision of the order
    rollout_phase phase = rollout_phase::canary;
    std::uint32_t step = 0;     // within the phase
    rollout_shares shares;      // until a judge's verdict adjusts them
    milliseconds age{0};        // of the order when the record was written
    std::string why;            // reason of a roll-back, for operators
    std::uint64_t revision = 0; // of the record; 0: not in the store yet

    bool operator==(const rollout_record&) const = default;
};

// Upper bounds of the buckets in which answers are counted by duration; the last one is unbounded.
inline constexpr std::array<std::uint32_t, 15> rollout_duration_bounds_ms{
    10, 20, 40, 60, 90, 135, 200, 300, 450, 675, 1000, 1500, 2250, 3400, 5000};
inline constexpr std::size_t rollout_buckets = rollout_duration_bounds_ms.size() + 1;

// Answers of one route since the order. Entries of the old version are summed over its endpoints of
// one failure domain.
struct rollout_counts
{
    std::string route;
    std::string endpoint; // empty for the old version
    std::string domain;   // of the endpoints
    bool is_candidate = false;
    std::uint32_t answers = 0;  // complete ones, successful or not, and attempts that broke
    std::uint32_t failures = 0; // of these
    std::array<std::uint32_t, rollout_buckets> by_duration{}; // time to the first byte of successes
};

// Counts of one lifetime of a VM, sent to the VMs that judge. They only grow, so a report replaces
// the ones before it and may be lost or repeated.
struct rollout_report
{
    std::string vm;
    std::uint64_t lifetime = 0; // random; tells a VM that has started again from the one before
    std::uint64_t sequence = 0;
    std::string service;
    std::uint64_t order = 0;
    rollout_phase phase = rollout_phase::canary; // that this VM follows
    std::uint64_t sent = 0;                      // requests of the service since the order
    std::uint64_t candidate_sent = 0;            // attempts at the new version
    std::uint32_t old_in_flight = 0;             // attempts at endpoints of the old version
    std::uint32_t old_unrepeatable = 0;          // of these, of requests that may run only once
    milliseconds age{0};                         // of the order, as far as this VM knows
    std::vector<rollout_counts> counts; // those that changed since the receiver's last report
};

// Answer of a VM that judges: its latest verdict, which holds before the store has it.
struct rollout_verdict
{
    std::string service;
    std::uint64_t order = 0;
    rollout_phase phase = rollout_phase::canary;
    std::uint32_t step = 0;
    rollout_shares shares;
    milliseconds age{0};
    std::string old_version = {}; // see rollout_record
};

// Bounds on the size of reports, verdicts and records.
inline constexpr std::size_t rollout_max_routes = 32;
inline constexpr std::size_t rollout_max_counts = 128; // entries of one report

// True if the first of two records of one service replaces the second: a later order, or a later
// phase or step of the same order. A final phase is never replaced for the same order.
bool supersedes(const rollout_record& first, const rollout_record& second);

// The same for verdicts; of two of the same step, the one of the later age.
bool supersedes(const rollout_verdict& first, const rollout_verdict& second);

// Old version of the next order, if its first decision replaces `last`; empty if not known.
const std::string& version_after(const rollout_record& last);

// Of several VMs, those that judge a service's roll-out, the most preferred first. All VMs that
// know the same list agree on the order.
std::vector<std::string> rollout_judges(std::string_view service, std::vector<std::string> vms);
// VMs that receive the reports: the first ones of rollout_judges that can be reached.
inline constexpr std::size_t rollout_judge_count = 3;
// Interval of a VM's reports to each judge. It is shorter while the shares are large, since a bad
// version gets its share until the judge knows.
milliseconds rollout_report_interval(rollout_phase phase);

// Steps of `canary` and `ramp` come in groups, one for each share. The first step of a group uses
// the first new endpoints, the next ones move on to others, to tell a faulty endpoint from a bad
// version.
inline constexpr std::uint32_t rollout_rotations = 4;

// Number of new endpoints that take a share of the requests, so that each works under about the
// load of an endpoint of the old version.
std::size_t canary_count(double share, std::size_t old_endpoints, std::size_t new_endpoints);

// Age of an order. What a VM hears of it is always late, so the largest age is the best estimate.
class rollout_age
{
public:
    void hear(milliseconds age, time_point now);
    milliseconds at(time_point now) const;

private:
    time_point started_at_ = time_point::max();
};

} // namespace zinnianotch
