#include "state/orders.h"

#include "state/enum_names.h"

#include <array>
#include <utility>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 3> order_state_names = {"started", "ran", "not_run"};

// Claim writes without an answer after which the request gives up. Otherwise, a table that answers
// reads but loses writes would be written to in a loop until the deadline.
constexpr int max_unknown_claims = 3;

} // namespace

std::string_view to_string(order_state value)
{
    return name_of(order_state_names, value);
}

bool from_string(std::string_view name, order_state& out)
{
    return value_of(order_state_names, name, out);
}

order_state_machine::order_state_machine(std::string token, std::string digest)
    : token_(std::move(token)), digest_(std::move(digest))
{
    record_.token = token_;
    record_.digest = digest_;
}

void order_state_machine::on_insert(write_outcome outcome)
{
    if (next_ == order_action::insert_claim)
        on_claim(outcome);
}

void order_state_machine::on_replace(write_outcome outcome)
{
    if (next_ == order_action::replace_claim)
        on_claim(outcome);
}

// A conflict may be caused by this request's own write: the HTTP client resends a request when the
// connection turns out to be closed, and the second copy then conflicts with the row written by the
// first. Only a read can tell.
void order_state_machine::on_claim(write_outcome outcome)
{
    may_hold_claim_ = true;
    if (outcome == write_outcome::written)
    {
        start_call();
        return;
    }
    if (outcome == write_outcome::conflict)
        other_claim_possible_ = true;
    else
        ++unknown_claims_;
    next_ = order_action::read_row;
}

void order_state_machine::on_read(read_outcome outcome, const order_record& row)
{
    if (next_ != order_action::read_row && next_ != order_action::wait_and_read)
        return;

    switch (outcome)
    {
    case read_outcome::unknown:
        // Another request may hold the key, so the order may have run: wait for the table.
        if (other_claim_possible_)
            next_ = order_action::wait_and_read;
        else
            refuse(not_run(reason::order_store_unavailable,
                           "the order table did not confirm the claim"));
        return;
    case read_outcome::absent:
        // The unanswered insert may still arrive. Inserting again is safe: both writes carry the
        // same token, and only one of them can find the row absent.
        other_claim_possible_ = false;
        claim_again(order_action::insert_claim);
        return;
    case read_outcome::found:
        on_row(row);
        return;
    }
}

// Handles an existing row. The token is unique to this request, so a started row with this token is
// this request's claim, and no other request calls the service under it.
void order_state_machine::on_row(const order_record& row)
{
    if (row.token == token_ && row.state == order_state::started)
    {
        start_call();
        return;
    }
    if (row.digest != digest_)
    {
        may_hold_claim_ = false;
        refuse(not_run(reason::idempotency_key_reused,
                       "the idempotency key was already used for a different request"));
        return;
    }
    switch (row.state)
    {
    case order_state::ran:
        may_hold_claim_ = false;
        record_ = row;
        next_ = order_action::return_recorded_answer;
        return;
    case order_state::started:
        // A pending claim write of this request can no longer succeed, because the row has changed.
        may_hold_claim_ = false;
        other_claim_possible_ = true;
        next_ = order_action::wait_and_read;
        return;
    case order_state::not_run:
        other_claim_possible_ = false;
        claim_again(order_action::replace_claim);
        return;
    }
}

void order_state_machine::claim_again(order_action action)
{
    if (unknown_claims_ >= max_unknown_claims)
        refuse(not_run(reason::order_store_unavailable,
                       "the order table did not answer the claim write"));
    else
        next_ = action;
}

void order_state_machine::start_call()
{
    call_permitted_ = true;
    next_ = order_action::call_service;
}

void order_state_machine::on_call(call_outcome outcome, int status, const std::string& answer)
{
    const bool is_late = next_ == order_action::refuse && call_permitted_ && !call_ended_;
    if (next_ != order_action::call_service && !is_late)
        return;

    call_ended_ = true;
    switch (outcome)
    {
    case call_outcome::answered:
        record_.state = order_state::ran;
        record_.status = status;
        record_.answer = answer;
        needs_record_ = true;
        if (!is_late)
            next_ = order_action::record_ran;
        return;
    case call_outcome::not_started:
        record_.state = order_state::not_run;
        if (is_late)
        {
            needs_release_ = true;
            return;
        }
        refusal_ = not_run(reason::connect_failed, "the service refused the connection");
        next_ = order_action::record_not_run;
        return;
    case call_outcome::unknown:
        if (!is_late)
            refuse(may_have_run(reason::connection_broken,
                                "the service did not return a complete answer"));
        return;
    }
}

void order_state_machine::on_record(write_outcome outcome)
{
    // On a conflict the row no longer holds this claim, for example after an operator resolved it.
    const bool is_done = outcome != write_outcome::unknown;
    if (next_ == order_action::record_ran)
    {
        needs_record_ = !is_done;
        next_ = order_action::return_call_answer;
    }
    else if (next_ == order_action::record_not_run)
    {
        needs_release_ = !is_done;
        next_ = order_action::refuse;
    }
}

void order_state_machine::on_deadline()
{
    switch (next_)
    {
    case order_action::insert_claim:
    case order_action::replace_claim:
        // The write may be in progress.
        may_hold_claim_ = true;
        refuse(
            not_run(reason::deadline_exceeded,
                    "the deadline passed before the claim of the idempotency key was confirmed"));
        return;
    case order_action::read_row:
    case order_action::wait_and_read:
        if (other_claim_possible_)
            refuse(may_have_run(reason::order_in_progress,
                                "another request holds the idempotency key"));
        else
            refuse(not_run(reason::order_store_unavailable,
                           "the order table did not confirm the claim"));
        return;
    case order_action::call_service:
        // The call may be in progress.
        refuse(
            may_have_run(reason::deadline_exceeded, "the deadline passed during the service call"));
        return;
    case order_action::record_ran:
        next_ = order_action::return_call_answer;
        return;
    case order_action::record_not_run:
        needs_release_ = true;
        next_ = order_action::refuse;
        return;
    case order_action::return_recorded_answer:
    case order_action::return_call_answer:
    case order_action::refuse:
        return;
    }
}

// Ends the request. The claim is released if the service was not called, so that the key does not
// stay blocked. It must be kept if the service may have been called.
void order_state_machine::refuse(failure cause)
{
    refusal_ = std::move(cause);
    next_ = order_action::refuse;
    needs_release_ = may_hold_claim_ && !call_permitted_;
    if (needs_release_)
        record_.state = order_state::not_run;
}

} // namespace zinnianotch
