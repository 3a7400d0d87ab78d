#include "state/held_memory.h"

#include "state/enum_names.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <tuple>
#include <utility>

namespace zinnianotch
{

namespace
{

// In the order of held_kind.
constexpr std::array<std::string_view, held_kind_count> kind_names = {
    "incoming_body", "request_body", "endpoint_request", "response", "partial_response", "vm_link"};

bool counts(held_kind kind)
{
    return kind != held_kind::endpoint_request;
}

// A request in progress gives way by its endpoint_request, a partial response by its deadline.
bool may_yield(held_kind kind)
{
    return kind != held_kind::request_body && kind != held_kind::partial_response;
}

double seconds(time_point from, time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

// Share that is left of an observation after this time.
double decay(double elapsed_s)
{
    return std::exp2(-elapsed_s / std::chrono::duration<double>(rate_half_life).count());
}

} // namespace

std::string_view to_string(held_kind value)
{
    return name_of(kind_names, value);
}

std::uint64_t held_memory_bound(std::uint64_t machine_bytes)
{
    if (machine_bytes == 0)
        return 0;
    const std::uint64_t left = machine_bytes - std::min(machine_bytes, base_process_bytes);
    const auto bound = static_cast<std::uint64_t>(held_share * static_cast<double>(left));
    return std::max<std::uint64_t>(bound, machine_bytes / 8 + 1);
}

holder_id held_memory::add(held_kind kind, time_point now)
{
    if (free_.empty())
    {
        free_.push_back(static_cast<std::uint32_t>(holders_.size()));
        holders_.emplace_back();
    }
    const std::uint32_t slot = free_.back();
    free_.pop_back();
    holder& added = holders_[slot];
    const std::uint32_t generation = added.generation;
    added = {};
    added.kind = kind;
    added.generation = generation;
    added.used = true;
    added.since = added.rate_at = added.progress_at = now;
    return {slot, generation};
}

void held_memory::remove(holder_id id)
{
    holder* const found = find(id);
    if (found == nullptr)
        return;
    totals_[static_cast<std::size_t>(found->kind)] -= found->bytes;
    if (counts(found->kind))
        total_ -= found->bytes;
    found->used = false;
    found->bytes = 0;
    if (++found->generation == 0)
        found->generation = 1;
    free_.push_back(id.slot);
}

void held_memory::grow(holder_id id, std::uint64_t bytes, time_point now)
{
    holder* const found = find(id);
    if (found == nullptr)
        return;
    if (found->bytes == 0)
    {
        found->since = found->rate_at = found->progress_at = now;
        found->rate = 0.0;
    }
    found->bytes += bytes;
    totals_[static_cast<std::size_t>(found->kind)] += bytes;
    if (counts(found->kind))
        total_ += bytes;
}

void held_memory::drain(holder_id id, std::uint64_t bytes, time_point now)
{
    holder* const found = find(id);
    if (found == nullptr || bytes == 0)
        return;
    const std::uint64_t drained = std::min(bytes, found->bytes);
    found->bytes -= drained;
    totals_[static_cast<std::size_t>(found->kind)] -= drained;
    if (counts(found->kind))
        total_ -= drained;
    add_progress(*found, drained, now);
}

void held_memory::note_progress(holder_id id, std::uint64_t bytes, time_point now)
{
    if (holder* const found = find(id); found != nullptr && bytes > 0)
        add_progress(*found, bytes, now);
}

std::uint64_t held_memory::bytes(holder_id id) const
{
    const holder* const found = find(id);
    return found != nullptr ? found->bytes : 0;
}

bool held_memory::admits_body(std::uint64_t bytes, std::uint64_t reserved) const
{
    const std::uint64_t limit = bytes > small_body_bytes ? part(large_body_share) : bound_;
    return !is_bounded() || total_ + body_copies * (bytes - reserved) <= limit;
}

std::uint64_t held_memory::read_ahead_limit(std::uint64_t unbounded) const
{
    if (!is_bounded())
        return unbounded;
    const std::uint64_t room = part(read_ahead_share) - std::min(part(read_ahead_share), total_);
    return std::max(min_read_ahead_bytes, room / read_ahead_divisor);
}

std::optional<milliseconds> held_memory::read_on() const
{
    if (!is_bounded() || total_ >= part(read_on_share))
        return std::nullopt;
    return total_ < part(read_ahead_share) ? read_on_interval : read_on_interval_short;
}

std::uint64_t held_memory::link_limit(std::uint64_t unbounded) const
{
    return is_bounded() ? std::min(unbounded, bound_ / link_divisor) : unbounded;
}

std::vector<yielding_holder> held_memory::choose_yielding(time_point now) const
{
    std::vector<yielding_holder> chosen;
    const bool over = total_ > bound_;
    if (!is_bounded() || (!over && total_ <= part(large_body_share)))
        return chosen;
    struct entry
    {
        double drain_s;
        std::uint64_t bytes;
        std::uint32_t slot;
    };
    std::vector<entry> order;
    for (std::uint32_t slot = 0; slot < holders_.size(); ++slot)
    {
        const holder& each = holders_[slot];
        if (!each.used || !may_yield(each.kind) || each.bytes < min_yield_bytes)
            continue;
        const bool stalled = now - each.progress_at >= stalled_time;
        if (over || stalled)
            order.push_back({expected_drain_s(each, now), each.bytes, slot});
    }
    std::sort(
        order.begin(), order.end(),
        [](const entry& a, const entry& b)
        { return std::tie(b.drain_s, b.bytes, a.slot) < std::tie(a.drain_s, a.bytes, b.slot); });
    const std::uint64_t target = part(over ? relieved_share : large_body_share);
    std::uint64_t left = total_;
    for (const auto& [drain_s, bytes, slot] : order)
    {
        if (left <= target)
            break;
        const holder& each = holders_[slot];
        left -= std::min(left, bytes);
        chosen.push_back({{slot, each.generation},
                          each.kind,
                          bytes,
                          std::chrono::duration_cast<milliseconds>(now - each.progress_at)});
    }
    return chosen;
}

held_memory::holder* held_memory::find(holder_id id)
{
    return const_cast<holder*>(std::as_const(*this).find(id));
}

const held_memory::holder* held_memory::find(holder_id id) const
{
    if (id.generation == 0 || id.slot >= holders_.size())
        return nullptr;
    const holder& found = holders_[id.slot];
    return found.used && found.generation == id.generation ? &found : nullptr;
}

void held_memory::add_progress(holder& of, std::uint64_t bytes, time_point now)
{
    const double weight = std::numbers::ln2 / std::chrono::duration<double>(rate_half_life).count();
    of.rate = of.rate * decay(seconds(of.rate_at, now)) + static_cast<double>(bytes) * weight;
    of.rate_at = of.progress_at = now;
}

// Infinite for a holder that makes no progress, 0 for one that is too new to judge.
double held_memory::expected_drain_s(const holder& of, time_point now) const
{
    if (now - of.since < min_observed_time)
        return 0.0;
    // The rate started at 0 when the holder got its first bytes.
    const double observed = 1.0 - decay(seconds(of.since, now));
    const double rate = of.rate * decay(seconds(of.rate_at, now)) / observed;
    if (rate <= 0.0)
        return std::numeric_limits<double>::max();
    return static_cast<double>(of.bytes) / rate;
}

std::uint64_t held_memory::part(double share) const
{
    return static_cast<std::uint64_t>(share * static_cast<double>(bound_));
}

} // namespace zinnianotch
