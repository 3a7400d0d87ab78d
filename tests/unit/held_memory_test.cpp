// Memory held for slow clients and endpoints: the sum under load, and who gives way.
#include "state/held_memory.h"

#include "state/endpoint_pace.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <vector>

using namespace zinnianotch;

namespace
{

constexpr std::uint64_t kib = 1024;
constexpr std::uint64_t mib = 1024 * kib;
constexpr std::uint64_t small_machine = 120 * mib;
constexpr time_point start{std::chrono::hours(1)};
constexpr milliseconds step{20};
// An engine cuts off a response that remains unread for this long.
constexpr milliseconds unread_limit{4000};

held_memory make_held(std::uint64_t machine = small_machine)
{
    held_memory held;
    held.set_bound(held_memory_bound(machine));
    return held;
}

// A response that its engine makes faster than its client reads it.
struct slow_reader
{
    holder_id id;
    std::uint64_t reads_per_s = 0;
    std::uint64_t held = 0;
    time_point engine_read_at = start; // last time that bytes were taken from the engine
    time_point read_on_at = start;
    bool is_cut = false; // by its engine
    bool has_yielded = false;

    void advance(held_memory& memory, bool is_bounded, time_point now)
    {
        constexpr std::uint64_t made = 400 * kib * step.count() / 1000;
        constexpr std::uint64_t piece = 16 * kib;
        constexpr std::uint64_t fixed_limit = 256 * kib;
        if (is_cut || has_yielded)
            return;
        const std::uint64_t read = std::min<std::uint64_t>(
            held, reads_per_s * static_cast<std::uint64_t>(step.count()) / 1000);
        held -= read;
        memory.drain(id, read, now);
        std::uint64_t taken = 0;
        if (held <= memory.read_ahead_limit(fixed_limit))
            taken = made;
        else if (is_bounded && memory.read_on() && now >= read_on_at)
        {
            taken = piece;
            read_on_at = now + *memory.read_on();
        }
        held += taken;
        memory.grow(id, taken, now);
        if (taken > 0)
            engine_read_at = now;
        is_cut = now - engine_read_at > unread_limit;
    }
};

// A body of 4 MiB whose engine reads it at 100 KiB/s.
struct slow_engine
{
    static constexpr std::uint64_t body = 4 * mib;
    static constexpr std::uint64_t reads_per_step = 100 * kib * step.count() / 1000;
    holder_id whole;
    holder_id unread;
    std::uint64_t left = 0;
};

struct load_result
{
    std::uint64_t peak = 0;
    std::size_t refused = 0;
    std::size_t accepted = 0;
    std::size_t completed = 0;
    std::size_t cut = 0;
    std::size_t yielded = 0;
};

// 40 readers of 1 to 40 KiB/s, and bodies for 40 slow engines, for a minute.
load_result run_slow_load(held_memory held, bool is_bounded)
{
    load_result result;
    std::vector<slow_reader> readers(40);
    for (std::size_t i = 0; i < readers.size(); ++i)
    {
        readers[i].id = held.add(held_kind::response, start);
        readers[i].reads_per_s = (i + 1) * kib;
    }
    std::vector<slow_engine> engines(40);
    std::uint64_t unbounded_bodies = 0;
    for (time_point now = start; now < start + std::chrono::seconds(60); now += step)
    {
        for (slow_reader& reader : readers)
            reader.advance(held, is_bounded, now);
        for (slow_engine& engine : engines)
        {
            if (engine.left == 0)
            {
                const bool has_room = is_bounded ? held.admits_body(slow_engine::body)
                                                 : unbounded_bodies + slow_engine::body <= 72 * mib;
                ++(has_room ? result.accepted : result.refused);
                if (!has_room)
                    continue;
                unbounded_bodies += slow_engine::body;
                engine.whole = held.add(held_kind::request_body, now);
                held.grow(engine.whole, body_copies * slow_engine::body, now);
                engine.unread = held.add(held_kind::endpoint_request, now);
                engine.left = slow_engine::body;
                held.grow(engine.unread, engine.left, now);
                continue;
            }
            const std::uint64_t read = std::min(engine.left, slow_engine::reads_per_step);
            engine.left -= read;
            held.drain(engine.unread, read, now);
            if (engine.left > 0)
                continue;
            held.remove(engine.unread);
            held.remove(engine.whole);
            unbounded_bodies -= slow_engine::body;
            ++result.completed;
        }
        for (const yielding_holder& each : held.choose_yielding(now))
        {
            held.remove(each.id);
            for (slow_reader& reader : readers)
                reader.has_yielded = reader.has_yielded || reader.id == each.id;
            ++result.yielded;
        }
        result.peak = std::max(result.peak, held.total());
    }
    for (const slow_reader& reader : readers)
        result.cut += reader.is_cut ? 1 : 0;
    return result;
}

void print(const char* name, const load_result& result)
{
    (void)std::fprintf(stderr,
                       "held memory, %s: peak %lu MiB, bodies accepted %zu (%zu complete), "
                       "responses cut off by engines %zu, given way %zu\n",
                       name, static_cast<unsigned long>(result.peak / mib), result.accepted,
                       result.completed, result.cut, result.yielded);
}

} // namespace

// Guards against a VM of 120 MB that is killed for its memory, and against responses that engines
// cut off because the VM no longer reads them.
Test(held_memory, slow_readers_and_engines_stay_within_bound_and_none_is_cut)
{
    const load_result before = run_slow_load(held_memory(), false);
    const load_result after = run_slow_load(make_held(), true);
    print("without a bound", before);
    print("with a bound", after);
    cr_assert(before.peak > small_machine && before.cut > 0, "the load is too light");
    cr_assert_leq(after.peak, held_memory_bound(small_machine));
    cr_assert_eq(after.cut, 0);
    cr_assert_eq(after.yielded, 0);
    cr_assert_gt(after.completed, 0);
}

// Guards against one holder that never reads and takes the memory of all others.
Test(held_memory, holder_that_never_reads_gives_way_first)
{
    held_memory held = make_held();
    const holder_id stuck = held.add(held_kind::response, start);
    held.grow(stuck, held.read_ahead_limit(0), start);
    std::vector<holder_id> readers;
    readers.reserve(20);
    for (int i = 0; i < 20; ++i)
        readers.push_back(held.add(held_kind::response, start));
    time_point now = start;
    for (int i = 0; held.choose_yielding(now).empty(); ++i)
    {
        cr_assert(i < 10'000);
        now += step;
        for (const holder_id reader : readers)
        {
            held.grow(reader, 20 * kib, now);
            held.drain(reader, 10 * kib, now);
        }
    }
    const auto yielding = held.choose_yielding(now);
    cr_assert(yielding.front().id == stuck);
    // It is enough unless the sum is above the whole bound.
    cr_assert(held.total() > held.bound() || yielding.size() == 1, "%zu give way", yielding.size());
}

// Guards against a burst of bodies that ends responses in progress, and against one that leaves no
// room for small requests.
Test(held_memory, burst_of_bodies_is_refused_in_part_and_nobody_gives_way)
{
    held_memory held = make_held();
    const holder_id response = held.add(held_kind::response, start);
    held.grow(response, mib, start);
    std::size_t accepted = 0;
    for (int i = 0; i < 60; ++i)
    {
        if (!held.admits_body(4 * mib))
            continue;
        held.grow(held.add(held_kind::incoming_body, start), body_copies * 4 * mib, start);
        ++accepted;
    }
    cr_assert(accepted >= 4 && accepted <= 8, "%zu of 60", accepted);
    cr_assert(!held.admits_body(64 * kib * 256) && held.admits_body(2 * kib));
    // A large body of unknown length, which arrives in small pieces, is bounded like a large one.
    const holder_id chunked = held.add(held_kind::incoming_body, start);
    std::uint64_t received = 0;
    for (; held.admits_body(received + 2 * kib, received); received += 2 * kib)
        held.grow(chunked, body_copies * 2 * kib, start);
    cr_assert(held.total() < held.bound() * 8 / 10 && held.admits_body(2 * kib));
    cr_assert(held.total() <= held.bound());
    cr_assert(held.choose_yielding(start + milliseconds(3000)).empty());
}

// Guards against an upload that stops and keeps others out for as long as its connection lasts.
Test(held_memory, stalled_upload_gives_way_once_bodies_are_refused)
{
    held_memory held = make_held();
    std::vector<holder_id> uploads;
    while (held.total() <= held.bound() * 8 / 10)
    {
        uploads.push_back(held.add(held_kind::incoming_body, start));
        held.grow(uploads.back(), 4 * mib, start);
    }
    cr_assert(held.choose_yielding(start + stalled_time - step).empty());
    const time_point now = start + stalled_time + step;
    for (std::size_t i = 1; i < uploads.size(); ++i)
        held.note_progress(uploads[i], 1, now - step);
    const auto yielding = held.choose_yielding(now);
    cr_assert(yielding.size() == 1 && yielding.front().id == uploads.front());
    cr_assert(yielding.front().kind == held_kind::incoming_body);
    cr_assert(yielding.front().idle >= stalled_time);
}

// Guards against a fast reader that is cut instead of a slower one, and against a new holder, whose
// rate is not known yet, being taken for the slowest.
Test(held_memory, above_the_bound_slowest_reader_gives_way_before_faster_and_new_ones)
{
    held_memory held = make_held();
    const std::uint64_t share = held.bound() / 4;
    const holder_id slow = held.add(held_kind::response, start);
    const holder_id fast = held.add(held_kind::response, start);
    held.grow(slow, 2 * share, start);
    held.grow(fast, 2 * share, start);
    time_point now = start;
    for (; now < start + milliseconds(3000); now += step)
    {
        held.drain(slow, 1 * kib, now);
        held.drain(fast, 20 * kib, now);
    }
    const holder_id fresh = held.add(held_kind::response, now);
    held.grow(fresh, 2 * share, now);
    const auto yielding = held.choose_yielding(now);
    cr_assert(!yielding.empty() && yielding.front().id == slow);
    cr_assert(std::none_of(yielding.begin(), yielding.end(),
                           [&](const yielding_holder& each) { return each.id == fresh; }));
    cr_assert(held.total(held_kind::response) == held.total());
}

// Guards against other deployments being served differently: without a limit nothing is bounded.
Test(held_memory, without_bound_nothing_is_refused_or_gives_way)
{
    held_memory held;
    const holder_id id = held.add(held_kind::response, start);
    held.grow(id, 1024 * mib, start);
    cr_assert(held.admits_body(64 * mib));
    cr_assert_eq(held.read_ahead_limit(256 * kib), 256 * kib);
    cr_assert_eq(held.link_limit(32 * mib), 32 * mib);
    cr_assert(!held.read_on());
    cr_assert(held.choose_yielding(start + std::chrono::hours(1)).empty());
}

// Guards against a holder that has ended and changes the account of the next one in its place.
Test(held_memory, removed_holder_has_no_effect_on_its_successor)
{
    held_memory held = make_held();
    const holder_id first = held.add(held_kind::vm_link, start);
    held.grow(first, 10, start);
    held.remove(first);
    const holder_id second = held.add(held_kind::response, start);
    held.grow(first, 1000, start);
    held.remove(first);
    held.grow(second, 5, start);
    held.drain(second, 7, start);
    held.grow(second, 3, start);
    cr_assert(held.bytes(first) == 0 && held.bytes(second) == 3 && held.total() == 3);
    cr_assert(held.total(held_kind::vm_link) == 0 && held.total(held_kind::response) == 3);
}

// Guards against machines that are too small for the estimate of the process having no bound, or
// one above their memory.
Test(held_memory, bound_is_positive_and_below_the_machine)
{
    cr_assert_eq(held_memory_bound(0), 0);
    for (const std::uint64_t mb : {16, 64, 120, 160, 260, 512, 65536})
    {
        const std::uint64_t bound = held_memory_bound(mb * mib);
        cr_assert(bound > 0 && bound < mb * mib * 2 / 3);
    }
}

// Guards against an engine that crashes because it holds more than its memory, and against a large
// request that no engine would ever get.
Test(held_memory, request_fits_engine_beside_own_and_reported_requests)
{
    cr_assert(fits_memory({0.0, 0.0, 5000.0}, 10'000.0, 10'000.0));
    cr_assert(fits_memory({6000.0, 0.0, 5000.0}, 4000.0, 10'000.0));
    cr_assert(!fits_memory({6000.0, 0.0, 5000.0}, 4001.0, 10'000.0));
    cr_assert(!fits_memory({0.0, 2.0, 5000.0}, 1.0, 10'000.0));
    cr_assert(!fits_memory({3000.0, 1.0, 5000.0}, 3000.0, 10'000.0));
}
