// Gathers pieces of stages into calls and decides which pieces go first, to which endpoint, and
// which can no longer be done in time.
//
// It answers the load of a service whose calls cost a fixed time whatever they hold, so that many
// small calls collapse the service. An idle endpoint takes what waits at once; while all endpoints
// work, the queue fills the next call. Results take memory at their maker until they are freed, so
// a call holds no more pieces than their results have room.
#pragma once

#include "state/serving.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// All pieces of one stage of one request, as queued at the VM that gathers them.
struct stage_job
{
    std::uint64_t id = 0; // given by the queue's owner
    std::uint32_t pieces = 0;
    std::uint32_t priority = 0;     // 0 is the most urgent
    std::uint64_t result_bytes = 0; // of each piece; held at its maker until it is freed
    time_point goal_at{};           // done later, the request misses its response-time goal
    time_point deadline_at{};       // done later, the request cannot be answered in time
    std::string inputs_domain;      // failure domain that holds its large inputs, or empty
};

// Pieces of one job in one call.
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
    milliseconds expected{0}; // time that the call takes at an endpoint of usual speed
    bool left_pieces_waiting = false; // more waited than it could hold
};

// An endpoint is slow when its calls take this many times what they take at the fastest one.
inline constexpr double slow_threshold = 2.2;
// A slow endpoint gets one call after this pause, to see whether it has recovered.
inline constexpr milliseconds slow_probe_interval{4000};
// An endpoint that refused a call or failed gets no further one for this long, doubled with each
// failure in a row.
inline constexpr milliseconds failure_backoff{250};
inline constexpr milliseconds failure_backoff_max{4000};
// A job is split over two calls only when the first would otherwise be less than half full: its
// first results would wait, and use memory, for the second call.
inline constexpr std::uint32_t split_below_percent = 50;

class stage_queue
{
public:
    // Replaces the service's figures and its endpoints; calls in flight at endpoints that are no
    // longer listed end as they do.
    void set_service(const batch_spec& spec);
    void set_endpoints(const std::vector<stage_endpoint>& listed);

    void add(const stage_job& job);
    // Removes the waiting pieces of a job whose request has ended.
    void remove(std::uint64_t job);
    // Queues these pieces of a job again after their call failed.
    void put_back(const stage_job& job, const batch_part& part);

    // Next call to send, or nothing when no endpoint or no piece is ready.
    std::optional<stage_batch> next(time_point now);
    // Jobs whose deadline can no longer be met; they are removed.
    std::vector<std::uint64_t> take_expired(time_point now);

    void on_done(const std::string& endpoint, const stage_batch& batch, milliseconds elapsed);
    // The endpoint refused the call, or it ended without an answer.
    void on_failed(const std::string& endpoint, time_point now);

    // A result at the endpoint was freed, or was not made.
    void on_result_bytes_released(const std::string& endpoint, std::uint64_t bytes);

    // Time until the job would be done if it were added now, by what goes before it.
    milliseconds expected_time(const stage_job& job, time_point now) const;
    // False when the job, of this expected time, can't be done before its deadline, or would miss
    // its goal while more waits than the next calls can do.
    bool admits(const stage_job& job, milliseconds expected, time_point now) const;
    // Earliest time at which `next` may return something although nothing new happens.
    std::optional<time_point> wake_at(time_point now) const;

    std::size_t waiting_pieces() const;
    bool has_waiting_pieces() const { return !queue_.empty(); }
    bool has_endpoints() const { return !endpoints_.empty(); }

private:
    struct waiting_part
    {
        stage_job job;
        std::uint32_t first = 0;
        std::uint32_t count = 0;
    };

    struct endpoint_state
    {
        std::string domain;
        std::uint32_t calls_in_flight = 0;
        double slowdown = 1.0; // of the time of its calls to the expected one, moving average
        std::uint32_t failures = 0;
        time_point blocked_until{};
        time_point last_sent{};
        std::uint64_t held_bytes = 0; // results there, those of calls in progress included
        bool listed = true;
    };

    milliseconds call_time(std::uint32_t pieces) const;
    std::uint32_t saturated_batch_size() const;
    double saturated_call_ms() const;
    time_point next_call_done(time_point now) const;
    double lowest_slowdown() const;
    bool is_free(const endpoint_state& endpoint, time_point now) const;
    std::vector<std::string> free_endpoints(std::string_view domain, time_point now) const;
    std::uint32_t pieces_that_fit(const endpoint_state& endpoint, const stage_batch& batch,
                           std::uint64_t taken_bytes, const stage_job& job) const;
    void fill(stage_batch& batch);
    std::size_t usable_endpoints(time_point now) const;
    void sort_queue(time_point now);

    batch_spec spec_;
    // Moving averages of the calls that left others waiting; 0: none yet.
    double saturated_batch_pieces_ = 0.0;  // pieces
    double saturated_call_ms_ = 0.0; // time
    std::map<std::string, endpoint_state, std::less<>> endpoints_;
    std::vector<waiting_part> queue_;
};

} // namespace zinnianotch
