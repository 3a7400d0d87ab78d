// Batches pieces of stages into calls. Chooses the order of the pieces and the endpoint of each
// call, and drops jobs that can no longer meet their deadline.
//
// Each call to a batched service has a fixed cost whatever its size, so many small calls overload
// the service. An idle endpoint is sent the waiting pieces at once; while all endpoints are busy,
// pieces accumulate in the queue for the next call. A result occupies memory at the endpoint that
// produced it until it is freed, so the size of a call is limited by the free result memory.
#pragma once

#include "state/account_shares.h"
#include "state/domain_reachability.h"
#include "state/piece_rate.h"
#include "state/queue_delay.h"
#include "state/serving.h"
#include "state/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace zinnianotch
{

// All pieces of one stage of one request, as queued at the VM that batches them.
struct stage_job
{
    std::uint64_t id = 0; // assigned by the queue's owner
    std::uint32_t pieces = 0;
    std::uint32_t priority = 0;     // 0 is the most urgent
    std::uint64_t result_bytes = 0; // per piece; held at the producing endpoint until freed
    time_point goal_at{};           // latest completion that meets the response-time goal
    time_point deadline_at{};       // latest completion that meets the request's deadline
    std::string preferred_domain;   // failure domain that saves large transfers, or empty
    bool is_continuation = false;   // earlier stages of its request have run
    std::uint64_t account = 0;      // account_key of its client account, or 0
    bool is_above_share = false;    // its account asks for more than its share
};

// Priority of a job for its queue, which bounds the number of rates that the queue keeps.
inline std::uint32_t priority_level(const stage_job& job)
{
    return std::min(job.priority, queue_priority_max);
}

// Range of pieces of one job within a call.
struct batch_part
{
    std::uint64_t job = 0;
    std::uint32_t first = 0;
    std::uint32_t count = 0;
};

// An endpoint of the stage's service.
struct stage_endpoint
{
    std::string id;
    std::string domain;
};

struct stage_batch
{
    std::string endpoint;
    std::vector<batch_part> parts;
    std::uint32_t pieces = 0;
    milliseconds expected{0};         // duration at the fastest endpoint
    bool left_pieces_waiting = false; // pieces that did not fit remain queued
};

// An endpoint is slow when its slowdown is at least this multiple of the lowest slowdown.
inline constexpr double slow_threshold = 2.2;
// A slow endpoint gets one call per interval, to detect its recovery.
inline constexpr milliseconds slow_probe_interval{4000};
// Exponential backoff of an endpoint that refused or failed a call; doubles with each consecutive
// failure up to failure_backoff_max.
inline constexpr milliseconds failure_backoff{250};
inline constexpr milliseconds failure_backoff_max{4000};
// An endpoint without free result memory gets no call for this time.
inline constexpr milliseconds memory_full_pause{100};
// A job is split over two calls only if the first would otherwise be filled below this percentage:
// the results of the first call occupy memory until the second one ends.
inline constexpr std::uint32_t split_below_percent = 50;

// Longest time that a job waits for an endpoint in its preferred domain while others are free:
// about one call, after which a domain without a queue has had an endpoint free.
inline constexpr milliseconds locality_wait{200};
// A job waits for at most this part of the time that it has to spare: the stages that follow need
// some of it as well.
inline constexpr int locality_slack_divisor = 2;

// Time constant of the average rate of jobs on time. It covers several bursts: what jobs that are
// late can count on is the capacity left between these.
inline constexpr milliseconds on_time_window{8000};
// The same by priority, for the time that a job may wait behind more urgent ones.
inline constexpr milliseconds priority_rate_window{2000};
// Share of the capacity that each priority keeps while more urgent jobs would take all.
inline constexpr double capacity_floor = 0.05;

// A job that would miss its goal is admitted only while the waiting pieces amount to fewer than
// this many full calls per usable endpoint.
inline constexpr std::size_t max_late_rounds = 2;

class stage_queue
{
public:
    // These replace the batching parameters of the service and its endpoints. Calls in flight at
    // endpoints that are no longer listed are not affected.
    void set_service(const batch_spec& spec);
    void set_endpoints(const std::vector<stage_endpoint>& listed);
    // Whether capacity is reserved by urgency: estimates then count what more urgent jobs will
    // take, continuations are refused only if they miss their deadline, and each priority keeps
    // capacity_floor.
    void set_reserving(bool reserving) { reserving_ = reserving; }
    // Whether capacity that is reserved by urgency is shared max-min fair among client accounts of
    // the same priority: among jobs on time, those above the share of their account come last.
    void set_sharing(bool sharing) { sharing_ = sharing; }
    // Counts what the account of the job asks for, whether or not the job is admitted.
    // `refused_pieces` are those that were refused elsewhere since its last job.
    void count_asked(const stage_job& job, std::uint32_t refused_pieces, time_point now);

    // `expected` is the job's expected_time.
    void add(const stage_job& job, milliseconds expected, time_point now);
    // Removes the waiting pieces of a job whose request has ended.
    void remove(std::uint64_t job);
    // Requeues pieces of a job whose call failed.
    void requeue(const stage_job& job, const batch_part& part);

    // True if calls may be sent to the endpoint.
    using endpoint_filter = std::function<bool(const std::string& endpoint)>;
    // Next call to send, or nothing if no piece waits or no endpoint can take a call. Without a
    // filter, any endpoint may.
    std::optional<stage_batch> next(time_point now, const endpoint_filter& may_use = nullptr);
    // Removes and returns the jobs whose deadline can no longer be met.
    std::vector<std::uint64_t> take_expired(time_point now);

    void on_done(const std::string& endpoint, const stage_batch& batch, milliseconds elapsed);
    // The call has taken so long that it is given up; on_failed follows.
    void on_overdue(const std::string& endpoint, const stage_batch& batch, milliseconds elapsed);
    // The endpoint refused the call, or the call ended without a response.
    void on_failed(const std::string& endpoint, time_point now);
    // The endpoint has sent some response, so its failure domain can be reached.
    void on_answered(const std::string& endpoint);
    // A call ended for a reason that is not the endpoint's.
    void on_call_dropped(const std::string& endpoint);
    // The endpoint wants no calls until this time.
    void pause_endpoint(const std::string& endpoint, time_point until);
    // The same; replaces the time set before.
    void throttle_endpoint(const std::string& endpoint, time_point until);

    // The endpoint had no free memory for a result. The memory that this queue does not account for
    // is held by results of calls that other VMs sent; it counts as free again over their lifetime.
    void on_memory_full(const std::string& endpoint, time_point now);
    // Releases result memory at the endpoint: a result was freed, or was not produced.
    void on_result_bytes_released(const std::string& endpoint, std::uint64_t bytes);

    // Estimated time until completion if the job were added now, including the pieces ahead of it.
    milliseconds expected_time(const stage_job& job, time_point now) const;
    // False if `expected` exceeds the job's deadline, or exceeds its goal and the capacity that
    // jobs on time leave would not finish it by its deadline either.
    bool admits(const stage_job& job, milliseconds expected, time_point now) const;
    // Expected times of small jobs by priority; empty unless capacity is reserved by urgency.
    queue_delays delays(time_point now) const;
    std::size_t waiting_pieces() const { return waiting_pieces_; }
    // Pieces of the job that are in no call.
    std::uint32_t waiting_pieces(std::uint64_t job) const;
    bool has_waiting_pieces() const { return !queue_.empty(); }
    bool has_endpoints() const { return !endpoints_.empty(); }

private:
    struct waiting_part
    {
        stage_job job;
        std::uint32_t first = 0;
        std::uint32_t count = 0;
        time_point queued_at{};
        bool may_leave_domain = true; // when the queue was last examined
    };

    struct endpoint_state
    {
        std::string domain;
        std::uint32_t calls_in_flight = 0;
        double slowdown = 1.0; // moving average of actual to expected call time
        std::uint32_t failures = 0;
        time_point blocked_until{};
        time_point paused_until{};
        time_point throttled_until{};
        time_point last_sent{};
        std::uint64_t held_bytes = 0;    // results held there, including those of calls in flight
        std::uint64_t foreign_bytes = 0; // results of calls sent by other VMs, when last observed
        time_point foreign_at{};
        bool listed = true;
    };

    // The endpoint of a call and the index of the first part in it.
    struct call_start
    {
        std::string endpoint;
        std::size_t first = 0;
    };

    milliseconds call_time(std::uint32_t pieces) const;
    std::uint32_t saturated_batch_size() const;
    double saturated_call_ms() const;
    // Duration of the shortest call that a job may count on, and of one with all its pieces.
    double short_call_ms(std::uint32_t pieces) const;
    // Largest call that ends by the job's goal, if the goal is near.
    std::uint32_t pieces_by_goal(const waiting_part& part, time_point now) const;
    time_point next_call_done(time_point now) const;
    double lowest_slowdown(const endpoint_filter& may_use) const;
    bool is_slow(const endpoint_state& endpoint, double lowest) const;
    bool is_free(const endpoint_state& endpoint, double lowest, time_point now) const;
    void record_time(endpoint_state& endpoint, const stage_batch& batch, milliseconds elapsed);
    std::vector<std::string> free_endpoints(const endpoint_filter& may_use, time_point now) const;
    std::uint64_t usable_memory() const;
    std::uint64_t foreign_bytes(const endpoint_state& endpoint, time_point now) const;
    std::uint32_t pieces_that_fit(const endpoint_state& endpoint, const stage_batch& batch,
                                  std::uint64_t batch_bytes, const stage_job& job,
                                  time_point now) const;
    milliseconds locality_allowance(const waiting_part& part, time_point now) const;
    bool has_waited_for_domain(const waiting_part& part, time_point now) const;
    void update_locality(time_point now);
    std::string choose_endpoint_for(const waiting_part& part, const std::vector<std::string>& free,
                                    const std::set<std::string>& full, bool leaves_domain) const;
    std::optional<call_start> choose_start(const std::vector<std::string>& free,
                                           const std::set<std::string>& full, time_point now) const;
    void fill(stage_batch& batch, std::size_t first, time_point now);
    std::size_t usable_endpoints(time_point now) const;
    double capacity(time_point now) const; // pieces per second
    bool spare_capacity_finishes(const stage_job& job, time_point now) const;
    // Factor on a waiting time that allows for more urgent jobs that will come.
    // A job above its account's share also waits for those within.
    double reserve_factor(std::uint32_t priority, bool is_above_share, time_point now) const;
    // Pieces per second that more urgent jobs leave to the priority.
    double capacity_left_to(std::uint32_t priority, time_point now) const;
    std::vector<account_share> find_shares(time_point now) const;
    milliseconds time_behind(std::uint64_t ahead, std::uint32_t pieces, double factor,
                             time_point now) const;
    milliseconds late_delay(time_point now) const;
    void promote_starved(time_point now);
    void sort_queue(time_point now);
    void enqueue(const waiting_part& part);

    batch_spec spec_;
    // Moving averages over the calls that left pieces waiting; 0 before the first one.
    double saturated_batch_pieces_ = 0.0;
    double saturated_call_ms_ = 0.0;
    piece_rate on_time_{on_time_window}; // of jobs that are on time when they are added
    bool reserving_ = false;
    bool sharing_ = false;
    // Of jobs on time by priority: added, and put into calls.
    std::map<std::uint32_t, piece_rate> added_;
    std::map<std::uint32_t, piece_rate> sent_;
    std::map<std::uint32_t, piece_rate> added_within_share_;
    account_rates asked_;
    std::map<std::string, endpoint_state, std::less<>> endpoints_;
    std::map<std::string, std::size_t, std::less<>> endpoints_by_domain_;
    domain_reachability domains_;
    std::vector<waiting_part> queue_;
    std::size_t waiting_pieces_ = 0; // in queue_
    // No job expires before this time.
    time_point next_expiry_at_ = time_point::max();
};

} // namespace zinnianotch
