// Decisions on non-idempotent calls: when a call may be made and what the caller is told.
#pragma once

#include "state/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace zinnianotch
{

enum class order_state
{
    started, // claimed before the call; the call may have been made
    ran,     // the answer is recorded
    not_run  // the call was surely not made; the key may be claimed again
};

std::string_view to_string(order_state value);
bool from_string(std::string_view name, order_state& out);

// The row order/<account>/<key> in the platform's table.
struct order_record
{
    order_state state = order_state::started;
    std::string token;  // unique per claim, tells one's own write from another's
    std::string digest; // of service, operation and body
    int status = 0;     // HTTP status of the service's answer, when ran
    std::string answer; // body of the service's answer, when ran
};

// How a conditional write ended, seen from the writer.
enum class write_outcome
{
    written,
    conflict, // the condition did not hold: another write came first
    unknown   // no answer: the write may have taken effect
};

// How a read of the row ended.
enum class read_outcome
{
    found,
    absent,
    unknown
};

// How the call of the service ended.
enum class call_outcome
{
    answered,
    not_started, // the connection was refused: the request never left this VM
    unknown      // sent, but no whole answer came
};

enum class order_action
{
    insert_claim,    // insert the row if it does not exist
    replace_claim,   // overwrite a not_run row, on the condition of its row version
    read_row,        // read the row to settle a conflict or a lost answer
    call_service,    // make the call, once
    record_ran,      // write the answer, on the condition of the own token; record() already holds
                     // the answer and may be given to the caller before the write ends
    record_not_run,  // write that the call was not made, on the condition of the own token
    wait_and_read,   // another claim is in progress: read again later
    answer_recorded, // give the recorded answer
    answer_called,   // give the answer that the own call brought
    refuse           // end with the failure
};

// Decides the steps of one non-idempotent request. The driver carries out next() and reports the
// end of each step; the machine holds no I/O and no clock, the driver tells when the deadline
// passed. A report that does not belong to next() is ignored, except for the end of a call that was
// under way at the deadline. The driver keeps the row version of its last claim or read, on which
// the conditional writes depend.
class order_machine
{
public:
    order_machine(std::string token, std::string digest);

    // The step to carry out now.
    order_action next() const { return next_; }

    void on_insert(write_outcome outcome);
    void on_replace(write_outcome outcome);
    void on_read(read_outcome outcome, const order_record& row);
    // After the deadline, a late end changes no answer but sets needs_record or needs_release.
    void on_call(call_outcome outcome, int status, const std::string& answer);
    void on_record(write_outcome outcome);

    // The deadline passed: no further call may start; moves to answer_* or refuse. While next() is
    // call_service the call counts as under way (may_have_run); a driver that did not send it
    // reports on_call(not_started) first.
    void on_deadline();

    // Valid when next() is refuse.
    const failure& refusal() const { return refusal_; }

    // The row to write or to give: valid when next() is *_claim, record_* or answer_*, and while
    // needs_release or needs_record.
    const order_record& record() const { return record_; }

    // True when the request ended with its claim possibly left in the table although the call was
    // surely not made: the driver then writes record() in the background, on the condition of the
    // row version that a read showed, when the row is absent, is a not_run row with the own digest,
    // or is started with the own token. The first two are written because a lost claim may still
    // arrive and would leave the row started for good.
    bool needs_release() const { return needs_release_; }

    // True while the answer is not known to be recorded: the driver writes record() in the
    // background until it is, conditional on the token.
    bool needs_record() const { return needs_record_; }

private:
    void on_claim(write_outcome outcome);
    void on_row(const order_record& row);
    void claim_again(order_action action);
    void start_call();
    void refuse(failure why);

    std::string token_;
    std::string digest_;
    order_record record_;
    failure refusal_;
    order_action next_ = order_action::insert_claim;
    int unknown_claims_ = 0;
    bool called_ = false; // the call was permitted, so that it may have been made
    bool call_ended_ = false;
    bool may_hold_claim_ = false;
    bool other_claim_ = false; // the row may be the claim of another request
    bool needs_release_ = false;
    bool needs_record_ = false;
};

} // namespace zinnianotch
