// Responses of endpoints, as edge::exchange passes them on to the client.
#pragma once

#include "coordination/edge_exchange_impl.h"

#include <utility>

namespace zinnianotch
{

// A response with another request's id is a late one to an earlier request on this connection.
template <typename Codec>
bool edge<Codec>::exchange::matches_request(const message_head& head)
{
    const endpoint_answer metadata = Codec::decode_answer(head);
    if (metadata.attempt.empty() || metadata.attempt == call_.attempt)
        return true;
    owner_.counters_.count("answers_of_other_requests_total");
    log_event(log_level::warning, "answer_of_other_request",
              {{"request", call_.attempt},
               {"answered", metadata.attempt},
               {"endpoint", endpoint_->record.id}});
    return false;
}

template <typename Codec>
typename edge<Codec>::exchange::disposition
edge<Codec>::exchange::choose_disposition(const message_head& head,
                                          const endpoint_answer& metadata) const
{
    constexpr int input_gone_status = 409;
    constexpr int deadline_status = 504;
    if (metadata.not_run && head.status == input_gone_status && !stages_rerun_ && !stages_.empty())
        return disposition::rerun;
    if (metadata.not_run && head.status != 400)
        return disposition::retry;
    if (head_sent_)
        return head.status == 200 ? disposition::forward : disposition::retry;
    if (head.status >= 500 && head.status != deadline_status && is_repeatable(*route_) &&
        attempts_ < route_->attempts)
        return disposition::retry;
    if (edge_detail::promises_not_run(head.status) && !metadata.not_run)
        return disposition::replace_status;
    return is_event_stream() ? disposition::forward : disposition::buffer;
}

// True while the current response consists of events; errors of a streaming route do not.
template <typename Codec>
bool edge<Codec>::exchange::is_event_stream() const
{
    return route_->kind == call_kind::streaming && status_ == 200;
}

// True if the stream that has just ended was broken off: within an event, or before the first one
// where only the end of the connection marks its end, as when the endpoint crashes.
template <typename Codec>
bool edge<Codec>::exchange::ends_too_early() const
{
    if (!is_event_stream() || call_.method == "HEAD")
        return false;
    return events_.has_incomplete_event() ||
           (framing_ == body_framing::until_close && events_.events() == events_before_attempt_);
}

template <typename Codec>
void edge<Codec>::exchange::on_head(message_head& head, body_framing framing,
                                    std::optional<std::uint64_t>)
{
    const time_point now = steady_clock::now();
    const endpoint_answer metadata = Codec::decode_answer(head);
    // The responses before it on this connection had ids, so it may be a late copy of one of them.
    if (metadata.attempt.empty() && upstream_->is_reused())
        return retry_after_break("response without id", now);
    progress_at_ = now;
    head_at_ = now;
    answering_since_ = now;
    status_ = head.status;
    not_run_ = metadata.not_run;
    framing_ = framing;
    owner_.endpoints_.on_reached(*endpoint_);
    owner_.on_endpoint_notice(*endpoint_, metadata, sent_at_, now);
    may_have_run_ = may_have_run_ || !metadata.not_run;
    if (metadata.load)
        on_load(*metadata.load, now);
    if (metadata.cold_for)
        endpoint_->health.set_cold_until(now + *metadata.cold_for);
    disposition_ = choose_disposition(head, metadata);
    if (!metadata.not_run)
        owner_.crashing_requests_.on_alive({endpoint_->record.id, endpoint_->record.started_at},
                                           sent_at_, now);
    if (metadata.not_run)
        endpoint_->health.on_full(now);
    else
        endpoint_->health.on_outcome(head.status < 500, now);
    // A copy of a response without an id could not be told from the response to the next request,
    // and one of a refusal not from the response to this request when it is sent again.
    if (metadata.attempt.empty() || disposition_ == disposition::rerun)
        upstream_->disable_reuse();
    discarded_bytes_ = 0;
    if (discards_response())
        return;
    reason_phrase_ = head.reason_phrase;
    if (!head_sent_)
        response_fields_ = std::move(head.fields);
    if (disposition_ == disposition::buffer)
    {
        if (work_id_ != 0 && work_.has_prompt() && status_ == 200)
            endpoint_->backlog.on_begun(work_id_);
        return;
    }
    record_first_byte(now);
    if (first_byte_at_ == time_point{})
    {
        first_byte_at_ = now;
        owner_.first_byte_times_[service_name_].record(
            std::chrono::duration_cast<milliseconds>(now - sent_at_));
        owner_.route_first_byte_times_[route_->name].record(
            std::chrono::duration_cast<milliseconds>(now - sent_at_));
    }
    // An endpoint that begins to respond has already read its inputs.
    release_results();
}

template <typename Codec>
void edge<Codec>::exchange::on_body(std::string bytes)
{
    const time_point now = steady_clock::now();
    const auto keep = this->shared_from_this(); // passing bytes on may end the exchange
    owner_.endpoints_.on_reached(*endpoint_);
    const auto count_partial = [&]
    {
        if (!closed_ && owner_.memory_->ledger.is_bounded())
            held_partial_response_.set(buffered_body_.size() + events_.incomplete_bytes(), now);
    };
    switch (disposition_)
    {
    case disposition::forward:
        // Only complete events are progress of a stream: an endpoint that has stalled may still
        // send a byte now and then.
        if (!is_event_stream())
        {
            progress_at_ = now;
            count_first_byte(now);
        }
        forward_body(std::move(bytes));
        return count_partial();
    case disposition::buffer:
        if (!has_failed_status())
            count_first_byte(now);
        buffered_body_ += bytes;
        if (buffered_body_.size() > buffered_response_limit)
        {
            // Too large to buffer: the rest is passed on as it arrives.
            disposition_ = disposition::forward;
            send_head(std::nullopt);
            send_body(std::exchange(buffered_body_, {}));
        }
        return count_partial();
    case disposition::retry:
    case disposition::rerun:
    case disposition::replace_status:
        discarded_bytes_ += bytes.size();
        if (discarded_bytes_ <= discarded_body_limit)
            return;
        end_rollout_attempt(has_failed_status(), now);
        drop_upstream();
        return on_discarded_end(now);
    }
}

// Passes on only complete events of a streaming response, and other responses unchanged.
template <typename Codec>
void edge<Codec>::exchange::forward_body(std::string bytes)
{
    if (!is_event_stream())
        return send_body(std::move(bytes));
    const bool has_begun = events_.events() > events_before_attempt_;
    std::string complete = events_.feed(bytes);
    if (events_.has_gap())
    {
        end_rollout_attempt(true, steady_clock::now());
        drop_upstream();
        return abort_client("event ids skipped in the stream", steady_clock::now());
    }
    if (complete.empty())
    {
        if (events_.incomplete_bytes() > event_bytes_limit)
            retry_after_break("event without end", steady_clock::now());
        return;
    }
    progress_at_ = steady_clock::now();
    if (!has_begun && events_.events() > events_before_attempt_)
        answering_since_ = progress_at_;
    count_first_byte(progress_at_);
    if (is_moving_)
        cancel_move(progress_at_);
    if (is_past_crash(progress(), answering_for(progress_at_)))
        record_sound(progress_at_);
    if (!head_sent_)
        send_head(std::nullopt);
    send_body(std::move(complete));
}

template <typename Codec>
void edge<Codec>::exchange::send_head(std::optional<std::uint64_t> length)
{
    const bool has_body = call_.method != "HEAD" && status_ != 204 && status_ != 304;
    std::string head = "HTTP/1.1 " + std::to_string(status_) + " " + reason_phrase_ + "\r\n";
    for (const header_field& field : response_fields_)
    {
        if (is_hop_by_hop_field(field.name) || equals_ignore_case(field.name, "Content-Length"))
            continue;
        head += field.name + ": " + field.value + "\r\n";
    }
    if (length)
        head += "Content-Length: " + std::to_string(*length) + "\r\n";
    else if (has_body && chunked_allowed_)
    {
        chunked_ = true;
        head += "Transfer-Encoding: chunked\r\n";
    }
    else if (has_body)
        close_delimited_ = true;
    if (closes_connection() || close_delimited_ || !keep_alive_)
    {
        keep_alive_ = false;
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    head_sent_ = true;
    sent_event_stream_ = is_event_stream();
    client_->send(std::move(head));
}

template <typename Codec>
void edge<Codec>::exchange::send_body(std::string bytes)
{
    if (bytes.empty())
        return;
    if (chunked_)
    {
        std::array<char, 24> size{};
        (void)std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        bytes = size.data() + bytes + "\r\n";
    }
    client_->send(std::move(bytes));
    if (is_paused_ || client_->unsent_bytes() <= read_ahead_limit() || !upstream_)
        return;
    is_paused_ = true;
    read_on_at_ = steady_clock::now() + read_on_interval;
    upstream_->set_paused(true);
    client_->on_writable = [self = this->weak_from_this()]
    {
        if (const auto alive = self.lock(); alive && alive->is_paused_)
            alive->resume_reading();
    };
}

// Bytes that may wait for the client before reading the response pauses.
template <typename Codec>
std::size_t edge<Codec>::exchange::read_ahead_limit() const
{
    return static_cast<std::size_t>(owner_.memory_->ledger.read_ahead_limit(unsent_bytes_limit));
}

template <typename Codec>
void edge<Codec>::exchange::resume_reading()
{
    is_paused_ = false;
    if (upstream_)
        upstream_->set_paused(false);
}

// Reads on once the client has read enough, and piece by piece before that while there is memory.
template <typename Codec>
void edge<Codec>::exchange::update_reading(time_point now)
{
    const held_memory& held = owner_.memory_->ledger;
    if (!is_paused_ || !upstream_ || !held.is_bounded())
        return;
    if (client_->unsent_bytes() <= read_ahead_limit() / 2)
        return resume_reading();
    if (now < read_on_at_)
        return;
    const auto interval = held.read_on();
    if (!interval)
        return;
    read_on_at_ = now + *interval;
    upstream_->read_once();
}

template <typename Codec>
void edge<Codec>::exchange::on_end()
{
    const time_point now = steady_clock::now();
    upstream_.reset();
    if (disposition_ == disposition::buffer)
        record_plain_time(now);
    leave_endpoint();
    if (discards_response())
    {
        end_rollout_attempt(has_failed_status(), now);
        return on_discarded_end(now);
    }
    finish_response(now);
}

// The endpoint has exited: after a complete response, or in the middle of one.
template <typename Codec>
void edge<Codec>::exchange::on_unconfirmed_end()
{
    const time_point now = steady_clock::now();
    upstream_.reset();
    leave_endpoint();
    const bool follows_break = now - endpoint_->broken_at < crash_spread;
    endpoint_->on_exchange_broken(now);
    if (discards_response())
    {
        end_rollout_attempt(has_failed_status(), now);
        return on_discarded_end(now);
    }
    if (ends_too_early())
        return on_broken(upstream_failure::broken_in_answer, now);
    if (is_moving_)
        cancel_move(now);
    unconfirmed_end_ = {now, follows_break, endpoint_->broken_exchanges};
    judge_unconfirmed_end(now);
}

// Finishes or retries the request once it is known whether its endpoint has crashed.
template <typename Codec>
void edge<Codec>::exchange::judge_unconfirmed_end(time_point now)
{
    const unconfirmed_end& end = *unconfirmed_end_;
    endpoint_exit known;
    known.ended_at = end.at;
    known.announced_at = endpoint_->announced_at;
    known.withdrawn_at = endpoint_->withdrawn_at;
    known.replaced = endpoint_->replaced;
    known.is_list_current =
        owner_.is_current(state_table::endpoints, now) && !owner_.may_have_lapsed(now);
    known.others_broke = end.follows_break || endpoint_->broken_exchanges != end.broken_exchanges;
    const response_end judged = judge_response_end(known, now);
    if (judged == response_end::undecided)
        return;
    const auto since = [&](const std::optional<time_point>& at)
    {
        if (!at)
            return std::string("-");
        return edge_detail::milliseconds_text(std::chrono::duration_cast<milliseconds>(now - *at));
    };
    log_event(log_level::info, "endpoint_exited",
              {{"request", call_.attempt},
               {"endpoint", endpoint_->record.id},
               {"response", std::string(to_string(judged))},
               {"ended_ms", since(known.ended_at)},
               {"announced_ms", since(known.announced_at)},
               {"withdrawn_ms", since(known.withdrawn_at)},
               {"list_current", known.is_list_current ? "true" : "false"},
               {"others_broke", known.others_broke ? "true" : "false"}});
    unconfirmed_end_.reset();
    if (judged == response_end::complete)
        return finish_response(now);
    on_broken(upstream_failure::broken_in_answer, now);
}

// Continues after a response that is not passed on, whose body has ended or is not read further.
template <typename Codec>
void edge<Codec>::exchange::on_discarded_end(time_point now)
{
    switch (disposition_)
    {
    case disposition::forward:
    case disposition::buffer:
        return;
    case disposition::rerun:
        return rerun_stages(now);
    case disposition::replace_status:
        return fail(reason::endpoint_error, verdict::may_have_run,
                    "endpoint responded with status " + std::to_string(status_), now);
    case disposition::retry:
        tried_.insert(endpoint_->record.id);
        silent_.erase(endpoint_->record.id);
        retry_or_fail(reason::endpoint_overloaded,
                      may_have_run_ ? verdict::may_have_run : verdict::not_run, now);
        return;
    }
}

template <typename Codec>
void edge<Codec>::exchange::finish_response(time_point now)
{
    if (disposition_ == disposition::buffer)
    {
        const bool has_length = status_ != 204 && status_ != 304 && call_.method != "HEAD";
        send_head(has_length ? std::optional<std::uint64_t>(buffered_body_.size()) : std::nullopt);
        client_->send(std::move(buffered_body_));
    }
    else
    {
        if (ends_too_early())
        {
            record_break(upstream_failure::broken_in_answer, now);
            return retry_after_break("stream ended too early", now);
        }
        if (!head_sent_)
            send_head(std::nullopt);
        send_body(events_.take_incomplete_event());
        if (chunked_)
            client_->send("0\r\n\r\n");
    }
    client_->end(keep_alive_ && !close_delimited_);
    record_work(now);
    if (!has_failed_status())
        count_first_byte(now); // of a response without a body
    end_rollout_attempt(has_failed_status(), now);
    if (status_ == 200)
        record_sound(now);
    else
        record_answer(now);
    owner_.counters_.count("answers_total");
    if (status_ / 100 == 2)
    {
        response_estimate& times = owner_.response_times_[route_->name];
        times.total.record(elapsed(now));
        times.after_stages.record(std::chrono::duration_cast<milliseconds>(now - stages_done_at_));
    }
    close("answered", status_, now);
}

} // namespace zinnianotch
