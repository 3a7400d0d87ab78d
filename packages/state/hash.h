// Hashes that are stable across VMs and versions, unlike std::hash.
#pragma once

#include <cstdint>
#include <string_view>

namespace zinnianotch
{

inline constexpr std::uint64_t fnv_offset_basis = 14695981039346656037ULL;
inline constexpr std::uint64_t fnv_prime = 1099511628211ULL;

constexpr std::uint64_t fnv_1a(std::uint64_t hash, std::string_view bytes)
{
    for (const char byte : bytes)
    {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnv_prime;
    }
    return hash;
}

// Finalizer of MurmurHash3. FNV-1a alone hardly changes the high bits if only the last bytes
// differ, which would assign most endpoints with consecutive ids to one VM.
constexpr std::uint64_t avalanche(std::uint64_t hash)
{
    hash ^= hash >> 33;
    hash *= 0xFF51AFD7ED558CCDULL;
    hash ^= hash >> 33;
    hash *= 0xC4CEB9FE1A85EC53ULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace zinnianotch
