// Copy of a table of the store on one VM, and what the store has lost of it.
//
// When the store comes back from an older copy, it has lost changes that this VM has seen: a key
// that was withdrawn is valid again, an endpoint that has left is listed. Their writers write them
// again, but only some time later. Until then the VM keeps in effect what it knew; such a record is
// called held. It is held until the store's row changes or its time is up. VMs tell each other
// which records they hold, because a VM that has just started knows nothing but the copy.
#pragma once

#include "state/stage_request.h"
#include "state/state_source.h"
#include "state/store_position.h"
#include "state/time.h"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace zinnianotch
{

// How long the last value of a deleted record is remembered, to recognize it in an older copy.
inline constexpr milliseconds deleted_record_memory{60'000};
// Maximum number of deleted records that are remembered, and of changes kept for other VMs.
inline constexpr std::size_t max_deleted_records = 4000;
inline constexpr std::size_t max_kept_changes = 2000;
// Time of a record that is held until the store's row changes.
inline constexpr milliseconds held_until_changed = milliseconds::max();

// Changes of a table after `after`, or all its records.
struct table_update
{
    store_position position;
    std::vector<state_record> records;
    bool is_snapshot = false;
    store_position after;
};

// Records to put into effect; with `is_snapshot`, all others have ceased to exist.
struct table_effect
{
    std::vector<state_record> records;
    bool is_snapshot = false;
};

// A record that the store has lost.
struct held_record
{
    state_record record;                 // as it was; of a deleted one the last value
    std::uint64_t restored_revision = 0; // of the store's row; 0: there is none
    milliseconds time_left{0};

    bool operator==(const held_record&) const = default;
};

// Decides between the row of a restored copy, null if there is none, and the record known before:
// nothing if the restored row takes effect, else how long the known record is held.
template <typename Order>
concept record_order = requires(const Order& order, const state_record* restored,
                                const state_record& known)
{
    {
        order.hold_time(restored, known)
        } -> std::same_as<std::optional<milliseconds>>;
    // True if the record stays held although the store's row has changed to `known`.
    {
        order.outlives_change(known, known)
        } -> std::same_as<bool>;
};

template <record_order Order>
class table_replica
{
public:
    explicit table_replica(Order order) : order_(std::move(order)) {}

    bool loaded() const { return loaded_; }
    store_position position() const { return position_; }
    // Exclusive or of the digests of all records.
    std::uint64_t digest() const { return digest_; }
    // The same for the held records, deleted ones included; 0 if there is none.
    std::uint64_t held_digest() const { return held_digest_; }
    // The records of the store.
    const std::map<std::string, state_record>& records() const { return records_; }

    // Applies an update; nothing if it is no newer than this copy or would leave a gap.
    std::optional<table_effect> apply(const table_update& update, time_point now);
    // The copy is known to be complete up to a position of its era.
    void confirm(store_position position)
    {
        if (position.era == position_.era)
            position_ = std::max(position_, position);
    }
    // The changes after the position, or all records if they are no longer known.
    table_update changes_since(store_position position) const;

    // Records held in the current era, for other VMs.
    std::vector<held_record> held(time_point now) const;
    // Takes over what another VM holds in an era; nothing if that changes nothing here.
    std::optional<table_effect> adopt(std::uint64_t era, const std::vector<held_record>& held,
                                      time_point now);
    // Ends the hold of records whose time is up.
    std::optional<table_effect> expire(time_point now);

private:
    struct hold
    {
        state_record record;
        std::uint64_t restored_revision = 0;
        time_point until{};
    };
    struct kept_change
    {
        std::uint64_t revision = 0; // of the update that brought it
        state_record record;
    };
    struct deleted_record
    {
        state_record record;
        time_point at{};
    };

    static time_point end_of(milliseconds time, time_point now)
    {
        return time == held_until_changed ? time_point::max() : now + time;
    }
    const state_record* find(const std::string& name) const
    {
        const auto found = records_.find(name);
        return found == records_.end() ? nullptr : &found->second;
    }
    void update_held_digest();
    void store(const state_record& record);
    void erase(const std::string& name, std::uint64_t revision, time_point now);
    void remember_deleted(state_record record, time_point now);
    void replace_all(const table_update& update, time_point now);
    void drop_changed_holds(time_point now);
    void hold_lost(const std::map<std::string, state_record>& known, time_point now);
    // True if a record that another VM holds is newer than one that is in effect here.
    bool supersedes(const state_record& theirs, const state_record& mine) const;
    bool adopt_record(const held_record& held, time_point now);
    std::map<std::string, state_record> known_records() const;
    // The held record if there is one, else the store's.
    state_record effective(const std::string& name) const;
    table_effect snapshot() const;

    Order order_;
    bool loaded_ = false;
    store_position position_;
    std::uint64_t digest_ = 0;
    std::map<std::string, state_record> records_;
    std::deque<kept_change> changes_; // of this era, in order
    std::uint64_t changes_from_ = 0;  // `changes_` holds all changes after this revision
    std::map<std::string, deleted_record> deleted_;
    std::map<std::string, hold> holds_;
    std::uint64_t held_digest_ = 0;
    // What other VMs hold in an era that this copy has not reached yet.
    std::uint64_t awaited_era_ = 0;
    std::vector<std::pair<held_record, time_point>> awaited_;
};

template <record_order Order>
void table_replica<Order>::store(const state_record& record)
{
    state_record& known = records_[record.name];
    if (!known.name.empty())
        digest_ ^= record_digest(known);
    known = record;
    digest_ ^= record_digest(record);
    deleted_.erase(record.name);
}

template <record_order Order>
void table_replica<Order>::erase(const std::string& name, std::uint64_t revision, time_point now)
{
    const auto known = records_.find(name);
    if (known == records_.end())
        return;
    digest_ ^= record_digest(known->second);
    known->second.revision = revision;
    remember_deleted(std::move(known->second), now);
    records_.erase(known);
}

template <record_order Order>
void table_replica<Order>::remember_deleted(state_record record, time_point now)
{
    record.deleted = true;
    const std::string name = record.name;
    deleted_[name] = {std::move(record), now};
    std::erase_if(deleted_,
                  [&](const auto& entry) { return now - entry.second.at > deleted_record_memory; });
    if (deleted_.size() > max_deleted_records)
        deleted_.erase(std::min_element(deleted_.begin(), deleted_.end(),
                                        [](const auto& a, const auto& b)
                                        { return a.second.at < b.second.at; }));
}

template <record_order Order>
std::optional<table_effect> table_replica<Order>::apply(const table_update& update, time_point now)
{
    if (loaded_ && update.position <= position_)
        return std::nullopt;
    if (update.is_snapshot)
    {
        replace_all(update, now);
        return snapshot();
    }
    if (!loaded_ || update.position.era != position_.era || update.after.era != position_.era ||
        update.after > position_)
        return std::nullopt;
    table_effect changed;
    for (const state_record& record : update.records)
    {
        if (record.deleted)
            erase(record.name, record.revision, now);
        else
            store(record);
        changes_.push_back({update.position.revision, record});
        const auto held = holds_.find(record.name);
        // A row that was changed while the table was listed is sent again.
        if (held != holds_.end() && held->second.restored_revision == record.revision)
            continue;
        if (held != holds_.end() && !record.deleted &&
            order_.outlives_change(record, held->second.record))
        {
            held->second.restored_revision = record.revision;
            continue;
        }
        if (held != holds_.end())
        {
            if (record.deleted)
                remember_deleted(std::move(held->second.record), now);
            holds_.erase(held);
            update_held_digest();
        }
        changed.records.push_back(record);
    }
    // Changes of one update are dropped together, so that `changes_` never begins within one.
    while (changes_.size() > max_kept_changes)
    {
        changes_from_ = changes_.front().revision;
        while (!changes_.empty() && changes_.front().revision == changes_from_)
            changes_.pop_front();
    }
    position_ = update.position;
    return changed;
}

template <record_order Order>
void table_replica<Order>::replace_all(const table_update& update, time_point now)
{
    const bool is_restored = loaded_ && update.position.era > position_.era;
    const std::map<std::string, state_record> known =
        is_restored ? known_records() : std::map<std::string, state_record>();
    std::map<std::string, state_record> next;
    for (const state_record& record : update.records)
        next[record.name] = record;
    std::vector<std::string> gone;
    for (const auto& [name, record] : records_)
    {
        if (!next.contains(name))
            gone.push_back(name);
    }
    for (const std::string& name : gone)
        erase(name, update.position.revision, now);
    for (const auto& [name, record] : next)
        store(record);
    changes_.clear();
    changes_from_ = update.position.revision;
    position_ = update.position;
    loaded_ = true;
    if (is_restored)
        hold_lost(known, now);
    else
        drop_changed_holds(now);
    if (awaited_era_ == position_.era)
    {
        for (const auto& [held, since] : std::exchange(awaited_, {}))
            (void)adopt_record(held, since);
    }
    update_held_digest();
}

template <record_order Order>
void table_replica<Order>::drop_changed_holds(time_point now)
{
    for (auto next = holds_.begin(); next != holds_.end();)
    {
        const auto entry = next++;
        hold& held = entry->second;
        const state_record* const row = find(entry->first);
        const std::uint64_t revision = row != nullptr ? row->revision : 0;
        if (revision == held.restored_revision)
            continue;
        if (row != nullptr && order_.outlives_change(*row, held.record))
        {
            held.restored_revision = revision;
            continue;
        }
        if (row == nullptr)
            remember_deleted(std::move(held.record), now);
        holds_.erase(entry);
    }
}

template <record_order Order>
std::map<std::string, state_record> table_replica<Order>::known_records() const
{
    std::map<std::string, state_record> known = records_;
    for (const auto& [name, deleted] : deleted_)
        known[name] = deleted.record;
    for (const auto& [name, held] : holds_)
        known[name] = held.record;
    return known;
}

template <record_order Order>
void table_replica<Order>::hold_lost(const std::map<std::string, state_record>& known,
                                     time_point now)
{
    holds_.clear();
    for (const auto& [name, record] : known)
    {
        const state_record* const row = find(name);
        const bool is_same =
            row != nullptr ? !record.deleted && row->value == record.value : record.deleted;
        const auto time = is_same ? std::nullopt : order_.hold_time(row, record);
        if (time)
            holds_[name] = {record, row != nullptr ? row->revision : 0, end_of(*time, now)};
        else if (row == nullptr)
            remember_deleted(record, now);
    }
}

template <record_order Order>
state_record table_replica<Order>::effective(const std::string& name) const
{
    const auto held = holds_.find(name);
    if (held != holds_.end())
        return held->second.record;
    const state_record* const row = find(name);
    if (row != nullptr)
        return *row;
    state_record none;
    none.name = name;
    none.deleted = true;
    return none;
}

template <record_order Order>
table_effect table_replica<Order>::snapshot() const
{
    table_effect all;
    all.is_snapshot = true;
    for (const auto& [name, record] : records_)
    {
        if (!holds_.contains(name))
            all.records.push_back(record);
    }
    for (const auto& [name, held] : holds_)
    {
        if (!held.record.deleted)
            all.records.push_back(held.record);
    }
    return all;
}

template <record_order Order>
table_update table_replica<Order>::changes_since(store_position position) const
{
    table_update update;
    update.position = position_;
    update.after = position;
    update.is_snapshot = position.era != position_.era || position.revision < changes_from_;
    if (update.is_snapshot)
    {
        for (const auto& [name, record] : records_)
            update.records.push_back(record);
        return update;
    }
    for (const kept_change& change : changes_)
    {
        if (change.revision > position.revision)
            update.records.push_back(change.record);
    }
    return update;
}

template <record_order Order>
std::vector<held_record> table_replica<Order>::held(time_point now) const
{
    std::vector<held_record> list;
    for (const auto& [name, held] : holds_)
    {
        const milliseconds left = held.until == time_point::max()
                                      ? held_until_changed
                                      : std::chrono::duration_cast<milliseconds>(held.until - now);
        if (left.count() > 0)
            list.push_back({held.record, held.restored_revision, left});
    }
    return list;
}

template <record_order Order>
void table_replica<Order>::update_held_digest()
{
    held_digest_ = 0;
    for (const auto& [name, held] : holds_)
        held_digest_ ^= record_digest(held.record) + (held.record.deleted ? 1 : 0);
}

template <record_order Order>
bool table_replica<Order>::supersedes(const state_record& theirs, const state_record& mine) const
{
    if (mine.deleted)
        return !theirs.deleted && !order_.hold_time(&theirs, mine);
    return (theirs.deleted || theirs.value != mine.value) && order_.hold_time(&mine, theirs);
}

template <record_order Order>
bool table_replica<Order>::adopt_record(const held_record& held, time_point now)
{
    const std::string& name = held.record.name;
    const state_record* const row = find(name);
    const auto own = holds_.find(name);
    const std::uint64_t revision = row != nullptr ? row->revision : 0;
    if (held.time_left.count() <= 0 || revision != held.restored_revision)
        return false;
    const bool is_news = own != holds_.end()
                             ? supersedes(held.record, own->second.record)
                             : (row != nullptr ? supersedes(held.record, *row)
                                               : !held.record.deleted && !deleted_.contains(name));
    if (is_news)
        holds_[name] = {held.record, revision, end_of(held.time_left, now)};
    return is_news;
}

template <record_order Order>
std::optional<table_effect>
table_replica<Order>::adopt(std::uint64_t era, const std::vector<held_record>& held, time_point now)
{
    if (loaded_ && era < position_.era)
        return std::nullopt;
    if (!loaded_ || era > position_.era)
    {
        if (era < awaited_era_)
            return std::nullopt;
        if (era > awaited_era_)
            awaited_.clear();
        awaited_era_ = era;
        for (const held_record& record : held)
        {
            if (awaited_.size() < max_deleted_records)
                awaited_.emplace_back(record, now);
        }
        return std::nullopt;
    }
    table_effect changed;
    for (const held_record& record : held)
    {
        if (adopt_record(record, now))
            changed.records.push_back(record.record);
    }
    if (changed.records.empty())
        return std::nullopt;
    update_held_digest();
    return changed;
}

template <record_order Order>
std::optional<table_effect> table_replica<Order>::expire(time_point now)
{
    table_effect changed;
    std::vector<std::string> due;
    for (const auto& [name, held] : holds_)
    {
        if (now >= held.until)
            due.push_back(name);
    }
    for (const std::string& name : due)
    {
        const auto held = holds_.extract(name);
        changed.records.push_back(effective(name));
        // It is not taken over again from a VM that holds it for longer.
        if (changed.records.back().deleted)
            remember_deleted(held.mapped().record, now);
    }
    if (due.empty())
        return std::nullopt;
    update_held_digest();
    return changed;
}

} // namespace zinnianotch
