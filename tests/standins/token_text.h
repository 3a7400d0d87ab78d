// Text of the tokens that an engine stand-in generates. It depends only on the input and the index,
// so that a resumed stream continues with the same tokens and tests can check every received token.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

namespace standins
{

// FNV-1a, 64 bits: http://www.isthe.com/chongo/tech/comp/fnv/
inline std::uint64_t fnv1a_64(std::string_view bytes)
{
    constexpr std::uint64_t offset_basis = 0xcbf29ce484222325;
    constexpr std::uint64_t prime = 0x100000001b3;
    std::uint64_t hash = offset_basis;
    for (const char byte : bytes)
    {
        hash ^= static_cast<unsigned char>(byte);
        hash *= prime;
    }
    return hash;
}

// Token `index` of the output for `input`: the low 32 bits of the hash of "<input>#<index>" as 8
// hex digits.
inline std::string token_text(std::string_view input, std::uint64_t index)
{
    const std::uint64_t hash = fnv1a_64(std::string(input) + '#' + std::to_string(index));
    char text[9];
    std::snprintf(text, sizeof text, "%08x", static_cast<unsigned>(hash & 0xffffffff));
    return text;
}

} // namespace standins
