// What is asked of, and said by, the VM that gathers the pieces of a stage.
#pragma once

#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

enum class piece_failure
{
    late,       // its time was over when its turn came
    input_gone, // an input does not exist any more
    no_room,    // no memory for the result
    failed
};

std::string_view to_string(piece_failure value);

// All pieces of one stage of one request.
struct stage_request
{
    std::string attempt;
    std::string service;
    std::string shard; // failure domain whose endpoints make it; empty for all endpoints
    std::uint32_t stage = 0;
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t pieces = 0;
    std::uint64_t result_bytes = 0;  // of each piece, approximately
    std::string key;                 // of stages without predecessors
    std::vector<std::string> inputs; // results of all predecessors, of the others
    std::string inputs_domain;       // holds the inputs, when they are large; else empty
    milliseconds goal_left{0};       // until it should be done
    milliseconds deadline_left{0};   // until it is of no use any more
};

// Name of the queue of a service, or of one of its shards.
std::string queue_name(const std::string& service, const std::string& shard);

enum class stage_end
{
    done,
    refused, // not begun: it could not be done in time
    failed,
    lost // the VM that gathers it cannot be reached any more
};

std::string_view to_string(stage_end value);

struct stage_outcome
{
    stage_end end = stage_end::failed;
    std::vector<std::string> handles; // of all pieces in order, when done
    piece_failure why = piece_failure::failed;
    milliseconds expected{0}; // time that it would have taken, when refused
};

// One entry of the store.
struct state_record
{
    std::string name;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
};

// What the system keeps in, or reads from, the store.
enum class state_table
{
    desired,   // routes, services and accounts; failure domains that are out
    endpoints, // written by the endpoints
    vms        // written by the VMs of the system
};

inline constexpr std::size_t state_table_count = 3;

std::string_view to_string(state_table value);

} // namespace zinnianotch
