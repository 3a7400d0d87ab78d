// Unit tests of the names of reasons, which callers and dashboards depend on.
#include "state/verdict.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

// Guards against a reason that is added to the enumeration but not to the table of names.
Test(verdict, reason_every_value_has_unique_name)
{
    for (std::size_t i = 0; i < reason_count; ++i)
    {
        const auto value = static_cast<reason>(i);
        reason parsed = reason::bad_request;
        cr_assert(from_string(to_string(value), parsed), "no name for reason %zu", i);
        cr_assert(parsed == value, "name of reason %zu is not unique", i);
    }
}
