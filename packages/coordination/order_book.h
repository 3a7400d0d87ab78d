// Carries out non-idempotent calls at most once, recorded in the platform's table.
#pragma once

#include "coordination/table.h"
#include "state/orders.h"
#include "transport/metrics.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace zinnianotch
{

struct order_request
{
    std::string id; // request id, for logs
    std::string account;
    std::string key;    // the caller's idempotency key
    std::string digest; // of service, operation and body
    time_point deadline{};
};

struct order_answer
{
    int status = 0;
    std::string body;
    bool replayed = false; // recorded by an earlier request
};

// The answer of the service to the one call that an order makes.
struct service_answer
{
    int status = 0;
    std::string body;
};

using service_call = std::function<result<service_answer>()>;

class order_book
{
public:
    order_book(table_client& table, metrics& counters);
    ~order_book();

    order_book(const order_book&) = delete;
    order_book& operator=(const order_book&) = delete;

    // Claims the key, makes the call at most once and answers by the record.
    result<order_answer> place(const order_request& request, const service_call& call);

    // The record of a key; not_found when the key was never claimed.
    result<order_record> find(const std::string& account, const std::string& key,
                              milliseconds timeout);

    // Settles an order that was left at `started`, after an operator looked at the service. A `ran`
    // order answers repeats with status 200 and the note. Returns the state before.
    result<order_state> settle(const std::string& account, const std::string& key,
                               order_state state, const std::string& note, bool dry_run,
                               milliseconds timeout);

    // Writes that wait for the table in the background.
    std::size_t pending() const;

    // Waits until the background writes are done or the time is over.
    bool drain(time_point until);

private:
    class placement;

    struct pending_write
    {
        std::string key;
        order_record record;
    };

    enum class record_outcome
    {
        written,
        superseded, // the row belongs to another claim or is already final
        unknown
    };

    static write_outcome write_outcome_of(record_outcome outcome);
    record_outcome try_record(const pending_write& write, milliseconds timeout);
    void record_later(pending_write write);
    void write_pending(const std::stop_token& stop);

    table_client& table_;
    metrics& counters_;
    mutable std::mutex mutex_;
    std::condition_variable_any changed_;
    std::deque<pending_write> pending_;
    bool writing_ = false;
    std::jthread writer_;
};

// Row key of an order; account and key are restricted to characters that need no escaping.
std::string order_row_key(const std::string& account, const std::string& key);

} // namespace zinnianotch
