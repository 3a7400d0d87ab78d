// Randomized simulation of orders. Generated histories with faults run against order_state_machine,
// which must keep the invariants, and naive state machines, which must violate them to show
// against that the histories can detect faults.
#include "seeds.h"
#include "state/orders.h"

#include <criterion/criterion.h>

#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace zinnianotch;
using zinnianotch::testing::random_source;
using zinnianotch::testing::replayed_seed;

namespace
{

constexpr std::uint64_t history_count = 100'000;
constexpr int max_steps = 300; // then the deadline of unfinished requests passes

// Steps common to the naive state machines: the call, the record and the end of the request.
class naive_machine
{
public:
    naive_machine(std::string token, std::string digest, order_action first) : action(first)
    {
        own_record.token = std::move(token);
        own_record.digest = std::move(digest);
    }

    order_action next() const { return action; }
    const failure& refusal() const { return reported_failure; }
    const order_record& record() const { return own_record; }
    bool needs_release() const { return false; }
    bool needs_record() const { return false; }

    void on_call(call_outcome outcome, int status, const std::string& answer)
    {
        if (action != order_action::call_service)
            return;
        own_record.status = status;
        own_record.answer = answer;
        if (outcome == call_outcome::unknown)
            refuse(may_have_run(reason::connection_broken));
        else if (outcome == call_outcome::answered)
        {
            own_record.state = order_state::ran;
            action = order_action::record_ran;
        }
        else
        {
            own_record.state = order_state::not_run;
            reported_failure = not_run(reason::connect_failed);
            action = order_action::record_not_run;
        }
    }

    void on_record(write_outcome)
    {
        action = action == order_action::record_ran ? order_action::return_call_answer
                                                    : order_action::refuse;
    }

    void on_deadline()
    {
        if (action == order_action::record_ran)
            action = order_action::return_call_answer;
        else if (action == order_action::record_not_run)
            action = order_action::refuse;
        else if (action == order_action::call_service || action == order_action::wait_and_read)
            refuse(may_have_run(reason::deadline_exceeded));
        else if (action != order_action::return_call_answer &&
                 action != order_action::return_recorded_answer && action != order_action::refuse)
            refuse(not_run(reason::deadline_exceeded));
    }

protected:
    void refuse(failure why)
    {
        reported_failure = std::move(why);
        action = order_action::refuse;
    }

    void act_on_row(const order_record& row)
    {
        if (row.digest != own_record.digest)
            refuse(not_run(reason::idempotency_key_reused));
        else if (row.state == order_state::ran)
        {
            own_record = row;
            action = order_action::return_recorded_answer;
        }
        else
            action = row.state == order_state::started ? order_action::wait_and_read
                                                       : order_action::replace_claim;
    }

    order_record own_record;
    failure reported_failure;
    order_action action;
};

// Reads the row, then inserts the claim unconditionally.
class check_then_insert : public naive_machine
{
public:
    check_then_insert(std::string token, std::string digest)
        : naive_machine(std::move(token), std::move(digest), order_action::read_row)
    {
    }

    void on_read(read_outcome outcome, const order_record& row)
    {
        if (outcome == read_outcome::unknown)
            refuse(not_run(reason::order_store_unavailable));
        else if (outcome == read_outcome::absent)
            action = order_action::insert_claim;
        else
            act_on_row(row);
    }

    void on_insert(write_outcome outcome)
    {
        if (outcome == write_outcome::unknown)
            refuse(not_run(reason::order_store_unavailable));
        else
            action = order_action::call_service;
    }

    void on_replace(write_outcome outcome) { on_insert(outcome); }
};

// Repeats a claim whose response was lost, and treats a conflict of the repetition as a success of
// the own claim.
class retry_unknown_write : public naive_machine
{
public:
    retry_unknown_write(std::string token, std::string digest)
        : naive_machine(std::move(token), std::move(digest), order_action::insert_claim)
    {
    }

    void on_insert(write_outcome outcome)
    {
        if (outcome == write_outcome::unknown)
            is_repeated_ = true;
        else if (outcome == write_outcome::written || is_repeated_)
            action = order_action::call_service;
        else
            action = order_action::read_row;
    }

    void on_replace(write_outcome outcome) { on_insert(outcome); }

    void on_read(read_outcome outcome, const order_record& row)
    {
        if (outcome == read_outcome::found)
            act_on_row(row);
        else
            action = order_action::wait_and_read;
    }

private:
    bool is_repeated_ = false;
};

template <typename Machine>
constexpr bool writes_conditionally = true;
template <>
constexpr bool writes_conditionally<check_then_insert> = false;

struct row_write
{
    bool is_conditional = true;
    std::uint64_t expected = 0; // row version; 0 means that the row must be absent
    order_record record;
};

// The row of the table. Records whether an answer changed after it was recorded.
struct fake_row
{
    std::uint64_t version = 0;
    order_record record;
    bool is_answer_changed = false;

    write_outcome apply(const row_write& write)
    {
        if (write.is_conditional && write.expected != version)
            return write_outcome::conflict;
        if (version > 0 && record.state == order_state::ran)
            is_answer_changed = is_answer_changed || write.record.state != order_state::ran ||
                                write.record.answer != record.answer;
        ++version;
        record = write.record;
        return write_outcome::written;
    }
};

enum class request_step
{
    next_action,               // carry out next()
    table_request_in_transit,  // a read or write is in transit to the table
    table_response_in_transit, // the response of the table is in transit
    call_in_transit,           // the call is in transit to the service
    call_result_in_transit,    // the result of the call is in transit
    ended
};

template <typename Machine>
struct request
{
    request(std::string token, std::string digest) : machine(std::move(token), std::move(digest)) {}

    Machine machine;
    std::string digest;
    int vm = 0;
    bool is_vm_dead = false;
    bool has_run = false;          // the service ran for this request, possibly after its end
    bool may_stay_started = false; // its claim may correctly stay in state started
    request_step step = request_step::next_action;
    std::uint64_t row_version = 0; // of the last own claim or read
    row_write write;
    write_outcome write_result = write_outcome::unknown;
    read_outcome read_result = read_outcome::unknown;
    order_record row;
    call_outcome call_result = call_outcome::unknown;
    std::string answer;
    bool is_background_read = false;
    bool is_background_done = false;
};

struct history_totals
{
    std::map<std::string, std::uint64_t> end_counts;
    std::uint64_t histories = 0;
    std::uint64_t runs = 0;
};

// Simulation of one generated history: up to three VMs place the same order.
template <typename Machine>
class order_history
{
public:
    order_history(std::uint64_t seed, history_totals& totals) : random_(seed), totals_(totals)
    {
        constexpr std::array<double, 4> fault_rates = {0.0, 0.05, 0.2, 0.5};
        fault_rate_ = fault_rates[random_.below(fault_rates.size())];
        vm_count_ = 1 + static_cast<int>(random_.below(3));
        max_requests_ = vm_count_ + static_cast<int>(random_.below(4));
        has_mixed_digests_ = random_.chance(0.1);
    }

    // Returns a description of the violated invariant, or an empty string.
    std::string run()
    {
        for (int i = 0; i < vm_count_; ++i)
            start_request(i);
        const bool is_single = fault_rate_ == 0 && max_requests_ == 1;
        for (int i = 0; i < max_steps; ++i)
            step();
        finish();
        std::string violation = check_invariants();
        if (violation.empty() && is_single &&
            requests_.front()->machine.next() != order_action::return_call_answer)
            violation = "a single request without faults was not answered as ran";
        if (violation.empty())
            violation = check_replay();
        ++totals_.histories;
        totals_.runs += static_cast<std::uint64_t>(runs_);
        return violation;
    }

private:
    using request_type = request<Machine>;

    bool random_fault() { return fault_rate_ > 0 && random_.chance(fault_rate_); }

    void start_request(int vm)
    {
        const bool is_other = has_mixed_digests_ && random_.chance(0.3);
        const std::string token = "token-" + std::to_string(requests_.size());
        requests_.push_back(
            std::make_unique<request_type>(token, is_other ? "digest-b" : "digest-a"));
        requests_.back()->digest = is_other ? "digest-b" : "digest-a";
        requests_.back()->vm = vm;
    }

    // Simulates one event: a step of a request, a fault, or the delayed effect of an earlier fault.
    void step()
    {
        if (fault_rate_ > 0)
        {
            if (random_.chance(0.02))
                is_table_down_ = !is_table_down_ && random_fault();
            if (random_.chance(0.1))
                apply_delayed_write();
            if (random_.chance(0.1))
                apply_late_call();
        }
        const auto vm = static_cast<int>(random_.below(static_cast<std::uint64_t>(vm_count_)));
        request_type* const current = last_request(vm);
        if (current->step == request_step::ended || current->is_vm_dead)
        {
            const bool may_start = static_cast<int>(requests_.size()) < max_requests_;
            if (may_start && random_.chance(0.2))
                start_request(vm);
            else
                background_step(vm);
            return;
        }
        if (random_fault() && random_.chance(0.1))
            kill(vm);
        else if (random_fault() && random_.chance(0.1))
            expire_deadline(*current);
        else
            advance(*current);
    }

    request_type* last_request(int vm)
    {
        for (std::size_t i = requests_.size(); i-- > 0;)
            if (requests_[i]->vm == vm)
                return requests_[i].get();
        return nullptr;
    }

    // Kills the process. Its requests end, but writes and calls that it sent may still take effect.
    void kill(int vm)
    {
        for (auto& dying : requests_)
        {
            if (dying->vm != vm || dying->is_vm_dead)
                continue;
            abandon_in_transit(*dying);
            dying->is_vm_dead = true;
            dying->may_stay_started = true;
            if (dying->step != request_step::ended)
                ++totals_.end_counts["VM died"];
            dying->step = request_step::ended;
        }
    }

    // Abandons a write or call in transit: it takes effect now, later or never, without a recipient
    // for its result.
    void abandon_in_transit(request_type& abandoned)
    {
        if (abandoned.step == request_step::table_request_in_transit &&
            is_write(abandoned.machine.next()))
            send_write(abandoned.write);
        if (abandoned.step == request_step::call_in_transit && random_.chance(0.7))
            late_calls_.push_back(&abandoned);
    }

    void expire_deadline(request_type& late)
    {
        trace("deadline", late.machine.record(), static_cast<std::uint64_t>(late.step));
        abandon_in_transit(late);
        const bool is_call = late.machine.next() == order_action::call_service;
        if (is_call && late.step == request_step::next_action && random_.chance(0.5))
            late.machine.on_call(call_outcome::not_started, 0, "");
        else if (is_call)
            late.may_stay_started = true;
        late.machine.on_deadline();
        if (late.step == request_step::call_result_in_transit && random_.chance(0.5))
            late.machine.on_call(late.call_result, 200, late.answer);
        end(late);
    }

    static bool is_write(order_action action)
    {
        return action == order_action::insert_claim || action == order_action::replace_claim ||
               action == order_action::record_ran || action == order_action::record_not_run;
    }

    // Sends a write with random network faults. Returns the outcome that the writer sees.
    write_outcome send_write(const row_write& write)
    {
        trace("write", write.record, write.expected);
        if (!is_table_down_ && !random_fault())
            return row_.apply(write);
        switch (random_.below(is_table_down_ ? 2 : 4))
        {
        case 0: // lost in transit
            return write_outcome::unknown;
        case 1: // takes effect later
            delayed_writes_.push_back(write);
            return write_outcome::unknown;
        case 2: // takes effect, the response is lost
            row_.apply(write);
            return write_outcome::unknown;
        default: // the HTTP client repeats the request after the connection closed
            row_.apply(write);
            return row_.apply(write);
        }
    }

    void apply_delayed_write()
    {
        if (delayed_writes_.empty() || is_table_down_)
            return;
        const std::size_t index = random_.below(delayed_writes_.size());
        trace("late write", delayed_writes_[index].record, delayed_writes_[index].expected);
        row_.apply(delayed_writes_[index]);
        delayed_writes_.erase(delayed_writes_.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void run_service(request_type& caller)
    {
        caller.has_run = true;
        ++runs_;
        caller.answer = "answer-" + std::to_string(runs_);
        last_answer_ = caller.answer;
        last_digest_ = caller.digest;
    }

    // A delayed call, whose request may have ended, reaches the service or is refused. Its result
    // may still reach the VM if the process is running.
    void apply_late_call()
    {
        if (late_calls_.empty())
            return;
        request_type& late = *late_calls_.back();
        late_calls_.pop_back();
        if (late.call_result == call_outcome::not_started)
            return;
        const bool is_refused = !late.has_run && random_.chance(0.2);
        if (!late.has_run && !is_refused)
            run_service(late);
        if (late.is_vm_dead || random_.chance(0.3))
            return;
        late.machine.on_call(is_refused ? call_outcome::not_started : call_outcome::answered, 200,
                             late.answer);
    }

    void advance(request_type& active)
    {
        switch (active.step)
        {
        case request_step::next_action:
            send(active);
            return;
        case request_step::table_request_in_transit:
            if (is_write(active.machine.next()))
                active.write_result = send_write(active.write);
            else
                read(active);
            active.step = request_step::table_response_in_transit;
            return;
        case request_step::table_response_in_transit:
            report_table_result(active);
            active.step = request_step::next_action;
            return;
        case request_step::call_in_transit:
            call(active);
            active.step = request_step::call_result_in_transit;
            return;
        case request_step::call_result_in_transit:
            active.machine.on_call(active.call_result, 200, active.answer);
            if (active.call_result == call_outcome::unknown)
                active.may_stay_started = true;
            active.step = request_step::next_action;
            return;
        case request_step::ended:
            return;
        }
    }

    // Prints each step when a single seed is replayed.
    void trace(const char* what, const order_record& record, std::uint64_t number) const
    {
        if (is_traced_)
            std::printf("  %-16s %-8s %-8s %llu, row %llu %s %s\n", what, record.token.c_str(),
                        std::string(to_string(record.state)).c_str(),
                        static_cast<unsigned long long>(number),
                        static_cast<unsigned long long>(row_.version), row_.record.token.c_str(),
                        std::string(to_string(row_.record.state)).c_str());
    }

    void send(request_type& active)
    {
        trace("next", active.machine.record(), static_cast<std::uint64_t>(active.machine.next()));
        const order_action action = active.machine.next();
        if (action == order_action::call_service)
            active.step = request_step::call_in_transit;
        else if (action == order_action::return_call_answer ||
                 action == order_action::return_recorded_answer || action == order_action::refuse)
            end(active);
        else
        {
            active.step = request_step::table_request_in_transit;
            active.write.record = active.machine.record();
            active.write.expected = action == order_action::insert_claim ? 0 : active.row_version;
            active.write.is_conditional = writes_conditionally<Machine>;
        }
    }

    void read(request_type& active)
    {
        active.read_result = read_outcome::unknown;
        if (is_table_down_ || random_fault())
            return;
        active.read_result = row_.version == 0 ? read_outcome::absent : read_outcome::found;
        active.row = row_.record;
        active.row_version = row_.version;
    }

    void report_table_result(request_type& active)
    {
        const order_action action = active.machine.next();
        // The condition of the write ensures that this is the version of the written row.
        if (is_write(action) && active.write_result == write_outcome::written)
            active.row_version = active.write.expected + 1;
        if (action == order_action::insert_claim)
            active.machine.on_insert(active.write_result);
        else if (action == order_action::replace_claim)
            active.machine.on_replace(active.write_result);
        else if (is_write(action))
            active.machine.on_record(active.write_result);
        else
            active.machine.on_read(active.read_result, active.row);
    }

    void call(request_type& caller)
    {
        if (!random_fault())
        {
            run_service(caller);
            caller.call_result = call_outcome::answered;
            return;
        }
        caller.call_result = call_outcome::unknown;
        switch (random_.below(4))
        {
        case 0: // connection refused
            caller.call_result = call_outcome::not_started;
            return;
        case 1: // runs, the answer is lost
            run_service(caller);
            return;
        case 2: // lost in transit
            return;
        default: // arrives after the VM has given up
            late_calls_.push_back(&caller);
            return;
        }
    }

    void end(request_type& done)
    {
        trace("end", done.machine.record(), static_cast<std::uint64_t>(done.machine.next()));
        done.step = request_step::ended;
        switch (done.machine.next())
        {
        case order_action::return_call_answer:
            ++totals_.end_counts["ran"];
            return_answer(done);
            return;
        case order_action::return_recorded_answer:
            ++totals_.end_counts["ran, replayed"];
            return_answer(done);
            return;
        default:
            ++totals_.end_counts[std::string(to_string(done.machine.refusal().outcome)) + " " +
                                 std::string(to_string(done.machine.refusal().why))];
        }
    }

    void return_answer(const request_type& done)
    {
        returned_answers_.push_back(done.machine.record().answer);
        has_answer_of_other_digest_ = has_answer_of_other_digest_ || done.digest != last_digest_;
    }

    // One step of a release or record in the background: a read, then a write conditional on the
    // row version that was read. Steps of other requests may occur in between.
    void background_step(int vm)
    {
        for (auto& done : requests_)
        {
            const bool is_needed = done->machine.needs_release() || done->machine.needs_record();
            if (done->vm != vm || done->is_vm_dead || done->is_background_done || !is_needed ||
                done->step != request_step::ended)
                continue;
            background_step(*done);
            return;
        }
    }

    void background_step(request_type& done)
    {
        if (!done.is_background_read)
        {
            read(done);
            done.is_background_read = done.read_result != read_outcome::unknown;
            return;
        }
        done.is_background_read = false;
        const order_record& record = done.machine.record();
        const bool is_found = done.read_result == read_outcome::found;
        const bool is_own =
            is_found && done.row.token == record.token && done.row.state == order_state::started;
        // A claim in transit could still succeed on such a row. Any write of the row makes it fail.
        const bool is_claimable = !is_found || (done.row.state == order_state::not_run &&
                                                done.row.digest == record.digest);
        if (is_own || (is_claimable && done.machine.needs_release()))
            done.is_background_done = send_write({true, is_found ? done.row_version : 0, record}) ==
                                      write_outcome::written;
        else
            done.is_background_done = true;
    }

    // Ends all requests by their deadline and applies all delayed effects.
    void finish()
    {
        for (auto& open : requests_)
            if (open->step != request_step::ended)
                expire_deadline(*open);
        is_table_down_ = false;
        fault_rate_ = 0;
        while (!delayed_writes_.empty() || !late_calls_.empty())
        {
            apply_delayed_write();
            apply_late_call();
        }
        for (int i = 0; i < 20; ++i)
            for (int vm = 0; vm < vm_count_; ++vm)
                background_step(vm);
    }

    std::string check_invariants() const
    {
        if (runs_ > 1)
            return "the service ran " + std::to_string(runs_) + " times";
        if (row_.is_answer_changed)
            return "a recorded answer changed";
        if (has_answer_of_other_digest_)
            return "a request got the answer of a request with another body";
        bool may_stay_started = false;
        for (const auto& done : requests_)
        {
            may_stay_started = may_stay_started || done->may_stay_started;
            const bool is_not_run = !done->is_vm_dead &&
                                    done->machine.next() == order_action::refuse &&
                                    done->machine.refusal().outcome == verdict::not_run;
            if (is_not_run && done->has_run)
                return "a request refused as not_run has run";
        }
        for (const std::string& answer : returned_answers_)
            if (answer != last_answer_)
                return "an answer differs from the service's";
        if (!may_stay_started && row_.version > 0 && row_.record.state == order_state::started)
            return "the row stays started although every outcome is known";
        return {};
    }

    // Checks that a further request without faults returns the recorded answer, if there is one,
    // and that the service did not run more than once.
    std::string check_replay()
    {
        const bool is_recorded = row_.version > 0 && row_.record.state == order_state::ran;
        const std::string recorded = row_.record.answer;
        has_mixed_digests_ = false;
        start_request(0);
        request_type& last = *requests_.back();
        if (row_.version > 0 && row_.record.digest != "digest-a")
            return {};
        for (int i = 0; i < 20 && last.step != request_step::ended; ++i)
            advance(last);
        if (last.step != request_step::ended)
            expire_deadline(last);
        if (is_recorded && (last.machine.next() != order_action::return_recorded_answer ||
                            last.machine.record().answer != recorded))
            return "a replay did not give the recorded answer";
        return runs_ > 1 ? "a replay ran the service again" : "";
    }

    random_source random_;
    history_totals& totals_;
    bool is_traced_ = replayed_seed().has_value();
    double fault_rate_ = 0;
    int vm_count_ = 1;
    int max_requests_ = 1;
    bool has_mixed_digests_ = false;
    bool is_table_down_ = false;
    fake_row row_;
    std::vector<std::unique_ptr<request_type>> requests_;
    std::vector<row_write> delayed_writes_;
    std::vector<request_type*> late_calls_;
    std::vector<std::string> returned_answers_;
    bool has_answer_of_other_digest_ = false;
    std::string last_answer_; // of the service
    std::string last_digest_; // of the request that it ran for
    int runs_ = 0;
};

void print_totals(const char* title, const history_totals& totals)
{
    std::printf("%s: %llu histories, %llu runs of the service\n", title,
                static_cast<unsigned long long>(totals.histories),
                static_cast<unsigned long long>(totals.runs));
    for (const auto& [name, count] : totals.end_counts)
        std::printf("  %-40s %llu\n", name.c_str(), static_cast<unsigned long long>(count));
    std::fflush(stdout);
}

// Runs a naive state machine with the same seeds. Returns each violation with the first seed that
// causes it.
template <typename Machine>
std::map<std::string, std::uint64_t> first_violations()
{
    std::map<std::string, std::uint64_t> violations;
    history_totals totals;
    for (std::uint64_t seed = 1; seed <= history_count; ++seed)
    {
        const std::string violation = order_history<Machine>(seed, totals).run();
        if (!violation.empty())
            violations.emplace(violation, seed);
    }
    for (const auto& [violation, seed] : violations)
        std::printf("  naive: %s, first with seed %llu\n", violation.c_str(),
                    static_cast<unsigned long long>(seed));
    std::fflush(stdout);
    return violations;
}

} // namespace

// Guards against an order that the service runs twice, a verdict not_run for an order that ran, and
// a lost or changed answer.
Test(order_history, order_state_machine_any_fault_keeps_invariants)
{
    history_totals totals;
    const std::uint64_t first = replayed_seed().value_or(1);
    const std::uint64_t last = replayed_seed().value_or(history_count);
    for (std::uint64_t seed = first; seed <= last; ++seed)
    {
        const std::string violation = order_history<order_state_machine>(seed, totals).run();
        cr_assert(violation.empty(), "ZINNIANOTCH_SEED=%llu: %s",
                  static_cast<unsigned long long>(seed), violation.c_str());
    }
    print_totals("order_state_machine", totals);
    if (replayed_seed())
        return;
    // The invariants are only tested if the histories reach each of these ends.
    for (const char* name : {"ran", "ran, replayed", "not_run connect_failed",
                             "not_run order_store_unavailable", "not_run idempotency_key_reused",
                             "not_run deadline_exceeded", "may_have_run order_in_progress",
                             "may_have_run deadline_exceeded", "may_have_run connection_broken"})
        cr_assert(totals.end_counts[name] > 0, "no history ended with %s", name);
}

// Guards against generated histories that cannot detect the second run after an unconditional
// claim.
Test(order_history, check_then_insert_same_seeds_breaks_invariants)
{
    if (replayed_seed())
        cr_skip_test("compares over all seeds only");
    cr_assert(first_violations<check_then_insert>().contains("the service ran 2 times"));
}

// Guards against generated histories that cannot detect the second run after a lost response.
Test(order_history, retry_unknown_write_same_seeds_breaks_invariants)
{
    if (replayed_seed())
        cr_skip_test("compares over all seeds only");
    cr_assert(first_violations<retry_unknown_write>().contains("the service ran 2 times"));
}
