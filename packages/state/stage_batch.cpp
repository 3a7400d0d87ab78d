#include "state/stage_batch.h"

#include <algorithm>
#include <cmath>

namespace zinnianotch
{

namespace
{

// Weight of the newest call in the moving average of an endpoint's slowdown.
constexpr double slowdown_weight = 0.5;
// Usable percentage of an endpoint's result memory; result sizes are known only approximately.
constexpr std::uint64_t result_memory_used_percent = 90;
// Safety margin on the expected time, which is a mean: without it, jobs admitted with little slack
// become late and fall behind all jobs that are still on time.
constexpr int expected_margin_percent = 115;
// Safety margin on the time in which spare capacity finishes a late job.
constexpr double spare_margin = 1.3;
// Weight of the newest call in the moving averages of calls under saturation.
constexpr double saturation_weight = 0.2;

// Orders jobs that can still meet their goal first, then by priority, then those within the share
// of their account, then by earliest goal, or by earliest deadline among late jobs. If late jobs
// delayed jobs that are still on time, a burst would make all of them late.
bool is_scheduled_before(const stage_job& a, const stage_job& b, time_point next_done)
{
    const bool late_a = next_done > a.goal_at;
    const bool late_b = next_done > b.goal_at;
    if (late_a != late_b)
        return late_b;
    if (a.priority != b.priority)
        return a.priority < b.priority;
    if (!late_a && a.is_above_share != b.is_above_share)
        return b.is_above_share;
    return late_a ? a.deadline_at < b.deadline_at : a.goal_at < b.goal_at;
}

bool is_expected_by(time_point latest, milliseconds expected, time_point now)
{
    return now + expected * expected_margin_percent / 100 <= latest;
}

} // namespace

void stage_queue::set_service(const batch_spec& spec)
{
    spec_ = spec;
    next_expiry_at_ = time_point::min(); // depends on the call times
}

void stage_queue::set_endpoints(const std::vector<stage_endpoint>& listed)
{
    for (auto& [id, endpoint] : endpoints_)
        endpoint.listed = false;
    for (const stage_endpoint& endpoint : listed)
    {
        endpoint_state& state = endpoints_[endpoint.id];
        if (state.domain != endpoint.domain)
            domains_.forget(state.domain, endpoint.id);
        state.listed = true;
        state.domain = endpoint.domain;
    }
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (!endpoint.listed)
            domains_.forget(endpoint.domain, id);
    }
    std::erase_if(endpoints_, [](const auto& entry) { return !entry.second.listed; });
    endpoints_by_domain_.clear();
    for (const auto& [id, endpoint] : endpoints_)
        ++endpoints_by_domain_[endpoint.domain];
}

void stage_queue::add(const stage_job& job, milliseconds expected, time_point now)
{
    if (is_expected_by(job.goal_at, expected, now))
    {
        on_time_.add(job.pieces, now);
        if (reserving_)
            added_.try_emplace(priority_level(job), priority_rate_window)
                .first->second.add(job.pieces, now);
        if (reserving_ && sharing_ && !job.is_above_share)
            added_within_share_.try_emplace(priority_level(job), priority_rate_window)
                .first->second.add(job.pieces, now);
    }
    enqueue({job, 0, job.pieces, now});
}

void stage_queue::enqueue(const waiting_part& part)
{
    queue_.push_back(part);
    waiting_pieces_ += part.count;
    next_expiry_at_ = std::min(next_expiry_at_, part.job.deadline_at - call_time(part.count));
}

void stage_queue::remove(std::uint64_t job)
{
    std::erase_if(queue_,
                  [&](const waiting_part& part)
                  {
                      const bool removed = part.job.id == job;
                      waiting_pieces_ -= removed ? part.count : 0;
                      return removed;
                  });
}

std::uint32_t stage_queue::waiting_pieces(std::uint64_t job) const
{
    std::uint32_t waiting = 0;
    for (const waiting_part& part : queue_)
        waiting += part.job.id == job ? part.count : 0;
    return waiting;
}

void stage_queue::requeue(const stage_job& job, const batch_part& part)
{
    // Not delayed again: its time is short.
    enqueue({job, part.first, part.count, time_point{}});
}

// An idle endpoint is never held back to collect a larger batch: its idle time would be lost, and
// batches grow by themselves while all endpoints are busy.
std::optional<stage_batch> stage_queue::next(time_point now, const endpoint_filter& may_use)
{
    if (queue_.empty())
        return std::nullopt;
    const std::vector<std::string> free = free_endpoints(may_use, now);
    if (free.empty())
        return std::nullopt;
    sort_queue(now);
    if (reserving_)
        promote_starved(now);
    update_locality(now);
    std::set<std::string> full; // without free result memory
    while (const auto start = choose_start(free, full, now))
    {
        stage_batch batch;
        batch.endpoint = start->endpoint;
        fill(batch, start->first, now);
        if (batch.pieces == 0)
        {
            full.insert(batch.endpoint);
            continue;
        }
        endpoint_state& endpoint = endpoints_[batch.endpoint];
        const bool is_probe = domains_.is_unreachable(endpoint.domain);
        // The size of a probe says nothing about calls under saturation.
        batch.left_pieces_waiting = !queue_.empty() && !is_probe;
        if (batch.left_pieces_waiting)
        {
            if (saturated_batch_pieces_ == 0.0)
                saturated_batch_pieces_ = batch.pieces;
            saturated_batch_pieces_ += saturation_weight * (batch.pieces - saturated_batch_pieces_);
        }
        batch.expected = milliseconds(std::llround(
            static_cast<double>(call_time(batch.pieces).count()) * lowest_slowdown({})));
        ++endpoint.calls_in_flight;
        endpoint.last_sent = now;
        if (is_probe)
            domains_.on_probe(endpoint.domain, batch.endpoint, now);
        return batch;
    }
    return std::nullopt;
}

std::vector<std::uint64_t> stage_queue::take_expired(time_point now)
{
    std::vector<std::uint64_t> expired;
    if (now <= next_expiry_at_)
        return expired;
    next_expiry_at_ = time_point::max();
    for (const waiting_part& part : queue_)
    {
        const time_point expires_at = part.job.deadline_at - call_time(part.count);
        if (now > expires_at)
            expired.push_back(part.job.id);
        else
            next_expiry_at_ = std::min(next_expiry_at_, expires_at);
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
    domains_.on_success(state.domain);
    record_time(state, batch, elapsed);
}

void stage_queue::on_overdue(const std::string& endpoint, const stage_batch& batch,
                             milliseconds elapsed)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
        record_time(found->second, batch, elapsed);
}

void stage_queue::record_time(endpoint_state& endpoint, const stage_batch& batch,
                              milliseconds elapsed)
{
    const double expected = std::max(1.0, static_cast<double>(call_time(batch.pieces).count()));
    // Pieces of some stages take less than the service's configured time, so a call faster than
    // expected does not show a faster endpoint.
    const double slowdown = std::max(1.0, static_cast<double>(elapsed.count()) / expected);
    endpoint.slowdown = (1.0 - slowdown_weight) * endpoint.slowdown + slowdown_weight * slowdown;
    if (!batch.left_pieces_waiting)
        return;
    const auto elapsed_ms = static_cast<double>(elapsed.count());
    if (saturated_call_ms_ == 0.0)
        saturated_call_ms_ = elapsed_ms;
    saturated_call_ms_ += saturation_weight * (elapsed_ms - saturated_call_ms_);
}

void stage_queue::on_failed(const std::string& endpoint, time_point now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    endpoint_state& state = found->second;
    state.calls_in_flight -= std::min(state.calls_in_flight, 1U);
    const milliseconds backoff = failure_backoff * (1U << std::min(state.failures, 6U));
    state.blocked_until = now + std::min(backoff, failure_backoff_max);
    ++state.failures;
    domains_.on_failure(state.domain, endpoint);
}

void stage_queue::on_answered(const std::string& endpoint)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
        domains_.on_success(found->second.domain);
}

void stage_queue::on_call_dropped(const std::string& endpoint)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    found->second.calls_in_flight -= std::min(found->second.calls_in_flight, 1U);
    domains_.on_dropped(found->second.domain, endpoint);
}

void stage_queue::pause_endpoint(const std::string& endpoint, time_point until)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
        found->second.paused_until = std::max(found->second.paused_until, until);
}

void stage_queue::throttle_endpoint(const std::string& endpoint, time_point until)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
        found->second.throttled_until = until;
}

void stage_queue::on_memory_full(const std::string& endpoint, time_point now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    endpoint_state& state = found->second;
    state.foreign_bytes = usable_memory() - std::min(state.held_bytes, usable_memory());
    state.foreign_at = now;
    // Sizes are approximate or unknown: without a pause, pieces could be sent again without end.
    state.blocked_until = std::max(state.blocked_until, now + memory_full_pause);
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
    // 64 bits, because a request's number of pieces may be any 32-bit number.
    std::uint64_t ahead = 0;
    for (const waiting_part& part : queue_)
    {
        if (!is_scheduled_before(job, part.job, next_done))
            ahead += part.count;
    }
    return time_behind(
        ahead, job.pieces,
        reserving_ ? reserve_factor(priority_level(job), job.is_above_share, now) : 1.0, now);
}

milliseconds stage_queue::time_behind(std::uint64_t ahead, std::uint32_t pieces, double factor,
                                      time_point now) const
{
    const std::size_t usable = std::max<std::size_t>(usable_endpoints(now), 1);
    const std::uint32_t batch_size = saturated_batch_size();
    const std::uint64_t calls = (ahead + pieces + batch_size - 1) / batch_size;
    const double call_ms = saturated_call_ms();
    const double own_call_ms = reserving_ ? short_call_ms(pieces) : call_ms;
    const double start_interval_ms = call_ms / static_cast<double>(usable); // between call starts
    if (reserving_ && !queue_.empty())
        return milliseconds(
            std::llround(own_call_ms + start_interval_ms * static_cast<double>(calls) * factor));
    if (ahead == 0)
        return call_time(std::min(pieces, batch_size)) +
               milliseconds(std::llround(start_interval_ms * static_cast<double>(calls - 1)));
    // All endpoints are busy if pieces wait; the next one becomes free after half the interval
    // between call starts on average.
    const double waiting_ms = start_interval_ms * (static_cast<double>(calls) - 0.5);
    return milliseconds(std::llround(own_call_ms + waiting_ms * factor));
}

// On-time jobs are scheduled first, so a late job runs only on spare capacity. Under sustained
// overload there is none, and an admitted late job would wait until its deadline expires.
bool stage_queue::admits(const stage_job& job, milliseconds expected, time_point now) const
{
    if (endpoints_.empty())
        return false;
    if (now + expected > job.deadline_at)
        return false;
    if (is_expected_by(job.goal_at, expected, now))
        return true;
    if (reserving_ && job.is_continuation)
        return true;
    return waiting_pieces() < max_late_rounds * saturated_batch_size() * usable_endpoints(now) ||
           spare_capacity_finishes(job, now);
}

double stage_queue::capacity(time_point now) const
{
    return static_cast<double>(usable_endpoints(now) * saturated_batch_size()) * 1000.0 /
           saturated_call_ms();
}

bool stage_queue::spare_capacity_finishes(const stage_job& job, time_point now) const
{
    const double call_seconds = saturated_call_ms() / 1000.0;
    const double spare = capacity(now) - on_time_.per_second(now);
    if (spare <= 0.0)
        return false;
    const double seconds =
        spare_margin * (static_cast<double>(waiting_pieces() + job.pieces) / spare) + call_seconds;
    return seconds <= std::chrono::duration<double>(job.deadline_at - now).count();
}

milliseconds stage_queue::call_time(std::uint32_t pieces) const
{
    return spec_.call_time + milliseconds(std::lround(spec_.piece_time_ms * pieces));
}

// Average pieces per call under saturation: the batch limit, or less if result memory is short.
std::uint32_t stage_queue::saturated_batch_size() const
{
    const std::uint32_t batch = std::max(spec_.batch, 1U);
    if (saturated_batch_pieces_ == 0.0)
        return batch;
    return std::clamp(static_cast<std::uint32_t>(saturated_batch_pieces_), 1U, batch);
}

// Duration of such a call, measured because the configured times are approximate and vary by stage.
double stage_queue::saturated_call_ms() const
{
    // A service may be configured without call times.
    return std::max(1.0, saturated_call_ms_ > 0.0
                             ? saturated_call_ms_
                             : static_cast<double>(call_time(saturated_batch_size()).count()));
}

// A part shares its call with others, so the estimate covers all waiting pieces up to a full batch,
// unless calls are kept short for near goals.
time_point stage_queue::next_call_done(time_point now) const
{
    if (reserving_)
        return now + milliseconds(std::llround(short_call_ms(1)));
    const auto pieces = static_cast<std::uint32_t>(
        std::min<std::size_t>(std::max(spec_.batch, 1U), waiting_pieces()));
    return now + call_time(pieces);
}

bool stage_queue::is_slow(const endpoint_state& endpoint, double lowest) const
{
    return endpoint.slowdown >= slow_threshold * lowest;
}

bool stage_queue::is_free(const endpoint_state& endpoint, double lowest, time_point now) const
{
    if (endpoint.calls_in_flight >= std::max(spec_.slots, 1U) ||
        now < std::max({endpoint.blocked_until, endpoint.paused_until, endpoint.throttled_until}))
        return false;
    if (domains_.is_unreachable(endpoint.domain))
        return domains_.may_probe(endpoint.domain, now);
    return !is_slow(endpoint, lowest) || now >= endpoint.last_sent + slow_probe_interval;
}

// Slowdown of the fastest endpoint. The configured call times are approximate, so an endpoint
// counts as slow only relative to the others that may be used; if all are slow, none is excluded.
double stage_queue::lowest_slowdown(const endpoint_filter& may_use) const
{
    double best = 0.0;
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (!may_use || may_use(id))
            best = best == 0.0 ? endpoint.slowdown : std::min(best, endpoint.slowdown);
    }
    return std::max(best, 1.0);
}

// Free endpoints that may be used, ordered by speed, then least recently used. Those of unreachable
// domains are last.
std::vector<std::string> stage_queue::free_endpoints(const endpoint_filter& may_use,
                                                     time_point now) const
{
    constexpr double slowdown_step = 0.25; // smaller differences in speed are ignored
    const double lowest = lowest_slowdown(may_use);
    std::vector<const std::pair<const std::string, endpoint_state>*> free;
    for (const auto& entry : endpoints_)
    {
        if ((!may_use || may_use(entry.first)) && is_free(entry.second, lowest, now))
            free.push_back(&entry);
    }
    std::sort(free.begin(), free.end(),
              [&](const auto* a, const auto* b)
              {
                  const bool unreachable_a = domains_.is_unreachable(a->second.domain);
                  if (unreachable_a != domains_.is_unreachable(b->second.domain))
                      return !unreachable_a;
                  const auto step_a = static_cast<int>(a->second.slowdown / slowdown_step);
                  const auto step_b = static_cast<int>(b->second.slowdown / slowdown_step);
                  return step_a != step_b ? step_a < step_b
                                          : a->second.last_sent < b->second.last_sent;
              });
    std::vector<std::string> ids;
    ids.reserve(free.size());
    for (const auto* entry : free)
        ids.push_back(entry->first);
    return ids;
}

std::size_t stage_queue::usable_endpoints(time_point now) const
{
    const double lowest = lowest_slowdown({});
    std::size_t count = 0;
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (!is_slow(endpoint, lowest) && !domains_.is_unreachable(endpoint.domain) &&
            now >=
                std::max({endpoint.blocked_until, endpoint.paused_until, endpoint.throttled_until}))
            ++count;
    }
    return count;
}

void stage_queue::sort_queue(time_point now)
{
    const time_point done = next_call_done(now);
    const auto before = [&](const waiting_part& a, const waiting_part& b)
    { return is_scheduled_before(a.job, b.job, done); };
    if (!std::is_sorted(queue_.begin(), queue_.end(), before))
        std::stable_sort(queue_.begin(), queue_.end(), before);
}

std::uint64_t stage_queue::usable_memory() const
{
    return spec_.result_memory_bytes * result_memory_used_percent / 100;
}

// Assumes that the results end evenly over their lifetime.
std::uint64_t stage_queue::foreign_bytes(const endpoint_state& endpoint, time_point now) const
{
    const std::chrono::duration<double> age = now - endpoint.foreign_at;
    const std::chrono::duration<double> lifetime = spec_.result_lifetime;
    if (endpoint.foreign_bytes == 0 || age >= lifetime)
        return 0;
    return static_cast<std::uint64_t>(static_cast<double>(endpoint.foreign_bytes) *
                                      (1.0 - age / lifetime));
}

// Number of the job's pieces that still fit into the call and into the endpoint's result memory.
std::uint32_t stage_queue::pieces_that_fit(const endpoint_state& endpoint, const stage_batch& batch,
                                           std::uint64_t batch_bytes, const stage_job& job,
                                           time_point now) const
{
    const std::uint32_t batch_space = spec_.batch - std::min(batch.pieces, spec_.batch);
    if (spec_.result_memory_bytes == 0 || job.result_bytes == 0)
        return batch_space;
    const std::uint64_t capacity = usable_memory();
    const std::uint64_t used = endpoint.held_bytes + foreign_bytes(endpoint, now) + batch_bytes;
    if (used == 0)
        return std::min<std::uint64_t>(batch_space,
                                       std::max<std::uint64_t>(capacity / job.result_bytes, 1));
    const std::uint64_t free = capacity - std::min(used, capacity);
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(batch_space, free / job.result_bytes));
}

// Adds the part at `first`, then jobs in queue order, each as a whole if it fits. The first one may
// be split, or smaller jobs behind it would starve it. A call filled below split_below_percent also
// takes parts of jobs that do not fit as a whole.
void stage_queue::fill(stage_batch& batch, std::size_t first, time_point now)
{
    endpoint_state& endpoint = endpoints_[batch.endpoint];
    const bool takes_one_job = domains_.is_unreachable(endpoint.domain);
    std::uint64_t batch_bytes = 0;
    std::uint32_t limit = spec_.batch;
    const auto add_part = [&](waiting_part& part, std::uint32_t count)
    {
        limit = std::min(limit, pieces_by_goal(part, now));
        if (reserving_)
            sent_.try_emplace(priority_level(part.job), priority_rate_window)
                .first->second.add(count, now);
        batch.parts.push_back({part.job.id, part.first, count});
        batch.pieces += count;
        batch_bytes += count * part.job.result_bytes;
        part.first += count;
        part.count -= count;
    };
    const auto add_if_fitting = [&](waiting_part& part)
    {
        if (part.count == 0 || batch.pieces >= limit || (takes_one_job && batch.pieces > 0))
            return;
        if (batch.pieces > 0 &&
            batch.pieces + part.count > std::min(limit, pieces_by_goal(part, now)))
            return;
        const std::uint32_t fitting = pieces_that_fit(endpoint, batch, batch_bytes, part.job, now);
        if (fitting >= part.count)
            add_part(part, part.count);
        else if (fitting > 0 && batch.pieces == 0)
            add_part(part, fitting);
    };
    const auto may_run_here = [&](const waiting_part& part)
    { return part.job.preferred_domain == endpoint.domain || part.may_leave_domain; };
    // Jobs that prefer this domain, or none, come before those that prefer another one.
    add_if_fitting(queue_[first]);
    for (waiting_part& part : queue_)
    {
        if (part.job.preferred_domain.empty() || part.job.preferred_domain == endpoint.domain)
            add_if_fitting(part);
    }
    for (waiting_part& part : queue_)
    {
        if (may_run_here(part))
            add_if_fitting(part);
    }
    for (waiting_part& part : queue_)
    {
        if (takes_one_job || batch.pieces * 100 >= limit * split_below_percent)
            break;
        const std::uint32_t fitting = pieces_that_fit(endpoint, batch, batch_bytes, part.job, now);
        if (part.count > 0 && fitting > 0 && may_run_here(part))
            add_part(part, std::min(fitting, part.count));
    }
    endpoint.held_bytes += batch_bytes;
    std::erase_if(queue_, [](const waiting_part& part) { return part.count == 0; });
    waiting_pieces_ -= batch.pieces;
}

} // namespace zinnianotch
