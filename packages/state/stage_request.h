// Request and result of a stage, exchanged with the VM that batches its pieces, and the records of
// the store.
#pragma once

#include "state/queue_delay.h"
#include "state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

enum class piece_failure
{
    late,       // its deadline could no longer be met
    input_gone, // an input no longer exists
    no_room,    // no free result memory
    failed
};

std::string_view to_string(piece_failure value);

// All pieces of one stage of one request.
struct stage_request
{
    std::string attempt;
    std::string service;
    std::string shard; // failure domain whose endpoints run it; empty for all endpoints
    std::uint32_t stage = 0;
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t pieces = 0;
    std::uint64_t result_bytes = 0;  // per piece, approximate
    std::string key;                 // for stages without predecessors
    std::vector<std::string> inputs; // handles of the predecessors' results
    // Failure domain of its large inputs, or of the engine that will read its large results; else
    // empty.
    std::string preferred_domain;
    milliseconds goal_left{0};     // until the response-time goal
    milliseconds deadline_left{0}; // until the deadline
    std::uint64_t account = 0;     // account_key of the client account; 0 if none or not told apart
    bool is_above_share = false;   // the account asks for more than its share
    // Pieces of the same account and priority that the sender has refused since its last
    // submission.
    std::uint32_t refused_pieces = 0;
};

// Name of the queue of a service, or of one of its shards.
std::string queue_name(const std::string& service, const std::string& shard);

enum class stage_end
{
    done,
    refused, // not started: it could not be completed in time
    failed,
    lost // the VM that batches it is no longer reachable
};

std::string_view to_string(stage_end value);

struct stage_outcome
{
    stage_end end = stage_end::failed;
    std::vector<std::string> handles; // of all pieces in order, if done
    piece_failure why = piece_failure::failed;
    milliseconds expected{0}; // estimated completion time, if refused
    queue_delays delays;      // of the queue now, if it reserves capacity by urgency
};

// One entry of the store.
struct state_record
{
    std::string name;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;

    bool operator==(const state_record&) const = default;
};

// Tables of the store that the system reads or writes.
enum class state_table
{
    desired,   // routes, services and accounts; failure domains out of service
    endpoints, // written by the endpoints
    vms        // written by the VMs of the system
};

inline constexpr std::size_t state_table_count = 3;
inline constexpr std::array<state_table, state_table_count> all_state_tables{
    state_table::desired, state_table::endpoints, state_table::vms};

std::string_view to_string(state_table value);

} // namespace zinnianotch
