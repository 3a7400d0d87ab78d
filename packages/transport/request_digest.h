// Identity of a request across client attempts and VMs.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace zinnianotch
{

// The first 128 bits of the SHA-256 of the fields, each with its length, in hexadecimal.
std::string request_digest(std::initializer_list<std::string_view> fields);

} // namespace zinnianotch
