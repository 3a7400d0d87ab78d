// The serving path from caller to endpoint, with stand-ins for the store and the endpoints.
#include "serving_fixture.h"

#include "transport/log.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace serving;
using web::json::value;
using zinnianotch::upstream_failure;

namespace
{

// A ready deployment with one VM, two plain endpoints and two engines.
struct small_deployment : deployment
{
    endpoint_standin& plain_1 = add_endpoint("plain", "plain-1");
    endpoint_standin& plain_2 = add_endpoint("plain", "plain-2");
    endpoint_standin& engine_1 = add_endpoint("engines", "engine-1");
    endpoint_standin& engine_2 = add_endpoint("engines", "engine-2");

    small_deployment()
    {
        engine_1.events = 5;
        engine_2.events = 5;
    }

    void start(std::size_t vms = 1)
    {
        configure(1);
        for (std::size_t i = 0; i < vms; ++i)
            add_vm();
        cr_assert(run_until(
            [&]
            {
                for (std::size_t i = 0; i < vms; ++i)
                {
                    if (!is_ready(i) || vm(i).known_endpoints() < 4)
                        return false;
                }
                return true;
            }));
    }

    // Two VMs that have found each other.
    void start_linked()
    {
        start(2);
        cr_assert(run_until([&] { return store.has("vms", "vm-0") && store.has("vms", "vm-1"); }));
        cr_assert(run_until([&] { return vm(0).links_up() > 0 && vm(1).links_up() > 0; }));
    }

    std::size_t arrivals(const std::string& attempt) const
    {
        std::size_t count = 0;
        for (const endpoint_standin* endpoint : {&plain_1, &plain_2, &engine_1, &engine_2})
        {
            count += std::count_if(endpoint->seen.begin(), endpoint->seen.end(),
                                   [&](const seen_request& request)
                                   { return request.attempt == attempt; });
        }
        return count;
    }

    // Sets a fault on all endpoints of a pair.
    template <typename Set>
    void both_engines(Set set)
    {
        set(engine_1);
        set(engine_2);
    }
    template <typename Set>
    void both_plain(Set set)
    {
        set(plain_1);
        set(plain_2);
    }
};

std::string events_text(int count)
{
    std::string text;
    for (int i = 1; i <= count; ++i)
        text += "id: " + std::to_string(i) + "\ndata: text " + std::to_string(i) + "\n\n";
    return text;
}

value account(const std::string& name, const std::string& key)
{
    value made = value::object();
    made["name"] = value::string(name);
    made["api_keys"] = value::array({value::string(key)});
    return made;
}

// Adds a stage of two pieces to the stream's route.
void add_stage(deployment& served)
{
    value stage = value::object();
    stage["service"] = value::string("encoders");
    stage["after"] = value::array();
    stage["bytes"] = value::number(1000);
    served.routes["/stream/"]["stages"] = value::array({stage});
}

// An endpoint that says that it leaves gets nothing new after this time.
constexpr milliseconds drain_bound{2000};
// A change of the desired state is in force after this time.
constexpr milliseconds config_bound{2000};

constexpr const char* two_pieces = "Pieces: 2\r\nPiece-Key: k1\r\n";

} // namespace

// Guards against answers that lose bytes, their seal, or the caller's own request id.
Test(edge, plain_request_answer_is_unchanged)
{
    small_deployment served;
    served.start();
    const auto got = served.ask(0, request_text("GET", "/read/1", "a1"));
    cr_assert(got->done && got->head.status == 200);
    cr_assert(got->body == "answer to a1");
    cr_assert(zinnianotch::find_field(got->head, "Response-Seal") == "seal-a1");
}

// Guards against a system that lets a caller set what only the system may say to an endpoint, and
// against a key that leaves the system.
Test(edge, request_own_fields_of_caller_are_replaced)
{
    small_deployment served;
    served.accounts = value::array({account("library", "secret")});
    served.start();
    const auto got = served.ask(
        0, request_text("GET", "/read/1", "a1",
                        "Authorization: Bearer secret\r\nTenant: other\r\nHold: 7\r\nPin-Ms: 9\r\n"
                        "Deadline-Ms: 900\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"));
    cr_assert(got->head.status == 200);
    const auto& seen = served.plain_1.seen.empty() ? served.plain_2.seen : served.plain_1.seen;
    const auto& fields = seen.front().fields;
    cr_assert(fields.at("tenant") == "library");
    for (const char* absent : {"authorization", "hold", "pin-ms", "x-hop"})
        cr_assert_not(fields.contains(absent), "%s was passed on", absent);
    cr_assert(fields.at("x-kept") == "2");
    cr_assert(std::stoi(fields.at("deadline-ms")) <= 900);
}

// Guards against keys that are not checked, and against anonymous routes that need one.
Test(edge, request_unknown_key_is_refused)
{
    small_deployment served;
    served.accounts = value::array({account("library", "secret")});
    served.routes["/order/"]["allow_anonymous"] = value::boolean(true);
    served.start();
    cr_assert(served.ask(0, request_text("GET", "/read/1", "a1"))->head.status == 401);
    cr_assert(served.ask(0, request_text("GET", "/read/1", "a2", "Authorization: Bearer x\r\n"))
                  ->head.status == 401);
    cr_assert(served.ask(0, request_text("POST", "/order/1", "a3", "", "x"))->head.status == 200);
    cr_assert(
        served.ask(0, request_text("GET", "/none/1", "a4", "Authorization: Bearer secret\r\n"))
            ->head.status == 404);
}

// Guards against a VM that answers 404 or 401 before it has read any desired state.
Test(edge, request_without_desired_state_is_not_run)
{
    small_deployment served;
    served.store.refuse_status = 503;
    served.add_vm();
    const auto got = served.ask(0, request_text("GET", "/read/1", "a1"));
    cr_assert(got->head.status == 503);
    cr_assert(zinnianotch::find_field(got->head, "Retry-After").has_value());
    cr_assert_not(served.is_ready(0));
}

// Guards against an idempotent request that fails with its first endpoint.
Test(edge, idempotent_request_endpoint_fails_other_one_answers)
{
    small_deployment served;
    served.start();
    served.plain_1.fail_next = 1;
    served.plain_2.fail_next = 0;
    for (int i = 0; i < 4; ++i)
        cr_assert(
            served.ask(0, request_text("GET", "/read/1", "a" + std::to_string(i)))->head.status ==
            200);
}

// Guards against an order that is recorded twice: its connection breaks after it was sent.
Test(edge, order_connection_breaks_is_sent_once)
{
    small_deployment served;
    served.start();
    served.both_plain([](endpoint_standin& endpoint) { endpoint.break_before_answer = 1; });
    const auto got = served.ask(0, request_text("POST", "/order/1", "o1", "", "x"));
    cr_assert(got->head.status == 502, "status %d", got->head.status);
    cr_assert(served.arrivals("o1") == 1);
}

// Guards against a refusal that says "not run" of an order that an endpoint failed after running.
Test(edge, order_endpoint_answers_503_without_not_run_caller_gets_502)
{
    small_deployment served;
    served.start();
    served.both_plain(
        [](endpoint_standin& endpoint)
        {
            endpoint.fail_next = 1;
            endpoint.fail_status = 503;
        });
    const auto got = served.ask(0, request_text("POST", "/order/1", "o1", "", "x"));
    cr_assert(got->head.status == 502);
    cr_assert(served.arrivals("o1") == 1);
}

// Guards against an order that is given up although the endpoint said that it has not run it.
Test(edge, order_endpoint_full_other_one_runs_it)
{
    small_deployment served;
    served.routes["/order/"]["attempts"] = value::number(2);
    served.start();
    served.plain_1.fail_next = 0;
    served.both_plain(
        [](endpoint_standin& endpoint)
        {
            endpoint.fail_status = 503;
            endpoint.fail_says_not_run = true;
        });
    served.plain_1.fail_next = 1;
    const auto first = served.ask(0, request_text("POST", "/order/1", "o1", "", "x"));
    const auto second = served.ask(0, request_text("POST", "/order/1", "o2", "", "x"));
    cr_assert(first->head.status == 200 && second->head.status == 200);
}

// Guards against an answer of an earlier request that reaches the next caller on the connection.
Test(edge, stray_answer_is_skipped)
{
    small_deployment served;
    served.start();
    served.both_plain([](endpoint_standin& endpoint) { endpoint.stray_answer_first = true; });
    const auto got = served.ask(0, request_text("GET", "/read/1", "a1"));
    cr_assert(got->done && got->body == "answer to a1", "got '%s'", got->body.c_str());
}

// Guards against bytes behind a whole answer that are taken for the start of the next one.
Test(edge, extra_bytes_next_request_gets_its_own_answer)
{
    small_deployment served;
    served.start();
    served.both_plain([](endpoint_standin& endpoint) { endpoint.extra_bytes = true; });
    for (int i = 0; i < 6; ++i)
    {
        const std::string attempt = "a" + std::to_string(i);
        const auto got = served.ask(0, request_text("GET", "/read/1", attempt));
        cr_assert(got->done && got->body == "answer to " + attempt);
    }
}

// Guards against an answer without a length that is lost or cut.
Test(edge, unframed_answer_is_whole)
{
    small_deployment served;
    served.start();
    served.both_plain([](endpoint_standin& endpoint) { endpoint.unframed = true; });
    const auto got = served.ask(0, request_text("GET", "/read/1", "a1"));
    cr_assert(got->done && got->body == "answer to a1");
}

// Guards against a resumable stream that ends with its first engine, and against events that are
// lost or doubled where the second one goes on.
Test(edge, resumable_stream_breaks_goes_on_without_gap)
{
    small_deployment served;
    served.start();
    served.both_engines([](endpoint_standin& engine) { engine.break_after_event = 3; });
    auto got = served.call(0, request_text("POST", "/stream/1", "s1", "", "x"));
    cr_assert(served.run_until(
        [&] {
            return served.engine_1.break_after_event < 0 || served.engine_2.break_after_event < 0;
        }));
    // The first engine breaks off; the one that goes on must not.
    served.both_engines([](endpoint_standin& engine) { engine.break_after_event = -1; });
    cr_assert(served.run_until([&] { return got->ended(); }));
    cr_assert(got->done && got->body == events_text(5), "got '%s'", got->body.c_str());
    cr_assert(served.arrivals("s1") == 2);
}

// Guards against a stream that must not run twice and is sent to a second engine, and against one
// that looks complete although its engine broke off.
Test(edge, unresumable_stream_breaks_does_not_look_complete)
{
    small_deployment served;
    served.start();
    served.both_engines([](endpoint_standin& engine) { engine.break_after_event = 3; });
    const auto got = served.ask(0, request_text("POST", "/once/1", "s1", "", "x"));
    cr_assert(got->failure.has_value());
    cr_assert(*got->failure == upstream_failure::broken_in_answer);
    cr_assert(got->body == events_text(3));
    cr_assert(served.arrivals("s1") == 1);
}

// Guards against an error that is written into a chunked answer that has begun. It was seen as a
// chunk whose size cannot be read: the stages of a resumed stream were refused.
Test(edge, resumed_stream_stages_refused_breaks_off)
{
    small_deployment served;
    add_stage(served);
    endpoint_standin& encoder = served.add_endpoint("encoders", "encoder-1");
    served.start();
    served.both_engines([](endpoint_standin& engine) { engine.break_after_event = 3; });
    served.engine_1.event_pause = milliseconds(30);
    served.engine_2.event_pause = milliseconds(30);
    auto got = served.call(0, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(served.run_until([&] { return !got->body.empty(); }));
    encoder.piece_reason = "error";
    cr_assert(served.run_until([&] { return got->ended(); }));
    cr_assert(got->failure == upstream_failure::broken_in_answer);
    cr_assert(got->body == events_text(3));
}

// Guards against inputs that are missing, doubled or of another request.
Test(edge, stages_engine_gets_all_results_of_its_request)
{
    small_deployment served;
    add_stage(served);
    endpoint_standin& encoder = served.add_endpoint("encoders", "encoder-1");
    served.start();
    const auto got = served.ask(0, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(got->done && got->body == events_text(5));
    const auto& engine = served.engine_1.seen.empty() ? served.engine_2 : served.engine_1;
    const std::string inputs = engine.seen.front().fields.at("inputs");
    cr_assert(inputs == encoder.address() + "/1," + encoder.address() + "/2", "%s", inputs.c_str());
    cr_assert(served.run_until([&] { return encoder.freed.size() == 2; }));
}

// Guards against calls that are sent while their endpoint still keeps the results of earlier ones.
Test(edge, results_fill_endpoint_next_call_waits_until_they_are_freed)
{
    constexpr int requests = 20;
    constexpr double bytes = 99'000;
    small_deployment served;
    add_stage(served);
    served.routes["/stream/"]["stages"][0]["bytes"] = value::number(bytes);
    served.stage_room_mb = 1.0;
    endpoint_standin& encoder = served.add_endpoint("encoders", "encoder-1");
    encoder.result_limit = 9;
    served.start();
    std::vector<std::unique_ptr<caller>> calls;
    calls.reserve(requests);
    for (int i = 0; i < requests; ++i)
        calls.push_back(served.call(
            0, request_text("POST", "/stream/1", "s" + std::to_string(i), two_pieces, "x")));
    cr_assert(served.run_until(
        [&] {
            return std::all_of(calls.begin(), calls.end(),
                               [](const auto& one) { return one->ended(); });
        }));
    for (const auto& one : calls)
        cr_assert(one->done && one->body == events_text(5));
    cr_assert(encoder.pieces_without_room == 0, "%zu pieces", encoder.pieces_without_room);
}

// Guards against a request that fails because a result was gone by the time its engine asked.
Test(edge, input_gone_stages_run_again)
{
    small_deployment served;
    add_stage(served);
    endpoint_standin& encoder = served.add_endpoint("encoders", "encoder-1");
    served.start();
    served.list_endpoint("engines", served.engine_2, "dom-a", "draining");
    cr_assert(served.run_until([&] { return !served.vm(0).routes_to("engine-2"); }));
    served.engine_1.inputs_gone_once = true;
    const auto got = served.ask(0, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(got->done && got->body == events_text(5));
    cr_assert(encoder.pieces_made == 4);
}

// Guards against a process that ends when all pieces of a job fail: a hunted day ended one with a
// segmentation fault, because the job was gone before its last pieces were looked at.
Test(edge, stages_all_pieces_fail_request_is_refused)
{
    small_deployment served;
    add_stage(served);
    endpoint_standin& encoder = served.add_endpoint("encoders", "encoder-1");
    encoder.piece_reason = "error";
    served.limits.repeats.slack = 3;
    served.start();
    const auto got = served.ask(
        0, request_text("POST", "/stream/1", "s1", "Pieces: 6\r\nPiece-Key: k1\r\n", "x"));
    cr_assert(got->head.status == 503, "status %d", got->head.status);
    cr_assert(served.arrivals("s1") == 0);
}

// Guards against a result that nobody frees, and against use of a job that is gone: the first piece
// ends the job, the second one of the same call was made.
Test(edge, stages_piece_fails_for_good_others_results_are_freed)
{
    small_deployment served;
    add_stage(served);
    endpoint_standin& encoder = served.add_endpoint("encoders", "encoder-1");
    encoder.first_piece_fails = true;
    served.limits.repeats = {0.0, 0, milliseconds(10000)};
    served.start();
    const auto got = served.ask(0, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(got->head.status == 503, "status %d", got->head.status);
    cr_assert(encoder.pieces_made == 1);
    cr_assert(served.run_until([&] { return encoder.freed.size() == 1; }, milliseconds(2000)));
}

// Guards against VMs that each send small calls: both send their pieces to one VM, and while the
// endpoint works, they meet in one call.
Test(edge, two_vms_pieces_meet_in_one_call)
{
    small_deployment served;
    add_stage(served);
    endpoint_standin& encoder = served.add_endpoint("encoders", "encoder-1");
    encoder.work = milliseconds(150);
    served.start_linked();
    std::vector<std::unique_ptr<caller>> calls;
    calls.reserve(7);
    for (int i = 0; i < 7; ++i)
        calls.push_back(served.call(
            static_cast<std::size_t>(i % 2),
            request_text("POST", "/stream/1", "s" + std::to_string(i), two_pieces, "x")));
    cr_assert(served.run_until(
        [&] {
            return std::all_of(calls.begin(), calls.end(),
                               [](const auto& one) { return one->ended(); });
        }));
    for (const auto& one : calls)
        cr_assert(one->done && one->body == events_text(5));
    cr_assert(encoder.seen.size() <= 3, "%zu calls for 14 pieces", encoder.seen.size());
}

// Guards against requests that wait for ever for a VM that has died with their pieces.
Test(edge, gathering_vm_dies_other_vm_goes_on)
{
    small_deployment served;
    add_stage(served);
    endpoint_standin& encoder = served.add_endpoint("encoders", "encoder-1");
    encoder.work = milliseconds(300);
    served.start_linked();
    const std::size_t gatherer = served.vm(0).gathers("encoders") ? 0 : 1;
    const std::size_t other = 1 - gatherer;
    auto got = served.call(other, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(served.run_until([&] { return !encoder.seen.empty(); }));
    served.kill_vm(gatherer);
    cr_assert(served.run_until([&] { return got->ended(); }));
    cr_assert(got->done && got->body == events_text(5));
}

// Guards against a process that ends when two stages of one request were with a VM that has died
// and the first of them ends the request. A scored day ended one with an empty callback.
Test(edge, gathering_vm_dies_too_late_for_two_stages_request_is_refused)
{
    small_deployment served;
    value stage = value::object();
    stage["service"] = value::string("encoders");
    stage["after"] = value::array();
    stage["bytes"] = value::number(1000);
    served.routes["/stream/"]["stages"] = value::array({stage, stage});
    served.routes["/stream/"]["timeout_ms"] = value::number(1300);
    endpoint_standin& encoder = served.add_endpoint("encoders", "encoder-1");
    encoder.mute = true;
    served.start_linked();
    const std::size_t gatherer = served.vm(0).gathers("encoders") ? 0 : 1;
    auto got = served.call(1 - gatherer, request_text("POST", "/stream/1", "s1",
                                                      "Pieces: 2,2\r\nPiece-Key: k1\r\n", "x"));
    cr_assert(served.run_until([&] { return !encoder.seen.empty(); }));
    // Without an endpoint the stages are refused as soon as they are handed over.
    served.list_endpoint("encoders", encoder, "dom-a", "draining");
    cr_assert(served.run_until([&] { return !served.vm(1 - gatherer).routes_to("encoder-1"); }));
    served.kill_vm(gatherer);
    cr_assert(served.run_until([&] { return got->ended(); }));
    cr_assert(got->head.status == 503, "status %d", got->head.status);
    served.run_for(milliseconds(50));
}

// Guards against a VM that drops all endpoints when the store comes back, because their entries
// lapsed while it was away, and against one that keeps an endpoint whose entry does not come back.
Test(edge, entries_lapsed_while_store_was_away_endpoint_stays_for_a_moment)
{
    small_deployment served;
    served.start();
    served.store.refuse_status = 503;
    served.run_for(milliseconds(3500)); // longer than a call for changes may wait
    served.store.remove("servers", "plain-1");
    served.store.remove("servers", "plain-2");
    served.store.refuse_status = 0;
    served.run_for(milliseconds(1300));
    cr_assert(served.ask(0, request_text("GET", "/read/1", "a1"))->head.status == 200);
    served.list_endpoint("plain", served.plain_1, "dom-a");
    cr_assert(
        served.run_until([&] { return !served.vm(0).routes_to("plain-2"); }, drain_bound * 2));
    cr_assert(served.vm(0).routes_to("plain-1"));
}

// Guards against a request that is held although no endpoint may be tried in time: the caller is
// told at once when to come back.
Test(edge, all_endpoints_leaving_request_is_refused_at_once)
{
    small_deployment served;
    served.start();
    served.list_endpoint("plain", served.plain_1, "dom-a", "draining");
    served.list_endpoint("plain", served.plain_2, "dom-a", "draining");
    cr_assert(served.run_until(
        [&] { return !served.vm(0).routes_to("plain-1") && !served.vm(0).routes_to("plain-2"); },
        drain_bound));
    const auto sent = std::chrono::steady_clock::now();
    const auto got = served.ask(0, request_text("POST", "/order/1", "o1", "", "x"));
    cr_assert(got->head.status == 503);
    cr_assert(zinnianotch::find_field(got->head, "Retry-After").has_value());
    cr_assert(std::chrono::steady_clock::now() - sent < zinnianotch::milliseconds(200));
}

// Guards against a leaving endpoint that gets new requests.
Test(edge, draining_endpoint_gets_nothing_new)
{
    small_deployment served;
    served.start();
    served.list_endpoint("plain", served.plain_1, "dom-a", "draining");
    cr_assert(served.run_until([&] { return !served.vm(0).routes_to("plain-1"); }, drain_bound));
    const std::size_t before = served.plain_1.seen.size();
    for (int i = 0; i < 6; ++i)
        cr_assert(served.ask(0, request_text("GET", "/read/1", "a" + std::to_string(i)))->done);
    cr_assert(served.plain_1.seen.size() == before);
}

// Guards against a failure domain that is out and gets requests, and against one that stays out
// after it was taken back while history was forgotten.
Test(edge, domain_out_gets_nothing_until_taken_back)
{
    small_deployment served;
    endpoint_standin& far = served.add_endpoint("plain", "plain-3", "dom-b");
    served.start();
    served.store.put("op", "evacuate/dom-a", value::object());
    cr_assert(served.run_until([&] { return !served.vm(0).routes_to("plain-1"); }, config_bound));
    const std::size_t before = served.plain_1.seen.size() + served.plain_2.seen.size();
    for (int i = 0; i < 4; ++i)
        cr_assert(served.ask(0, request_text("GET", "/read/1", "a" + std::to_string(i)))->done);
    cr_assert(served.plain_1.seen.size() + served.plain_2.seen.size() == before);
    cr_assert(far.seen.size() == 4);
    served.store.silent = true;
    served.store.remove("op", "evacuate/dom-a");
    served.store.forget_history();
    served.store.silent = false;
    cr_assert(served.run_until(
        [&]
        {
            (void)served.ask(0, request_text("GET", "/read/1", "b"));
            return served.plain_1.seen.size() + served.plain_2.seen.size() > before;
        }));
}

// Guards against an entry that cannot be read and takes the others with it.
Test(edge, unreadable_entries_others_serve)
{
    small_deployment served;
    served.store.put_bytes("servers", "bad-1", "\x01not json");
    value wrong = value::object();
    wrong["service"] = value::number(7);
    served.store.put("servers", "bad-2", wrong);
    served.start();
    cr_assert(served.ask(0, request_text("GET", "/read/1", "a1"))->head.status == 200);
}

// Guards against a VM that goes back to an older desired state.
Test(edge, desired_state_older_version_is_ignored)
{
    small_deployment served;
    served.start();
    served.configure(5);
    cr_assert(served.run_until([&] { return served.vm(0).desired_version() == 5; }, config_bound));
    served.routes.erase("/read/");
    served.configure(4);
    served.run_for(milliseconds(100));
    cr_assert(served.ask(0, request_text("GET", "/read/1", "a1"))->head.status == 200);
    served.configure(6);
    cr_assert(served.run_until([&] { return served.vm(0).desired_version() == 6; }, config_bound));
    cr_assert(served.ask(0, request_text("GET", "/read/1", "a2"))->head.status == 404);
}

// Guards against work that goes on at an endpoint after its caller has left.
Test(edge, caller_leaves_endpoint_is_told)
{
    small_deployment served;
    served.start();
    served.both_plain([](endpoint_standin& endpoint) { endpoint.work = milliseconds(5000); });
    auto got = served.call(0, request_text("GET", "/read/1", "a1"));
    cr_assert(served.run_until([&] { return served.arrivals("a1") == 1; }));
    got->leave();
    cr_assert(served.run_until([&] { return served.plain_1.left + served.plain_2.left == 1; },
                               milliseconds(500)));
}

// Guards against a request that is kept waiting beyond its route's timeout.
Test(edge, silent_endpoint_caller_gets_answer_at_timeout)
{
    small_deployment served;
    served.routes["/order/"]["timeout_ms"] = value::number(300);
    served.start();
    served.both_plain([](endpoint_standin& endpoint) { endpoint.mute = true; });
    const auto sent = std::chrono::steady_clock::now();
    const auto got = served.ask(0, request_text("POST", "/order/1", "o1", "", "x"));
    const auto taken = std::chrono::steady_clock::now() - sent;
    cr_assert(got->head.status == 504);
    cr_assert(taken >= milliseconds(290) && taken < milliseconds(800));
}

// Guards against a planned stop that cuts a request, and against a stopping VM that stays in the
// balancer.
Test(edge, planned_stop_request_in_hand_is_answered)
{
    small_deployment served;
    served.start();
    served.both_engines([](endpoint_standin& engine) { engine.event_pause = milliseconds(100); });
    auto got = served.call(0, request_text("POST", "/once/1", "s1", "", "x"));
    cr_assert(served.run_until([&] { return !got->body.empty(); }));
    served.stop_vm(0);
    cr_assert_not(served.is_ready(0));
    cr_assert(served.run_until([&] { return got->ended(); }));
    cr_assert(got->done && got->body == events_text(5));
}

// Guards against a VM that the store turns away and that never hears of a change which the others
// follow.
Test(edge, store_turns_vm_away_state_comes_from_other_vm)
{
    small_deployment served;
    add_stage(served);
    (void)served.add_endpoint("encoders", "encoder-1");
    served.start(2);
    cr_assert(served.run_until([&] { return served.vm(0).links_up() > 0; }));
    served.store.turn_away(0);
    served.routes.erase("/read/");
    served.configure(2);
    cr_assert(served.run_until(
        [&] { return served.ask(0, request_text("GET", "/read/1", "x"))->head.status == 404; },
        milliseconds(6000)));
}

namespace
{

std::string use_of(const value& status, const std::string& endpoint)
{
    for (const value& entry : status.at("endpoints").as_array())
    {
        if (entry.at("id").as_string() == endpoint)
            return entry.at("use").as_string();
    }
    return "missing";
}

} // namespace

// Guards against a status that hides from the night shift which endpoints get no work, and why.
Test(edge, status_endpoints_leave_and_fail_says_how_each_is_used)
{
    small_deployment served;
    served.start();
    served.list_endpoint("plain", served.plain_1, "dom-a", "draining");
    cr_assert(served.run_until([&] { return !served.vm(0).routes_to("plain-1"); }));
    const value status = value::parse(served.ask_operations(0, "/vm/status")->body);
    cr_assert(status.at("desired_version").as_integer() == 1);
    cr_assert(status.at("state").as_string() == "ready");
    cr_assert(use_of(status, "plain-1") == "draining");
    cr_assert(use_of(status, "plain-2") == "used");
    cr_assert(status.at("tables").size() == 3);
    cr_assert(status.at("tables").at(0).at("in_touch").as_bool());
}

// Guards against a request of which a VM can't say what it went through.
Test(edge, request_lines_request_was_served_and_refused_tell_its_end)
{
    small_deployment served;
    served.start();
    zinnianotch::configure_log(zinnianotch::log_level::info, "vm-0",
                               zinnianotch::log_stream::standard_output, 1);
    zinnianotch::set_request_log_limit(zinnianotch::request_log_bytes);
    (void)served.ask(0, request_text("GET", "/read/1", "attempt-7"));
    (void)served.ask(0, request_text("GET", "/nothing/1", "attempt-8"));
    const auto answered = served.ask_operations(0, "/vm/requests/attempt-7");
    cr_assert(answered->head.status == 200);
    cr_assert(answered->body.find("event=request ") != std::string::npos);
    cr_assert(answered->body.find("request=attempt-7") != std::string::npos);
    cr_assert(answered->body.find("attempt-8") == std::string::npos);
    cr_assert(served.ask_operations(0, "/vm/requests/attempt-8")->body.find("status=404") !=
              std::string::npos);
    cr_assert(served.ask_operations(0, "/vm/requests/attempt-9")->head.status == 404);
}

// Guards against a metrics page without the refusals that callers got.
Test(edge, metrics_page_request_refused_counts_it)
{
    small_deployment served;
    served.start();
    served.list_endpoint("plain", served.plain_1, "dom-a", "draining");
    served.list_endpoint("plain", served.plain_2, "dom-a", "draining");
    cr_assert(served.run_until(
        [&] { return !served.vm(0).routes_to("plain-1") && !served.vm(0).routes_to("plain-2"); }));
    cr_assert(served.ask(0, request_text("GET", "/read/1", "x"))->head.status == 503);
    const auto page = served.ask_operations(0, "/metrics");
    cr_assert(page->body.find("zinnianotch_requests_total 1") != std::string::npos);
    cr_assert(page->body.find("zinnianotch_refusals_total{reason=\"no_endpoint\"") !=
              std::string::npos);
}
