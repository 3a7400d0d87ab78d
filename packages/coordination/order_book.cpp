#include "coordination/order_book.h"

#include "coordination/random_id.h"
#include "transport/log.h"

#include <algorithm>

namespace zinnianotch
{

namespace
{

constexpr milliseconds store_timeout{1000};
constexpr milliseconds read_again_pause{50}; // while another claim of the key is in progress
constexpr milliseconds record_retry_pause{200};
constexpr milliseconds record_timeout{250};
constexpr int settled_status = 200;
constexpr milliseconds shutdown_record_time{2000};
// Bounds the memory while the table is away. Further results stay unrecorded: their rows remain
// at `started`, which is answered as may_have_run.
constexpr std::size_t max_pending = 10000;

// True when the final state may replace the stored row: the own claim, or another released claim
// of the same order, whose row version a late claim of this request might still expect.
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

write_outcome order_book::write_outcome_of(record_outcome outcome)
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

order_book::order_book(table_client& table, metrics& counters)
    : table_(table), counters_(counters),
      writer_([this](const std::stop_token& stop) { write_pending(stop); })
{
}

order_book::~order_book()
{
    drain(steady_clock::now() + shutdown_record_time);
}

// Drives the order_state_machine of one request: carries out its steps against the table and the service.
class order_book::placement
{
public:
    placement(order_book& book, const order_request& request, const service_call& call)
        : book_(book), request_(request), call_(call),
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
                pass_deadline();
            switch (machine_.next())
            {
            case order_action::return_recorded_answer:
                book_.counters_.count("orders_replayed_total");
                return answer(true);
            case order_action::return_call_answer:
                book_.counters_.count("orders_ran_total");
                if (machine_.needs_record())
                    book_.record_later({key_, machine_.record()});
                return answer(false);
            case order_action::refuse:
                return refuse();
            default:
                carry_out(machine_.next(), std::clamp(left, milliseconds(1), store_timeout));
            }
        }
    }

private:
    // A call that the machine allowed but that was not sent yet is surely not started.
    void pass_deadline()
    {
        deadline_passed_ = true;
        if (machine_.next() == order_action::call_service)
        {
            call_failure_ = not_run(reason::deadline_exceeded, "no time left for the call");
            machine_.on_call(call_outcome::not_started, 0, {});
        }
        machine_.on_deadline();
    }

    void carry_out(order_action action, milliseconds timeout)
    {
        const order_record claim{order_state::started, token_, request_.digest, 0, {}};
        switch (action)
        {
        case order_action::insert_claim:
            machine_.on_insert(book_.table_.insert(key_, write_order(claim), timeout));
            return;
        case order_action::replace_claim:
            machine_.on_replace(
                book_.table_.replace(key_, row_version_, write_order(claim), timeout));
            return;
        case order_action::wait_and_read:
            std::this_thread::sleep_for(std::min(read_again_pause, timeout));
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
        result<std::optional<table_row>> row = book_.table_.get(key_, timeout);
        if (!row)
        {
            std::this_thread::sleep_for(std::min(read_again_pause, timeout));
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
        const bool surely_not = answer.error().outcome == verdict::not_run;
        machine_.on_call(surely_not ? call_outcome::not_started : call_outcome::unknown, 0, {});
    }

    // The caller waits for the record only a short time; then it is written behind.
    void write_record(milliseconds timeout)
    {
        const record_outcome outcome = book_.try_record({key_, machine_.record()}, timeout);
        machine_.on_record(write_outcome_of(outcome));
    }

    result<order_answer> answer(bool replayed) const
    {
        return order_answer{machine_.record().status, machine_.record().answer, replayed};
    }

    result<order_answer> refuse()
    {
        if (machine_.needs_release())
            book_.record_later({key_, machine_.record()});
        const verdict outcome = machine_.refusal().outcome;
        book_.counters_.count(outcome == verdict::not_run ? "orders_not_run_total"
                                                          : "orders_may_have_run_total");
        // The machine knows only whether the call was made; why it failed is known here.
        if (call_failure_ && call_failure_->outcome == outcome)
            return *call_failure_;
        return machine_.refusal();
    }

    order_book& book_;
    const order_request& request_;
    const service_call& call_;
    std::string key_;
    std::string token_;
    order_state_machine machine_;
    std::string row_version_;
    bool deadline_passed_ = false;
    std::optional<failure> call_failure_;
};

result<order_answer> order_book::place(const order_request& request, const service_call& call)
{
    return placement(*this, request, call).run();
}

result<order_record> order_book::find(const std::string& account, const std::string& key,
                                      milliseconds timeout)
{
    result<std::optional<table_row>> row = table_.get(order_row_key(account, key), timeout);
    if (!row)
        return not_run(reason::order_store_unavailable, row.error().detail);
    if (!row.value())
        return not_run(reason::not_found, "no order with this key");
    return parse_order(row.value()->value);
}

result<order_state> order_book::settle(const std::string& account, const std::string& key,
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
        return not_run(reason::version_conflict, "the order changed meanwhile");
    if (outcome == write_outcome::unknown)
        return may_have_run(reason::deadline_exceeded, "the table did not answer");
    return previous;
}

std::size_t order_book::pending() const
{
    const std::lock_guard lock(mutex_);
    return pending_.size() + (writing_ ? 1 : 0);
}

bool order_book::drain(time_point until)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_until(lock, until, [&] { return pending_.empty() && !writing_; });
}

// Writes a final state over the own claim. The condition is the row's version as read together
// with the own token, so that a claim of another request is never overwritten.
order_book::record_outcome order_book::try_record(const pending_write& write, milliseconds timeout)
{
    result<std::optional<table_row>> row = table_.get(write.key, timeout);
    if (!row)
        return record_outcome::unknown;
    if (!row.value())
    {
        // The claim may still be on its way: a row in its place makes it fail its condition.
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

void order_book::record_later(pending_write write)
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
    changed_.notify_all();
}

void order_book::write_pending(const std::stop_token& stop)
{
    std::unique_lock lock(mutex_);
    while (!stop.stop_requested())
    {
        changed_.wait(lock, stop, [&] { return !pending_.empty(); });
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
            changed_.notify_all();
            continue;
        }
        pending_.push_back(write);
        changed_.wait_for(lock, stop, record_retry_pause, [] { return false; });
    }
}

} // namespace zinnianotch
