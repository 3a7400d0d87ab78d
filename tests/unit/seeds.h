// Seeds and random numbers of randomized tests. To replay a failure, set the environment variable
// ZINNIANOTCH_SEED to the seed that the failing test printed: tests that call replayed_seed() then
// use only this seed.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <random>

namespace zinnianotch::testing
{

inline std::optional<std::uint64_t> replayed_seed()
{
    const char* const text = std::getenv("ZINNIANOTCH_SEED");
    if (text == nullptr)
        return std::nullopt;
    return std::strtoull(text, nullptr, 10);
}

// Random numbers for one generated history or input, determined by the seed.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed * 0x9E3779B97F4A7C15ULL + 1) {}

    // Returns a number from 0 to count - 1.
    std::uint64_t below(std::uint64_t count) { return engine_() % count; }
    // Returns a number from lowest to highest, both included.
    std::int64_t between(std::int64_t lowest, std::int64_t highest)
    {
        return lowest + static_cast<std::int64_t>(below(highest - lowest + 1));
    }
    // Returns true with the given probability.
    bool chance(double probability)
    {
        return static_cast<double>(engine_() >> 11) * 0x1.0p-53 < probability;
    }

private:
    std::mt19937_64 engine_;
};

} // namespace zinnianotch::testing
