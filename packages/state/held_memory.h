// Ledger of the bytes that a VM holds because others read or send slowly, and the decision which of
// them give way when memory is short.
//
// The sum is bounded by the machine's memory. As it grows, responses are first read ahead less,
// then new bodies are refused, and only then do the slowest holders give way.
#pragma once

#include "state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace zinnianotch
{

enum class held_kind
{
    incoming_body,    // of a request that is being received
    request_body,     // of a request in progress, with the copy that is sent on
    endpoint_request, // sent to an endpoint and not read yet; counted by request_body
    response,         // waits for its client
    partial_response, // collected from an endpoint, not passed on yet
    vm_link           // messages to another VM
};

inline constexpr std::size_t held_kind_count = static_cast<std::size_t>(held_kind::vm_link) + 1;

std::string_view to_string(held_kind value);

// Memory of a process with nothing in hand: code, tables of the store, connections.
inline constexpr std::uint64_t base_process_bytes = 40 * 1024 * 1024;
// Share of the remaining memory that may be held. The allocator, kernel buffers that count for the
// process, and what is read between two decisions take the rest.
inline constexpr double held_share = 0.6;

// Shares of the bound up to which responses are read ahead, slowly read on, and bodies accepted.
inline constexpr double read_ahead_share = 0.5;
inline constexpr double large_body_share = 0.7;
inline constexpr double read_on_share = 0.95;
// Interval at which a response above its read-ahead is read on, up to read_ahead_share and above.
// Endpoints cut off responses that remain unread for some seconds.
inline constexpr milliseconds read_on_interval{500};
inline constexpr milliseconds read_on_interval_short{1500};
// Bodies up to this many bytes are accepted up to the bound itself.
inline constexpr std::uint64_t small_body_bytes = 16 * 1024;
// Part of the free room that one response may take. With n slow readers, each gets 1/(n+8) of it.
inline constexpr std::uint64_t read_ahead_divisor = 8;
// A response is read ahead by this much even without room.
inline constexpr std::uint64_t min_read_ahead_bytes = 16 * 1024;
// Copies of a request body while it is sent on.
inline constexpr std::uint64_t body_copies = 2;
// Part of the bound that the messages queued for one VM may take.
inline constexpr std::uint64_t link_divisor = 8;

// Holders of fewer bytes do not give way: it would gain nothing.
inline constexpr std::uint64_t min_yield_bytes = 16 * 1024;
// A holder whose rate was observed for less than this gives way only after all others.
inline constexpr milliseconds min_observed_time{1000};
// A holder without progress for this long gives way as soon as large bodies are refused.
inline constexpr milliseconds stalled_time{5000};
// Share of the bound that is left after the slowest holders have given way.
inline constexpr double relieved_share = 0.9;
// Time in which an observed byte loses half of its weight in the rate of its holder.
inline constexpr milliseconds rate_half_life{2000};

// Bytes that may be held on a machine with this much memory; 0 for 0, which means no bound.
std::uint64_t held_memory_bound(std::uint64_t machine_bytes);

struct holder_id
{
    std::uint32_t slot = 0;
    std::uint32_t generation = 0; // 0: none

    bool operator==(const holder_id&) const = default;
};

struct yielding_holder
{
    holder_id id;
    held_kind kind = held_kind::response;
    std::uint64_t bytes = 0;
    milliseconds idle{0}; // since its last progress
};

class held_memory
{
public:
    // Without a bound (0), bytes are counted and nothing is refused.
    void set_bound(std::uint64_t bytes) { bound_ = bytes; }
    std::uint64_t bound() const { return bound_; }
    bool is_bounded() const { return bound_ != 0; }

    holder_id add(held_kind kind, time_point now);
    void remove(holder_id id);
    // The holder has `bytes` more.
    void grow(holder_id id, std::uint64_t bytes, time_point now);
    // The other side has read `bytes` of what is held.
    void drain(holder_id id, std::uint64_t bytes, time_point now);
    // The other side has sent `bytes`, for which room was reserved before.
    void note_progress(holder_id id, std::uint64_t bytes, time_point now);

    std::uint64_t bytes(holder_id id) const;
    std::uint64_t total() const { return total_; }
    std::uint64_t total(held_kind kind) const { return totals_[static_cast<std::size_t>(kind)]; }

    // True if a body of this size may be received, `reserved` bytes of which are held already.
    bool admits_body(std::uint64_t bytes, std::uint64_t reserved = 0) const;
    // Bytes that one response may hold before it is read on slowly; `unbounded` without a bound.
    std::uint64_t read_ahead_limit(std::uint64_t unbounded) const;
    // Interval at which a response above read_ahead_limit is read on; nothing if it is not.
    std::optional<milliseconds> read_on() const;
    // Messages that may be queued for one VM; `unbounded` without a bound.
    std::uint64_t link_limit(std::uint64_t unbounded) const;

    // Holders that have to give way now, the first ones first. They stay in the ledger until they
    // are removed.
    std::vector<yielding_holder> choose_yielding(time_point now) const;

private:
    struct holder
    {
        held_kind kind = held_kind::response;
        std::uint32_t generation = 1;
        bool used = false;
        std::uint64_t bytes = 0;
        double rate = 0.0;  // bytes/s at rate_at
        time_point since{}; // has held bytes
        time_point rate_at{};
        time_point progress_at{};
    };

    holder* find(holder_id id);
    const holder* find(holder_id id) const;
    void add_progress(holder& of, std::uint64_t bytes, time_point now);
    double expected_drain_s(const holder& of, time_point now) const;
    std::uint64_t part(double share) const;

    std::uint64_t bound_ = 0;
    std::uint64_t total_ = 0;
    std::array<std::uint64_t, held_kind_count> totals_{};
    std::vector<holder> holders_;
    std::vector<std::uint32_t> free_; // slots
};

} // namespace zinnianotch
