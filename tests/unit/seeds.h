// Seeds of generated histories. A failing seed is printed and replays alone when the environment
// variable ZINNIANOTCH_SEED holds it.
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

// Random decisions of one history.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed * 0x9E3779B97F4A7C15ULL + 1) {}

    // A number from 0 to count - 1.
    std::uint64_t below(std::uint64_t count) { return engine_() % count; }
    std::int64_t between(std::int64_t lowest, std::int64_t highest)
    {
        return lowest + static_cast<std::int64_t>(below(highest - lowest + 1));
    }
    bool chance(double probability)
    {
        return static_cast<double>(engine_() >> 11) * 0x1.0p-53 < probability;
    }

private:
    std::mt19937_64 engine_;
};

} // namespace zinnianotch::testing
