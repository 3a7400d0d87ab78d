// This VM's share of limits that hold over all VMs together, kept without asking the others.
#pragma once

#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Stable hash of two names, the same on every VM; for rendezvous hashing.
std::uint64_t rendezvous_weight(std::string_view a, std::string_view b);

// The names in order of their weight for `key`, highest first: each VM computes the same order, and
// a name that comes or goes moves only the keys that it held.
std::vector<std::string> rendezvous_order(std::string_view key,
                                          const std::vector<std::string>& names);

// A name with its weight in a rendezvous order.
struct weighted_name
{
    std::string name;
    double weight = 1.0;
};

// As above; a name comes first for a part of all keys in proportion to its weight.
std::vector<std::string> rendezvous_order(std::string_view key,
                                          const std::vector<weighted_name>& names);

// VMs that may send to one cold endpoint. With more of them, a share would fall below one request.
inline constexpr std::size_t max_cold_senders = 8;
// Part of the bound that all shares together use. The rest covers VMs whose lists of VMs differ for
// a moment and a VM that has restarted and forgotten what it sent.
inline constexpr double cold_limit_usage = 0.55;
inline constexpr milliseconds cold_window{1000};

// Requests that this VM may send to a cold endpoint in any cold_window; 0 when it is none of the
// senders of that endpoint. `bound` holds over all VMs; `vms` has the names of all, `own` too.
std::uint32_t cold_share(std::string_view endpoint, std::string_view own,
                         const std::vector<std::string>& vms, double bound);

// Counts the sends to one endpoint in a sliding window.
class window_counter
{
public:
    explicit window_counter(milliseconds window) : window_(window) {}

    void add(time_point now);
    std::size_t count(time_point now);

private:
    milliseconds window_;
    std::deque<time_point> times_;
};

// Limits of the repeats of one service, over all VMs.
struct repeat_limits
{
    double ratio = 0.2; // repeats for each first request
    std::uint32_t slack = 0;
    milliseconds window{10000};
};

// Bounds the repeats that this VM sends to one service: its share of the slack and the ratio of its
// own first requests.
class repeat_budget
{
public:
    void on_first(const repeat_limits& limits, time_point now);
    // Takes one repeat; false when the budget is used up.
    bool try_repeat(const repeat_limits& limits, std::size_t vms, time_point now);

private:
    void remove_expired(const repeat_limits& limits, time_point now);

    std::deque<time_point> first_attempts_;
    std::deque<time_point> repeats_sent_;
};

} // namespace zinnianotch
