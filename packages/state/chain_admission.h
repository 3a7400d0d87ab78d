// Admission of a request with chained stages at its arrival: whether all its stages and its engine
// fit into its response-time goal, or at least into its deadline.
//
// A request that is refused at its last stage has wasted the earlier ones, so the decision is made
// before the first one is queued.
#pragma once

#include "state/serving.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace zinnianotch
{

// A less urgent route yields capacity to a more urgent one in a shared service if its goal is at
// least this many times as long: it can then wait through several calls of the urgent one.
inline constexpr int yielding_goal_ratio = 2;

// Services that run stages of a route and of a more urgent one with a much shorter goal. Their
// capacity is reserved by urgency.
std::set<std::string, std::less<>> find_contended_services(const serving_state& state);

// Rank in a contended service; 0 is the most urgent. The priority of a client account takes
// precedence, and that of the route decides among requests of equal accounts.
std::uint32_t urgency_rank(std::optional<std::uint32_t> account_priority,
                           std::uint32_t route_priority);

// Expected time of a request from now to its first byte.
struct chain_estimate
{
    milliseconds on_time{0}; // scheduled among the jobs that can meet their goal
    milliseconds late{0};    // scheduled on the capacity that these leave
};

enum class chain_decision
{
    on_time,
    late, // misses its goal, but is done by its deadline on spare capacity
    refused
};

struct chain_verdict
{
    chain_decision decision = chain_decision::on_time;
    milliseconds retry_after{0}; // until room is expected, if refused
};

chain_verdict decide_chain(const chain_estimate& estimate, milliseconds goal_left,
                           milliseconds deadline_left);

} // namespace zinnianotch
