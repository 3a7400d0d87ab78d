#include "coordination/order_executor.h"

#include "coordination/random_id.h"
#include "transport/log.h"

#include <algorithm>

namespace zinnianotch
{

namespace
{

constexpr milliseconds store_timeout{1000};
constexpr milliseconds reread_delay{50}; // while another claim of the key is in progress
constexpr milliseconds record_retry_delay{200};
constexpr milliseconds record_timeout{250};
constexpr int settled_status = 200;
constexpr milliseconds shutdown_drain_timeout{2000};
// Bounds memory use while the table is unavailable. Records beyond the limit are dropped: their
// rows remain at `started`, which is answered as may_have_run.
constexpr std::size_t max_pending = 10000;

// True if the final state may replace the stored row: a row claimed by this request, or a released
// claim of the same order by another request, whose row version a delayed claim of this request
// might still expect.
bool may_overwrite(const order_record& stored, const order_record& final_record)
{
    if (stored.token == final_record.token)
        return stored.state == order_state::started;
    return final_record.state == order_state::not_run && stored.state == order_state::not_run &&
           stored.digest == final_record.digest;
}

milliseconds time_until(time_point deadline)
{
    return std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
}

} // namespace

write_outcome order_executor::write_outcome_of(record_outcome outcome)
{
    switch (outcome)
    {
    case record_outcome::written:
        return write_outcome::written;
    case record_outcome::superseded:
        return write_outcome::conflict;
    case record_outcome::unknown:
        break;
    }
    return write_outcome::unknown;
}

std::string order_row_key(const std::string& account, const std::string& key)
{
    return "order/" + account + "/" + key;
}

order_executor::order_executor(table_client& table, metrics& counters)
    : table_(table), counters_(counters),
      writer_([this](const std::stop_token& stop) { write_loop(stop); })
{
}

order_executor::~order_executor()
{
    drain(steady_clock::now() + shutdown_drain_timeout);
}

// Drives the order_state_machine of one request: performs its actions on the table and the service.
class order_executor::execution
{
public:
    execution(order_executor& executor, const order_request& request, const service_call& call)
        : executor_(executor), request_(request), call_(call),
          key_(order_row_key(request.account, request.key)), token_(random_id()),
          machine_(token_, request.digest)
    {
    }

    result<order_answer> run()
    {
        for (;;)
        {
            const milliseconds left = time_until(request_.deadline);
            if (left <= milliseconds::zero() && !deadline_passed_)
                on_deadline_passed();
            switch (machine_.next())
            {
            case order_action::return_recorded_answer:
                executor_.counters_.count("orders_replayed_total");
                return answer(true);
            case order_action::return_call_answer:
                executor_.counters_.count("orders_ran_total");
                if (machine_.needs_record())
                    executor_.enqueue_record({key_, machine_.record()});
                return answer(false);
            case order_action::refuse:
                return refuse();
            default:
                perform(machine_.next(), std::clamp(left, milliseconds(1), store_timeout));
            }
        }
    }

private:
    // A call that the machine has allowed but that has not been sent is known not to have started.
    void on_deadline_passed()
    {
        deadline_passed_ = true;
        if (machine_.next() == order_action::call_service)
        {
            call_failure_ =
                not_run(reason::deadline_exceeded, "deadline passed before the call was sent");
            machine_.on_call(call_outcome::not_started, 0, {});
        }
        machine_.on_deadline();
    }

    void perform(order_action action, milliseconds timeout)
    {
        const order_record claim{order_state::started, token_, request_.digest, 0, {}};
        switch (action)
        {
        case order_action::insert_claim:
            machine_.on_insert(executor_.table_.insert(key_, write_order(claim), timeout));
            return;
        case order_action::replace_claim:
            machine_.on_replace(
                executor_.table_.replace(key_, row_version_, write_order(claim), timeout));
            return;
        case order_action::wait_and_read:
            std::this_thread::sleep_for(std::min(reread_delay, timeout));
            return read_row(timeout);
        case order_action::read_row:
            return read_row(timeout);
        case order_action::call_service:
            return call_service();
        default:
            return write_record(std::min(timeout, record_timeout));
        }
    }

    void read_row(milliseconds timeout)
    {
        result<std::optional<table_row>> row = executor_.table_.get(key_, timeout);
        if (!row)
        {
            std::this_thread::sleep_for(std::min(reread_delay, timeout));
            return machine_.on_read(read_outcome::unknown, {});
        }
        if (!row.value())
            return machine_.on_read(read_outcome::absent, {});
        row_version_ = row.value()->version;
        const result<order_record> record = parse_order(row.value()->value);
        if (record)
            machine_.on_read(read_outcome::found, record.value());
        else
            machine_.on_read(read_outcome::unknown, {});
    }

    void call_service()
    {
        const result<service_answer> answer = call_();
        if (answer)
            return machine_.on_call(call_outcome::answered, answer.value().status,
                                    answer.value().body);
        call_failure_ = answer.error();
        const bool not_started = answer.error().outcome == verdict::not_run;
        machine_.on_call(not_started ? call_outcome::not_started : call_outcome::unknown, 0, {});
    }

    // The caller waits for the record for at most record_timeout; after that it is written in the
    // background.
    void write_record(milliseconds timeout)
    {
        const record_outcome outcome = executor_.try_record({key_, machine_.record()}, timeout);
        machine_.on_record(write_outcome_of(outcome));
    }

    result<order_answer> answer(bool replayed) const
    {
        return order_answer{machine_.record().status, machine_.record().answer, replayed};
    }

    result<order_answer> refuse()
    {
        if (machine_.needs_release())
            executor_.enqueue_record({key_, machine_.record()});
        const verdict outcome = machine_.refusal().outcome;
        executor_.counters_.count(outcome == verdict::not_run ? "orders_not_run_total"
                                                              : "orders_may_have_run_total");
        // The machine knows only whether the call was made; the cause of its failure is kept here.
        if (call_failure_ && call_failure_->outcome == outcome)
            return *call_failure_;
        return machine_.refusal();
    }

    order_executor& executor_;
    const order_request& request_;
    const service_call& call_;
    std::string key_;
    std::string token_;
    order_state_machine machine_;
    std::string row_version_;
    bool deadline_passed_ = false;
    std::optional<failure> call_failure_;
};

result<order_answer> order_executor::execute(const order_request& request, const service_call& call)
{
    return execution(*this, request, call).run();
}

result<order_record> order_executor::find(const std::string& account, const std::string& key,
                                          milliseconds timeout)
{
    result<std::optional<table_row>> row = table_.get(order_row_key(account, key), timeout);
    if (!row)
        return not_run(reason::order_store_unavailable, row.error().detail);
    if (!row.value())
        return not_run(reason::not_found, "no order with this key");
    return parse_order(row.value()->value);
}

result<order_state> order_executor::settle(const std::string& account, const std::string& key,
                                           order_state state, const std::string& note, bool dry_run,
                                           milliseconds timeout)
{
    const std::string row_key = order_row_key(account, key);
    result<std::optional<table_row>> row = table_.get(row_key, timeout);
    if (!row)
        return row.error();
    if (!row.value())
        return not_run(reason::not_found, "no order with this key");
    result<order_record> record = parse_order(row.value()->value);
    if (!record)
        return record.error();
    const order_state previous = record.value().state;
    if (previous == state)
        return previous;
    if (previous != order_state::started)
        return not_run(reason::version_conflict,
                       "the order is " + std::string(to_string(previous)));
    if (dry_run)
        return previous;
    order_record settled = record.value();
    settled.state = state;
    if (state == order_state::ran)
    {
        settled.status = settled_status;
        settled.answer = note;
    }
    const write_outcome outcome =
        table_.replace(row_key, row.value()->version, write_order(settled), timeout);
    if (outcome == write_outcome::conflict)
        return not_run(reason::version_conflict, "the order was changed concurrently");
    if (outcome == write_outcome::unknown)
        return may_have_run(reason::deadline_exceeded, "the table did not answer");
    return previous;
}

std::size_t order_executor::pending() const
{
    const std::lock_guard lock(mutex_);
    return pending_.size() + (writing_ ? 1 : 0);
}

bool order_executor::drain(time_point until)
{
    std::unique_lock lock(mutex_);
    return pending_changed_.wait_until(lock, until, [&] { return pending_.empty() && !writing_; });
}

// Replaces the claim of this request by its final state. The write is conditional on the row
// version that was read together with this request's token, so that a started claim of another
// request is never overwritten.
order_executor::record_outcome order_executor::try_record(const pending_write& write,
                                                          milliseconds timeout)
{
    result<std::optional<table_row>> row = table_.get(write.key, timeout);
    if (!row)
        return record_outcome::unknown;
    if (!row.value())
    {
        // The claim may still be in flight: inserting a row here makes its condition fail.
        const write_outcome inserted = table_.insert(write.key, write_order(write.record), timeout);
        return inserted == write_outcome::written ? record_outcome::written
                                                  : record_outcome::unknown;
    }
    result<order_record> stored = parse_order(row.value()->value);
    if (!stored || !may_overwrite(stored.value(), write.record))
        return record_outcome::superseded;
    const write_outcome outcome =
        table_.replace(write.key, row.value()->version, write_order(write.record), timeout);
    return outcome == write_outcome::written ? record_outcome::written : record_outcome::unknown;
}

void order_executor::enqueue_record(pending_write write)
{
    {
        const std::lock_guard lock(mutex_);
        if (pending_.size() >= max_pending)
        {
            counters_.count("order_records_dropped_total");
            log_event(log_level::error, "order_record_dropped", {{"row", write.key}});
            return;
        }
        pending_.push_back(std::move(write));
    }
    pending_changed_.notify_all();
}

void order_executor::write_loop(const std::stop_token& stop)
{
    std::unique_lock lock(mutex_);
    while (!stop.stop_requested())
    {
        pending_changed_.wait(lock, stop, [&] { return !pending_.empty(); });
        if (pending_.empty())
            continue;
        const pending_write write = std::move(pending_.front());
        pending_.pop_front();
        writing_ = true;
        lock.unlock();
        const record_outcome outcome = try_record(write, store_timeout);
        lock.lock();
        writing_ = false;
        if (outcome != record_outcome::unknown)
        {
            pending_changed_.notify_all();
            continue;
        }
        pending_.push_back(write);
        pending_changed_.wait_for(lock, stop, record_retry_delay, [] { return false; });
    }
}

} // namespace zinnianotch
