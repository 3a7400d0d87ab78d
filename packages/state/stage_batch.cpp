#include "state/stage_batch.h"

#include <algorithm>
#include <cmath>

namespace zinnianotch
{

namespace
{

// Weight of the newest call in the moving average of an endpoint's speed.
constexpr double ratio_weight = 0.5;

} // namespace

void stage_queue::set_service(const batch_spec& spec)
{
    spec_ = spec;
}

void stage_queue::set_endpoints(const std::vector<std::string>& ids)
{
    for (auto& [id, endpoint] : endpoints_)
        endpoint.listed = false;
    for (const std::string& id : ids)
        endpoints_[id].listed = true;
    std::erase_if(endpoints_, [](const auto& entry) { return !entry.second.listed; });
}

void stage_queue::add(const stage_job& job)
{
    queue_.push_back({job, 0, job.pieces});
}

void stage_queue::remove(std::uint64_t job)
{
    std::erase_if(queue_, [&](const waiting_part& part) { return part.job.id == job; });
}

void stage_queue::put_back(const stage_job& job, const batch_part& part)
{
    queue_.push_back({job, part.first, part.count});
}

// Chooses what to send now. An idle endpoint never waits for more pieces: the time that it would
// stand idle is lost, and the queue fills by itself while all endpoints work.
std::optional<stage_batch> stage_queue::next(time_point now)
{
    if (queue_.empty())
        return std::nullopt;
    stage_batch batch;
    batch.endpoint = free_endpoint(now);
    if (batch.endpoint.empty())
        return std::nullopt;
    sort_queue(now);
    std::vector<waiting_part> rest;
    take_whole(rest, batch);
    take_split(rest, batch);
    queue_ = std::move(rest);
    batch.expected = call_time(batch.pieces);
    endpoint_state& endpoint = endpoints_[batch.endpoint];
    ++endpoint.calls;
    endpoint.last_sent = now;
    return batch;
}

std::vector<std::uint64_t> stage_queue::take_expired(time_point now)
{
    std::vector<std::uint64_t> expired;
    for (const waiting_part& part : queue_)
    {
        if (now + call_time(part.count) > part.job.deadline_at)
            expired.push_back(part.job.id);
    }
    for (const std::uint64_t job : expired)
        remove(job);
    return expired;
}

void stage_queue::on_done(const std::string& endpoint, const stage_batch& batch,
                          milliseconds elapsed, time_point now)
{
    (void)now;
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    endpoint_state& state = found->second;
    state.calls -= std::min(state.calls, 1U);
    state.failures = 0;
    const double expected = std::max(1.0, static_cast<double>(batch.expected.count()));
    // Pieces of some stages take less than the service's figure: a fast call says nothing more.
    const double ratio = std::max(1.0, static_cast<double>(elapsed.count()) / expected);
    state.ratio = (1.0 - ratio_weight) * state.ratio + ratio_weight * ratio;
}

void stage_queue::on_failed(const std::string& endpoint, time_point now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    endpoint_state& state = found->second;
    state.calls -= std::min(state.calls, 1U);
    const milliseconds pause = failure_pause * (1U << std::min(state.failures, 6U));
    state.blocked_until = now + std::min(pause, failure_pause_most);
    ++state.failures;
}

milliseconds stage_queue::expected_time(std::uint32_t pieces, std::uint32_t priority,
                                        time_point now) const
{
    const std::size_t usable = std::max<std::size_t>(usable_endpoints(now), 1);
    std::uint32_t ahead = 0;
    for (const waiting_part& part : queue_)
    {
        if (part.job.priority <= priority)
            ahead += part.count;
    }
    const std::uint32_t batch = std::max(spec_.batch, 1U);
    const std::uint32_t calls = (ahead + pieces + batch - 1) / batch;
    const double rounds = std::ceil(static_cast<double>(calls) / static_cast<double>(usable));
    const milliseconds full = call_time(batch);
    if (ahead == 0)
        return call_time(std::min(pieces, batch)) + full * static_cast<int>(rounds - 1);
    // The endpoints are busy when pieces wait; on average they are halfway through their calls.
    return full / 2 + full * static_cast<int>(rounds);
}

std::optional<time_point> stage_queue::wake_at(time_point now) const
{
    std::optional<time_point> at;
    if (queue_.empty())
        return at;
    const auto earlier = [&](time_point candidate)
    {
        if (candidate > now && (!at || candidate < *at))
            at = candidate;
    };
    for (const auto& [id, endpoint] : endpoints_)
    {
        earlier(endpoint.blocked_until);
        earlier(endpoint.last_sent + slow_probe_pause);
    }
    for (const waiting_part& part : queue_)
        earlier(part.job.deadline_at - call_time(part.count) + milliseconds(1));
    return at;
}

std::size_t stage_queue::waiting_pieces() const
{
    std::size_t pieces = 0;
    for (const waiting_part& part : queue_)
        pieces += part.count;
    return pieces;
}

milliseconds stage_queue::call_time(std::uint32_t pieces) const
{
    return spec_.call_time + milliseconds(std::lround(spec_.piece_time_ms * pieces));
}

bool stage_queue::is_free(const endpoint_state& endpoint, time_point now) const
{
    if (endpoint.calls >= std::max(spec_.slots, 1U) || now < endpoint.blocked_until)
        return false;
    return endpoint.ratio < slow_ratio || now >= endpoint.last_sent + slow_probe_pause;
}

// The fastest endpoint that is free, the one that rested longest among equals.
std::string stage_queue::free_endpoint(time_point now) const
{
    const endpoint_state* best = nullptr;
    std::string best_id;
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (!is_free(endpoint, now))
            continue;
        const bool better = best == nullptr || endpoint.ratio + 0.2 < best->ratio ||
                            (endpoint.ratio < best->ratio + 0.2 &&
                             endpoint.last_sent < best->last_sent);
        if (!better)
            continue;
        best = &endpoint;
        best_id = id;
    }
    return best_id;
}

std::size_t stage_queue::usable_endpoints(time_point now) const
{
    std::size_t count = 0;
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (endpoint.ratio < slow_ratio && now >= endpoint.blocked_until)
            ++count;
    }
    return count;
}

// Jobs that can still make their goal go first, then by priority, then by the time that is left.
// A late job must not hold up one that is still in time, or a burst makes all of them late.
void stage_queue::sort_queue(time_point now)
{
    const auto is_late = [&](const waiting_part& part)
    { return now + call_time(part.count) > part.job.goal_at; };
    std::stable_sort(queue_.begin(), queue_.end(),
                     [&](const waiting_part& a, const waiting_part& b)
                     {
                         const bool late_a = is_late(a);
                         const bool late_b = is_late(b);
                         if (late_a != late_b)
                             return late_b;
                         if (a.job.priority != b.job.priority)
                             return a.job.priority < b.job.priority;
                         return late_a ? a.job.deadline_at < b.job.deadline_at
                                       : a.job.goal_at < b.job.goal_at;
                     });
}

// Takes the parts that fit as a whole, in order; the others stay in `rest`. The first one is always
// begun, however large it is: smaller ones behind it would keep it waiting for ever.
void stage_queue::take_whole(std::vector<waiting_part>& rest, stage_batch& batch)
{
    for (waiting_part& part : queue_)
    {
        if (batch.pieces == 0 && part.count > spec_.batch)
        {
            batch.parts.push_back({part.job.id, part.first, spec_.batch});
            batch.pieces = spec_.batch;
            part.first += spec_.batch;
            part.count -= spec_.batch;
        }
        if (batch.pieces + part.count > spec_.batch)
        {
            rest.push_back(std::move(part));
            continue;
        }
        batch.parts.push_back({part.job.id, part.first, part.count});
        batch.pieces += part.count;
    }
}

// Fills a call that is less than half full with a part of the first job that did not fit.
void stage_queue::take_split(std::vector<waiting_part>& rest, stage_batch& batch) const
{
    if (rest.empty() || batch.pieces * 100 >= spec_.batch * split_below_percent)
        return;
    waiting_part& part = rest.front();
    const std::uint32_t count = std::min(spec_.batch - batch.pieces, part.count);
    batch.parts.push_back({part.job.id, part.first, count});
    batch.pieces += count;
    part.first += count;
    part.count -= count;
    if (part.count == 0)
        rest.erase(rest.begin());
}

} // namespace zinnianotch
