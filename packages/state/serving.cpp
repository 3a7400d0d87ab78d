#include "state/serving.h"

#include "state/enum_names.h"

#include <algorithm>
#include <array>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 3> kind_names = {"idempotent", "non_idempotent",
                                                        "streaming"};

} // namespace

std::string_view to_string(call_kind value)
{
    return name_of(kind_names, value);
}

bool from_string(std::string_view name, call_kind& out)
{
    return value_of(kind_names, name, out);
}

bool is_repeatable(const route_spec& route)
{
    return route.kind == call_kind::idempotent ||
           (route.kind == call_kind::streaming && route.resumable);
}

const route_spec* find_route(const serving_state& state, std::string_view host,
                             std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    const route_spec* best = nullptr;
    for (const route_spec& route : state.routes)
    {
        if (route.host != host || !path.starts_with(route.prefix))
            continue;
        if (best == nullptr || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    return best;
}

bool has_route(const serving_state& state, std::string_view name)
{
    return std::any_of(state.routes.begin(), state.routes.end(),
                       [&](const route_spec& route) { return route.name == name; });
}

const client_account* find_account(const serving_state& state, std::string_view key)
{
    const auto found = state.account_by_key.find(key);
    return found == state.account_by_key.end() ? nullptr : &state.accounts[found->second];
}

const service_spec* find_service(const serving_state& state, std::string_view name)
{
    const auto found = state.services.find(name);
    return found == state.services.end() ? nullptr : &found->second;
}

} // namespace zinnianotch
