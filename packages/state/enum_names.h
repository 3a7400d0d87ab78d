// Look-up of an enumeration's values in its table of names.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace zinnianotch
{

// Name of the value; the table has one name for each value, in the order of the enumeration.
template <typename Enum, std::size_t Count>
std::string_view name_of(const std::array<std::string_view, Count>& names, Enum value)
{
    return names[static_cast<std::size_t>(value)];
}

// Sets `out` to the value of this name; false and unchanged for an unknown name.
template <typename Enum, std::size_t Count>
bool value_of(const std::array<std::string_view, Count>& names, std::string_view name, Enum& out)
{
    for (std::size_t i = 0; i < Count; ++i)
    {
        if (names[i] != name)
            continue;
        out = static_cast<Enum>(i);
        return true;
    }
    return false;
}

} // namespace zinnianotch
