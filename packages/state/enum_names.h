// Conversion between the values of an enumeration and their names.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace zinnianotch
{

// Returns the name of the value. `names` has one name per value, in the order of the enumeration.
template <typename Enum, std::size_t Count>
std::string_view name_of(const std::array<std::string_view, Count>& names, Enum value)
{
    return names[static_cast<std::size_t>(value)];
}

// Sets `out` to the value with this name. Returns false and leaves `out` unchanged if there is
// none.
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
