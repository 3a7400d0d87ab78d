// Definitions of state_follower, for the source that instantiates it.
#pragma once

#include "coordination/state_follower.h"
#include "transport/log.h"

#include <algorithm>

namespace zinnianotch
{

template <typename Codec>
state_follower<Codec>::state_follower(boost::asio::io_context& io, std::string address,
                                      state_table table, const follow_pace& pace, apply on_records)
    : pool_(io, *parse_endpoint(address)), address_(std::move(address)), table_(table), pace_(pace),
      on_records_(std::move(on_records))
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
    if (in_flight_ && now >= expires_)
    {
        connection_->cancel();
        in_flight_ = false;
        lost("no answer", now);
    }
    if (!in_flight_ && now >= due_)
        send(now);
}

template <typename Codec>
void state_follower<Codec>::adopt(std::uint64_t revision)
{
    revision_ = std::max(revision_, revision);
    listing_ = false;
    loaded_ = true;
}

template <typename Codec>
void state_follower<Codec>::send(time_point now)
{
    in_flight_ = true;
    body_.clear();
    std::string text;
    if (listing_)
    {
        const std::string from = listed_.empty() ? std::string() : listed_.back().name + '\0';
        text = Codec::encode_list(address_, table_, from);
        expires_ = now + list_timeout;
    }
    else
    {
        // After a failure the first call asks for no wait, so that a regained store shows at once.
        const milliseconds wait = failures_ > 0 ? milliseconds(1) : pace_.wait;
        text = Codec::encode_follow(address_, table_, revision_, wait);
        expires_ = now + wait + follow_slack;
    }
    connection_ = pool_.start(std::move(text), *this, idle_default, now);
}

template <typename Codec>
void state_follower<Codec>::on_head(message_head& head, body_framing, std::optional<std::uint64_t>)
{
    status_ = head.status;
}

template <typename Codec>
void state_follower<Codec>::on_end()
{
    constexpr int history_gone = 410;
    const time_point now = steady_clock::now();
    in_flight_ = false;
    if (status_ == history_gone)
    {
        log_event(
            log_level::warning, "store_history_gone",
            {{"table", std::string(to_string(table_))}, {"revision", std::to_string(revision_)}});
        listing_ = true;
        listed_.clear();
        return send(now);
    }
    const auto page = status_ == 200 ? Codec::decode_page(body_) : std::nullopt;
    if (!page)
        return lost("status " + std::to_string(status_), now);
    answered_at_ = now;
    if (failures_ > 0 && loaded_)
        regained_at_ = now;
    if (failures_ > 0)
        log_event(log_level::info, "store_regained",
                  {{"table", std::string(to_string(table_))},
                   {"failures", std::to_string(failures_)},
                   {"revision", std::to_string(page->revision)}});
    failures_ = 0;
    on_page(*page, now);
}

template <typename Codec>
void state_follower<Codec>::on_page(const record_page& page, time_point now)
{
    if (!listing_)
    {
        revision_ = std::max(revision_, page.revision);
        if (page.records.empty())
            return send(now);
        on_records_(page.records, false);
        due_ = now + pace_.pause;
        return;
    }
    // Changes between two pages are read again afterwards, so the first page's revision counts.
    if (listed_.empty())
        list_revision_ = page.revision;
    listed_.insert(listed_.end(), page.records.begin(), page.records.end());
    if (page.has_more && !page.records.empty())
        return send(now);
    listing_ = false;
    loaded_ = true;
    revision_ = list_revision_;
    const std::vector<state_record> records = std::move(listed_);
    listed_.clear();
    on_records_(records, true);
    due_ = now + pace_.pause;
}

template <typename Codec>
void state_follower<Codec>::on_failure(upstream_failure failure)
{
    in_flight_ = false;
    lost(std::string(to_string(failure)), steady_clock::now());
}

template <typename Codec>
void state_follower<Codec>::lost(const std::string& why, time_point now)
{
    if (failures_ == 0)
        log_event(log_level::warning, "store_lost",
                  {{"table", std::string(to_string(table_))},
                   {"why", why},
                   {"revision", std::to_string(revision_)}});
    listed_.clear();
    const milliseconds pause = retry_pause * (1U << std::min(failures_, 4U));
    due_ = now + std::min(pause, retry_pause_most);
    ++failures_;
}

} // namespace zinnianotch
