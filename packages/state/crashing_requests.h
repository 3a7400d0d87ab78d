// Finds single requests under which endpoints crash, whatever their route.
//
// A request may crash each endpoint that runs it, and come again at any VM. Each VM reports the
// requests that were at an endpoint when it broke; all VMs combine the same reports, so they hold
// the same requests without electing a leader. Such a crash is deterministic: a request that any
// endpoint has answered is sound. A held request is tried by one VM at a time (a probe), and
// released once it is answered.
//
// Requests are known by a digest, see request_digest. Reports carry ages instead of times, since
// the clocks of VMs are not comparable. Applying a report twice, late or out of order is harmless.
#pragma once

#include "state/crash_suspects.h"
#include "state/time.h"
#include "state/vm_report.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinnianotch
{

// A request is held after it was at this number of endpoints that crashed since it was last known
// to be answered. One more is needed if it was answered shortly before the first of them.
inline constexpr std::size_t held_request_crashes = 3;
inline constexpr milliseconds answered_memory{10'000};
// An endpoint that answers a request sent within this time after a connection broke has not
// crashed; one that has crashed takes longer to start again.
inline constexpr milliseconds alive_evidence_max{1000};
// Crashes of a request in one domain within domain_cause_window count as one if more than this
// number of times as many engines broke there: the domain is lost.
inline constexpr std::size_t domain_loss_factor = 3;
// A domain without power breaks connections over this time, since some only time out.
inline constexpr milliseconds domain_loss_window{3000};
// Interval before a probe of a request whose crashes may have another cause, and of a guilty one.
// Each grows by its factor with each probe.
inline constexpr milliseconds doubtful_probe_interval{1000};
inline constexpr std::int64_t doubtful_probe_growth = 4;
inline constexpr milliseconds guilty_probe_interval{60'000};
inline constexpr std::int64_t guilty_probe_growth = 10;
// A request that crashes together with others at this number of probes counts as guilty.
inline constexpr std::uint32_t max_doubtful_probes = 2;
// A guilty request is not tried any more after this number of probes.
inline constexpr std::uint32_t max_guilty_probes = 3;
// Time between probes of different requests.
inline constexpr milliseconds probe_spacing{1000};
// Time after which a crash no longer counts, unless a request is held because of it.
inline constexpr milliseconds request_crash_max_age{600'000};
// A VM that joins hears of single crashes up to this age.
inline constexpr milliseconds single_crash_snapshot_age{10'000};
// VMs that know a request as sound tell the others at different times within this.
inline constexpr milliseconds sound_report_spread{1000};

// Bounds on memory.
inline constexpr std::size_t max_suspect_requests = 2048;
inline constexpr std::size_t max_crashes_of_request = 8;
inline constexpr std::size_t max_answered_requests = 4096;
inline constexpr std::size_t max_broken_engines = 1024;
inline constexpr std::size_t max_snapshot_reports = 512;
inline constexpr std::size_t request_digest_size = 32; // characters
inline constexpr std::size_t max_route_name_size = 128;

class crashing_requests
{
public:
    // `origin` names this VM process.
    explicit crashing_requests(std::string origin) : origin_(std::move(origin)) {}

    // True if a request of the route may be a suspect. Digests of others need not be computed to
    // ask for holds.
    bool concerns(std::string_view route) const { return routes_.contains(route); }

    // The connection of a request broke while the endpoint had it.
    void on_crash(const engine_lifetime& engine, const std::string& domain,
                  const std::string& digest, const std::string& route, time_point now);
    // An endpoint has answered the request. Not for rejections.
    void on_answered(const std::string& digest, time_point now);
    // A response has begun to a request that was sent to the endpoint at `sent_at`.
    void on_alive(const engine_lifetime& engine, time_point sent_at, time_point now);
    // Applies a report from another VM. Returns true if it had news to be passed on.
    bool on_report(const crash_report& report, time_point now);

    // Reports to send to all other VMs since the last call.
    std::vector<crash_report> take_reports(time_point now);
    // What a VM without earlier reports needs; to be sent when a link comes up.
    std::vector<crash_report> snapshot(time_point now) const;

    // Time until a held request may be tried, or nothing if it may be sent. To be asked when a
    // request is accepted and before each attempt.
    std::optional<milliseconds> held(const std::string& digest, time_point now);
    // True if this VM may send the held request now as a probe. `vms` names all VMs, including
    // `own`. To be asked only right before the request is sent.
    bool may_probe(const std::string& digest, std::string_view own,
                   const std::vector<std::string>& vms, time_point now);
    // The request was sent as a probe.
    void on_probe(const std::string& digest, time_point now);

    std::vector<held_request_report> held_requests(time_point now);
    // Sizes, for status reports.
    std::size_t suspect_count() const { return suspects_.size(); }

private:
    struct crash
    {
        engine_lifetime engine;
        std::string domain;
        time_point at{}; // never earlier than the crash
    };

    struct suspect
    {
        std::string route;
        std::vector<crash> crashes; // also those before the last answer
        time_point last_crash_at{};
        time_point answered_at = time_point::min();      // as far as this VM knows
        time_point told_answered_at = time_point::min(); // as far as all VMs know
        std::uint32_t probes = 0;
        time_point probed_at = time_point::min();
        time_point asked_at = time_point::min();
        std::optional<time_point> held_since;
    };

    struct broken_engine
    {
        std::string domain;
        time_point at{};
        time_point alive_at = time_point::min();
    };

    using suspect_map = std::map<std::string, suspect, std::less<>>;

    bool add_crash(const engine_lifetime& engine, const std::string& domain,
                   const std::string& digest, const std::string& route, time_point at,
                   time_point now);
    bool add_answer(const std::string& digest, time_point at, time_point now);
    bool add_alive(const engine_lifetime& engine, time_point at, time_point now);
    bool add_probe(const std::string& digest, std::uint32_t probes, time_point at);
    bool make_room(time_point at);
    suspect_map::iterator erase(suspect_map::iterator position);
    void expire(time_point now);
    std::size_t count_causes(const suspect& of) const;
    void update_hold(suspect& of, time_point now) const;
    void schedule_sound_report(const std::string& digest, time_point now);
    bool has_untold_answer(const suspect& of) const;
    void emit(crash_report report, time_point at);
    crash_report describe(const crash& each, const suspect& of) const;
    // The held suspect with this digest, or null.
    suspect* find_held(std::string_view digest);
    bool is_explained(const suspect& of) const;
    bool is_guilty(const suspect& of) const;
    std::optional<time_point> probe_due(const suspect& of) const;

    struct pending_report
    {
        crash_report report;
        time_point at{};
    };

    std::string origin_;
    suspect_map suspects_;
    std::map<std::string, std::size_t, std::less<>> routes_; // number of suspects
    std::map<engine_lifetime, broken_engine> engines_;
    // Requests answered recently, in the order of their times; of one digest the last time counts.
    std::unordered_map<std::string, time_point> answered_;
    std::deque<std::pair<time_point, std::string>> answered_order_;
    std::map<std::string, time_point> sound_reports_due_;
    std::vector<pending_report> pending_;
    time_point expired_at_{};
};

} // namespace zinnianotch
