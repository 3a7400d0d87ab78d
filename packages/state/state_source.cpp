#include "state/state_source.h"

#include "state/hash.h"

#include <algorithm>
#include <utility>

namespace zinnianotch
{

namespace
{

std::size_t index_of(state_table table)
{
    return static_cast<std::size_t>(table);
}

} // namespace

std::vector<std::string> state_relays(const std::string& domain,
                                      const std::vector<weighted_name>& vms)
{
    std::vector<weighted_name> squared = vms;
    for (weighted_name& vm : squared)
        vm.weight *= vm.weight;
    std::vector<std::string> order = rendezvous_order("relay/" + domain, squared);
    order.resize(std::min(order.size(), relays_per_domain));
    return order;
}

std::uint64_t record_digest(const state_record& record)
{
    return avalanche(fnv_1a(rendezvous_weight(record.name, record.value), "record"));
}

void state_sources::on_notice(const std::string& vm, const table_copies& copies, time_point now)
{
    source& from = sources_[vm];
    from.copies = copies;
    from.received_at = now;
}

bool state_sources::covers(const source& from, state_table table, time_point now)
{
    const table_copy& copy = from.copies[index_of(table)];
    return copy.loaded && copy.in_sync && now - from.received_at <= notice_max_age;
}

bool state_sources::is_covered(state_table table, std::uint64_t era, time_point now) const
{
    return std::any_of(sources_.begin(), sources_.end(),
                       [&](const auto& entry)
                       {
                           return covers(entry.second, table, now) &&
                                  entry.second.copies[index_of(table)].position.era >= era;
                       });
}

std::optional<time_point> state_sources::in_sync_since(state_table table, std::uint64_t era,
                                                       time_point now) const
{
    std::optional<time_point> earliest;
    for (const auto& [vm, from] : sources_)
    {
        const table_copy& copy = from.copies[index_of(table)];
        if (!covers(from, table, now) || copy.position.era < era)
            continue;
        const time_point since = from.received_at - copy.in_sync_for;
        if (!earliest || since < *earliest)
            earliest = since;
    }
    return earliest;
}

std::optional<std::string> state_sources::next_query(state_table table, const table_copy& own,
                                                     time_point now)
{
    time_point& queried_at = queried_at_[index_of(table)];
    if (queried_at != time_point{} && now - queried_at < state_query_timeout)
        return std::nullopt;
    for (auto& [vm, from] : sources_)
    {
        const table_copy& copy = from.copies[index_of(table)];
        std::optional<std::uint64_t>& queried_digest = from.queried_digest[index_of(table)];
        // A VM that lost the store may still know more than this one.
        if (!copy.loaded || now - from.received_at > notice_max_age)
            continue;
        // In a new era even equal content is taken over, together with its position.
        const bool is_new_era = copy.position.era > own.position.era;
        if (own.loaded && !is_new_era &&
            (copy.position <= own.position || copy.digest == own.digest ||
             copy.digest == queried_digest))
            continue;
        queried_digest = copy.digest;
        queried_at = now;
        return vm;
    }
    return std::nullopt;
}

std::optional<state_sources::held_difference>
state_sources::next_held_difference(state_table table, const table_copy& own)
{
    for (auto& [vm, from] : sources_)
    {
        const table_copy& copy = from.copies[index_of(table)];
        if (!own.loaded || !copy.loaded || copy.position.era != own.position.era ||
            copy.held_digest == own.held_digest)
            continue;
        const std::uint64_t both = avalanche(copy.held_digest) ^ own.held_digest;
        if (std::exchange(from.compared_held[index_of(table)], both) != both)
            return held_difference{vm, copy.held_digest != 0};
    }
    return std::nullopt;
}

void state_sources::on_answer(state_table table)
{
    queried_at_[index_of(table)] = {};
}

store_position state_sources::confirmed_position(state_table table, const table_copy& own,
                                                 time_point now) const
{
    store_position position = own.position;
    for (const auto& [vm, from] : sources_)
    {
        const table_copy& copy = from.copies[index_of(table)];
        if (own.loaded && covers(from, table, now) && copy.digest == own.digest &&
            copy.position.era == own.position.era)
            position = std::max(position, copy.position);
    }
    return position;
}

bool state_sources::has_recent_notice(time_point now) const
{
    return std::any_of(sources_.begin(), sources_.end(),
                       [now](const auto& entry)
                       { return now - entry.second.received_at <= notice_max_age; });
}

std::optional<state_sources::origin> state_sources::newest(state_table table, time_point now) const
{
    std::optional<origin> found;
    for (const auto& [vm, from] : sources_)
    {
        const auto age = std::chrono::duration_cast<milliseconds>(now - from.received_at);
        if (covers(from, table, now) && (!found || age < found->age))
            found = origin{vm, age};
    }
    return found;
}

bool table_reading::update(bool is_relay, bool is_covered, time_point now)
{
    if (is_covered != covered_ || !changed_at_)
    {
        covered_ = is_covered;
        changed_at_ = now;
    }
    const auto since = now - *changed_at_;
    if (is_relay || (!covered_ && since >= uncovered_before_start + spread_))
        reads_ = true;
    else if (covered_ && since >= covered_before_stop)
        reads_ = false;
    return reads_;
}

} // namespace zinnianotch
