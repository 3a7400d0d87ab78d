#include "state/orders.h"

#include "state/enum_names.h"

#include <array>
#include <utility>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 3> order_state_names = {"started", "ran", "not_run"};

// Claims with a lost answer before the request gives up. A table that answers reads but loses
// writes would otherwise be written to in a loop until the deadline.
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

order_machine::order_machine(std::string token, std::string digest)
    : token_(std::move(token)), digest_(std::move(digest))
{
    record_.token = token_;
    record_.digest = digest_;
}

void order_machine::on_insert(write_outcome outcome)
{
    if (next_ == order_action::insert_claim)
        on_claim(outcome);
}

void order_machine::on_replace(write_outcome outcome)
{
    if (next_ == order_action::replace_claim)
        on_claim(outcome);
}

// A conflict may be the own write: the HTTP client repeats a request on a connection that turns out
// to be closed, and the repetition then meets the row of the first. Only a read tells.
void order_machine::on_claim(write_outcome outcome)
{
    may_hold_claim_ = true;
    if (outcome == write_outcome::written)
    {
        start_call();
        return;
    }
    if (outcome == write_outcome::conflict)
        other_claim_ = true;
    else
        ++unknown_claims_;
    next_ = order_action::read_row;
}

void order_machine::on_read(read_outcome outcome, const order_record& row)
{
    if (next_ != order_action::read_row && next_ != order_action::wait_and_read)
        return;

    switch (outcome)
    {
    case read_outcome::unknown:
        // With a row of unknown state the order may have run; it is worth waiting for the table.
        if (other_claim_)
            next_ = order_action::wait_and_read;
        else
            refuse(not_run(reason::order_store_unavailable, "the claim could not be confirmed"));
        return;
    case read_outcome::absent:
        // The lost insert may still arrive. Inserting again is safe: both carry the same token and
        // only one can find the row absent.
        other_claim_ = false;
        claim_again(order_action::insert_claim);
        return;
    case read_outcome::found:
        on_row(row);
        return;
    }
}

// Decides on a row that exists. Only the machine that made a token has it, so that a started row
// with the own token is the own claim and nobody else calls the service under it.
void order_machine::on_row(const order_record& row)
{
    if (row.token == token_ && row.state == order_state::started)
    {
        start_call();
        return;
    }
    if (row.digest != digest_)
    {
        may_hold_claim_ = false;
        refuse(
            not_run(reason::idempotency_key_reused, "the key was used with a different request"));
        return;
    }
    switch (row.state)
    {
    case order_state::ran:
        may_hold_claim_ = false;
        record_ = row;
        next_ = order_action::answer_recorded;
        return;
    case order_state::started:
        // A pending claim of this machine can no longer take effect, because the row has changed.
        may_hold_claim_ = false;
        other_claim_ = true;
        next_ = order_action::wait_and_read;
        return;
    case order_state::not_run:
        other_claim_ = false;
        claim_again(order_action::replace_claim);
        return;
    }
}

void order_machine::claim_again(order_action action)
{
    if (unknown_claims_ >= max_unknown_claims)
        refuse(not_run(reason::order_store_unavailable, "the claim could not be written"));
    else
        next_ = action;
}

void order_machine::start_call()
{
    called_ = true;
    next_ = order_action::call_service;
}

void order_machine::on_call(call_outcome outcome, int status, const std::string& answer)
{
    const bool is_late = next_ == order_action::refuse && called_ && !call_ended_;
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
            refuse(may_have_run(reason::connection_broken, "the service gave no whole answer"));
        return;
    }
}

void order_machine::on_record(write_outcome outcome)
{
    // On a conflict the row has left this claim, for example by an operator's decision.
    const bool is_done = outcome != write_outcome::unknown;
    if (next_ == order_action::record_ran)
    {
        needs_record_ = !is_done;
        next_ = order_action::answer_called;
    }
    else if (next_ == order_action::record_not_run)
    {
        needs_release_ = !is_done;
        next_ = order_action::refuse;
    }
}

void order_machine::on_deadline()
{
    switch (next_)
    {
    case order_action::insert_claim:
    case order_action::replace_claim:
        // The write may be under way.
        may_hold_claim_ = true;
        refuse(not_run(reason::deadline_exceeded, "the deadline passed before the claim"));
        return;
    case order_action::read_row:
    case order_action::wait_and_read:
        if (other_claim_)
            refuse(may_have_run(reason::order_in_progress, "another request holds the key"));
        else
            refuse(not_run(reason::order_store_unavailable, "the claim could not be confirmed"));
        return;
    case order_action::call_service:
        // The call may be under way.
        refuse(may_have_run(reason::deadline_exceeded, "the deadline passed during the call"));
        return;
    case order_action::record_ran:
        next_ = order_action::answer_called;
        return;
    case order_action::record_not_run:
        needs_release_ = true;
        next_ = order_action::refuse;
        return;
    case order_action::answer_recorded:
    case order_action::answer_called:
    case order_action::refuse:
        return;
    }
}

// Ends the request. A claim whose call was never made is released, so that the key does not stay
// blocked; a claim whose call may have been made must stay.
void order_machine::refuse(failure why)
{
    refusal_ = std::move(why);
    next_ = order_action::refuse;
    needs_release_ = may_hold_claim_ && !called_;
    if (needs_release_)
        record_.state = order_state::not_run;
}

} // namespace zinnianotch
