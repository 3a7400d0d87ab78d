// event_stream: forwarding of complete events only, and detection of duplicates and gaps when a
// broken stream is resumed.
#include "state/event_stream.h"

#include "seeds.h"

#include <criterion/criterion.h>

using namespace zinnianotch;
using zinnianotch::testing::random_source;

namespace
{

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: text " + std::to_string(id) + "\n\n";
}

} // namespace

// Guards against an incomplete event being forwarded to the caller: if the endpoint fails before
// the event is complete, the caller is left with a truncated event.
Test(event_stream, feed_partial_event_is_held_back)
{
    event_stream stream;
    const std::string second = event(2);
    cr_assert(stream.feed(event(1) + second.substr(0, 9)) == event(1));
    cr_assert(stream.has_incomplete_event());
    cr_assert(stream.feed(second.substr(9)) == second);
    cr_assert_not(stream.has_incomplete_event());
    cr_assert(stream.last_id() == 2);
}

// Guards against a complete stream that counts as broken off because of line ends after its last
// event.
Test(event_stream, line_ends_after_last_event_are_no_event)
{
    event_stream stream;
    (void)stream.feed(event(1) + "\n\r\n");
    cr_assert_not(stream.has_incomplete_event());
    (void)stream.feed("i");
    cr_assert(stream.has_incomplete_event());
}

// Guards against events being delivered twice after a resumption, and against the incomplete event
// of the first endpoint being joined to the response of the second.
Test(event_stream, restart_overlapping_events_are_dropped)
{
    event_stream stream;
    cr_assert(stream.feed(event(1) + event(2) + "id: 3\nda") == event(1) + event(2));
    stream.restart();
    cr_assert(stream.feed(event(2) + event(3)) == event(3));
    cr_assert_not(stream.has_gap());
}

// Guards against a stream being continued after a missing event.
Test(event_stream, restart_missing_event_is_reported)
{
    event_stream stream;
    (void)stream.feed(event(1));
    stream.restart();
    (void)stream.feed(event(3));
    cr_assert(stream.has_gap());
}

// Guards against output that depends on how the network splits the stream into reads.
Test(event_stream, feed_any_split_gives_same_events)
{
    std::string input;
    for (int id = 1; id <= 40; ++id)
        input += id % 3 == 0 ? "weight-versions: 2\n" + event(id) : event(id);
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        random_source random(seed);
        event_stream stream;
        std::string out;
        for (std::size_t offset = 0; offset < input.size();)
        {
            const std::size_t count =
                std::min<std::size_t>(1 + random.below(70), input.size() - offset);
            out += stream.feed(std::string_view(input).substr(offset, count));
            offset += count;
        }
        cr_assert(out == input, "seed %lu", static_cast<unsigned long>(seed));
        cr_assert(stream.events() == 40);
    }
}
