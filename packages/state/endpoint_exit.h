// Decides whether a response without a length is complete if its endpoint accepts no connections
// any more after the end of the connection: an endpoint that leaves exits after its last response,
// and one that crashes ends its connections in the same way.
#pragma once

#include "state/time.h"

#include <optional>
#include <string_view>

namespace zinnianotch
{

// An endpoint that has said that it leaves withdraws its record at its exit. The record of a
// crashed one lapses after three check-in intervals of silence, so at least two of them after the
// crash.
inline constexpr milliseconds withdrawal_timeout{1500};
// An endpoint serves on for a while after it has said that it leaves, or has withdrawn its record.
// One that ends sooner has crashed.
inline constexpr milliseconds shortest_drain{1000};
// A crash ends all connections of an endpoint within this time.
inline constexpr milliseconds crash_spread{100};

// What a VM knows of an endpoint that refuses connections after the end of a response.
struct endpoint_exit
{
    time_point ended_at{};                  // of the response
    std::optional<time_point> announced_at; // the endpoint said that it leaves
    std::optional<time_point> withdrawn_at; // its record was removed
    bool replaced = false;                  // its id belongs to another lifetime now
    bool is_list_current = false;           // false while the store cannot be read
    bool others_broke = false; // other exchanges of this VM within crash_spread of the end
};

enum class response_end
{
    complete,
    broken,
    undecided // to be asked again
};

std::string_view to_string(response_end value);

response_end judge_response_end(const endpoint_exit& known, time_point now);

} // namespace zinnianotch
