#include "state/stage_request.h"

#include "state/enum_names.h"

#include <array>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 4> failure_names = {"late", "input_gone", "no_room",
                                                           "failed"};
constexpr std::array<std::string_view, 4> end_names = {"done", "refused", "failed", "lost"};
constexpr std::array<std::string_view, state_table_count> table_names = {"desired", "endpoints",
                                                                         "vms"};

} // namespace

std::string_view to_string(piece_failure value)
{
    return name_of(failure_names, value);
}

std::string queue_name(const std::string& service, const std::string& shard)
{
    return shard.empty() ? service : service + "@" + shard;
}

std::string_view to_string(stage_end value)
{
    return name_of(end_names, value);
}

std::string_view to_string(state_table value)
{
    return name_of(table_names, value);
}

} // namespace zinnianotch
