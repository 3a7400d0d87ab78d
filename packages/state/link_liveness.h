// Decides when one end of a connection between two VMs has to show that it works, and when the
// other end counts as lost.
//
// An end judges the other one by what it receives. What it sends must therefore depend on what it
// has sent alone: an end that hears a lot may still be silent for the other one.
#pragma once

#include "state/time.h"

namespace zinnianotch
{

// Time without sent data after which the end that made the connection sends a ping, and the one
// that accepted it. The second is longer, so that on an idle connection the pings of one end and
// the answers of the other suffice.
inline constexpr milliseconds link_ping_interval{350};
inline constexpr milliseconds link_accepted_ping_interval{450};
// Time without received data after which the connection is closed: a frozen or disconnected peer is
// detected within about a second.
inline constexpr milliseconds link_idle_timeout{1000};

enum class link_action
{
    none,
    send_ping,
    close
};

class link_liveness
{
public:
    link_liveness(milliseconds ping_interval, time_point now)
        : ping_interval_(ping_interval), received_at_(now), sent_at_(now)
    {
    }

    void on_received(time_point now) { received_at_ = now; }
    void on_sent(time_point now) { sent_at_ = now; }
    time_point received_at() const { return received_at_; }

    link_action next_action(time_point now) const
    {
        if (now - received_at_ > link_idle_timeout)
            return link_action::close;
        return now - sent_at_ >= ping_interval_ ? link_action::send_ping : link_action::none;
    }

private:
    milliseconds ping_interval_;
    time_point received_at_;
    time_point sent_at_;
};

} // namespace zinnianotch
