// Counts the answers of both versions during a roll-out, as seen by one VM, and reports them to the
// VMs that judge.
#pragma once

#include "state/rollout.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace zinnianotch
{

// An attempt without a first byte counts as slow after this multiple of the typical time of the old
// version, and at least overlong_min.
inline constexpr double overlong_factor = 3.0;
inline constexpr milliseconds overlong_min{300};
// Every so many reports to a receiver start over with all entries: it may have restarted.
inline constexpr std::uint32_t complete_report_interval = 12;
// Most attempts whose answers are awaited at once; further ones are sent but not counted.
inline constexpr std::size_t max_awaited_attempts = 65'536;

// An attempt to send a request to an endpoint.
struct rollout_attempt
{
    std::string route;
    std::string endpoint;
    std::string domain; // of the endpoint
    bool is_candidate = false;
    bool is_repeatable = true; // the request may run more than once
    bool is_retry = false;     // the request has been sent before
};

// Samples of one service, one order and one lifetime of this VM. A new order needs a new object.
class rollout_samples
{
public:
    // `lifetime` is random, and the same for all orders of the process.
    rollout_samples(std::string vm, std::uint64_t lifetime, std::string service,
                    std::uint64_t order);

    // An attempt was sent. Returns its number for the calls below.
    std::uint64_t on_sent(const rollout_attempt& attempt, time_point now);
    // The first byte of a successful answer's body, or its head if it has none. Ignored for an
    // unknown number, as are the next two.
    void on_first_byte(std::uint64_t number, time_point now);
    // The attempt failed before or after its first byte: an error of the endpoint, a broken
    // connection, no answer in time. The attempt has ended.
    void on_failed(std::uint64_t number, time_point now);
    // The attempt has ended, completely, or for a reason that says nothing about the endpoint.
    void on_ended(std::uint64_t number);

    // Cumulative report to a judging VM, with the entries that changed since the last report to it,
    // at most rollout_max_counts; the others follow with the next one. Entries whose report was
    // lost are sent again with on_report_lost.
    rollout_report report(const std::string& receiver, rollout_phase phase, milliseconds age,
                          time_point now);
    // The last report to this receiver may not have arrived: its next one has all entries.
    void on_report_lost(const std::string& receiver);

    std::uint64_t order() const { return order_; }

private:
    // Route, endpoint (empty for the old version), domain.
    using counts_key = std::tuple<std::string, std::string, std::string>;

    struct counts_entry
    {
        rollout_counts counts;
        std::uint64_t changed = 0; // change number
    };

    struct awaited_attempt
    {
        rollout_attempt attempt;
        time_point sent_at{};
        bool is_counted = false;
    };

    struct receiver_state
    {
        std::uint64_t changed = 0; // last change number that it was sent
        std::uint32_t reports = 0;
    };

    counts_entry& changed_entry(const rollout_attempt& attempt);
    void count_duration(awaited_attempt& of, milliseconds elapsed);
    void count_overlong(time_point now);
    milliseconds overlong_after(const std::string& route) const;

    std::string vm_;
    std::uint64_t lifetime_;
    std::string service_;
    std::uint64_t order_;
    std::uint64_t next_number_ = 1;
    std::uint64_t change_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t candidate_sent_ = 0;
    std::uint32_t old_in_flight_ = 0;
    std::uint32_t old_unrepeatable_ = 0;
    std::map<counts_key, counts_entry> entries_;
    std::unordered_map<std::uint64_t, awaited_attempt> awaited_;
    std::map<std::string, receiver_state, std::less<>> reported_;
};

} // namespace zinnianotch
