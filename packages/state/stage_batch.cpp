#include "state/stage_batch.h"

#include <algorithm>
#include <cmath>

namespace zinnianotch
{

namespace
{

// Weight of the newest call in the moving average of an endpoint's speed.
constexpr double slowdown_weight = 0.5;
// Part of an endpoint's memory that is planned with: the size of a result is known approximately.
constexpr std::uint64_t room_used_percent = 90;
// The expected time is a mean: without a margin, jobs at the edge become late and lose their turn.
constexpr int expected_margin_percent = 115;
// A job that would be late is queued while so many rounds of calls would do all that wait.
constexpr std::size_t max_late_rounds = 2;
// Weight of the newest call in the moving average of what a call holds while others wait.
constexpr double saturation_weight = 0.2;

// Jobs that can still make their goal go first, then by priority, then by the time that is left.
// A late job must not hold up one that is still in time, or a burst makes all of them late.
bool goes_before(const stage_job& a, const stage_job& b, time_point next_done)
{
    const bool late_a = next_done > a.goal_at;
    const bool late_b = next_done > b.goal_at;
    if (late_a != late_b)
        return late_b;
    if (a.priority != b.priority)
        return a.priority < b.priority;
    return late_a ? a.deadline_at < b.deadline_at : a.goal_at < b.goal_at;
}

} // namespace

void stage_queue::set_service(const batch_spec& spec)
{
    spec_ = spec;
}

void stage_queue::set_endpoints(const std::vector<stage_endpoint>& listed)
{
    for (auto& [id, endpoint] : endpoints_)
        endpoint.listed = false;
    for (const stage_endpoint& endpoint : listed)
    {
        endpoints_[endpoint.id].listed = true;
        endpoints_[endpoint.id].domain = endpoint.domain;
    }
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
    sort_queue(now);
    for (const std::string& id : free_endpoints(queue_.front().job.inputs_domain, now))
    {
        stage_batch batch;
        batch.endpoint = id;
        fill(batch);
        if (batch.pieces == 0)
            continue; // its memory is full of results
        batch.left_pieces_waiting = !queue_.empty();
        if (batch.left_pieces_waiting)
        {
            if (saturated_batch_pieces_ == 0.0)
                saturated_batch_pieces_ = batch.pieces;
            saturated_batch_pieces_ += saturation_weight * (batch.pieces - saturated_batch_pieces_);
        }
        endpoint_state& endpoint = endpoints_[id];
        batch.expected = milliseconds(
            std::llround(static_cast<double>(call_time(batch.pieces).count()) * lowest_slowdown()));
        ++endpoint.calls_in_flight;
        endpoint.last_sent = now;
        return batch;
    }
    return std::nullopt;
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
                          milliseconds elapsed)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    endpoint_state& state = found->second;
    state.calls_in_flight -= std::min(state.calls_in_flight, 1U);
    state.failures = 0;
    const double expected = std::max(1.0, static_cast<double>(call_time(batch.pieces).count()));
    // Pieces of some stages take less than the service's figure: a fast call says nothing more.
    const double slowdown = std::max(1.0, static_cast<double>(elapsed.count()) / expected);
    state.slowdown = (1.0 - slowdown_weight) * state.slowdown + slowdown_weight * slowdown;
    if (!batch.left_pieces_waiting)
        return;
    const auto taken = static_cast<double>(elapsed.count());
    if (saturated_call_ms_ == 0.0)
        saturated_call_ms_ = taken;
    saturated_call_ms_ += saturation_weight * (taken - saturated_call_ms_);
}

void stage_queue::on_failed(const std::string& endpoint, time_point now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    endpoint_state& state = found->second;
    state.calls_in_flight -= std::min(state.calls_in_flight, 1U);
    const milliseconds pause = failure_backoff * (1U << std::min(state.failures, 6U));
    state.blocked_until = now + std::min(pause, failure_backoff_max);
    ++state.failures;
}

void stage_queue::on_result_bytes_released(const std::string& endpoint, std::uint64_t bytes)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
        found->second.held_bytes -= std::min(found->second.held_bytes, bytes);
}

milliseconds stage_queue::expected_time(const stage_job& job, time_point now) const
{
    const time_point next_done = next_call_done(now);
    std::uint32_t ahead = 0;
    for (const waiting_part& part : queue_)
    {
        if (!goes_before(job, part.job, next_done))
            ahead += part.count;
    }
    const std::size_t usable = std::max<std::size_t>(usable_endpoints(now), 1);
    const std::uint32_t filled = saturated_batch_size();
    const std::uint32_t calls = (ahead + job.pieces + filled - 1) / filled;
    const double full = saturated_call_ms();
    const double apart = full / static_cast<double>(usable); // between the starts of calls
    if (ahead == 0)
        return call_time(std::min(job.pieces, filled)) +
               milliseconds(std::llround(apart * (calls - 1)));
    // The endpoints are busy when pieces wait; the next one is free after half that time on
    // average.
    return milliseconds(std::llround(full + apart * (calls - 0.5)));
}

// Jobs in time go first, so one that is late gets its turn only when the others leave room. While
// more comes than can be done they leave none, and a late job would wait in vain for its turn.
bool stage_queue::admits(const stage_job& job, milliseconds expected, time_point now) const
{
    if (endpoints_.empty())
        return false;
    if (now + expected > job.deadline_at)
        return false;
    if (now + expected * expected_margin_percent / 100 <= job.goal_at)
        return true;
    return waiting_pieces() < max_late_rounds * saturated_batch_size() * usable_endpoints(now);
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
        earlier(endpoint.last_sent + slow_probe_interval);
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

// Pieces of a call while others wait: the batch, or less while results leave less room.
std::uint32_t stage_queue::saturated_batch_size() const
{
    const std::uint32_t batch = std::max(spec_.batch, 1U);
    if (saturated_batch_pieces_ == 0.0)
        return batch;
    return std::clamp(static_cast<std::uint32_t>(saturated_batch_pieces_), 1U, batch);
}

// Time of such a call. The figures are approximate and differ by stage, so it is measured.
double stage_queue::saturated_call_ms() const
{
    return saturated_call_ms_ > 0.0 ? saturated_call_ms_ : static_cast<double>(call_time(saturated_batch_size()).count());
}

// A part shares its call with others: the call takes as long as all that wait will make it.
time_point stage_queue::next_call_done(time_point now) const
{
    const auto most = static_cast<std::uint32_t>(
        std::min<std::size_t>(std::max(spec_.batch, 1U), waiting_pieces()));
    return now + call_time(most);
}

bool stage_queue::is_free(const endpoint_state& endpoint, time_point now) const
{
    if (endpoint.calls_in_flight >= std::max(spec_.slots, 1U) || now < endpoint.blocked_until)
        return false;
    return endpoint.slowdown < slow_threshold * lowest_slowdown() ||
           now >= endpoint.last_sent + slow_probe_interval;
}

// Speed of the fastest endpoint. The service's figures are approximate, so an endpoint is slow only
// against the others; when all are slow, none is left out.
double stage_queue::lowest_slowdown() const
{
    double best = 0.0;
    for (const auto& [id, endpoint] : endpoints_)
        best = best == 0.0 ? endpoint.slowdown : std::min(best, endpoint.slowdown);
    return std::max(best, 1.0);
}

// Free endpoints, the fastest first, then those in the domain, then the one that rested longest.
std::vector<std::string> stage_queue::free_endpoints(std::string_view domain, time_point now) const
{
    constexpr double slowdown_step = 0.25; // smaller differences of speed do not count
    std::vector<const std::pair<const std::string, endpoint_state>*> free;
    for (const auto& entry : endpoints_)
    {
        if (is_free(entry.second, now))
            free.push_back(&entry);
    }
    std::sort(free.begin(), free.end(),
              [&](const auto* a, const auto* b)
              {
                  const auto step_a = static_cast<int>(a->second.slowdown / slowdown_step);
                  const auto step_b = static_cast<int>(b->second.slowdown / slowdown_step);
                  if (step_a != step_b)
                      return step_a < step_b;
                  const bool near_a = a->second.domain == domain;
                  const bool near_b = b->second.domain == domain;
                  return near_a != near_b ? near_a : a->second.last_sent < b->second.last_sent;
              });
    std::vector<std::string> ids;
    ids.reserve(free.size());
    for (const auto* entry : free)
        ids.push_back(entry->first);
    return ids;
}

std::size_t stage_queue::usable_endpoints(time_point now) const
{
    std::size_t count = 0;
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (endpoint.slowdown < slow_threshold * lowest_slowdown() && now >= endpoint.blocked_until)
            ++count;
    }
    return count;
}

void stage_queue::sort_queue(time_point now)
{
    const time_point done = next_call_done(now);
    std::stable_sort(queue_.begin(), queue_.end(),
                     [&](const waiting_part& a, const waiting_part& b)
                     { return goes_before(a.job, b.job, done); });
}

// Pieces of the job that the call and the endpoint's memory still have room for.
std::uint32_t stage_queue::pieces_that_fit(const endpoint_state& endpoint, const stage_batch& batch,
                                    std::uint64_t taken_bytes, const stage_job& job) const
{
    const std::uint32_t slots = spec_.batch - std::min(batch.pieces, spec_.batch);
    if (spec_.result_memory_bytes == 0 || job.result_bytes == 0)
        return slots;
    const std::uint64_t room = spec_.result_memory_bytes * room_used_percent / 100;
    const std::uint64_t used = endpoint.held_bytes + taken_bytes;
    if (used == 0)
        return std::min<std::uint64_t>(slots, std::max<std::uint64_t>(room / job.result_bytes, 1));
    const std::uint64_t free = room - std::min(used, room);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(slots, free / job.result_bytes));
}

// Takes jobs in order, each as a whole if it fits. The first one is begun however large it is:
// smaller ones behind it would keep it waiting for ever. A call that would be less than half full
// takes a part of the next one too.
void stage_queue::fill(stage_batch& batch)
{
    endpoint_state& endpoint = endpoints_[batch.endpoint];
    std::uint64_t bytes = 0;
    const auto take = [&](waiting_part& part, std::uint32_t count)
    {
        batch.parts.push_back({part.job.id, part.first, count});
        batch.pieces += count;
        bytes += count * part.job.result_bytes;
        part.first += count;
        part.count -= count;
    };
    const auto take_fitting = [&](auto wanted)
    {
        for (waiting_part& part : queue_)
        {
            if (batch.pieces >= spec_.batch)
                return;
            if (part.count == 0 || !wanted(part))
                continue;
            const std::uint32_t room = pieces_that_fit(endpoint, batch, bytes, part.job);
            if (room >= part.count)
                take(part, part.count);
            else if (room > 0 && batch.pieces == 0)
                take(part, room);
        }
    };
    // Each piece reads all inputs of its job, so they should not cross failure domains.
    const waiting_part& first = queue_.front();
    take_fitting([&](const waiting_part& part) { return &part == &first; });
    take_fitting(
        [&](const waiting_part& part)
        { return part.job.inputs_domain.empty() || part.job.inputs_domain == endpoint.domain; });
    take_fitting([](const waiting_part&) { return true; });
    for (waiting_part& part : queue_)
    {
        if (batch.pieces * 100 >= spec_.batch * split_below_percent)
            break;
        const std::uint32_t room = pieces_that_fit(endpoint, batch, bytes, part.job);
        if (part.count > 0 && room > 0)
            take(part, std::min(room, part.count));
    }
    endpoint.held_bytes += bytes;
    std::erase_if(queue_, [](const waiting_part& part) { return part.count == 0; });
}

} // namespace zinnianotch
