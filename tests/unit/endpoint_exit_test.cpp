#include "state/endpoint_exit.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

const time_point ended_at{milliseconds(100'000)};

// A draining endpoint whose record is still listed.
endpoint_exit draining()
{
    endpoint_exit known;
    known.ended_at = ended_at;
    known.announced_at = ended_at - 2 * shortest_drain;
    known.is_list_current = true;
    return known;
}

} // namespace

// Guards against a crash that is taken for the exit of an endpoint that never said it would leave.
Test(endpoint_exit, judge_not_announced_is_broken)
{
    endpoint_exit known = draining();
    known.announced_at.reset();
    cr_assert(judge_response_end(known, ended_at) == response_end::broken);
    known.withdrawn_at = known.announced_at = ended_at + milliseconds(1);
    cr_assert(judge_response_end(known, ended_at + milliseconds(1)) == response_end::broken);
}

// Guards against a verdict before the withdrawal of the record can have arrived.
Test(endpoint_exit, judge_listed_waits_for_withdrawal)
{
    endpoint_exit known = draining();
    const time_point timeout = ended_at + withdrawal_timeout;
    cr_assert(judge_response_end(known, timeout - milliseconds(1)) == response_end::undecided);
    cr_assert(judge_response_end(known, timeout) == response_end::broken);
    known.withdrawn_at = timeout;
    cr_assert(judge_response_end(known, timeout) == response_end::complete);
}

// Guards against a withdrawal that arrives before the end of the response.
Test(endpoint_exit, judge_announced_and_withdrawn_at_exit_is_complete)
{
    endpoint_exit known = draining();
    known.announced_at = ended_at - milliseconds(300);
    known.withdrawn_at = ended_at - milliseconds(1);
    cr_assert(judge_response_end(known, ended_at) == response_end::complete);
}

// Guards against the same where nothing shows whether the record was withdrawn at the exit.
Test(endpoint_exit, judge_record_tells_nothing_goes_by_time_since_announcement)
{
    for (const bool is_withdrawn : {false, true})
    {
        endpoint_exit known = draining();
        known.is_list_current = is_withdrawn;
        std::optional<time_point>& since = is_withdrawn ? known.withdrawn_at : known.announced_at;
        if (is_withdrawn)
            known.announced_at.reset();
        since = ended_at - shortest_drain;
        cr_assert(judge_response_end(known, ended_at) == response_end::undecided);
        cr_assert(judge_response_end(known, ended_at + crash_spread) == response_end::complete);
        since = ended_at - shortest_drain + milliseconds(1);
        cr_assert(judge_response_end(known, ended_at + crash_spread) == response_end::broken);
    }
}

// Guards against a crash that is taken for an exit although it ended other exchanges too.
Test(endpoint_exit, judge_others_broke_is_broken)
{
    endpoint_exit known = draining();
    known.withdrawn_at = ended_at;
    known.others_broke = true;
    cr_assert(judge_response_end(known, ended_at + crash_spread) == response_end::broken);
}

// Guards against the next lifetime under the same id, which a crash has too, taken for an exit.
Test(endpoint_exit, judge_replaced_is_no_withdrawal)
{
    endpoint_exit known = draining();
    known.replaced = true;
    cr_assert(judge_response_end(known, ended_at) == response_end::undecided);
    known.announced_at = ended_at;
    cr_assert(judge_response_end(known, ended_at + crash_spread) == response_end::broken);
}
