// An address to listen at or to connect to.
#pragma once

#include <cstdint>
#include <string>

namespace zinnianotch
{

struct socket_address
{
    std::string host; // IP address, an IPv6 address without brackets
    std::uint16_t port = 0;

    bool operator==(const socket_address&) const = default;
};

} // namespace zinnianotch
