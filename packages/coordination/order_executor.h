// Executes non-idempotent calls at most once, using a record of each in the platform's table.
#pragma once

#include "coordination/table_client.h"
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
    std::string digest; // digest of service, operation and body
    time_point deadline{};
};

struct order_answer
{
    int status = 0;
    std::string body;
    bool replayed = false; // taken from the record of an earlier request
};

// Answer of the service to the single call made for an order.
struct service_answer
{
    int status = 0;
    std::string body;
};

using service_call = std::function<result<service_answer>()>;

class order_executor
{
public:
    order_executor(table_client& table, metrics& counters);
    ~order_executor();

    order_executor(const order_executor&) = delete;
    order_executor& operator=(const order_executor&) = delete;

    // Claims the key, makes the call at most once, and answers from the record.
    result<order_answer> execute(const order_request& request, const service_call& call);

    // Returns the record of a key; not_found if the key was never claimed.
    result<order_record> find(const std::string& account, const std::string& key,
                              milliseconds timeout);

    // Sets the final state of an order left at `started`, once an operator has checked the service.
    // Repeats of an order settled as `ran` are answered with status 200 and the note. Returns the
    // previous state.
    result<order_state> settle(const std::string& account, const std::string& key,
                               order_state state, const std::string& note, bool dry_run,
                               milliseconds timeout);

    // Number of records still to be written by the background thread.
    std::size_t pending() const;

    // Waits until all background writes are complete or `until` is reached; true if complete.
    bool drain(time_point until);

private:
    class execution;

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
    void enqueue_record(pending_write write);
    void write_loop(const std::stop_token& stop);

    table_client& table_;
    metrics& counters_;
    mutable std::mutex mutex_;
    std::condition_variable_any pending_changed_;
    std::deque<pending_write> pending_;
    bool writing_ = false;
    std::jthread writer_;
};

// Table row key of an order; account and key are restricted to characters that need no escaping.
std::string order_row_key(const std::string& account, const std::string& key);

} // namespace zinnianotch
