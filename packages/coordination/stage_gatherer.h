// Runs pieces of stages: gathers them into calls, sends the calls and gives the results back.
#pragma once

#include "coordination/endpoint_directory.h"
#include "coordination/serving_call.h"
#include "state/stage_batch.h"
#include "transport/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace zinnianotch
{

// A call is given up and its pieces are queued again when it takes this many times what it should.
inline constexpr double overdue_ratio = 2.6;
inline constexpr milliseconds overdue_least{300}; // added, for the way there and back
// Trials of one piece, the first included.
inline constexpr std::uint32_t piece_attempts = 3;

// All pieces of one stage of one request.
struct stage_request
{
    std::string attempt;
    std::string service;
    std::uint32_t stage = 0;
    std::uint32_t priority = 0;
    std::string key;
    std::vector<std::string> inputs;
    std::uint32_t pieces = 0;
    milliseconds goal_left{0};     // until it should be done
    milliseconds deadline_left{0}; // until it is of no use any more
};

// Handles in the order of the pieces, or why the stage failed.
struct stage_outcome
{
    std::vector<std::string> handles;
    bool done = false;
    bool refused = false;          // not begun: it could not be done in time
    piece_failure why = piece_failure::failed;
    milliseconds expected{0};      // time that it would have taken, when refused
};

using stage_done = std::function<void(stage_outcome)>;

template <typename Codec>
class stage_gatherer
{
public:
    stage_gatherer(boost::asio::io_context& io, endpoint_directory& endpoints, metrics& counters);
    ~stage_gatherer();

    stage_gatherer(const stage_gatherer&) = delete;
    stage_gatherer& operator=(const stage_gatherer&) = delete;

    // Adopts figures of the services and the listed endpoints.
    void refresh(const serving_state& state);

    // Runs the stage; `done` is called once unless the job is cancelled first. The answer may come
    // before the call returns.
    std::uint64_t submit(const stage_request& request, stage_done done, time_point now);
    void cancel(std::uint64_t job);

    // Gives results back; they are freed in one call for each endpoint soon after.
    void release(const std::vector<std::string>& handles);

    void tick(time_point now);
    std::size_t jobs() const { return jobs_.size(); }

private:
    class batch_call;
    class release_call;

    struct job
    {
        stage_request request;
        stage_job queued;
        std::vector<std::string> handles;
        std::uint32_t missing = 0;
        std::uint32_t failures = 0;
        stage_done done;
    };

    struct service_queue
    {
        stage_queue queue;
        batch_spec spec;
    };

    void pump(const std::string& service, time_point now);
    void send(const std::string& service, stage_batch batch, time_point now);
    void on_results(batch_call& call, const std::vector<piece_result>& results, time_point now);
    void on_refused(batch_call& call, time_point now);
    void on_lost(batch_call& call, time_point now);
    void put_back(const std::string& service, const batch_part& part, bool counts, time_point now);
    void fail(std::uint64_t id, piece_failure why);
    void complete(std::uint64_t id, stage_outcome outcome);
    void flush_releases();
    std::shared_ptr<batch_call> forget(batch_call& call);

    boost::asio::io_context& io_;
    endpoint_directory& endpoints_;
    metrics& counters_;
    std::map<std::string, service_queue> queues_;
    std::map<std::uint64_t, job> jobs_;
    std::map<batch_call*, std::shared_ptr<batch_call>> calls_;
    std::map<release_call*, std::shared_ptr<release_call>> release_calls_;
    std::map<std::string, std::vector<std::string>> to_release_; // by the address of the maker
    std::uint64_t next_job_ = 0;
    bool pumping_ = false;
};

} // namespace zinnianotch
