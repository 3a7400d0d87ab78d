// Lookups in the desired state of the serving path.
#include "state/serving.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

route_spec route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route_spec spec;
    spec.name = name;
    spec.host = host;
    spec.prefix = prefix;
    return spec;
}

serving_state three_routes()
{
    serving_state state;
    state.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                    route("other", "b.example", "/x/")};
    return state;
}

} // namespace

// Guards against routing a request by a shorter prefix than the longest that matches.
Test(serving, find_route_nested_prefixes_longest_wins)
{
    const serving_state state = three_routes();
    cr_assert(find_route(state, "a.example", "/x/y/z")->name == "long");
    cr_assert(find_route(state, "a.example", "/x/z")->name == "short");
}

// Guards against routes of one host that match requests to another, and against matching a prefix
// within the query string.
Test(serving, find_route_other_host_or_query_does_not_match)
{
    const serving_state state = three_routes();
    cr_assert(find_route(state, "b.example", "/x/y/z")->name == "other");
    cr_assert(find_route(state, "c.example", "/x/y/z") == nullptr);
    cr_assert(find_route(state, "a.example", "/z?/x/y/") == nullptr);
    cr_assert(find_route(state, "a.example", "/x") == nullptr);
}

// Guards against sending a request twice that must not run twice.
Test(serving, is_repeatable_only_idempotent_and_resumable_streams)
{
    route_spec spec = route("r", "h", "/");
    spec.kind = call_kind::non_idempotent;
    spec.resumable = true; // has no effect on a request that is not a stream
    cr_assert_not(is_repeatable(spec));
    spec.kind = call_kind::streaming;
    cr_assert(is_repeatable(spec));
    spec.resumable = false;
    cr_assert_not(is_repeatable(spec));
    spec.kind = call_kind::idempotent;
    cr_assert(is_repeatable(spec));
}
