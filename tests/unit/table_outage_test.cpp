// Ends of outages of the store, as one VM sees them.
#include "state/table_outage.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr time_point lost = start + std::chrono::seconds(10);
constexpr time_point regained = start + std::chrono::seconds(12);

// The table was current from the start and lost at `lost`.
table_outage make_lost()
{
    table_outage outage;
    outage.update(true, std::nullopt, start);
    outage.update(false, std::nullopt, lost);
    return outage;
}

} // namespace

// Guards against endpoints that are kept after their removal by a VM that has only just started.
Test(table_outage, table_read_for_the_first_time_there_was_no_outage)
{
    table_outage outage;
    outage.update(false, std::nullopt, start);
    outage.update(true, std::nullopt, lost);
    cr_assert(outage.ended_at(regained) == time_point{});
}

// Guards against lapsed entries that are taken for removals when no VM could read the table.
Test(table_outage, no_vm_read_table_outage_ends_when_one_does)
{
    table_outage outage = make_lost();
    cr_assert(outage.ended_at(lost + milliseconds(5)) == lost + milliseconds(5));
    outage.update(true, std::nullopt, regained);
    cr_assert(outage.ended_at(regained + milliseconds(5)) == regained);
    outage.update(true, regained + milliseconds(300), regained + milliseconds(300));
    cr_assert(outage.ended_at(regained + milliseconds(400)) == regained);
}

// Guards against an outage of one VM that is taken for one of the store.
Test(table_outage, other_vm_read_table_throughout_there_was_no_outage)
{
    table_outage outage = make_lost();
    outage.update(true, std::nullopt, regained);
    outage.update(true, start, regained + milliseconds(300));
    cr_assert(outage.ended_at(regained + milliseconds(300)) == start);
}

// Guards against an end that depends on when this VM's next call happens to be.
Test(table_outage, other_vm_regained_table_first_outage_ended_then)
{
    table_outage outage = make_lost();
    outage.update(true, regained - milliseconds(800), regained);
    cr_assert(outage.ended_at(regained) == regained - milliseconds(800));
}

// Guards against an outage that a VM which starts after it does not know of.
Test(table_outage, first_copy_from_vm_after_outage_its_end_is_taken_over)
{
    table_outage outage;
    outage.update(false, std::nullopt, lost);
    outage.on_first_copy(regained);
    outage.update(true, std::nullopt, regained + milliseconds(10));
    cr_assert(outage.ended_at(regained + milliseconds(10)) == regained);
}
