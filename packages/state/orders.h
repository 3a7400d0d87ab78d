// State machine for non-idempotent requests (orders): when the service may be called and what is
// returned to the caller.
#pragma once

#include "state/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace zinnianotch
{

enum class order_state
{
    started, // claimed before the call; the service may have been called
    ran,     // the answer is recorded
    not_run  // the service was definitely not called; the key may be claimed again
};

std::string_view to_string(order_state value);
bool from_string(std::string_view name, order_state& out);

// Content of the row order/<account>/<key> in the platform's table.
struct order_record
{
    order_state state = order_state::started;
    std::string token;  // unique per request; identifies the writer of the row
    std::string digest; // hash of service, operation and body
    int status = 0;     // HTTP status of the service's answer, if ran
    std::string answer; // body of the service's answer, if ran
};

// Result of a conditional write, as seen by the writer.
enum class write_outcome
{
    written,
    conflict, // the condition did not hold: another write preceded this one
    unknown   // no answer: the write may have taken effect
};

// Result of reading the row.
enum class read_outcome
{
    found,
    absent,
    unknown
};

// Result of calling the service.
enum class call_outcome
{
    answered,
    not_started, // the connection was refused: the request never left this VM
    unknown      // sent, but no complete answer arrived
};

enum class order_action
{
    insert_claim,   // insert the row if it does not exist
    replace_claim,  // overwrite a not_run row, conditional on its row version
    read_row,       // read the row to resolve a conflict or a lost answer
    call_service,   // call the service, once
    record_ran,     // write the answer, conditional on the own token; record() already holds
                    // the answer, which may be returned to the caller before the write ends
    record_not_run, // write that the service was not called, conditional on the own token
    wait_and_read,  // another request holds the claim: read again later
    return_recorded_answer, // return the answer stored in the row
    return_call_answer,     // return the answer of this request's own call
    refuse                  // return refusal()
};

// Determines the steps of one non-idempotent request. The state machine does no I/O and reads no
// clock: the driver executes next(), reports the result of each step, and calls on_deadline() when
// the deadline has passed. A result that does not match next() is ignored, except for that of a
// call that was in progress at the deadline. The driver keeps the row version of its last claim or
// read, which the conditional writes need.
class order_state_machine
{
public:
    order_state_machine(std::string token, std::string digest);

    // The step to execute now.
    order_action next() const { return next_; }

    void on_insert(write_outcome outcome);
    void on_replace(write_outcome outcome);
    void on_read(read_outcome outcome, const order_record& row);
    // A result that arrives after the deadline does not change the answer to the caller; it only
    // sets needs_record or needs_release.
    void on_call(call_outcome outcome, int status, const std::string& answer);
    void on_record(write_outcome outcome);

    // The deadline has passed: no further call may start. Moves to return_*_answer or refuse. While
    // next() is call_service, the call counts as in progress (may_have_run); a driver that has not
    // sent it must report on_call(not_started) first.
    void on_deadline();

    // Valid if next() is refuse.
    const failure& refusal() const { return refusal_; }

    // The row to write or to return. Valid if next() is *_claim, record_* or return_*_answer, and
    // while needs_release() or needs_record() is true.
    const order_record& record() const { return record_; }

    // True if the request ended without calling the service but its claim may still be in the
    // table. The driver then writes record() in the background, conditional on the row version of a
    // read, if the row is absent, is not_run with the own digest, or is started with the own token.
    // The first two cases are written because a delayed claim may still arrive and would leave the
    // row in the started state permanently.
    bool needs_release() const { return needs_release_; }

    // True while the answer is not confirmed as recorded. The driver retries writing record() in
    // the background, conditional on the token, until it is.
    bool needs_record() const { return needs_record_; }

private:
    void on_claim(write_outcome outcome);
    void on_row(const order_record& row);
    void claim_again(order_action action);
    void start_call();
    void refuse(failure cause);

    std::string token_;
    std::string digest_;
    order_record record_;
    failure refusal_;
    order_action next_ = order_action::insert_claim;
    int unknown_claims_ = 0;
    bool call_permitted_ = false; // next() was call_service: the service may have been called
    bool call_ended_ = false;
    bool may_hold_claim_ = false;
    bool other_claim_possible_ = false; // the row may hold another request's claim
    bool needs_release_ = false;
    bool needs_record_ = false;
};

} // namespace zinnianotch
