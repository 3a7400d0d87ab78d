// Look-ups in the desired state of the serving path.
#include "state/serving.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

route_spec route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route_spec made;
    made.name = name;
    made.host = host;
    made.prefix = prefix;
    return made;
}

serving_state three_routes()
{
    serving_state state;
    state.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                    route("other", "b.example", "/x/")};
    return state;
}

} // namespace

// Guards against a request that goes to the service of a shorter prefix.
Test(serving, find_route_nested_prefixes_longest_wins)
{
    const serving_state state = three_routes();
    cr_assert(find_route(state, "a.example", "/x/y/z")->name == "long");
    cr_assert(find_route(state, "a.example", "/x/z")->name == "short");
}

// Guards against routes that leak from one host to another, and against a query taken for a path.
Test(serving, find_route_other_host_or_query_does_not_match)
{
    const serving_state state = three_routes();
    cr_assert(find_route(state, "b.example", "/x/y/z")->name == "other");
    cr_assert(find_route(state, "c.example", "/x/y/z") == nullptr);
    cr_assert(find_route(state, "a.example", "/z?/x/y/") == nullptr);
    cr_assert(find_route(state, "a.example", "/x") == nullptr);
}

// Guards against a second run of a request that must not run twice.
Test(serving, is_repeatable_only_idempotent_and_resumable_streams)
{
    route_spec made = route("r", "h", "/");
    made.kind = call_kind::non_idempotent;
    made.resumable = true; // says nothing of a request that is no stream
    cr_assert_not(is_repeatable(made));
    made.kind = call_kind::streaming;
    cr_assert(is_repeatable(made));
    made.resumable = false;
    cr_assert_not(is_repeatable(made));
    made.kind = call_kind::idempotent;
    cr_assert(is_repeatable(made));
}
