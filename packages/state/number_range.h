// Ranges of the numbers that other processes write. A number that is out of its range is a mistake
// of its writer and is not used.
#pragma once

#include <cmath>
#include <concepts>
#include <cstdint>
#include <optional>

namespace zinnianotch
{

template <typename Number>
struct number_range
{
    Number min;
    Number max;
};

// Largest whole number up to which a double, which carries JSON numbers, is exact.
inline constexpr std::uint64_t largest_exact = (std::uint64_t{1} << 53U) - 1;
// Counts that a store or the operator gives out in order: a rounded one would hide later ones.
inline constexpr number_range<std::uint64_t> revision_range{0, largest_exact};

// False for nan.
template <typename Number>
constexpr bool is_within(Number number, const number_range<Number>& range)
{
    return number >= range.min && number <= range.max;
}

// `number` rounded to a whole number; nullopt if it is out of the range, whose bounds a double must
// hold exactly.
template <std::integral Integer>
std::optional<Integer> to_integer(double number, const number_range<Integer>& range)
{
    if (!is_within(number, {static_cast<double>(range.min), static_cast<double>(range.max)}))
        return std::nullopt;
    return static_cast<Integer>(std::llround(number));
}

// As above, and nullopt for a number with a fraction.
template <std::integral Integer>
std::optional<Integer> to_whole(double number, const number_range<Integer>& range)
{
    return number == std::trunc(number) ? to_integer(number, range) : std::nullopt;
}

} // namespace zinnianotch
