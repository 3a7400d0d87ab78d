#include "state/rollout_gate.h"

#include "state/enum_names.h"
#include "state/hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 5> pool_names{"unrestricted", "old_version", "candidate",
                                                     "replaced", "none"};

template <typename Decision>
std::pair<rollout_phase, std::uint32_t> position(const Decision& of)
{
    return {of.phase, of.step};
}

} // namespace

std::string_view to_string(rollout_pool value)
{
    return name_of(pool_names, value);
}

rollout_gate::rollout_gate(std::string service, const rollout_limits& limits, std::uint64_t seed)
    : service_(std::move(service)), limits_(limits), seed_(seed)
{
}

void rollout_gate::set_endpoints(const std::vector<rollout_endpoint>& endpoints, time_point now)
{
    endpoints_.clear();
    for (const rollout_endpoint& endpoint : endpoints)
        endpoints_.emplace(endpoint.id, endpoint_state{endpoint, 0});
    learn_versions(now);
    place_candidates();
}

void rollout_gate::set_order(const std::optional<rollout_order>& order, time_point now)
{
    if (order_ == order)
        return;
    if (order_ && order && order_->revision == order->revision && order_->version == order->version)
    {
        order_ = order;
        return;
    }
    if (order_)
        close_order(order.has_value(), now);
    else
        trust_usable_versions(now);
    order_ = order;
    age_ = {};
    record_.reset();
    verdict_.reset();
    share_sum_ = 0.0;
    sent_ = 0;
    candidate_sent_ = 0;
    if (order_)
    {
        banned_.erase(order_->version);
        replaced_.erase(order_->version);
        age_.hear(milliseconds{0}, now);
        if (stored_)
            on_record(rollout_record(*stored_), now);
    }
    place_candidates();
}

void rollout_gate::on_record(const rollout_record& record, time_point now)
{
    stored_ = record;
    if (!order_)
    {
        settle_without_order(record);
        return;
    }
    // A store that came back from an older copy gives out revisions again.
    if (record.order != order_->revision || record.version != order_->version)
    {
        if (record.order < order_->revision && record.version != order_->version)
            settle_replaced(record);
        return;
    }
    age_.hear(record.age, now);
    learn_old_version(record.old_version);
    if (record_ && !supersedes(record, *record_))
        return;
    record_ = record;
    verdict_at_ = now;
    if (record.phase == rollout_phase::completed)
        on_completed();
}

void rollout_gate::on_verdict(const rollout_verdict& verdict, time_point now)
{
    if (!order_ || verdict.order != order_->revision)
        return;
    age_.hear(verdict.age, now);
    learn_old_version(verdict.old_version);
    verdict_at_ = now;
    if (!verdict_ || supersedes(verdict, *verdict_))
        verdict_ = verdict;
}

void rollout_gate::on_store_contact(time_point now)
{
    store_at_ = now;
}

rollout_pool rollout_gate::choose(std::string_view route, bool is_retry, time_point now)
{
    if (!order_)
        return rollout_pool::unrestricted;
    sent_ += is_retry ? 0 : 1;
    const auto by = current(now);
    const bool is_trusted = trusted_.contains(order_->version);
    if (!by)
        return is_trusted && old_count_ == 0 ? rollout_pool::candidate : rollout_pool::old_version;
    switch (by->phase)
    {
    case rollout_phase::full:
    case rollout_phase::completed:
        return rollout_pool::candidate;
    case rollout_phase::rolled_back:
        return rollout_pool::old_version;
    case rollout_phase::canary:
    case rollout_phase::ramp:
        break;
    }
    if (is_trusted && old_count_ == 0)
        return rollout_pool::candidate;
    if (is_retry || !has_permission(now) || !take_share(route, *by, now))
        return rollout_pool::old_version;
    return rollout_pool::candidate;
}

rollout_pool rollout_gate::fallback(rollout_pool pool, time_point now) const
{
    if (pool != rollout_pool::candidate || !order_)
        return rollout_pool::none;
    const auto by = current(now);
    if (by && by->phase == rollout_phase::completed)
        return rollout_pool::none;
    return rollout_pool::old_version;
}

// An earlier order may have been completed and its old endpoints stopped before this VM has read
// so.
rollout_pool rollout_gate::last_resort(rollout_pool pool) const
{
    return pool == rollout_pool::old_version && !replaced_.empty() ? rollout_pool::replaced
                                                                   : rollout_pool::none;
}

rollout_pool rollout_gate::adjusted(rollout_pool pool, time_point now) const
{
    const auto at = phase(now);
    const bool has_moved = at == rollout_phase::full || at == rollout_phase::completed;
    return has_moved && pool == rollout_pool::old_version ? rollout_pool::candidate : pool;
}

bool rollout_gate::may_use(rollout_pool pool, std::string_view endpoint, time_point now) const
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || pool == rollout_pool::none)
        return false;
    const std::string& version = found->second.endpoint.version;
    if (pool == rollout_pool::replaced)
        return replaced_.contains(version) && !is_held(version, now);
    if (banned_.contains(version) && !is_last_resort(version))
        return false;
    if (!order_)
        return !is_held(version, now);
    // An attempt whose pool was chosen before the order arrived.
    const bool is_any = pool == rollout_pool::unrestricted;

    const auto by = current(now);
    const rollout_phase phase = by ? by->phase : rollout_phase::canary;
    if (version != order_->version)
    {
        return phase != rollout_phase::completed && (is_any || pool == rollout_pool::old_version) &&
               !is_held(version, now);
    }
    if (pool == rollout_pool::old_version || phase == rollout_phase::rolled_back)
        return false;
    if (phase == rollout_phase::full || phase == rollout_phase::completed)
        return true;
    if (is_any)
        return false;
    if (trusted_.contains(version) && old_count_ == 0)
        return true;
    return by && has_permission(now) && is_canary(found->second, *by);
}

bool rollout_gate::is_candidate(std::string_view endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    return order_ && found != endpoints_.end() && found->second.endpoint.version == order_->version;
}

bool rollout_gate::is_running(time_point now) const
{
    const auto at = phase(now);
    return at && !is_final(*at);
}

std::optional<rollout_phase> rollout_gate::phase(time_point now) const
{
    if (!order_)
        return std::nullopt;
    const auto by = current(now);
    return by ? by->phase : rollout_phase::canary;
}

std::size_t rollout_gate::old_endpoints() const
{
    return old_count_;
}

std::size_t rollout_gate::candidate_endpoints() const
{
    return candidate_count_;
}

// The furthest of the store's decision and the judges' verdict. A roll-back by the judges holds at
// once, unless the store has decided otherwise for good.
std::optional<rollout_gate::decision> rollout_gate::current(time_point) const
{
    if (!record_ && !verdict_)
        return std::nullopt;
    if (!verdict_ || (record_ && is_final(record_->phase)))
        return decision{record_->phase, record_->step, &record_->shares};
    if (!record_ || position(*verdict_) >= position(*record_))
        return decision{verdict_->phase, verdict_->step, &verdict_->shares};
    return decision{record_->phase, record_->step, &record_->shares};
}

bool rollout_gate::has_permission(time_point now) const
{
    if (now - verdict_at_ <= rollout_lease)
        return true;
    return now - store_at_ <= rollout_lease && now - verdict_at_ <= rollout_verdict_max_age;
}

bool rollout_gate::is_held(const std::string& version, time_point now) const
{
    const auto found = versions_.find(version);
    return found == versions_.end() || now < found->second;
}

bool rollout_gate::is_canary(const endpoint_state& of, const decision& by) const
{
    const std::size_t count = canary_count(by.shares->usual, old_count_, candidate_count_);
    if (count >= candidate_count_)
        return true;
    const std::size_t first = by.step % rollout_rotations * count % candidate_count_;
    return (of.place + candidate_count_ - first) % candidate_count_ < count;
}

// Requests are due to the new version at one random point in each unit of the summed shares. So the
// share is exact for VMs with many requests, right on average for those with few, and independent
// of any pattern in which routes follow each other.
bool rollout_gate::take_share(std::string_view route, const decision& by, time_point now)
{
    double share = by.shares->usual;
    for (const rollout_share& each : by.shares->routes)
    {
        if (each.route == route)
            share = each.share;
    }
    share_sum_ += std::clamp(share, 0.0, 1.0);

    // Requests until the deadline at the rate so far. Only a step that lasts longer than planned
    // reaches the bound.
    const double bound = by.shares->bound > 0.0 ? by.shares->bound : limits_.exposure_share;
    const auto age = static_cast<double>(std::max<milliseconds::rep>(order_age(now).count(), 1));
    const double longer = std::max(static_cast<double>(order_->duration.count()) / age, 1.0);
    const double most = bound * static_cast<double>(sent_) * longer;
    if (std::min(share_sum_, most) < sampling_point(candidate_sent_))
    {
        share_sum_ = std::min(share_sum_, static_cast<double>(candidate_sent_) + 1.0);
        return false;
    }
    ++candidate_sent_;
    return true;
}

double rollout_gate::sampling_point(std::uint64_t index) const
{
    const std::uint64_t order = order_ ? order_->revision : 0;
    const std::uint64_t hash =
        avalanche(avalanche(fnv_1a(seed_, service_) ^ order) + index * fnv_prime);
    return static_cast<double>(index) + static_cast<double>(hash >> 11) * 0x1.0p-53;
}

// The version of an order that is withdrawn, or replaced before `full`, gets nothing more. After
// that it has all requests, and it may be completed although this VM has not read so yet.
void rollout_gate::close_order(bool is_replaced, time_point now)
{
    const auto by = current(now);
    const rollout_phase phase = by ? by->phase : rollout_phase::canary;
    if (phase == rollout_phase::completed)
        return;
    if (phase != rollout_phase::full || !is_replaced)
    {
        ban(order_->version);
        if (phase != rollout_phase::rolled_back)
            replaced_.insert(order_->version);
        return;
    }
    for (const auto& [version, usable_from] : versions_)
    {
        if (version == order_->version)
            continue;
        ban(version);
        replaced_.insert(version);
    }
    trusted_.insert(order_->version);
}

void rollout_gate::ban(const std::string& version)
{
    banned_.insert(version);
    trusted_.erase(version);
}

// Decision on the order before, which this VM reads after the present order.
void rollout_gate::settle_replaced(const rollout_record& record)
{
    if (!is_final(record.phase))
        return;
    replaced_.erase(record.version);
    if (record.phase == rollout_phase::rolled_back)
    {
        ban(record.version);
        return place_candidates();
    }
    set_old_version(record.version);
}

// Old version as of the order's first decision. If this VM has barred it, it has missed how an
// earlier order ended.
void rollout_gate::learn_old_version(const std::string& version)
{
    if (banned_.contains(version) && version != order_->version)
        set_old_version(version);
}

void rollout_gate::set_old_version(const std::string& version)
{
    for (const auto& [each, usable_from] : versions_)
    {
        if (each != order_->version)
            ban(each);
    }
    replaced_.clear();
    banned_.erase(version);
    trusted_.insert(version);
    place_candidates();
}

// The order of the version may have been completed without this VM's knowledge, if no endpoint of
// another version is left.
bool rollout_gate::is_last_resort(const std::string& version) const
{
    return old_count_ == 0 && replaced_.contains(version);
}

// Decision on an order that has been removed, or that this VM has not heard of yet.
void rollout_gate::settle_without_order(const rollout_record& record)
{
    if (settled_ && !supersedes(record, *settled_))
        return;
    settled_ = record;
    if (is_final(record.phase))
        replaced_.erase(record.version);
    if (record.phase == rollout_phase::completed)
    {
        banned_.erase(record.version);
        trusted_.insert(record.version);
    }
    else
        ban(record.version);
    place_candidates();
}

void rollout_gate::on_completed()
{
    settled_ = record_;
    trusted_.insert(order_->version);
    replaced_.clear();
    for (const auto& [version, usable_from] : versions_)
    {
        if (version == order_->version)
            continue;
        ban(version);
    }
}

void rollout_gate::trust_usable_versions(time_point now)
{
    for (const auto& [version, usable_from] : versions_)
    {
        if (usable_from <= now && !banned_.contains(version))
            trusted_.insert(version);
    }
}

// Order of the new endpoints that is the same on all VMs and visits the failure domains in turn.
void rollout_gate::place_candidates()
{
    using ranked = std::pair<std::uint64_t, endpoint_state*>;
    const std::uint64_t base = fnv_1a(fnv_offset_basis, service_);
    std::map<std::string, std::vector<ranked>> by_domain;
    old_count_ = 0;
    candidate_count_ = 0;
    for (auto& [id, state] : endpoints_)
    {
        if (!is_candidate(id))
        {
            old_count_ += banned_.contains(state.endpoint.version) ? 0 : 1;
            continue;
        }
        ++candidate_count_;
        by_domain[state.endpoint.domain].emplace_back(avalanche(fnv_1a(base, id)), &state);
    }
    std::vector<std::tuple<std::size_t, std::uint64_t, endpoint_state*>> order;
    for (auto& [domain, list] : by_domain)
    {
        std::sort(list.begin(), list.end());
        for (std::size_t i = 0; i < list.size(); ++i)
            order.emplace_back(i, avalanche(fnv_1a(base, domain)), list[i].second);
    }
    std::sort(order.begin(), order.end());
    for (std::size_t i = 0; i < order.size(); ++i)
        std::get<2>(order[i])->place = i;
}

// While this VM learns the service's endpoints, the version of the oldest one is taken for the one
// that served before; any other may belong to an order that has not arrived.
void rollout_gate::learn_versions(time_point now)
{
    const rollout_endpoint* oldest = nullptr;
    for (const auto& [id, state] : endpoints_)
    {
        versions_.try_emplace(state.endpoint.version, now + unknown_version_hold);
        if (!is_candidate(id) &&
            (oldest == nullptr || state.endpoint.started_at < oldest->started_at))
            oldest = &state.endpoint;
    }
    if (endpoints_.empty())
        return;
    learning_until_ = std::min(learning_until_, now + unknown_version_hold);
    if (oldest == nullptr || now >= learning_until_)
        return;
    time_point& usable_from = versions_[oldest->version];
    usable_from = std::min(usable_from, now);
}

} // namespace zinnianotch
