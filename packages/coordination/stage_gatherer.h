// Runs pieces of stages: gathers them into calls, sends the calls and gives the results back.
#pragma once

#include "coordination/endpoint_directory.h"
#include "coordination/serving_call.h"
#include "state/stage_batch.h"
#include "transport/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace zinnianotch
{

// A call is given up and its pieces are queued again when it takes this many times what it should.
inline constexpr double overdue_ratio = 2.6;
inline constexpr milliseconds overdue_least{300}; // added, for the way there and back
// Results that have lapsed are looked for so often.
inline constexpr milliseconds sweep_interval{500};
// Trials of one piece, the first included.
inline constexpr std::uint32_t piece_attempts = 3;

using stage_done = std::function<void(const stage_outcome&)>;

// Results are freed together after so long; at once while pieces wait, because calls may lack room.
inline constexpr milliseconds release_interval{100};

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

    // Runs the stage; `done` is called once from the event loop unless the job is cancelled first.
    std::uint64_t submit(const stage_request& request, stage_done done, time_point now);
    void cancel(std::uint64_t job);

    // Gives results back; they are freed in one call for each endpoint.
    void release(const std::vector<std::string>& handles);

    void tick(time_point now);
    std::size_t jobs() const { return jobs_.size(); }

private:
    class batch_call;
    class release_call;

    // Pieces of one job in a call, with the memory that their results take.
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
        std::uint32_t missing = 0;
        std::uint32_t failures = 0;
        stage_done done;
    };

    // Pieces that are gathered together: those of a service, or of one of its shards.
    struct service_queue
    {
        std::string service;

        stage_queue queue;
        batch_spec spec;
    };

    void pump(const std::string& key, time_point now);
    void send(const std::string& key, stage_batch batch, time_point now);
    void on_results(batch_call& call, const std::vector<piece_result>& results, time_point now);
    void on_refused(batch_call& call, time_point now);
    void on_lost(batch_call& call, time_point now);
    void requeue(batch_call& call, time_point now);
    void put_back(const std::string& key, const batch_part& part, bool counts, time_point now);
    void fail(std::uint64_t id, piece_failure why);
    void complete(std::uint64_t id, stage_outcome outcome);
    void release_made(const job& ended);
    void flush_releases();
    // The maker has freed the results: their room may be used.
    void on_released(const std::vector<std::string>& handles, time_point now);
    void hold(const std::string& key, const std::string& endpoint, const std::string& handle,
              std::uint64_t bytes, time_point now);
    // Queue whose endpoint has room again; nothing when the result was not known.
    std::optional<std::string> give_room(const std::string& handle);
    std::shared_ptr<batch_call> forget(batch_call& call);

    boost::asio::io_context& io_;
    endpoint_directory& endpoints_;
    metrics& counters_;
    std::map<std::string, service_queue> queues_; // by queue_name
    std::map<std::uint64_t, job> jobs_;
    std::map<batch_call*, std::shared_ptr<batch_call>> calls_;
    std::map<release_call*, std::shared_ptr<release_call>> release_calls_;
    // A result that is kept at its maker.
    struct held_result
    {
        std::string queue;
        std::string endpoint;
        std::uint64_t bytes = 0;
        time_point lapses_at{};
    };

    std::map<std::string, held_result> held_;                    // by handle
    std::map<std::string, std::vector<std::string>> to_release_; // by the address of the maker
    bool release_posted_ = false;
    time_point released_at_{};
    time_point swept_at_{};
    std::uint64_t next_job_ = 0;
};

} // namespace zinnianotch
