// Runs the pieces of stages: batches pieces of several jobs into calls to endpoints and reports the
// results to the jobs.
#pragma once

#include "coordination/endpoint_directory.h"
#include "coordination/rollout_coordinator.h"
#include "coordination/serving_call.h"
#include "state/stage_batch.h"
#include "transport/metrics.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace zinnianotch
{

// A call is cancelled and its pieces are queued again when it takes longer than its expected time
// multiplied by this factor, plus the allowance.
inline constexpr double overdue_factor = 2.6;
inline constexpr milliseconds overdue_allowance{300}; // for the network round trip
// Interval between checks for expired results.
inline constexpr milliseconds result_expiry_interval{500};
// Attempts for each piece, the first included. They are counted over the whole job: it fails once
// the failures of its pieces reach this number times the number of its pieces.
inline constexpr std::uint32_t max_piece_attempts = 3;

// Largest response to a call: handles have some dozens of bytes.
inline constexpr std::size_t result_bytes_base = 4096;
inline constexpr std::size_t result_bytes_per_piece = 1024;
// A release that the endpoint has not confirmed after this time is given up; its results expire.
inline constexpr milliseconds release_timeout{2000};
// Time after the expiry of a result for which its handle is remembered. A copy of an old response
// is recognized by its handles until then.
inline constexpr milliseconds freed_handle_retention{4000};

// Time after which a version that was chosen for the next call is chosen again.
inline constexpr milliseconds stage_pool_max_age{1000};

using stage_callback = std::function<void(const stage_outcome&)>;

// Releases of results are sent together at this interval; at once while pieces wait in the queue,
// because calls may lack free result memory.
inline constexpr milliseconds release_flush_interval{100};
// Delays of a queue are computed again after this time. The cost grows with the queue.
inline constexpr milliseconds delays_interval{50};

template <typename Codec>
class stage_batcher
{
public:
    // What an endpoint says of itself with a response.
    // `sent_at`: of the request.
    using notice_handler = std::function<void(known_endpoint&, const endpoint_answer&,
                                              time_point sent_at, time_point now)>;

    // No calls are sent while `may_send` returns false; tick() sends them later.
    stage_batcher(boost::asio::io_context& io, endpoint_directory& endpoints, metrics& counters,
                  std::function<bool(time_point)> may_send, notice_handler on_notice);
    ~stage_batcher();

    stage_batcher(const stage_batcher&) = delete;
    stage_batcher& operator=(const stage_batcher&) = delete;

    // Calls obey these roll-outs; null for none.
    void set_rollouts(rollout_coordinator* rollouts) { rollouts_ = rollouts; }
    // Updates the queues from the settings of the services and from the listed endpoints.
    // Capacity of the services in `contended` is reserved by urgency and shared among the accounts.
    void refresh(const serving_state& state, const std::set<std::string, std::less<>>& contended);
    // The endpoint gets no calls until this time.
    void pause_endpoint(const endpoint_record& endpoint, time_point until);
    // The same as far as the limit that it has named allows; replaces the time set before.
    void throttle_endpoint(const endpoint_record& endpoint, time_point until);

    // Runs the stage and returns the id of its job. `done` is called once, from the event loop,
    // unless the job is cancelled first.
    std::uint64_t submit(const stage_request& request, stage_callback done, time_point now);
    void cancel(std::uint64_t job);
    // Cancels the job unless a piece of it has a result or is in a call; true if cancelled.
    bool cancel_if_waiting(std::uint64_t job);

    // Releases results that are no longer needed, in one call for each endpoint.
    void release(const std::vector<std::string>& handles);

    void tick(time_point now);
    std::size_t jobs() const { return jobs_.size(); }
    // True while results are to be released whose endpoint has not confirmed it.
    bool has_releases() const { return !pending_releases_.empty() || !release_calls_.empty(); }

private:
    class batch_call;
    class release_call;

    // Pieces of one job in a call, with the memory that the result of each takes on the endpoint.
    struct sent_part
    {
        batch_part part;
        std::uint64_t result_bytes = 0;
    };

    struct job
    {
        stage_request request;
        stage_job queued;
        std::vector<std::string> handles;
        std::uint32_t missing_pieces = 0;
        std::uint32_t failures = 0;
        stage_callback done;
    };

    // Pieces that are batched together: those of a service, or of one of its shards.
    struct service_queue
    {
        std::string service;

        stage_queue queue;
        batch_spec spec;
        queue_delays delays;
        time_point delays_at{};
        std::optional<rollout_pool> next_pool; // chosen for the next call
        time_point pool_chosen_at{};
    };

    const queue_delays& delays_of(service_queue& entry, time_point now);
    void dispatch(const std::string& key, time_point now);
    std::optional<stage_batch> next_batch(service_queue& entry, time_point now);
    void send(const std::string& key, stage_batch batch, time_point now);
    void on_results(batch_call& call, const std::vector<piece_result>& results, time_point now);
    void on_call_refused(batch_call& call, time_point now);
    void on_call_lost(batch_call& call, time_point now);
    void requeue_call(batch_call& call, time_point now);
    void requeue_part(const std::string& key, const batch_part& part, bool counts_as_failure,
                      time_point now);
    void fail(std::uint64_t id, piece_failure why);
    void complete(std::uint64_t id, stage_outcome outcome);
    void release_results(const job& ended);
    bool may_release(const known_endpoint& endpoint, time_point now) const;
    void flush_releases();
    // The endpoint that produced the results has freed them, so that their memory is available.
    void on_released(const std::vector<std::string>& handles, time_point now);
    void add_held_result(const std::string& key, const std::string& endpoint,
                         const std::string& handle, std::uint64_t bytes, time_point now);
    // Counts the memory of a result as free again. Returns the queue of its endpoint, or nullopt
    // for an unknown result.
    std::optional<std::string> free_result(const std::string& handle);
    bool holds_any(const std::vector<piece_result>& results) const;
    std::shared_ptr<batch_call> remove_call(batch_call& call);

    boost::asio::io_context& io_;
    endpoint_directory& endpoints_;
    metrics& counters_;
    std::function<bool(time_point)> may_send_;
    notice_handler on_notice_;
    rollout_coordinator* rollouts_ = nullptr;
    std::map<std::string, service_queue> queues_; // by queue_name
    std::map<std::uint64_t, job> jobs_;
    std::map<batch_call*, std::shared_ptr<batch_call>> calls_;
    std::map<release_call*, std::shared_ptr<release_call>> release_calls_;
    // A result that is kept in the memory of the endpoint that produced it.
    struct held_result
    {
        std::string queue;
        std::string endpoint;
        std::uint64_t bytes = 0;
        time_point expires_at{};
    };

    struct expiry
    {
        time_point at;
        std::string handle;
    };

    std::unordered_map<std::string, held_result> held_; // by handle
    std::unordered_set<std::string> freed_;             // handles of results that were held
    std::deque<expiry> freed_expiries_;                 // of freed_, in the order of freeing
    std::map<std::string, std::vector<std::string>> pending_releases_; // by address of the producer
    bool release_flush_posted_ = false;
    time_point last_release_flush_{};
    time_point last_expiry_check_{};
    std::uint64_t next_job_ = 0;
};

} // namespace zinnianotch
