// Selects an endpoint by the time that a request is expected to take there: its own work, what the
// endpoint still has to do, and how fast the endpoint is.
//
// Used for services whose endpoints report their pace; others are placed by choose_endpoint. Both
// send requests with the same prompt prefix to the same endpoint while that costs nothing.
#pragma once

#include "state/endpoint_pace.h"
#include "state/placement.h"
#include "state/work_estimate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace zinnianotch
{

struct timed_candidate
{
    placement_candidate base;
    const endpoint_pace* pace = nullptr;
    const endpoint_backlog* backlog = nullptr;
    std::uint64_t key = 0; // see endpoint_key
};

struct timed_query
{
    placement_query base;
    const request_work* work = nullptr;
    const work_rates* rates = nullptr;
    std::uint64_t memory_tokens = 0; // of one endpoint; 0: unknown
    // Differs from request to request and from VM to VM. Each request takes a random share, 0 to 2,
    // of what is known of waits, so that VMs that know the same do not all move at once.
    std::uint64_t salt = 0;
};

// Why a request is sent to an endpoint.
enum class placement_cause
{
    load,    // by requests and slots, nothing else is known
    prefix,  // home of the prompt prefix
    near,    // first in the prefix's order among those that take about as long
    time,    // shortest expected time
    crowded, // no endpoint has memory for the request
    only     // no other endpoint may be tried
};

std::string_view to_string(placement_cause value);

struct timed_choice
{
    std::size_t index = 0;
    placement_cause cause = placement_cause::load;
    double expected_ms = 0.0; // to the first byte; for a plain request, to the end
    double tokens_to_read = 0.0;
    double slowness = 1.0;
};

// Number of endpoints, first in the order of a prefix, among which its requests choose. More copies
// of a prompt are read again more often; fewer leave a popular one no way out.
inline constexpr std::size_t prefix_choices = 3;
// A request leaves them if they would take this many times as long as the best endpoint, and longer
// than its goal allows: under overload the time of reading prompts again is what is missing.
inline constexpr double leave_prefix_factor = 8.0;
// Costs that exceed the lowest by less than this share count as equal.
inline constexpr double equal_time_share = 0.1;
// Share of the time for which a prompt is read that its reading delays each stream beside it.
inline constexpr double disturbance_share = 0.5;
// Most requests that are counted as waiting behind a prompt that is read.
inline constexpr double disturbed_max = 4.0;
// Share of the time for which shared parts are read once more that counts beyond that time itself:
// the engine's cache then holds less of other prompts.
inline constexpr double reread_share = 1.0;
// Share of the time of a plain request that another failure domain has to save: requests that stay
// in their own domain are not hit by the loss of another.
inline constexpr double remote_time_share = 0.5;
// A hop to another failure domain and back adds a millisecond.
inline constexpr double domain_hop_ms = 1.0;
// Number of endpoints, first in the order of a prefix, of which the lastingly fastest is its home.
inline constexpr std::size_t home_choices = 2;
// Step of the logarithm of the slowness in which homes are compared, so that VMs with slightly
// different estimates agree.
inline constexpr double home_pace_step = 0.5;
// A request without a byte for this many times its expected time shows that its endpoint is slow.
inline constexpr double late_byte_factor = 2.0;

// Index of the candidate that requests with this affinity go to while that costs no time; nothing
// if no warm candidate may be tried.
std::optional<std::size_t> timed_home(const std::vector<timed_candidate>& candidates,
                                      std::string_view affinity, time_point now);

// Nothing if no candidate may be tried.
std::optional<timed_choice> choose_by_time(const std::vector<timed_candidate>& candidates,
                                           const timed_query& query, time_point now);

} // namespace zinnianotch
