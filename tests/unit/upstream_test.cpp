// The event-driven HTTP client of the serving path.
#include "transport/upstream.h"

#include "daemon/settings.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

// Guards against settings that are accepted and then name no peer: the address of the store may be
// an IPv6 address in brackets.
Test(upstream, parse_socket_address_reads_every_settings_address)
{
    for (const std::string text : {"127.0.0.1:80", "[::1]:7100", "[2001:db8::5]:65535"})
    {
        socket_address setting;
        cr_assert(from_string(text, setting), "%s", text.c_str());
        const auto peer = parse_socket_address(to_string(setting));
        cr_assert(peer.has_value(), "%s", text.c_str());
        cr_assert(peer->port() == setting.port);
        cr_assert(peer->address().to_string() == setting.host, "%s", text.c_str());
    }
}

// Guards against texts that only begin with an address.
Test(upstream, parse_socket_address_other_text_is_rejected)
{
    for (const std::string text :
         {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "[::1:80", "::1]:80", "[]:80",
          "[127.0.0.1]:80", "host:80", "127.0.0.1:80x"})
        cr_assert_not(parse_socket_address(text).has_value(), "%s", text.c_str());
}
