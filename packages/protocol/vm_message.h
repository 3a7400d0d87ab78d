// Messages between VMs of the serving path and their encoding, Cap'n Proto in frames of a length
// and that many bytes.
#pragma once

#include "state/stage_request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinnianotch
{

struct ping_message
{
};
struct pong_message
{
};
struct submit_message
{
    std::uint64_t job = 0;
    stage_request request;
};
struct done_message
{
    std::uint64_t job = 0;
    stage_outcome outcome;
};
struct cancel_message
{
    std::uint64_t job = 0;
};
struct release_message
{
    std::vector<std::string> handles;
};
struct state_query
{
    state_table table = state_table::desired;
    std::uint64_t revision = 0;
};
struct state_answer
{
    state_table table = state_table::desired;
    std::uint64_t revision = 0;
    bool loaded = false;
    std::vector<state_record> records;
};
struct leaving_message
{
};

using vm_message =
    std::variant<ping_message, pong_message, submit_message, done_message, cancel_message,
                 release_message, state_query, state_answer, leaving_message>;

// A larger frame is no message of this system.
inline constexpr std::size_t frame_limit = 16 * 1024 * 1024;

// Whole frame of a message.
std::string encode_frame(const vm_message& message);

enum class frame_state
{
    incomplete,
    complete,
    invalid
};

// Decodes the first frame of `bytes` and removes it.
frame_state decode_frame(std::string& bytes, vm_message& message);

} // namespace zinnianotch
