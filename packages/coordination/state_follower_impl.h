// Template definitions of state_follower; included by the source that instantiates it.
#pragma once

#include "coordination/state_follower.h"
#include "transport/log.h"

#include <algorithm>
#include <utility>

namespace zinnianotch
{

template <typename Codec>
state_follower<Codec>::state_follower(boost::asio::io_context& io, std::string address,
                                      state_table table, const follow_timing& timing,
                                      update_handler on_update)
    : pool_(io, *parse_socket_address(address)), address_(std::move(address)), table_(table),
      timing_(timing), on_update_(std::move(on_update))
{
}

template <typename Codec>
state_follower<Codec>::~state_follower()
{
    if (in_flight_)
        connection_->cancel();
}

template <typename Codec>
void state_follower<Codec>::start(time_point now)
{
    started_ = true;
    send(now);
}

template <typename Codec>
void state_follower<Codec>::tick(time_point now)
{
    if (!started_)
        return;
    if (in_flight_ && now >= call_deadline_)
    {
        connection_->cancel();
        in_flight_ = false;
        on_call_failed("no response", now);
    }
    if (!in_flight_ && now >= next_call_at_)
        send(now);
}

template <typename Codec>
void state_follower<Codec>::resume(const store_position& position, time_point now)
{
    reading_ = true;
    responded_ = false;
    if (position != store_position())
        follow_from(position);
    if (!in_flight_)
        next_call_at_ = now;
}

template <typename Codec>
void state_follower<Codec>::call_again(time_point now)
{
    responded_ = false;
    if (in_flight_)
        connection_->cancel();
    in_flight_ = false;
    listed_records_.clear();
    next_call_at_ = now;
}

template <typename Codec>
bool state_follower<Codec>::in_sync_at(time_point now) const
{
    const time_point expected_by =
        in_flight_ ? call_deadline_ : next_call_at_ + follow_timeout_slack;
    return in_sync() && now <= expected_by;
}

template <typename Codec>
void state_follower<Codec>::follow_from(const store_position& position)
{
    position_ = std::max(position_, position);
    listing_ = false;
    loaded_ = true;
}

template <typename Codec>
void state_follower<Codec>::send(time_point now)
{
    if (!reading_)
        return;
    in_flight_ = true;
    body_.clear();
    call_position_ = position_;
    call_lists_ = listing_;
    std::string request;
    if (listing_)
    {
        const std::string from =
            listed_records_.empty() ? std::string() : listed_records_.back().name + '\0';
        request = Codec::encode_list(address_, table_, from);
        call_deadline_ = now + list_timeout;
    }
    else
    {
        // After a failure or a pause the first poll asks for the shortest wait, so that a store
        // that can be reached is detected at once.
        const milliseconds wait = in_sync() ? timing_.long_poll_wait : milliseconds(1);
        request = Codec::encode_follow(address_, table_, position_.revision, wait);
        call_deadline_ = now + wait + follow_timeout_slack;
    }
    last_call_deadline_ = call_deadline_ + response_max_extension;
    connection_ = pool_.start(std::move(request), *this, default_idle_timeout, now);
}

// A part of the response has arrived.
template <typename Codec>
void state_follower<Codec>::extend_call(time_point now)
{
    call_deadline_ =
        std::min(std::max(call_deadline_, now + follow_timeout_slack), last_call_deadline_);
}

template <typename Codec>
void state_follower<Codec>::on_head(message_head& head, body_framing, std::optional<std::uint64_t>)
{
    status_ = head.status;
    response_era_ = Codec::decode_era(head);
    extend_call(steady_clock::now());
}

template <typename Codec>
void state_follower<Codec>::on_body(std::string bytes)
{
    body_ += bytes;
    if (body_.size() <= store_response_limit)
        return extend_call(steady_clock::now());
    connection_->cancel();
    in_flight_ = false;
    body_.clear();
    on_call_failed("response too large", steady_clock::now());
}

template <typename Codec>
void state_follower<Codec>::on_end()
{
    constexpr int history_gone = 410;
    const time_point now = steady_clock::now();
    in_flight_ = false;
    if (status_ == history_gone)
    {
        log_event(log_level::warning, "store_history_gone",
                  {{"table", std::string(to_string(table_))},
                   {"revision", std::to_string(position_.revision)},
                   {"era", response_era_ ? std::to_string(*response_era_) : "unreadable"}});
        return list_again(now);
    }
    if (status_ != 200)
        return on_call_failed("status " + std::to_string(status_), now);
    if (!response_era_)
        return on_call_failed("unreadable era", now);
    const std::uint64_t era = *response_era_;
    if (era < position_.era)
        return on_call_failed("response of era " + std::to_string(era), now);
    auto page = Codec::decode_page(body_);
    if (!page)
        return on_call_failed("unreadable page", now);
    last_response_at_ = now;
    if (!in_sync() || era != call_position_.era)
        in_sync_since_ = now;
    if (failures_ > 0)
        log_event(log_level::info, "store_regained",
                  {{"table", std::string(to_string(table_))},
                   {"failures", std::to_string(failures_)},
                   {"revision", std::to_string(page->revision)},
                   {"era", std::to_string(era)}});
    failures_ = 0;
    responded_ = true;
    on_page(std::move(*page), era, now);
}

template <typename Codec>
void state_follower<Codec>::list_again(time_point now)
{
    listing_ = true;
    listed_records_.clear();
    send(now);
}

template <typename Codec>
void state_follower<Codec>::on_page(record_page page, std::uint64_t era, time_point now)
{
    const store_position position{era, page.revision};
    // The table was obtained elsewhere meanwhile; a part of a list says nothing about deletions.
    if (call_lists_ && !listing_)
        return send(now);
    if (!listing_)
    {
        // In a new era the revision of the call belongs to other changes.
        if (position.era != call_position_.era)
            return list_again(now);
        position_ = std::max(position_, position);
        const bool is_empty = page.records.empty();
        on_update_({position, std::move(page.records), false, call_position_});
        if (is_empty)
            return send(now);
        next_call_at_ = now + timing_.poll_pause;
        return;
    }
    // Following starts from the revision of the first page, so that changes made between two pages
    // are read again.
    if (listed_records_.empty())
        list_position_ = position;
    else if (position.era != list_position_.era)
        return list_again(now);
    listed_records_.insert(listed_records_.end(), page.records.begin(), page.records.end());
    if (page.has_more && !page.records.empty())
        return send(now);
    listing_ = false;
    loaded_ = true;
    position_ = list_position_;
    on_update_({list_position_, std::exchange(listed_records_, {}), true, {}});
    next_call_at_ = now + timing_.poll_pause;
}

template <typename Codec>
void state_follower<Codec>::on_failure(upstream_failure failure)
{
    in_flight_ = false;
    on_call_failed(std::string(to_string(failure)), steady_clock::now());
}

template <typename Codec>
void state_follower<Codec>::on_call_failed(const std::string& why, time_point now)
{
    if (failures_ == 0)
        log_event(log_level::warning, "store_lost",
                  {{"table", std::string(to_string(table_))},
                   {"why", why},
                   {"revision", std::to_string(position_.revision)}});
    listed_records_.clear();
    ++failures_;
    failed_at_ = now;
    schedule_retry();
}

template <typename Codec>
void state_follower<Codec>::schedule_retry()
{
    const milliseconds delay = retry_delays_.first * (1U << std::min(failures_ - 1, 5U));
    next_call_at_ = failed_at_ + std::min(delay, retry_delays_.max);
}

template <typename Codec>
void state_follower<Codec>::set_retry_delays(const retry_delays& delays)
{
    if (delays == retry_delays_)
        return;
    retry_delays_ = delays;
    if (failures_ > 0 && !in_flight_)
        schedule_retry();
}

} // namespace zinnianotch
