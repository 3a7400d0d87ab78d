// Finds the prompt part under which engines crash, from the requests that broke with them.
//
// A request that crashes each engine that begins to answer it must soon be sent no longer, by any
// VM, while requests that share its other parts continue. Each VM reports the parts of its requests
// that broke together with an engine, and the parts that it has since seen answered. All VMs
// combine the same reports, so they hold the same parts without electing a leader. A held part is
// released once a run shows it sound; for that, one VM at a time lets a request through (a probe).
//
// Reports carry ages instead of times, since the clocks of VMs are not comparable. Applying a
// report twice, late or out of order is harmless.
#pragma once

#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinnianotch
{

// A part is held at this sum of the weights of its crashes. A crash weighs 1 if all requests that
// may be its cause have the part, less if only some have it, and sole_suspect_weight if they have
// no other suspect part.
inline constexpr double hold_threshold = 2.2;
// The same for a combination of parts: its hold affects only requests that have all of them.
inline constexpr double combination_threshold = 1.8;
inline constexpr double sole_suspect_weight = 1.25;
// Requests are placed by a part from this sum on. It is more than one cause amounts to: after the
// crash of a whole domain, requests that share a popular part would all go to one engine.
inline constexpr double placement_threshold = 1.3;
// An engine crashes within this time after it begins to answer the request that causes it.
inline constexpr milliseconds crash_delay_max{500};
// Strength of a request as a cause if several events had been received, if its response had begun
// longer ago, or if it had not begun, relative to one whose response had just begun.
inline constexpr double several_events_weight = 0.25;
inline constexpr double long_answering_weight = 0.2;
inline constexpr double no_head_weight = 0.05;
// Crashes within this time have a common cause and count as one; the second applies to engines of
// the same failure domain.
inline constexpr milliseconds common_cause_window{100};
inline constexpr milliseconds domain_cause_window{400};
// Engines that crash in common_cause_window beyond this number are not recorded.
inline constexpr std::size_t max_crashes_per_cause = 8;
// Time after which a crash no longer counts, unless a part is held because of it.
inline constexpr milliseconds crash_evidence_max_age{60'000};
// Time after which a held part that no request has had is forgotten.
inline constexpr milliseconds hold_idle_max{3'600'000};
// Interval before the first probe of a held part: after this many crashes, after fewer, and if
// another part was at half of the crashes. It grows by the factor with each probe.
inline constexpr std::size_t confirming_crashes = 4;
inline constexpr milliseconds confirmed_probe_interval{30'000};
inline constexpr milliseconds first_probe_interval{4000};
inline constexpr milliseconds ambiguous_probe_interval{1500};
inline constexpr std::int64_t confirmed_probe_growth = 4;
inline constexpr std::int64_t probe_growth = 2;
// Delay of a probe per rank of the VM.
inline constexpr milliseconds probe_rank_delay{500};
// A request that has itself broken this many engines is not sent again.
inline constexpr std::uint32_t max_crashes_per_request = 2;

// Bounds on memory. The oldest crashes under which no part is held go first.
inline constexpr std::size_t max_crashes = 256;
inline constexpr std::size_t max_requests_per_crash = 16;
inline constexpr std::size_t max_parts_per_request = 1024;
inline constexpr std::size_t max_parts_per_crash = 1024;
inline constexpr std::size_t max_suspect_parts = 8192;

// How far the response to a request was when its connection broke.
enum class answer_progress
{
    no_head,     // nothing was received
    head,        // the head was received, but no event or byte of the body
    first_event, // at most one event was received
    events       // more was received
};

std::string_view to_string(answer_progress value);
// Sets `out` to the value with this name; returns false if there is none.
bool from_string(std::string_view name, answer_progress& out);

// True if the request of a response that was this far is not the cause of a crash.
constexpr bool is_past_crash(answer_progress progress, milliseconds answering_for)
{
    return progress == answer_progress::events && answering_for > crash_delay_max;
}

// One lifetime of an engine.
struct engine_lifetime
{
    std::string id;
    std::int64_t started_at = 0;

    bool operator==(const engine_lifetime&) const = default;
    bool operator<(const engine_lifetime& other) const
    {
        return std::tie(id, started_at) < std::tie(other.id, other.started_at);
    }
};

enum class crash_report_kind
{
    crash, // an engine crashed under a request with these parts
    sound, // requests with these parts were answered after the crashes of these engines
    probe  // a VM has let a request with this held part through
};

std::string_view to_string(crash_report_kind value);
bool from_string(std::string_view name, crash_report_kind& out);

// What the parts of a report are.
enum class crash_report_subject
{
    prompt_parts,
    requests // digests of whole requests, see crashing_requests
};

// News for all VMs.
struct crash_report
{
    crash_report_subject subject = crash_report_subject::prompt_parts;
    crash_report_kind kind = crash_report_kind::crash;
    // Identity of the broken request of a crash: the name of the VM process that sent it and a
    // number. A VM process must not use the name of an earlier one.
    std::string origin;
    std::uint64_t sequence = 0;
    std::vector<engine_lifetime> engines;             // one for a crash, none for a probe
    std::string domain;                               // crash: failure domain of the engine
    std::vector<std::string> parts;                   // one for a probe
    answer_progress progress = answer_progress::head; // crash
    milliseconds answering_for{0};                    // crash: see crash_suspects::on_crash
    std::uint32_t probes = 0;                         // probe: number of probes including this one
    milliseconds age{0};                              // since the crash, or since the probe began
    std::string route;                                // of the requests of a crash
    bool is_known = false; // all VMs but the receiver know of it: not to be passed on

    bool operator==(const crash_report&) const = default;
};

// A request that must not be sent now.
struct held_request
{
    std::string part;
    milliseconds retry_after{0}; // until the next probe of the part is due
};

// A request that broke with an engine.
struct broken_request
{
    std::string origin;
    std::uint64_t sequence = 0;
    std::vector<std::string> parts;
    answer_progress progress = answer_progress::head;
    milliseconds answering_for{0};
};

// What is known of one crash.
struct crash_record
{
    std::string domain;
    time_point at{}; // never earlier than the crash
    time_point received_at{};
    std::vector<broken_request> requests;
    std::set<std::string, std::less<>> sound; // parts of runs sent after the crash
};

class crash_suspects
{
public:
    // `origin` names this VM process; it must differ from the names of earlier processes of the VM.
    explicit crash_suspects(std::string origin) : origin_(std::move(origin)) {}

    // The connection of a request broke while the engine had it. `parts` excludes the last part of
    // the prompt, which belongs to this request only; `answering_for` is the time since the first
    // event of the response, or since its head if there was no event.
    void on_crash(const engine_lifetime& engine, const std::string& domain,
                  const std::vector<std::string>& parts, answer_progress progress,
                  milliseconds answering_for, time_point now);
    // An engine has answered a request completely, or for so long that is_past_crash holds. To be
    // called as soon as either is true; not for rejections and responses from a cache.
    void on_sound(const std::vector<std::string>& parts, time_point sent_at, time_point now);
    // Applies a report from another VM. Returns true if it had news, and is to be passed on
    // unchanged to VMs that the sender does not reach itself.
    bool on_report(const crash_report& report, time_point now);

    // Reports to send to all other VMs since the last call.
    std::vector<crash_report> take_reports(time_point now);
    // All that a VM without earlier reports needs; to be sent when a link comes up. The receiver
    // applies all of it before it asks for held parts.
    std::vector<crash_report> snapshot(time_point now);

    // The held part of a request, or nothing if it may be sent. To be asked when a request is
    // accepted and before each attempt.
    std::optional<held_request> held(const std::vector<std::string>& parts, time_point now);
    // True if this VM may send the held request now as a probe. `vms` names all VMs, including
    // `own`. To be asked only right before the request is sent.
    bool may_probe(const std::vector<std::string>& parts, std::string_view own,
                   const std::vector<std::string>& vms, time_point now);
    // The request was sent as a probe.
    void on_probe(const std::vector<std::string>& parts, time_point now);
    // The most suspect part of a request that is not held, or nothing if none reaches
    // placement_threshold. Placing requests by it separates suspects that share an engine
    // otherwise.
    std::optional<std::string> suspect(const std::vector<std::string>& parts, time_point now);

    // Parts held at present, for status reports.
    std::vector<std::string> held_parts(time_point now);
    // Sizes, for status reports.
    std::size_t crash_count() const { return crashes_.size(); }
    std::size_t suspect_count(time_point now);

private:
    struct hold
    {
        std::vector<std::string> with;    // a request is held if it has these parts besides
        std::vector<std::string> without; // a request with one of these is no probe
        std::vector<engine_lifetime> crashes;
        time_point last_crash_at{};
        bool is_confirmed = false;
    };

    struct probe_state
    {
        std::uint32_t count = 0;
        time_point last_at{};
    };

    struct pending_report
    {
        crash_report report;
        time_point at{};
    };

    bool add_crash(const crash_report& report, time_point now);
    bool add_sound(const crash_report& report, time_point now);
    bool add_probe(const crash_report& report, time_point now);
    // The record of a crash; null if there is no room for one that old.
    crash_record* find_or_add(const engine_lifetime& engine, time_point at, time_point now);
    bool supports_hold(const engine_lifetime& engine) const;
    bool make_room(std::size_t added, time_point at, time_point now);
    bool make_room_in(crash_record& record, const broken_request& added);
    void emit(crash_report report, time_point now);
    // Brings the holds up to date with the crashes.
    void update(time_point now);
    void evaluate();
    void expire(time_point now);
    // The held part of a request.
    const std::string* find_held(const std::vector<std::string>& parts) const;
    time_point probe_due(const std::string& part) const;

    std::string origin_;
    std::uint64_t next_sequence_ = 1;
    std::map<engine_lifetime, crash_record> crashes_;
    std::size_t part_count_ = 0; // of all requests of all crashes
    std::map<std::string, hold, std::less<>> holds_;
    std::map<std::string, probe_state, std::less<>> probes_;
    std::map<std::string, time_point, std::less<>> asked_at_; // of held parts
    std::unordered_map<std::string, double> scores_;          // of parts not shown sound
    std::vector<pending_report> pending_;
    bool is_changed_ = false;
    time_point expired_at_{};
    time_point updated_at_{};
};

} // namespace zinnianotch
