// Protocol-independent messages between the request path and clients, endpoints and the store. A
// codec translates them to and from a concrete protocol; see the concept edge_codec.
#pragma once

#include "state/orders.h"
#include "state/placement.h"
#include "state/rollout.h"
#include "state/serving.h"
#include "state/stage_request.h"
#include "state/time.h"
#include "state/work_estimate.h"
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

// A client's request.
struct client_call
{
    std::string attempt; // unique id of this client attempt, never reused
    std::string method;
    std::string target;
    std::string host;
    std::string key; // API key of a client account; empty when the request has none
    std::string body;
    std::vector<header_field> passthrough_fields; // header fields sent to the endpoint unchanged
    std::optional<milliseconds> time_left;
    std::optional<std::uint64_t> resume_after; // id of the last event the client received
    std::vector<std::uint32_t> pieces;         // number of pieces per stage; 0 skips the stage
    bool has_valid_pieces = true;              // false if the numbers of pieces cannot be read
    std::string piece_key;                     // input key of stages without predecessors
    std::string prompt_prefix; // identifies the prompt parts shared with other requests
    // Ids of the parts of the prompt in their order, without the last one, which only requests of
    // the same session have.
    std::vector<std::string> prompt_parts;
    request_size size;
};

// Endpoints accept priorities 0 to 9; 0 is the most urgent.
inline constexpr std::uint32_t least_urgent_priority = 9;

// Data added to a request when it is sent to an endpoint.
struct endpoint_call
{
    // Expected endpoint id; another endpoint at the same address must not run the request.
    std::string endpoint;
    std::string account;
    milliseconds time_left{0};
    std::uint32_t priority = 0; // at most least_urgent_priority
    std::vector<std::string> inputs;
    std::optional<std::uint64_t> resume_after;
};

// Metadata that an endpoint sends with its answer.
struct endpoint_answer
{
    std::string attempt;  // id of the request that is answered; empty when not given
    bool not_run = false; // the endpoint has not run the request and will not run it
    std::optional<endpoint_load_report> load;
    std::optional<milliseconds> cold_for;
    bool leaving = false; // the endpoint is about to end
    // With a refusal: the endpoint wants no requests from this VM for this long.
    std::optional<milliseconds> retry_after;
    // Requests a second that the endpoint takes from all VMs together; nothing: any number.
    std::optional<double> limit;
    bool is_of_other = false; // another endpoint has answered at the address
};

// One piece of a stage.
struct stage_piece
{
    std::string attempt;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    milliseconds time_left{0};
    std::string key;                 // input key, for stages without predecessors
    std::vector<std::string> inputs; // result handles of all predecessors, for other stages
};

// The result's handle, or why the piece failed.
using piece_result = std::variant<std::string, piece_failure>;

struct record_page
{
    std::vector<state_record> records;
    std::uint64_t revision = 0; // revision of the table at which the page was read
    bool has_more = false;
};

// An entry of state_table::vms.
struct vm_record
{
    std::string name;
    std::string domain;
    std::string address; // IP:PORT for connections from other VMs
    // Relative to other VMs; work that any VM can do is distributed in proportion to it.
    double capacity = 1.0;

    bool operator==(const vm_record&) const = default;
};

// Takes a failure domain out of service: it gets no requests until the record is deleted.
struct domain_out
{
    std::string domain;
};

using desired_change = std::variant<std::monostate, serving_state, domain_out, rollout_order>;

// Encoder and decoder of the protocols to clients, endpoints and the store. All functions only
// translate.
template <typename Codec>
concept edge_codec = requires(message_head& head, const client_call& call,
                              const endpoint_call& extra, const std::vector<stage_piece>& pieces,
                              const std::vector<std::string>& handles, std::string_view text,
                              const state_record& record, const vm_record& vm,
                              const rollout_record& rollout)
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
        Codec::producer_address(text)
        } -> std::same_as<std::string>;
    {
        Codec::encode_list(text, state_table::desired, text)
        } -> std::same_as<std::string>;
    {
        Codec::encode_follow(text, state_table::desired, std::uint64_t(), milliseconds())
        } -> std::same_as<std::string>;
    {
        Codec::decode_era(head)
        } -> std::same_as<std::optional<std::uint64_t>>;
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
    {
        Codec::is_rollout(record)
        } -> std::same_as<bool>;
    {
        Codec::decode_rollout(record)
        } -> std::same_as<std::optional<rollout_record>>;
    {
        Codec::encode_rollout_put(text, rollout)
        } -> std::same_as<std::string>;
    {
        Codec::encode_rollout_get(text, text)
        } -> std::same_as<std::string>;
    {
        Codec::decode_write(head)
        } -> std::same_as<write_outcome>;
};

} // namespace zinnianotch
