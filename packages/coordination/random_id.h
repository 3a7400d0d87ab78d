// Unique identifiers for requests, writes and incarnations.
#pragma once

#include <cstdint>
#include <string>

namespace zinnianotch
{

// A number from the system's entropy source, never zero.
std::uint64_t random_number();

// Sixteen hexadecimal digits from the system's entropy source.
std::string random_id();

} // namespace zinnianotch
