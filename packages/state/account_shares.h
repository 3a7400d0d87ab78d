// Max-min fair shares of a queue's capacity among the client accounts of one priority.
//
// The VM that batches a queue sees the jobs of all VMs, so it computes the shares alone and reports
// them with the delays of the queue. A VM that receives requests marks the excess of an account as
// above its share, as the edge routers of core-stateless fair queueing do.
#pragma once

#include "state/piece_rate.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace zinnianotch
{

// Capacity is shared among accounts if a configuration has at least this many.
inline constexpr std::size_t accounts_sharing_min = 2;
// Accounts whose rates a queue tells apart, over all priorities.
inline constexpr std::size_t account_rates_max = 256;
// Time constant of the rate that an account asks for.
inline constexpr milliseconds account_rate_window{2000};
// Part of the capacity that is divided into shares. The rest keeps the queue short for accounts
// within their share.
inline constexpr double shared_capacity = 0.95;
// Bounds a report.
inline constexpr std::size_t account_shares_max = 64;
// Bounds the refusals that are kept until the next submission of their account.
inline constexpr std::size_t refused_pieces_max = 1024;

// Key of a client account in messages and queues; the same on every VM.
std::uint64_t account_key(std::string_view name);

// Rate per second to which each demand is limited so that all of them fit into `capacity`: the
// max-min fair allocation by water filling. Infinite if they fit without a limit.
double max_min_level(std::vector<double> demands, double capacity);

// Account that asks for more than its fair share.
struct account_share
{
    std::uint64_t account = 0;
    std::uint32_t priority = 0;
    double share = 1.0; // fair share divided by what it asks for

    bool operator==(const account_share&) const = default;
};

// Part of the account's requests that is within its fair share; 1 if it is not listed.
double share_of(const std::vector<account_share>& shares, std::uint64_t account,
                std::uint32_t priority);

// Rates of the pieces that accounts ask for, admitted or not. When account_rates_max is reached,
// the smallest accounts are counted together and are never above their share.
class account_rates
{
public:
    void add(std::uint64_t account, std::uint32_t priority, std::uint32_t pieces, time_point now);
    // Accounts of the priority above their fair share of `capacity`, in pieces per second.
    std::vector<account_share> above_share(std::uint32_t priority, double capacity,
                                           time_point now) const;
    // Ascending.
    std::vector<std::uint32_t> priorities() const;
    std::size_t size() const { return rates_.size(); }

private:
    void merge_smallest(time_point now);

    time_point since_{}; // the first pieces of any account
    std::map<std::pair<std::uint32_t, std::uint64_t>, piece_rate> rates_; // by priority and account
    std::map<std::uint32_t, piece_rate> merged_;                          // by priority
};

// Selects the requests of an account that are within its share, spread evenly over all its
// requests.
class share_marker
{
public:
    // VMs with different seeds begin at different points, so that together they keep to the share
    // even if each gets few requests.
    explicit share_marker(std::uint64_t seed) : seed_(seed) {}

    // True if the next request is within the share, a part from 0 to 1 of all requests.
    bool is_within_share(std::uint64_t account, std::uint32_t priority, double share);

private:
    std::uint64_t seed_;
    std::map<std::pair<std::uint32_t, std::uint64_t>, double> credits_;
};

// Pieces of requests that were refused before they reached a queue. They are reported with the next
// job that the account submits there, so that the queue knows what the account asks for.
class refused_pieces
{
public:
    void add(const std::string& queue, std::uint64_t account, std::uint32_t priority,
             std::uint32_t pieces);
    // Returns and clears the count.
    std::uint32_t take(const std::string& queue, std::uint64_t account, std::uint32_t priority);

private:
    std::map<std::tuple<std::string, std::uint64_t, std::uint32_t>, std::uint32_t> pieces_;
};

} // namespace zinnianotch
