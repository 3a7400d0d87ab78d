// One request of a caller on its way through the edge: stages, placement, answer, retries.
#pragma once

#include "coordination/edge.h"
#include "state/event_stream.h"
#include "transport/log.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace zinnianotch
{

// An answer of a plain service up to this size is passed on only when it is whole, so that a broken
// one can be retried or reported.
inline constexpr std::size_t held_answer_limit = 64 * 1024;
// A kept connection that was idle for longer may have been closed by its server a moment ago; a
// request that must not run twice then ends as "may have run".
inline constexpr milliseconds unrepeatable_max_idle{1200};
// Trials of connections that fail before anything is sent.
inline constexpr std::uint32_t connect_attempts = 4;
// A request for which no endpoint is free waits for so long, then it is refused.
inline constexpr milliseconds placement_wait{250};
// An endpoint that has not begun a repeatable answer by then is given up for another one.
inline constexpr milliseconds plain_patience{900};
inline constexpr milliseconds stream_patience{2500};
// A resumable stream without an event for so long goes on at another endpoint.
inline constexpr milliseconds event_patience{1200};
// Results of this size, as often as they are read, are worth an endpoint in the failure domain that
// holds them.
inline constexpr std::uint64_t large_results = 200'000;
// Time to the first event of a service that has not served any yet.
inline constexpr double first_byte_default_ms = 200.0;
inline constexpr double first_byte_weight = 0.1;
// Share of a stage's expected time that is kept for waiting in its queue.
inline constexpr double queue_allowance = 1.25;
// A stage that failed counts as one that took so long.
inline constexpr milliseconds failed_stage_time{3000};
inline constexpr milliseconds retry_after_least{100};
inline constexpr milliseconds retry_after_most{2000};
// Of a VM that has not read the desired state yet.
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
    // The stop's grace is over.
    void cut(time_point now);

    // upstream_response_handler
    bool matches_request(const message_head& head) override;
    void on_head(message_head& head, body_framing framing,
                 std::optional<std::uint64_t> length) override;
    void on_body(std::string bytes) override;
    void on_end() override;
    void on_failure(upstream_failure failure) override;

private:
    // What becomes of the answer in hand.
    enum class disposition
    {
        forward,     // passed on as it arrives
        hold,        // passed on when it is whole
        retry,       // dropped; the endpoint has not run the request, or it may run again
        remake,      // dropped; an input was gone, the stages run again
        hide_refusal // dropped; a status that would promise "not run" although it may have run
    };

    struct stage_progress
    {
        std::uint32_t pieces = 0;
        bool submitted = false;
        bool done = false;
        std::uint64_t job = 0;
        time_point submitted_at{};
        std::string queue;    // that gathers it
        bool in_time = false; // it could still make the goal when it was submitted
        std::vector<std::string> handles;
    };

    bool admit(time_point now);
    const std::string& choose_service() const;
    void start_stages(time_point now);
    void submit_ready(time_point now);
    void submit_stage(std::size_t index, time_point now);
    void on_stage(std::size_t index, const stage_outcome& outcome);
    bool stages_done() const;
    milliseconds time_after(std::size_t index, time_point now) const;
    milliseconds stage_time(std::size_t index, time_point now) const;
    milliseconds usual_stage_time(std::size_t index) const;
    std::string choose_stage_shard(std::size_t index, const std::string& inputs_domain,
                                   time_point now) const;
    std::vector<std::string> inputs_of(const std::vector<std::uint32_t>& stages) const;
    std::vector<std::uint32_t> last_stages() const;
    void remake_stages(time_point now);
    void release_results();
    void release_used(std::size_t index);

    void place(time_point now);
    std::string results_domain(const std::vector<std::uint32_t>& stages,
                               std::uint32_t readers) const;
    void send(endpoint_ptr endpoint, time_point now);
    bool may_repeat(time_point now);
    void retry_or_fail(reason why, verdict outcome, time_point now);
    void drop_upstream();

    disposition judge(const message_head& head, const endpoint_answer& answer) const;
    void send_head(std::optional<std::uint64_t> length);
    void send_body(std::string bytes);
    void pass_events(std::string bytes);
    void finish_answer(time_point now);

    void refuse(reason why, std::string_view detail, milliseconds retry_after, time_point now);
    void fail(reason why, verdict outcome, std::string_view detail, time_point now);
    void answer_error(int status, reason why, verdict outcome,
                      std::optional<milliseconds> retry_after);
    void abort_client(std::string_view why, time_point now);
    void on_client_left();
    void close(std::string_view outcome, int status, time_point now);

    std::uint32_t priority() const;
    milliseconds elapsed(time_point now) const
    {
        return std::chrono::duration_cast<milliseconds>(now - received_);
    }
    milliseconds left(time_point now) const
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
    bool remade_ = false;
    time_point stages_done_at_{};

    endpoint_ptr endpoint_;
    std::shared_ptr<upstream_connection> upstream_;
    std::set<std::string> tried_;
    std::uint32_t attempts_ = 0;
    std::uint32_t connect_failures_ = 0;
    bool waiting_for_endpoint_ = false;
    time_point waiting_since_{};
    time_point sent_at_{};
    time_point progress_at_{};
    bool ever_ran_ = false; // an endpoint may have run it

    disposition disposition_ = disposition::forward;
    int status_ = 0;
    std::vector<header_field> answer_fields_;
    std::string phrase_;
    std::string held_;
    bool head_sent_ = false;
    bool chunked_ = false;
    bool until_close_ = false;
    event_stream events_;
    time_point first_byte_at_{};
    std::string inputs_domain_; // that holds large inputs, as of the last placement
    bool closed_ = false;
};

} // namespace zinnianotch
