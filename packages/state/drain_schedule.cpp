#include "state/drain_schedule.h"

#include "state/enum_names.h"

#include <algorithm>
#include <array>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 4> phase_names = {"accepting", "refusing", "closing",
                                                         "ended"};

} // namespace

std::string_view to_string(drain_phase value)
{
    return name_of(phase_names, value);
}

drain_schedule::drain_schedule(time_point signal, milliseconds grace, milliseconds accept)
    : accept_(accept), grace_end_(signal + grace), phase_began_(signal), idle_since_(signal)
{
}

void drain_schedule::skip_grace(time_point now)
{
    grace_end_ = std::min(grace_end_, now);
}

drain_phase drain_schedule::update(const drain_load& load, time_point now)
{
    const std::size_t requests = phase_ == drain_phase::refusing ? load.accepted : load.requests;
    if (requests + load.calls > 0)
        idle_since_ = now;
    const bool is_idle = now - idle_since_ >= drain_idle_time;
    switch (phase_)
    {
    case drain_phase::accepting:
        if (now >= grace_end_ && is_idle)
            enter(drain_phase::ended, now);
        else if (now >= grace_end_ + accept_)
            enter(drain_phase::refusing, now);
        break;
    case drain_phase::refusing:
        if (is_idle)
            enter(drain_phase::closing, now);
        break;
    case drain_phase::closing:
        if (is_idle || now - phase_began_ >= drain_close_timeout)
            enter(drain_phase::ended, now);
        break;
    case drain_phase::ended:
        break;
    }
    return phase_;
}

void drain_schedule::enter(drain_phase next, time_point now)
{
    phase_ = next;
    phase_began_ = now;
    idle_since_ = now;
}

} // namespace zinnianotch
