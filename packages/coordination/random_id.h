// Unique identifiers for requests, writes and incarnations.
#pragma once

#include <cstdint>
#include <string>

namespace zinnianotch
{

// Returns a non-zero random number from a per-thread generator that is seeded by the system's
// entropy source.
std::uint64_t random_number();

// Returns random_number() as sixteen hexadecimal digits.
std::string random_id();

} // namespace zinnianotch
