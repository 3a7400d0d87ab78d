// This VM's share of limits that apply to all VMs together, computed without communication between
// the VMs.
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

// Computes rendezvous_weight(a, b) for one `a` and many `b`.
class rendezvous_key
{
public:
    explicit rendezvous_key(std::string_view a);
    std::uint64_t weight(std::string_view b) const;

private:
    std::uint64_t hash_;
};

// The names sorted by their weight for `key`, highest first. Each VM computes the same order, and
// adding or removing a name moves only the keys assigned to that name.
std::vector<std::string> rendezvous_order(std::string_view key,
                                          const std::vector<std::string>& names);

// A name with its weight in a rendezvous order.
struct weighted_name
{
    std::string name;
    double weight = 1.0;
};

// As above, with weights: a name comes first for a fraction of all keys proportional to its weight.
std::vector<std::string> rendezvous_order(std::string_view key,
                                          const std::vector<weighted_name>& names);

// Maximum number of VMs that may send to one cold endpoint. With more senders, the share of each
// would fall below one request.
inline constexpr std::size_t max_cold_senders = 8;
// Fraction of the bound that is divided among the senders. The rest covers VMs whose membership
// lists differ temporarily and a restarted VM, which has lost its count of requests sent.
inline constexpr double cold_limit_usage = 0.55;
inline constexpr milliseconds cold_window{1000};

// Requests that this VM may send to a cold endpoint in any cold_window; 0 if it is not one of the
// senders of that endpoint. `bound` applies to all VMs together; `vms` names all VMs, including
// `own`.
std::uint32_t cold_share(std::string_view endpoint, std::string_view own,
                         const std::vector<std::string>& vms, double bound);

// Counts events in a sliding window.
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

// Limits on the retries of requests to one service, over all VMs.
struct service_retry_limits
{
    double ratio = 0.2; // retries per first attempt
    double slack = 0.0; // retries per window allowed beyond the ratio, over all VMs
    milliseconds window{10000};
};

// Limits the retries that this VM sends to one service, to the ratio of its own first attempts plus
// its share of the slack.
class service_retry_budget
{
public:
    void on_first_attempt(const service_retry_limits& limits, time_point now);
    // False if the budget is exhausted. `vms` is the number of VMs.
    bool may_retry(const service_retry_limits& limits, std::size_t vms, time_point now);
    // Consumes one retry; false if the budget is exhausted.
    bool try_retry(const service_retry_limits& limits, std::size_t vms, time_point now);

private:
    void remove_expired(const service_retry_limits& limits, time_point now);

    std::deque<time_point> first_attempts_;
    std::deque<time_point> retries_sent_;
};

} // namespace zinnianotch
