// IP address and port to listen on or to connect to.
#pragma once

#include <cstdint>
#include <string>

namespace zinnianotch
{

struct socket_address
{
    std::string host; // IP address; IPv6 without brackets
    std::uint16_t port = 0;

    bool operator==(const socket_address&) const = default;
};

} // namespace zinnianotch
