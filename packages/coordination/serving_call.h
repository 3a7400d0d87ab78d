// The serving path's own view of what is said to callers, endpoints and the store. A codec turns
// the words of an interface into these types and back; see the concept edge_codec.
#pragma once

#include "state/placement.h"
#include "state/serving.h"
#include "state/stage_request.h"
#include "state/time.h"
#include "transport/message_parser.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinnianotch
{

// A caller's request.
struct client_call
{
    std::string attempt; // id of this attempt of the caller; never used again
    std::string method;
    std::string target;
    std::string host;
    std::string key; // acts for a client account; empty when there is none
    std::string body;
    std::vector<header_field> passed; // header fields that the endpoint gets unchanged
    std::optional<milliseconds> time_left;
    std::optional<std::uint64_t> resume_after; // last event that the caller has
    std::vector<std::uint32_t> pieces;         // pieces of each stage; 0 leaves a stage out
    std::string piece_key;                     // input of stages without predecessors
    std::string shared_prompt;                 // names the parts of the prompt shared with others
};

// Endpoints know the priorities 0 to 9; 0 is the most urgent.
inline constexpr std::uint32_t least_urgent_call = 9;

// What the system adds when it sends a request to an endpoint.
struct endpoint_call
{
    std::string endpoint; // the endpoint's id: another one at the same address must not run it
    std::string account;
    milliseconds time_left{0};
    std::uint32_t priority = 0; // at most least_urgent_call
    std::vector<std::string> inputs;
    std::optional<std::uint64_t> resume_after;
};

// What an endpoint says beside the answer itself.
struct endpoint_answer
{
    std::string attempt;  // request that it answers; empty when it does not say
    bool not_run = false; // the endpoint has not run the request and will not
    std::optional<endpoint_load_report> load;
    std::optional<milliseconds> cold_for;
};

// One piece of a stage.
struct stage_piece
{
    std::string attempt;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    milliseconds time_left{0};
    std::string key;                 // of stages without predecessors
    std::vector<std::string> inputs; // results of all predecessors, of the others
};

// A result's handle, or why there is none.
using piece_result = std::variant<std::string, piece_failure>;

struct record_page
{
    std::vector<state_record> records;
    std::uint64_t revision = 0; // the records are as of this revision
    bool more = false;
};

// A VM as it is listed in state_table::vms.
struct vm_record
{
    std::string name;
    std::string domain;
    std::string address;   // IP:PORT for the other VMs
    double capacity = 1.0; // against that of other VMs; work that can be anywhere follows it

    bool operator==(const vm_record&) const = default;
};

// A domain that is named here gets nothing; the record is deleted to take it back.
struct domain_out
{
    std::string domain;
};

using desired_change = std::variant<std::monostate, serving_state, domain_out>;

// Words of an interface to callers, endpoints and the store. All functions only translate.
template <typename Codec>
concept edge_codec = requires(message_head& head, const client_call& call,
                              const endpoint_call& extra, const std::vector<stage_piece>& pieces,
                              const std::vector<std::string>& handles, std::string_view text,
                              const state_record& record, const vm_record& vm)
{
    {
        Codec::decode_call(head, std::string())
        } -> std::same_as<client_call>;
    {
        Codec::encode_call(call, extra)
        } -> std::same_as<std::string>;
    {
        Codec::decode_answer(head)
        } -> std::same_as<endpoint_answer>;
    {
        Codec::encode_pieces(text, text, pieces)
        } -> std::same_as<std::string>;
    {
        Codec::decode_pieces(text, pieces.size())
        } -> std::same_as<std::optional<std::vector<piece_result>>>;
    {
        Codec::encode_release(text, handles)
        } -> std::same_as<std::string>;
    {
        Codec::maker_of(text)
        } -> std::same_as<std::string>;
    {
        Codec::encode_list(text, state_table::desired, text)
        } -> std::same_as<std::string>;
    {
        Codec::encode_follow(text, state_table::desired, std::uint64_t(), milliseconds())
        } -> std::same_as<std::string>;
    {
        Codec::decode_page(text)
        } -> std::same_as<std::optional<record_page>>;
    {
        Codec::decode_desired(record)
        } -> std::same_as<std::optional<desired_change>>;
    {
        Codec::decode_endpoint(record)
        } -> std::same_as<std::optional<endpoint_record>>;
    {
        Codec::decode_vm(record)
        } -> std::same_as<std::optional<vm_record>>;
    {
        Codec::encode_vm_put(text, vm)
        } -> std::same_as<std::string>;
    {
        Codec::encode_vm_remove(text, vm)
        } -> std::same_as<std::string>;
};

} // namespace zinnianotch
