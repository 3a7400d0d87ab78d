// Encoding, framing and decoding of the messages between VMs of the serving path.
#include "protocol/vm_message.h"

#include "seeds.h"

#include <criterion/criterion.h>

#include <array>
#include <limits>

using namespace zinnianotch;
using zinnianotch::testing::random_source;

namespace
{

submit_message sample_submit()
{
    submit_message message;
    message.job = 77;
    message.request.attempt = "9c41d07be2a35f68";
    message.request.service = "rerankers";
    message.request.stage = 2;
    message.request.priority = 1;
    message.request.pieces = 10;
    message.request.result_bytes = 1500000;
    message.request.inputs = {"10.1.64.9:8080/5c1e", "10.1.64.9:8080/5c1f"};
    message.request.goal_left = milliseconds(-20);
    message.request.deadline_left = milliseconds(4000);
    message.request.account = 0xFEDCBA9876543210ULL;
    message.request.is_above_share = true;
    message.request.refused_pieces = 12;
    return message;
}

done_message sample_done()
{
    done_message done;
    done.job = 5;
    done.outcome.end = stage_end::refused;
    done.outcome.expected = milliseconds(900);
    done.outcome.handles = {"h"};
    done.outcome.delays.by_priority = {{1, milliseconds(300), milliseconds(2500)},
                                       {17, milliseconds(400), milliseconds(9000)}};
    done.outcome.delays.late = milliseconds(12000);
    done.outcome.delays.shares = {{0xFEDCBA9876543210ULL, 1, 0.25}, {3, 17, 0.5}};
    return done;
}

} // namespace

// Guards against fields that are lost or mixed up in encoding or decoding.
Test(vm_message, encode_frame_submit_and_done_round_trip)
{
    std::string bytes = encode_frame(sample_submit());
    bytes += encode_frame(sample_done());
    vm_message first;
    vm_message second;
    cr_assert(decode_frame(bytes, first) == frame_state::complete);
    cr_assert(decode_frame(bytes, second) == frame_state::complete);
    cr_assert(bytes.empty());
    const stage_request& request = std::get<submit_message>(first).request;
    cr_assert(std::get<submit_message>(first).job == 77);
    cr_assert(request.inputs == sample_submit().request.inputs);
    cr_assert(request.goal_left == milliseconds(-20));
    cr_assert(request.result_bytes == 1500000);
    cr_assert(std::get<done_message>(second).outcome.end == stage_end::refused);
    cr_assert(std::get<done_message>(second).outcome.expected == milliseconds(900));
    cr_assert(request.account == 0xFEDCBA9876543210ULL && request.is_above_share);
    cr_assert(request.refused_pieces == 12);
    cr_assert(std::get<done_message>(second).outcome.delays == sample_done().outcome.delays);
}

// Guards against crash queries that older VMs take for an unknown message, on which they would
// close the link, and against those that ask for something else after decoding.
Test(vm_message, crash_query_round_trips_as_state_query)
{
    for (const crash_query& query : {crash_query{milliseconds(0)}, crash_query{milliseconds(4200)},
                                     crash_query{std::nullopt, 0xFEDCBA9876543210ULL}})
    {
        std::string bytes = encode_frame(query);
        vm_message decoded;
        cr_assert(decode_frame(bytes, decoded) == frame_state::complete);
        cr_assert(std::get<crash_query>(decoded) == query);
    }
    std::string bytes = encode_frame(state_query{state_table::endpoints, {3, 7}, true});
    vm_message decoded;
    cr_assert(decode_frame(bytes, decoded) == frame_state::complete);
    cr_assert(std::get<state_query>(decoded).table == state_table::endpoints);
    crash_report known;
    known.is_known = true;
    bytes = encode_frame(known);
    cr_assert(decode_frame(bytes, decoded) == frame_state::complete);
    cr_assert(std::get<crash_report>(decoded) == known);
}

// Guards against a VM that marks all requests of an account, or crashes, because another VM reports
// a share that is no part of a whole.
Test(vm_message, decode_frame_share_out_of_range_is_invalid)
{
    for (const double share : {-0.5, 1.5, std::numeric_limits<double>::quiet_NaN()})
    {
        done_message done = sample_done();
        done.outcome.delays.shares[0].share = share;
        std::string frame = encode_frame(done);
        vm_message message;
        cr_assert(decode_frame(frame, message) == frame_state::invalid);
    }
}

// Guards against a report that takes memory without bound.
Test(vm_message, decode_frame_many_shares_are_cut)
{
    done_message done = sample_done();
    done.outcome.delays.shares.assign(account_shares_max + 100, {7, 1, 0.5});
    std::string frame = encode_frame(done);
    vm_message message;
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    cr_assert(std::get<done_message>(message).outcome.delays.shares.size() == account_shares_max);
}

// Guards against a job that is taken for another one when a VM gives it back.
Test(vm_message, returned_message_round_trip)
{
    std::string frame = encode_frame(returned_message{0xFFFFFFFFFFULL});
    vm_message message;
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    cr_assert(std::get<returned_message>(message).job == 0xFFFFFFFFFFULL);
}

// Guards against a frame being decoded before all of its bytes have been received.
Test(vm_message, decode_frame_every_prefix_is_incomplete)
{
    const std::string frame = encode_frame(sample_submit());
    for (std::size_t size = 0; size < frame.size(); ++size)
    {
        std::string prefix = frame.substr(0, size);
        vm_message message;
        cr_assert(decode_frame(prefix, message) == frame_state::incomplete);
        cr_assert(prefix.size() == size);
    }
}

// Guards against corrupt or malicious input from a peer crashing the process or exhausting its
// memory.
Test(vm_message, decode_frame_mutated_bytes_never_crash)
{
    const std::array frames{encode_frame(sample_submit()), encode_frame(sample_done())};
    for (std::uint64_t seed = 1; seed <= 6000; ++seed)
    {
        random_source random(seed);
        std::string bytes = frames[seed % frames.size()];
        for (std::uint64_t i = 0; i <= random.below(6); ++i)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        vm_message message;
        (void)decode_frame(bytes, message);
    }
    std::string oversized = "\xff\xff\xff\xff";
    vm_message message;
    cr_assert(decode_frame(oversized, message) == frame_state::invalid);
}

// Guards against changes that reach another VM without their deletions or revisions.
Test(vm_message, state_messages_round_trip)
{
    state_answer answer;
    answer.table = state_table::endpoints;
    answer.update.position = {3, 90};
    answer.update.after = {2, 80};
    answer.loaded = true;
    answer.regained_ago = milliseconds(40);
    answer.update.records = {{"a", std::string("\0x", 2), 85, false}, {"b", "", 90, true}};
    std::string frame = encode_frame(answer);
    vm_message message;
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    cr_assert(std::get<state_answer>(message).regained_ago == milliseconds(40));
    const table_update& decoded = std::get<state_answer>(message).update;
    cr_assert(decoded.after == (store_position{2, 80}) && !decoded.is_snapshot);
    cr_assert(decoded.position == (store_position{3, 90}));
    cr_assert(decoded.records.size() == 2 && decoded.records[1].deleted);
    cr_assert(decoded.records[0].value.size() == 2 && !decoded.records[0].deleted);

    state_notice notice;
    notice.copies[1] = {true, true, {4, 17}, 0xFFFFFFFFFFFFFFFFULL, 8, milliseconds(70)};
    frame = encode_frame(notice);
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    const auto& copies = std::get<state_notice>(message).copies;
    cr_assert(copies[1].in_sync && copies[1].position == (store_position{4, 17}));
    cr_assert(copies[1].held_digest == 8);
    cr_assert(copies[1].in_sync_for == milliseconds(70));
    cr_assert(copies[1].digest == 0xFFFFFFFFFFFFFFFFULL);
    cr_assert_not(copies[0].loaded);

    frame = encode_frame(state_query{state_table::vms, {5, 12}, true});
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    const auto& query = std::get<state_query>(message);
    cr_assert(query.position == (store_position{5, 12}) && query.held);

    held_records held{state_table::endpoints, 6, {}};
    held.records.push_back({{"a", "x", 85, true}, 17, milliseconds(900)});
    held.records.push_back({{"b", "y", 86, false}, 0, held_until_changed});
    frame = encode_frame(held);
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    const auto& decoded_held = std::get<held_records>(message);
    cr_assert(decoded_held.era == 6 && decoded_held.table == state_table::endpoints);
    cr_assert(decoded_held.records == held.records);
}

// Guards against crash reports that lose a field between VMs.
Test(vm_message, crash_report_is_unchanged)
{
    crash_report report;
    report.subject = crash_report_subject::requests;
    report.kind = crash_report_kind::sound;
    report.route = "jobs";
    report.origin = "vm-1/4f2a";
    report.sequence = 0xFFFFFFFFFFFFFFFFULL;
    report.engines = {{"engine-1", 1764867600123}, {"engine-2", -1}};
    report.domain = "dom-a";
    report.parts = {"0007", "badc0de1"};
    report.progress = answer_progress::first_event;
    report.answering_for = milliseconds(140);
    report.probes = 3;
    report.age = milliseconds(59'000);
    std::string frame = encode_frame(report);
    vm_message message;
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    cr_assert(std::get<crash_report>(message) == report);
}

// Guards against VMs that pass on a position that no store gives out.
Test(vm_message, state_messages_odd_position_is_not_loaded)
{
    for (const store_position odd : {store_position{1, 1ULL << 53}, store_position{1, ~0ULL},
                                     store_position{1ULL << 53, 4}, store_position{~0ULL, 4}})
    {
        state_answer answer;
        answer.update.position = odd;
        answer.loaded = true;
        std::string frame = encode_frame(answer);
        vm_message message;
        cr_assert(decode_frame(frame, message) == frame_state::complete);
        cr_assert_not(std::get<state_answer>(message).loaded);

        state_notice notice;
        notice.copies[0] = {true, true, odd, 5, 0};
        notice.copies[1] = {true, true, {1, 7}, 5, 0};
        frame = encode_frame(notice);
        cr_assert(decode_frame(frame, message) == frame_state::complete);
        const auto& copies = std::get<state_notice>(message).copies;
        cr_assert_not(copies[0].loaded || copies[0].in_sync);
        cr_assert(copies[1].loaded && copies[1].in_sync);
    }
    held_records held{state_table::endpoints, ~0ULL, {{{"a", "x", 85, true}, 17, milliseconds(9)}}};
    std::string frame = encode_frame(held);
    vm_message message;
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    cr_assert(std::get<held_records>(message).era == 0);
    cr_assert(std::get<held_records>(message).records.empty());
}

// Guards against counts of a roll-out that reach the judging VM incomplete.
Test(vm_message, rollout_messages_round_trip)
{
    rollout_report report;
    report.vm = "vm-1";
    report.lifetime = 0xFFFFFFFFFFFFFFFFULL;
    report.sequence = 9;
    report.service = "reading";
    report.order = 71;
    report.sent = 5000;
    report.candidate_sent = 400;
    report.old_in_flight = 12;
    report.old_unrepeatable = 5;
    report.phase = rollout_phase::full;
    report.age = milliseconds(3100);
    rollout_counts counts;
    counts.route = "loans";
    counts.endpoint = "endpoint-2";
    counts.domain = "dom-a";
    counts.is_candidate = true;
    counts.answers = 30;
    counts.failures = 4;
    counts.by_duration[0] = 25;
    counts.by_duration[rollout_buckets - 1] = 1;
    report.counts = {counts, {}};
    std::string frame = encode_frame(report);
    vm_message message;
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    const auto& decoded = std::get<rollout_report>(message);
    cr_assert(decoded.vm == "vm-1" && decoded.lifetime == report.lifetime);
    cr_assert(decoded.sequence == 9 && decoded.service == "reading" && decoded.order == 71);
    cr_assert(decoded.sent == 5000 && decoded.candidate_sent == 400);
    cr_assert(decoded.old_in_flight == 12 && decoded.age == milliseconds(3100));
    cr_assert(decoded.counts.size() == 2 && decoded.counts[0].route == "loans");
    cr_assert(decoded.old_unrepeatable == 5 && decoded.phase == rollout_phase::full);
    cr_assert(decoded.counts[0].domain == "dom-a");
    cr_assert(decoded.counts[0].endpoint == "endpoint-2" && decoded.counts[0].is_candidate);
    cr_assert(decoded.counts[0].answers == 30 && decoded.counts[0].failures == 4);
    cr_assert(decoded.counts[0].by_duration == counts.by_duration);

    const rollout_shares shares{0.02, 0.1, {{"loans", 0.25}, {"desk", 0.0}}};
    frame = encode_frame(rollout_verdict{"reading", 71, rollout_phase::rolled_back, 3, shares,
                                         milliseconds(900), "v1"});
    cr_assert(decode_frame(frame, message) == frame_state::complete);
    const auto& verdict = std::get<rollout_verdict>(message);
    cr_assert(verdict.service == "reading" && verdict.order == 71 && verdict.step == 3);
    cr_assert(verdict.phase == rollout_phase::rolled_back && verdict.age == milliseconds(900));
    cr_assert(verdict.shares == shares && verdict.old_version == "v1");
}

// Guards against a report that would turn a judgement by figures that no VM can have counted.
Test(vm_message, rollout_report_odd_figures_are_rejected)
{
    const auto is_rejected = [](const rollout_report& report)
    {
        std::string frame = encode_frame(report);
        vm_message message;
        return decode_frame(frame, message) == frame_state::invalid;
    };
    rollout_report good;
    good.counts.resize(rollout_max_counts);
    cr_assert_not(is_rejected(good));
    rollout_report odd = good;
    odd.counts[3].failures = 1;
    cr_assert(is_rejected(odd));
    odd = good;
    odd.counts[3].answers = 3;
    odd.counts[3].by_duration.fill(UINT32_MAX);
    cr_assert(is_rejected(odd));
    odd = good;
    odd.candidate_sent = ~0ULL;
    cr_assert(is_rejected(odd));
    odd = good;
    odd.age = milliseconds(-1);
    cr_assert(is_rejected(odd));
    odd = good;
    odd.order = ~0ULL;
    cr_assert(is_rejected(odd));
}
