// Messages between VMs of the serving path and their framing: a 32-bit length in host byte order
// followed by a Cap'n Proto message (stage.capnp) of that many bytes.
#pragma once

#include "state/crash_catch_up.h"
#include "state/crash_suspects.h"
#include "state/rollout.h"
#include "state/stage_request.h"
#include "state/state_source.h"
#include "state/table_replica.h"
#include "state/work_book.h"

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
    store_position position;
    bool held = false; // asks for held_records instead
};
struct state_answer
{
    state_table table = state_table::desired;
    bool loaded = false; // false if the answering VM has no copy yet
    table_update update; // of the answering VM's copy since the position of the query
    // Time since the store could be read again after an outage; nothing if there was none.
    std::optional<milliseconds> regained_ago;
};
// Copies of the tables on a VM that reads the store.
struct state_notice
{
    table_copies copies;
};
// Records that the sender holds because the store has lost them; see table_replica.
struct held_records
{
    state_table table = state_table::desired;
    std::uint64_t era = 0;
    std::vector<held_record> records;
};
struct leaving_message
{
};
// A stopping VM has not begun the job and gives it up; the receiver submits it to another VM.
struct returned_message
{
    std::uint64_t job = 0;
};
// What VMs have seen of endpoints.
struct pace_reports
{
    std::vector<pace_report> reports;
};

using vm_message =
    std::variant<ping_message, pong_message, submit_message, done_message, cancel_message,
                 release_message, state_query, state_answer, leaving_message, state_notice,
                 returned_message, crash_report, held_records, pace_reports, rollout_report,
                 rollout_verdict, crash_query>;

// Largest accepted message in bytes, without the length prefix.
inline constexpr std::size_t frame_limit = 16 * 1024 * 1024;

// The message with its length prefix.
std::string encode_frame(const vm_message& message);

enum class frame_state
{
    incomplete,
    complete,
    invalid
};

// Decodes the first frame of `buffer`. A frame whose bytes are all there is removed from the
// buffer, unless its length is invalid; `message` is set only if the result is `complete`.
frame_state decode_frame(std::string& buffer, vm_message& message);

} // namespace zinnianotch
