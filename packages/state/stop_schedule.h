// Planned stop of a VM: which new requests it still serves, and when the others end.
//
// The load balancer sends requests for a while after the VM has reported that it is not ready, and
// for longer when too few VMs of the failure domain are ready. A request that is served but not
// completed before the process is killed is lost to its caller, so one that might not be is refused
// at once, while its caller has time to send it to another VM.
#pragma once

#include "state/time.h"

#include <optional>

namespace zinnianotch
{

// Time after which the load balancer no longer sends requests to a VM that is not ready: it probes
// readiness once per second and removes a VM after two failed probes.
inline constexpr milliseconds balancer_detection_time{2500};
// Part of the grace period that is reserved for ending the requests still in flight.
inline constexpr milliseconds stop_reserve{400};
// Part of it that is left when the process exits, whether or not all responses have been written.
inline constexpr milliseconds exit_reserve{150};

class stop_schedule
{
public:
    // `grace` is the time from the stop signal at `began` until the process is killed.
    stop_schedule(time_point began, milliseconds grace) : began_(began), grace_(grace) {}

    time_point began() const { return began_; }
    // True while the load balancer regularly sends requests to this VM.
    bool in_rotation(time_point now) const { return now - began_ < balancer_detection_time; }
    // Requests in flight at this time are ended with an error.
    time_point requests_end_at() const { return began_ + grace_ - stop_reserve; }
    time_point exit_at() const { return began_ + grace_ - exit_reserve; }

    // True if a request probably ends before the requests in flight are ended. `limit` is the time
    // until its deadline, `expected` an estimate of the time that it still takes.
    bool completes(milliseconds limit, std::optional<milliseconds> expected, time_point now) const;
    // True if a new request is to be served: while the VM is in rotation one that probably
    // completes, after that only one that ends by its own deadline.
    bool accepts(milliseconds limit, std::optional<milliseconds> expected, time_point now) const;

private:
    time_point began_;
    milliseconds grace_;
};

} // namespace zinnianotch
