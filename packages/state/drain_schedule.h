// Phases of a planned stop of the product's own interface.
#pragma once

#include "state/time.h"

#include <cstddef>
#include <string_view>

namespace zinnianotch
{

// A phase ends once nothing has been in flight for this long, so that requests already in transit
// when the last one ended are still answered.
inline constexpr milliseconds drain_idle_time{300};
// Longest closing phase: a request that is being read, or a response that is being written, ends
// within the timeouts of the server.
inline constexpr milliseconds drain_close_timeout{10000};

enum class drain_phase
{
    accepting, // new requests are served
    refusing,  // new requests are refused; those accepted before are completed
    closing,   // no new connections; the refusals in progress are completed
    ended
};

std::string_view to_string(drain_phase value);

struct drain_load
{
    std::size_t requests = 0; // requests that are received, served or answered
    std::size_t accepted = 0; // of these, the ones that are served, not refused
    std::size_t calls = 0;    // at endpoints, and stage calls of other VMs
};

class drain_schedule
{
public:
    // `grace`: time from the signal that the load balancer needs to stop using this VM; `accept`:
    // longest time after it for which new requests are served.
    drain_schedule(time_point signal, milliseconds grace, milliseconds accept);

    // Ends the grace period now.
    void skip_grace(time_point now);

    // Phase at `now`, from the load at this moment. To be called periodically.
    drain_phase update(const drain_load& load, time_point now);

private:
    void enter(drain_phase next, time_point now);

    milliseconds accept_;
    time_point grace_end_;
    drain_phase phase_ = drain_phase::accepting;
    time_point phase_began_;
    time_point idle_since_;
};

} // namespace zinnianotch
