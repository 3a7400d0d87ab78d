// Which of two records of the serving path's tables is the newer one after the store has come back
// from an older copy; see table_replica.
#pragma once

#include "coordination/serving_call.h"
#include "state/table_replica.h"

#include <optional>
#include <utility>
#include <variant>

namespace zinnianotch
{

// Entries of endpoints that live are written again within about two seconds of the store's return.
inline constexpr milliseconds lapse_grace{2300};
// How long other records that the store has lost are held if nobody writes them again. An endpoint
// that has left stays in the store for three of its heartbeats.
inline constexpr milliseconds lost_record_hold{10'000};

template <typename Codec>
struct serving_record_order
{
    state_table table = state_table::desired;

    std::optional<milliseconds> hold_time(const state_record* restored,
                                          const state_record& known) const
    {
        switch (table)
        {
        case state_table::desired:
            return hold_desired(restored, known);
        case state_table::endpoints:
            return hold_endpoint(restored, known);
        case state_table::vms:
            break;
        }
        if (Codec::is_rollout(known))
            return hold_rollout(restored, known);
        // A VM that lives registers itself again; one that has left does not remove itself twice.
        if (restored == nullptr)
            return lost_record_hold;
        return known.deleted ? std::optional(held_until_changed) : std::nullopt;
    }

    // The operator writes the lost versions again one after the other, and a VM that has not heard
    // of a lost decision may write an earlier one.
    bool outlives_change(const state_record& row, const state_record& held) const
    {
        if (table == state_table::vms)
            return Codec::is_rollout(held) && hold_rollout(&row, held).has_value();
        return table == state_table::desired && hold_desired(&row, held) == held_until_changed;
    }

private:
    static std::optional<milliseconds> hold_desired(const state_record* restored,
                                                    const state_record& known)
    {
        const auto change = Codec::decode_desired(known);
        if (!change || std::holds_alternative<std::monostate>(*change))
            return std::nullopt;
        if (std::holds_alternative<domain_out>(*change) ||
            std::holds_alternative<rollout_order>(*change))
        {
            const bool is_newer = restored == nullptr || known.revision > restored->revision;
            return is_newer ? std::optional(lost_record_hold) : std::nullopt;
        }
        const auto row = restored != nullptr ? Codec::decode_desired(*restored) : std::nullopt;
        const auto* const state = row ? std::get_if<serving_state>(&*row) : nullptr;
        if (state != nullptr && state->version >= std::get<serving_state>(*change).version)
            return std::nullopt;
        return held_until_changed;
    }

    // Decisions on one order never go back; those on another order are not comparable.
    static std::optional<milliseconds> hold_rollout(const state_record* restored,
                                                    const state_record& known)
    {
        const auto before = Codec::decode_rollout(known);
        if (!before)
            return std::nullopt;
        const auto after = restored != nullptr ? Codec::decode_rollout(*restored) : std::nullopt;
        if (after && (after->order != before->order || after->version != before->version))
            return std::nullopt;
        const bool is_behind =
            !after || std::pair(after->phase, after->step) < std::pair(before->phase, before->step);
        return is_behind ? std::optional(held_until_changed) : std::nullopt;
    }

    // Within one lifetime an endpoint begins to drain and then leaves, and never returns.
    static std::optional<milliseconds> hold_endpoint(const state_record* restored,
                                                     const state_record& known)
    {
        const auto before = Codec::decode_endpoint(known);
        if (!before)
            return std::nullopt;
        const auto after = restored != nullptr ? Codec::decode_endpoint(*restored) : std::nullopt;
        if (!after)
            return known.deleted ? std::nullopt : std::optional(lapse_grace);
        const bool is_newer = before->started_at != after->started_at
                                  ? before->started_at > after->started_at
                                  : known.deleted || (before->draining && !after->draining);
        return is_newer ? std::optional(lost_record_hold) : std::nullopt;
    }
};

} // namespace zinnianotch
