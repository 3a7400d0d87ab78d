// Unit tests of order_state_machine: actions and results of one non-idempotent request.
#include "state/orders.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

order_state_machine claimed_machine()
{
    order_state_machine machine("token-1", "digest-1");
    machine.on_insert(write_outcome::written);
    return machine;
}

order_record row_of(order_state state, const std::string& token,
                    const std::string& digest = "digest-1")
{
    return {state, token, digest, 201, "placed"};
}

// A machine whose insert conflicted with the given row, which it has read.
order_state_machine conflicting_machine(const order_record& row)
{
    order_state_machine machine("token-1", "digest-1");
    machine.on_insert(write_outcome::conflict);
    cr_assert(machine.next() == order_action::read_row);
    machine.on_read(read_outcome::found, row);
    return machine;
}

void assert_refused(const order_state_machine& machine, verdict outcome, reason why)
{
    cr_assert(machine.next() == order_action::refuse);
    cr_assert(machine.refusal().outcome == outcome, "verdict %s",
              std::string(to_string(machine.refusal().outcome)).c_str());
    cr_assert(machine.refusal().why == why, "reason %s",
              std::string(to_string(machine.refusal().why)).c_str());
}

} // namespace

// Guards against an order state, as written in stored rows, without a name or with the name of
// another.
Test(orders, order_state_every_value_has_unique_name)
{
    for (int i = 0; i < 3; ++i)
    {
        const auto value = static_cast<order_state>(i);
        order_state parsed{};
        cr_assert(from_string(to_string(value), parsed) && parsed == value);
    }
    order_state parsed{};
    cr_assert(!from_string("lost", parsed));
}

// Guards against a call before the order is claimed, and an answer other than that of the service.
Test(orders, order_without_faults_is_answered_and_recorded)
{
    order_state_machine machine("token-1", "digest-1");
    cr_assert(machine.next() == order_action::insert_claim);
    cr_assert(machine.record().state == order_state::started);
    cr_assert(machine.record().token == "token-1" && machine.record().digest == "digest-1");
    machine.on_insert(write_outcome::written);
    cr_assert(machine.next() == order_action::call_service);
    machine.on_call(call_outcome::answered, 201, "placed");
    cr_assert(machine.next() == order_action::record_ran);
    cr_assert(machine.record().state == order_state::ran && machine.record().status == 201);
    machine.on_record(write_outcome::written);
    cr_assert(machine.next() == order_action::return_call_answer);
    cr_assert(machine.record().answer == "placed");
    cr_assert(!machine.needs_record() && !machine.needs_release());
}

// Guards against delaying the answer of the service until the table is available.
Test(orders, on_record_unknown_answers_and_keeps_recording)
{
    order_state_machine machine = claimed_machine();
    machine.on_call(call_outcome::answered, 201, "placed");
    machine.on_record(write_outcome::unknown);
    cr_assert(machine.next() == order_action::return_call_answer);
    cr_assert(machine.needs_record());
}

// Guards against a second call for an order whose answer is recorded.
Test(orders, on_read_ran_gives_recorded_answer)
{
    const order_state_machine machine = conflicting_machine(row_of(order_state::ran, "token-0"));
    cr_assert(machine.next() == order_action::return_recorded_answer);
    cr_assert(machine.record().status == 201 && machine.record().answer == "placed");
}

// Guards against returning the answer of one order for another that reuses its key.
Test(orders, on_read_other_digest_is_refused)
{
    for (const order_state state : {order_state::started, order_state::ran, order_state::not_run})
    {
        const order_state_machine machine =
            conflicting_machine(row_of(state, "token-0", "digest-0"));
        assert_refused(machine, verdict::not_run, reason::idempotency_key_reused);
        cr_assert(!machine.needs_release());
    }
}

// Guards against a call concurrent with that of another request for the same order, and a verdict
// not_run although that request may have run.
Test(orders, on_read_started_waits_and_may_have_run)
{
    order_state_machine machine = conflicting_machine(row_of(order_state::started, "token-0"));
    cr_assert(machine.next() == order_action::wait_and_read);
    machine.on_read(read_outcome::unknown, {});
    cr_assert(machine.next() == order_action::wait_and_read);
    machine.on_deadline();
    assert_refused(machine, verdict::may_have_run, reason::order_in_progress);
    cr_assert(!machine.needs_release());
}

// Guards against a key that stays unusable although the service was not called.
Test(orders, on_read_not_run_replaces_claim)
{
    order_state_machine machine = conflicting_machine(row_of(order_state::not_run, "token-0"));
    cr_assert(machine.next() == order_action::replace_claim);
    cr_assert(machine.record().token == "token-1");
    machine.on_replace(write_outcome::conflict);
    machine.on_read(read_outcome::found, row_of(order_state::started, "token-2"));
    cr_assert(machine.next() == order_action::wait_and_read);
}

// Guards against refusing an order whose claim took effect although the response was lost.
Test(orders, on_insert_unknown_own_row_calls_service)
{
    order_state_machine machine("token-1", "digest-1");
    machine.on_insert(write_outcome::unknown);
    cr_assert(machine.next() == order_action::read_row);
    machine.on_read(read_outcome::found, row_of(order_state::started, "token-1"));
    cr_assert(machine.next() == order_action::call_service);
}

// Guards against treating a conflict with the own claim as one with another request: the HTTP
// client may have sent the claim twice.
Test(orders, on_insert_conflict_own_row_calls_service)
{
    const order_state_machine machine =
        conflicting_machine(row_of(order_state::started, "token-1"));
    cr_assert(machine.next() == order_action::call_service);
}

// Guards against calling the service without a confirmed claim while the table is unavailable.
Test(orders, on_read_unknown_after_lost_claim_is_not_run)
{
    order_state_machine machine("token-1", "digest-1");
    machine.on_insert(write_outcome::unknown);
    machine.on_read(read_outcome::unknown, {});
    assert_refused(machine, verdict::not_run, reason::order_store_unavailable);
    cr_assert(machine.needs_release());
    cr_assert(machine.record().state == order_state::not_run);
}

// Guards against an endless loop of writes to a table that answers reads but loses writes.
Test(orders, on_insert_unknown_repeatedly_gives_up)
{
    order_state_machine machine("token-1", "digest-1");
    int claims = 0;
    while (machine.next() == order_action::insert_claim && claims < 100)
    {
        ++claims;
        machine.on_insert(write_outcome::unknown);
        machine.on_read(read_outcome::absent, {});
    }
    cr_assert(claims == 3);
    assert_refused(machine, verdict::not_run, reason::order_store_unavailable);
    cr_assert(machine.needs_release());
}

// Guards against repeating a call that may have run.
Test(orders, on_call_unknown_may_have_run)
{
    order_state_machine machine = claimed_machine();
    machine.on_call(call_outcome::unknown, 0, "");
    assert_refused(machine, verdict::may_have_run, reason::connection_broken);
    cr_assert(!machine.needs_release() && !machine.needs_record());
}

// Guards against an order that stays in state started although the service refused the connection.
Test(orders, on_call_not_started_is_released)
{
    order_state_machine machine = claimed_machine();
    machine.on_call(call_outcome::not_started, 0, "");
    cr_assert(machine.next() == order_action::record_not_run);
    cr_assert(machine.record().state == order_state::not_run);
    machine.on_record(write_outcome::unknown);
    assert_refused(machine, verdict::not_run, reason::connect_failed);
    cr_assert(machine.needs_release());
}

// Guards against a verdict not_run for a call in progress at the deadline, and against losing an
// answer that arrives after it.
Test(orders, on_deadline_during_call_may_have_run)
{
    order_state_machine machine = claimed_machine();
    machine.on_deadline();
    assert_refused(machine, verdict::may_have_run, reason::deadline_exceeded);
    cr_assert(!machine.needs_release() && !machine.needs_record());
    machine.on_call(call_outcome::answered, 201, "placed");
    assert_refused(machine, verdict::may_have_run, reason::deadline_exceeded);
    cr_assert(machine.needs_record());
    cr_assert(machine.record().state == order_state::ran && machine.record().answer == "placed");
}

// Guards against a claim that stays in state started although a result after the deadline shows
// that the call was not sent.
Test(orders, on_call_not_started_after_deadline_is_released)
{
    order_state_machine machine = claimed_machine();
    machine.on_deadline();
    machine.on_call(call_outcome::not_started, 0, "");
    assert_refused(machine, verdict::may_have_run, reason::deadline_exceeded);
    cr_assert(machine.needs_release());
}

// Guards against a claim that is not released when the deadline passes before its response.
Test(orders, on_deadline_during_claim_is_released)
{
    order_state_machine machine("token-1", "digest-1");
    machine.on_deadline();
    assert_refused(machine, verdict::not_run, reason::deadline_exceeded);
    cr_assert(machine.needs_release());
    machine.on_insert(write_outcome::written);
    cr_assert(machine.next() == order_action::refuse,
              "a response after the deadline started the call");
}

// Guards against withholding an answer because the deadline passed while it was being recorded.
Test(orders, on_deadline_during_record_answers)
{
    order_state_machine machine = claimed_machine();
    machine.on_call(call_outcome::answered, 201, "placed");
    machine.on_deadline();
    cr_assert(machine.next() == order_action::return_call_answer);
    cr_assert(machine.needs_record());
}

// Guards against a second call after a result that does not belong to the current action.
Test(orders, results_of_other_actions_are_ignored)
{
    order_state_machine machine = claimed_machine();
    machine.on_call(call_outcome::answered, 201, "placed");
    machine.on_insert(write_outcome::written);
    machine.on_replace(write_outcome::written);
    machine.on_read(read_outcome::found, row_of(order_state::started, "token-1"));
    machine.on_call(call_outcome::unknown, 0, "");
    cr_assert(machine.next() == order_action::record_ran);
    cr_assert(machine.record().answer == "placed");
}
