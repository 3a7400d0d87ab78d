// State machine of one client request: stages, endpoint selection, response and retries.
#pragma once

#include "coordination/edge.h"
#include "state/chain_admission.h"
#include "state/endpoint_exit.h"
#include "state/event_stream.h"
#include "transport/log.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace zinnianotch
{

// A non-streaming response up to this size is buffered until it is complete, so that a truncated
// one can be retried or reported as an error.
inline constexpr std::size_t buffered_response_limit = 64 * 1024;
// Maximum idle time of a pooled connection for a request that must not run twice. The server may
// just have closed a connection that was idle for longer; the request would then fail with
// may_have_run.
inline constexpr milliseconds unrepeatable_max_idle{1200};
// Number of failed connection attempts (nothing was sent) after which a request is refused.
inline constexpr std::uint32_t connect_failure_limit = 4;
// Maximum time that a request waits for an available endpoint before it is refused.
inline constexpr milliseconds placement_timeout{250};
// A repeatable request without progress for this long moves to another endpoint that can take it,
// if nothing of the response was passed on yet. The second value is for streaming routes.
inline constexpr milliseconds plain_progress_timeout{900};
inline constexpr milliseconds first_event_timeout{2500};
// The same for a resumable stream that has begun. Sound endpoints pause for a second or so.
inline constexpr milliseconds next_event_timeout{2500};
// Time between two attempts to move a request away from a silent endpoint.
inline constexpr milliseconds move_retry_interval{500};
// Further time that a request stays with a silent endpoint that takes no new requests.
inline constexpr milliseconds leaving_endpoint_allowance{1000};
// Receive buffer of a connection to an endpoint on a VM whose memory is known, where what has
// arrived counts as well. A larger one also opens again only after more has been read.
inline constexpr int endpoint_receive_buffer_bytes = 32 * 1024;
// Request bodies from this size on may take an endpoint a while to read.
inline constexpr std::size_t slow_body_bytes = 16 * 1024;
// A buffered response to a repeatable request that is not complete this long after its head is
// requested from another endpoint. Bytes that arrive now and then do not extend it.
inline constexpr milliseconds buffered_body_timeout{1800};
// The body of a response that is discarded is read for at most this long and this many bytes.
inline constexpr milliseconds discarded_body_timeout{500};
inline constexpr std::size_t discarded_body_limit = 64 * 1024;
// Largest event of a stream. An endpoint that sends more bytes without the end of an event is
// broken.
inline constexpr std::size_t event_bytes_limit = 256 * 1024;
// Stage results of at least this many bytes, counted once per reader, make the failure domain that
// holds them the preferred one for their readers.
inline constexpr std::uint64_t large_results_bytes = 200'000;
// Time to first byte assumed for a service that has not responded yet.
inline constexpr milliseconds first_byte_default{200};
// Factor on a stage's nominal run time that allows for queueing.
inline constexpr double queueing_factor = 1.25;
// Duration recorded for a failed stage, which steers later requests away from its queue.
inline constexpr milliseconds failed_stage_time{3000};
inline constexpr milliseconds retry_after_min{100};
inline constexpr milliseconds retry_after_max{2000};
// Largest Retry-After of a request that is held because endpoints crash under it.
inline constexpr milliseconds retry_after_held_max{30'000};
// The digest of an answered request with a larger body is computed only if its route is under
// suspicion.
inline constexpr std::size_t eager_digest_limit = 16 * 1024;
// Retry-After of a VM that has not read the desired state yet.
inline constexpr milliseconds retry_after_not_ready{500};

template <typename Codec>
class edge<Codec>::exchange : public upstream_response_handler,
                              public std::enable_shared_from_this<exchange>
{
public:
    exchange(edge& owner, std::shared_ptr<server_connection> client, client_call call,
             bool keep_alive, bool chunked_allowed, time_point received);

    void begin(time_point now);
    void tick(time_point now);
    // Ends the request with an error because the grace period of the shutdown is over.
    void end_on_stop(time_point now);

    // upstream_response_handler
    bool matches_request(const message_head& head) override;
    void on_head(message_head& head, body_framing framing,
                 std::optional<std::uint64_t> length) override;
    void on_body(std::string bytes) override;
    void on_end() override;
    void on_failure(upstream_failure failure) override;
    void on_unconfirmed_end() override;

private:
    // What is done with the current response of the endpoint.
    enum class disposition
    {
        forward,       // passed on as it arrives
        buffer,        // passed on when it is complete
        retry,         // discarded; the request has not run or may run again, and is retried
        rerun,         // discarded; an input was gone, so the stages run again
        replace_status // discarded; its status would wrongly tell the client "not run"
    };

    struct stage_progress
    {
        std::uint32_t pieces = 0;
        bool submitted = false;
        bool done = false;
        std::uint64_t job = 0;
        time_point submitted_at{};
        std::string queue;    // the queue it was submitted to
        bool in_time = false; // the response-time goal was still reachable at submission
        std::vector<std::string> handles;
    };

    // The end of a response whose endpoint has exited.
    struct unconfirmed_end
    {
        time_point at{};
        bool follows_break = false;         // another exchange broke right before
        std::uint64_t broken_exchanges = 0; // of the endpoint so far
    };

    bool admit(time_point now);
    bool is_generation() const { return service_ != nullptr && service_->generates; }
    std::optional<milliseconds> expected_time() const;
    std::optional<milliseconds> expected_time_after_stages() const;
    bool ends_before_stop(time_point now) const;
    // True if the VM stops and no further request on this connection awaits its response.
    bool closes_connection() const { return owner_.stop_ && !client_->has_unparsed_bytes(); }
    const std::string& choose_service() const;
    void start_stages(time_point now);
    void submit_ready(time_point now);
    void submit_stage(std::size_t index, time_point now);
    void on_stage_outcome(std::size_t index, const stage_outcome& outcome);
    bool stages_done() const;
    bool is_contended() const;
    bool admit_chain(time_point now);
    bool shares_accounts(std::size_t index) const;
    std::uint64_t own_account_key() const;
    std::string first_choice_queue(std::size_t index, time_point now) const;
    void mark_share(time_point now);
    void count_chain_refusal(time_point now);
    chain_estimate estimate_stage(std::size_t index, time_point now) const;
    // From the end of the stage to the first byte of the response.
    chain_estimate estimate_after(std::size_t index, time_point now) const;
    milliseconds first_byte_time() const;
    milliseconds goal() const { return route_->goal.count() > 0 ? route_->goal : route_->timeout; }
    milliseconds time_after(std::size_t index, time_point now) const;
    milliseconds expected_stage_time(std::size_t index, time_point now) const;
    milliseconds nominal_stage_time(std::size_t index) const;
    std::string choose_stage_shard(std::size_t index, const std::string& preferred_domain,
                                   time_point now) const;
    std::string preferred_stage_domain(std::size_t index) const;
    std::vector<std::string> inputs_of(const std::vector<std::uint32_t>& stages) const;
    std::vector<std::uint32_t> last_stages() const;
    void rerun_stages(time_point now);
    void release_results();
    void count_unused_results(bool client_left);
    void release_consumed_results(std::size_t index);

    endpoint_ptr acquire(placement_request& request, time_point now);
    endpoint_ptr acquire_fallback(placement_request& request, time_point now);
    endpoint_ptr acquire_last_resort(placement_request& request, time_point now);
    endpoint_ptr acquire_from(rollout_pool other, placement_request& request, time_point now);
    void choose_pool(placement_request& request, time_point now);
    void begin_rollout_attempt(time_point now);
    void count_first_byte(time_point now);
    void end_rollout_attempt(bool has_failed, time_point now);

    void place(time_point now);
    placement_request make_placement(time_point now);
    bool bounds_endpoint_memory() const;
    void move_from_silent_endpoint(time_point now);
    bool may_complete_move(time_point now);
    void complete_move(time_point now);
    void cancel_move(time_point now);
    bool may_return_to_silent_endpoint() const;
    bool holds_inputs() const;
    std::map<std::string, std::uint64_t>
    result_bytes_by_domain(const std::vector<std::uint32_t>& stages) const;
    void count_result_bytes(const std::vector<std::uint32_t>& stages, const std::string& domain,
                            std::uint64_t readers);
    void count_stage_result_bytes(std::size_t index);
    std::string results_domain(const std::vector<std::uint32_t>& stages,
                               std::uint32_t readers) const;
    endpoint_ptr acquire_endpoint(const placement_request& request, time_point now);
    void send(endpoint_ptr endpoint, time_point now);
    void begin_work(time_point now);
    void leave_endpoint();
    void on_load(const endpoint_load_report& load, time_point now);
    void record_first_byte(time_point now);
    void record_plain_time(time_point now);
    void record_work(time_point now);
    std::string placement_text() const;
    std::string account_name() const;
    std::string share_text() const;
    void share_sample(pace_sample_kind kind, double value);
    bool may_retry(time_point now) const;
    void retry_or_fail(reason why, verdict outcome, time_point now);
    void retry_after_silence(time_point now);
    bool has_left_sound_endpoint() const;
    void reset_response();
    void drop_upstream();

    disposition choose_disposition(const message_head& head, const endpoint_answer& metadata) const;
    bool is_event_stream() const;
    bool ends_too_early() const;
    void send_head(std::optional<std::uint64_t> length);
    void send_body(std::string bytes);
    std::size_t read_ahead_limit() const;
    void update_reading(time_point now);
    void resume_reading();
    bool is_request_being_read(time_point now);
    void count_request_bytes(time_point now);
    void yield_request();
    void forward_body(std::string bytes);
    void finish_response(time_point now);
    bool discards_response() const
    {
        return disposition_ != disposition::forward && disposition_ != disposition::buffer;
    }
    // True if the endpoint has run the request and reported an error of its own.
    bool has_failed_status() const
    {
        return status_ >= 500 && disposition_ != disposition::rerun && !not_run_;
    }
    void on_discarded_end(time_point now);
    void judge_unconfirmed_end(time_point now);
    void on_broken(upstream_failure failure, time_point now);
    milliseconds progress_timeout() const;
    void retry_after_break(std::string_view why, time_point now);
    void record_break(upstream_failure failure, time_point now);
    answer_progress progress() const;
    // Time since the first event of the current attempt, or since its head before that.
    milliseconds answering_for(time_point now) const;
    void record_sound(time_point now);
    std::optional<held_request> find_hold(time_point now);
    bool is_held(time_point now);
    const std::string& digest();
    std::optional<milliseconds> find_request_hold(time_point now);
    bool is_request_held(time_point now);
    void record_request_probe(time_point now);
    void record_request_break(time_point now);
    void record_answer(time_point now);
    void log_upstream_failure(std::string_view why, time_point now) const;
    void abandon_attempt(time_point now);
    void start_next_attempt(time_point now);

    void refuse(reason why, std::string_view detail, milliseconds retry_after, time_point now);
    void fail(reason why, verdict outcome, std::string_view detail, time_point now);
    void send_error_response(int status, reason why, verdict outcome,
                             std::optional<milliseconds> retry_after);
    void abort_client(std::string_view why, time_point now);
    void on_client_disconnected();
    void close(std::string_view outcome, int status, time_point now);

    std::uint32_t priority() const;
    // Rank among the jobs of stages.
    std::uint32_t stage_priority(std::size_t index) const;
    milliseconds elapsed(time_point now) const
    {
        return std::chrono::duration_cast<milliseconds>(now - received_);
    }
    milliseconds remaining(time_point now) const
    {
        return std::chrono::duration_cast<milliseconds>(deadline_ - now);
    }

    edge& owner_;
    std::shared_ptr<server_connection> client_;
    client_call call_;
    bool keep_alive_;
    bool chunked_allowed_;
    time_point received_;
    time_point deadline_{};
    std::shared_ptr<const serving_state> state_;
    const route_spec* route_ = nullptr;
    const client_account* account_ = nullptr;
    const service_spec* service_ = nullptr;
    std::string service_name_;

    std::vector<stage_progress> stages_;
    std::string home_domain_; // of the engine that caches the prompt prefix; else empty
    bool stages_rerun_ = false;
    double account_share_ = 1.0; // see account_share
    bool is_above_share_ = false;
    time_point stages_done_at_{};

    endpoint_ptr endpoint_;
    std::shared_ptr<upstream_connection> upstream_;
    std::set<std::string> tried_;  // endpoints that failed or refused the request
    std::set<std::string> silent_; // endpoints that it left only because they were silent
    bool is_moving_ = false;       // stages run again while the silent endpoint has the request
    time_point move_retry_at_{};
    std::uint32_t attempts_ = 0;
    std::uint32_t connect_failures_ = 0;
    std::uint32_t crashed_engines_ = 0; // that broke while they had this request
    bool waiting_for_endpoint_ = false;
    bool waiting_for_retry_ = false; // for the retry budget
    time_point waiting_since_{};
    time_point sent_at_{};
    time_point progress_at_{};
    time_point head_at_{};                    // of the current attempt, set if status_ is
    time_point answering_since_{};            // as well: its first event, or the head before it
    std::uint64_t events_before_attempt_ = 0; // events of earlier attempts
    bool sound_recorded_ = false;             // in the current attempt
    bool may_have_run_ = false;               // an endpoint may have run the request

    disposition disposition_ = disposition::forward;
    int status_ = 0;
    bool not_run_ = false; // says the response
    std::vector<header_field> response_fields_;
    std::string reason_phrase_;
    std::string buffered_body_;
    std::size_t discarded_bytes_ = 0;
    bool head_sent_ = false;
    bool sent_event_stream_ = false; // the head that was sent began a stream
    bool chunked_ = false;
    bool close_delimited_ = false;
    event_stream events_;
    body_framing framing_ = body_framing::none;
    bool is_paused_ = false; // reading, until the client has read more
    time_point read_on_at_{};
    std::size_t unread_request_bytes_ = 0; // of a large body, at the last check
    held_bytes held_request_;
    held_bytes held_partial_response_;
    std::optional<unconfirmed_end> unconfirmed_end_;
    time_point first_byte_at_{};
    // At the last placement: failure domain that holds large inputs, and affinity.
    std::string inputs_domain_;
    std::string affinity_;
    std::string digest_; // empty until it is needed
    // Work of the current attempt at an endpoint of a service whose pace is observed.
    request_work work_;
    timed_choice choice_;
    std::uint64_t work_id_ = 0;        // in the endpoint's backlog; 0: none
    double unread_before_ = 0.0;       // own prompt tokens that the endpoint had to read first
    double reported_pace_ = 1.0;       // with the head of the response
    std::optional<rollout_pool> pool_; // chosen for the next attempt
    rollout_ticket ticket_;            // of the attempt in progress
    bool closed_ = false;
};

} // namespace zinnianotch
