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
// Times in ms; messages between VMs carry them in 32 bits.
inline constexpr number_range<std::int64_t> duration_range{0, 2'147'483'647};
// Duration of a roll-out in ms; without any, it could not be judged.
inline constexpr number_range<std::int64_t> rollout_duration_range{1, 2'147'483'647};
// Remaining cold time of an endpoint in ms, negative once it is over; no endpoint warms up for
// days.
inline constexpr number_range<std::int64_t> cold_time_range{-86'400'000, 86'400'000};
// Start of an endpoint in Unix ms, which its JSON number must hold exactly.
inline constexpr number_range<std::int64_t> start_time_range{0, largest_exact};
// Concurrent requests or pieces per call of an endpoint; its address has no more ports.
inline constexpr number_range<std::uint32_t> slots_range{0, 65'535};
// Time for work in per cent of the usual time; beyond that an endpoint does not work at all.
inline constexpr number_range<double> pace_percent_range{1.0, 100'000.0};
// Wait in ms or slowness that a VM tells of an endpoint: an hour.
inline constexpr number_range<double> pace_sample_range{0.0, 3'600'000.0};
// Tokens of a prompt, of an answer or in the memory of an engine.
inline constexpr number_range<std::uint32_t> tokens_range{0, 1'000'000'000};
// Part of the requests of a route or a service.
inline constexpr number_range<double> share_range{0.0, 1.0};
// Pieces of one stage of a request; their handles reach the endpoint in one header field.
inline constexpr number_range<std::uint32_t> pieces_range{0, 10'000};
// Pause in seconds that an endpoint may ask for; an endpoint that is away longer leaves instead.
inline constexpr number_range<double> pause_range{0.0, 3600.0};
// Processing time of one piece in ms; that of a full batch must not overflow a time point.
inline constexpr number_range<double> piece_time_range{0.0, 3'600'000.0};
// Requests per second to a cold endpoint; more are no limit.
inline constexpr number_range<double> cold_rate_range{0.0, 1'000'000.0};
// Work of a VM relative to the others; far beyond the ratio of any two machines.
inline constexpr number_range<double> capacity_range{0.000'001, 1'000'000.0};
// Sizes in bytes; the results of all pieces of a stage must not overflow 64 bits.
inline constexpr number_range<std::uint64_t> size_range{0, std::uint64_t{1} << 48U};
// Priorities, weights and other counts, which are kept in 32 bits.
inline constexpr number_range<std::uint32_t> count_range{0, 4'294'967'295};

// False for nan.
template <typename Number>
constexpr bool is_within(Number number, const number_range<Number>& range)
{
    return number >= range.min && number <= range.max;
}

// nullopt for a number out of the range.
inline std::optional<double> to_decimal(double number, const number_range<double>& range)
{
    return is_within(number, range) ? std::optional(number) : std::nullopt;
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
