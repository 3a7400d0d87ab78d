// Position of a copy of the store's tables.
#pragma once

#include "state/number_range.h"

#include <compare>
#include <cstdint>
#include <tuple>

namespace zinnianotch
{

// The store numbers its changes by revision. When it comes back from an older copy, revisions go
// back and are given out again, and its era increases by one; any position of the new era is newer.
struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    bool operator==(const store_position&) const = default;
    std::strong_ordering operator<=>(const store_position& other) const
    {
        return std::tie(era, revision) <=> std::tie(other.era, other.revision);
    }
};

// False for a position that no store gives out.
constexpr bool is_valid(const store_position& position)
{
    return is_within(position.era, revision_range) && is_within(position.revision, revision_range);
}

} // namespace zinnianotch
