// Batches pieces of stages into calls. Chooses the order of the pieces and the endpoint of each
// call, and drops jobs that can no longer meet their deadline.
//
// Each call to a batched service has a fixed cost whatever its size, so many small calls overload
// the service. An idle endpoint is sent the waiting pieces at once; while all endpoints are busy,
// pieces accumulate in the queue for the next call. A result occupies memory at the endpoint that
// produced it until it is freed, so the size of a call is limited by the free result memory.
#pragma once

#include "state/serving.h"
#include "state/time.h"

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
};

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

// Time that a job waits for an endpoint in its preferred domain while others are free.
inline constexpr milliseconds locality_wait{40};

class stage_queue
{
public:
    // These replace the batching parameters of the service and its endpoints. Calls in flight at
    // endpoints that are no longer listed are not affected.
    void set_service(const batch_spec& spec);
    void set_endpoints(const std::vector<stage_endpoint>& listed);

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
    // The endpoint refused the call, or the call ended without a response.
    void on_failed(const std::string& endpoint, time_point now);
    // A call ended for a reason that is not the endpoint's.
    void on_call_dropped(const std::string& endpoint);
    // The endpoint wants no calls until this time.
    void pause_endpoint(const std::string& endpoint, time_point until);

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
    };

    struct endpoint_state
    {
        std::string domain;
        std::uint32_t calls_in_flight = 0;
        double slowdown = 1.0; // moving average of actual to expected call time
        std::uint32_t failures = 0;
        time_point blocked_until{};
        time_point paused_until{};
        time_point last_sent{};
        std::uint64_t held_bytes = 0;    // results held there, including those of calls in flight
        std::uint64_t foreign_bytes = 0; // results of calls sent by other VMs, when last observed
        time_point foreign_at{};
        bool listed = true;
    };

    milliseconds call_time(std::uint32_t pieces) const;
    std::uint32_t saturated_batch_size() const;
    double saturated_call_ms() const;
    time_point next_call_done(time_point now) const;
    double lowest_slowdown() const;
    bool is_slow(const endpoint_state& endpoint, double lowest) const;
    bool is_free(const endpoint_state& endpoint, double lowest, time_point now) const;
    std::vector<std::string> free_endpoints(time_point now) const;
    std::uint64_t usable_memory() const;
    std::uint64_t foreign_bytes(const endpoint_state& endpoint, time_point now) const;
    std::uint32_t pieces_that_fit(const endpoint_state& endpoint, const stage_batch& batch,
                                  std::uint64_t batch_bytes, const stage_job& job,
                                  time_point now) const;
    bool may_leave_domain(const waiting_part& part, time_point now) const;
    std::string choose_endpoint_for(const waiting_part& part, const std::vector<std::string>& free,
                                    const std::set<std::string>& full, time_point now) const;
    void fill(stage_batch& batch, std::size_t first, time_point now);
    std::size_t usable_endpoints(time_point now) const;
    // Pieces per second that jobs on time have brought, as a moving average.
    double on_time_rate(time_point now) const;
    double decayed_on_time_pieces(time_point now) const;
    bool spare_capacity_finishes(const stage_job& job, time_point now) const;
    void sort_queue(time_point now);
    void enqueue(const waiting_part& part);

    batch_spec spec_;
    // Moving averages over the calls that left pieces waiting; 0 before the first one.
    double saturated_batch_pieces_ = 0.0;
    double saturated_call_ms_ = 0.0;
    double on_time_pieces_ = 0.0; // decays with on_time_window
    time_point on_time_at_{};
    time_point on_time_since_{}; // the first job on time
    std::map<std::string, endpoint_state, std::less<>> endpoints_;
    std::map<std::string, std::size_t, std::less<>> endpoints_by_domain_;
    std::vector<waiting_part> queue_;
    std::size_t waiting_pieces_ = 0; // in queue_
    // No job expires before this time.
    time_point next_expiry_at_ = time_point::max();
};

} // namespace zinnianotch
