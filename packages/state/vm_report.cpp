#include "state/vm_report.h"

#include "state/enum_names.h"

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 10> endpoint_use_names = {
    "used",   "cold",     "full",       "failing", "unreachable",
    "lapsed", "draining", "domain_out", "barred",  "limited"};

} // namespace

std::string_view to_string(endpoint_use value)
{
    return name_of(endpoint_use_names, value);
}

} // namespace zinnianotch
