// The serving path from client to endpoint, with a fake store and fake endpoints.
#include "serving_fixture.h"

#include "transport/log.h"

#include <criterion/criterion.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

using namespace serving;
using web::json::value;
using zinnianotch::upstream_failure;

namespace
{

// Keeps the event loop from running for longer than pause_threshold.
void pause_process()
{
    const auto end = zinnianotch::steady_clock::now() + milliseconds(1100);
    while (zinnianotch::steady_clock::now() < end)
    {
    }
}

// A deployment with two plain endpoints and two engines; start() makes it ready.
struct small_deployment : deployment
{
    fake_endpoint& plain_1 = add_endpoint("plain", "plain-1");
    fake_endpoint& plain_2 = add_endpoint("plain", "plain-2");
    fake_endpoint& engine_1 = add_endpoint("engines", "engine-1");
    fake_endpoint& engine_2 = add_endpoint("engines", "engine-2");

    small_deployment()
    {
        engine_1.event_count = 5;
        engine_2.event_count = 5;
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

    // Starts two VMs and waits until they are connected to each other.
    void start_linked()
    {
        start(2);
        cr_assert(run_until([&] { return store.has("vms", "vm-0") && store.has("vms", "vm-1"); }));
        cr_assert(run_until([&] { return vm(0).links_up() > 0 && vm(1).links_up() > 0; }));
    }

    std::size_t count_requests(const std::string& attempt) const
    {
        std::size_t count = 0;
        for (const fake_endpoint* endpoint : {&plain_1, &plain_2, &engine_1, &engine_2})
        {
            count += std::count_if(endpoint->requests.begin(), endpoint->requests.end(),
                                   [&](const recorded_request& request)
                                   { return request.attempt == attempt; });
        }
        return count;
    }

    // These apply a function, usually one that sets a fault, to both endpoints of a service.
    template <typename Function>
    void for_both_engines(Function apply)
    {
        apply(engine_1);
        apply(engine_2);
    }
    template <typename Function>
    void for_both_plain(Function apply)
    {
        apply(plain_1);
        apply(plain_2);
    }
};

// Another VM as seen by a VM of the deployment: keeps what it receives.
class fake_peer
{
public:
    fake_peer(small_deployment& harness, std::size_t vm)
        : harness_(harness),
          link_(
              harness.io, {boost::asio::ip::make_address(loopback), harness.vm(vm).peers_port()},
              [this](zinnianotch::vm_message&& message)
              { received_.push_back(std::move(message)); },
              [] {}, [](const zinnianotch::link_history&) {})
    {
    }

    // Runs the event loop until the connection is open and the VM has sent something.
    bool connect()
    {
        return run_until([this] { return link_.is_up(); });
    }
    bool run_until(const std::function<bool()>& condition)
    {
        return harness_.run_until(
            [&]
            {
                link_.tick(zinnianotch::steady_clock::now());
                return condition();
            });
    }
    void send(const zinnianotch::vm_message& message) { link_.send(message); }

    template <typename Message>
    bool has_received() const
    {
        return std::any_of(received_.begin(), received_.end(),
                           [](const auto& message)
                           { return std::holds_alternative<Message>(message); });
    }

    template <typename Message>
    std::vector<Message> received() const
    {
        std::vector<Message> found;
        for (const zinnianotch::vm_message& message : received_)
        {
            if (const auto* const one = std::get_if<Message>(&message))
                found.push_back(*one);
        }
        return found;
    }

private:
    small_deployment& harness_;
    std::vector<zinnianotch::vm_message> received_;
    zinnianotch::vm_link link_;
};

value account(const std::string& name, const std::string& key)
{
    value tenant = value::object();
    tenant["name"] = value::string(name);
    tenant["api_keys"] = value::array({value::string(key)});
    return tenant;
}

// A draining endpoint gets no new requests after this time.
constexpr milliseconds drain_bound{2000};
// A change of the desired state is applied within this time.
constexpr milliseconds config_bound{2000};

constexpr const char* two_pieces = "Pieces: 2\r\nPiece-Key: k1\r\n";

} // namespace

// Guards against responses that lose bytes of the body or header fields such as Response-Seal, and
// against changes to the client's attempt id.
Test(edge, plain_request_response_is_unchanged)
{
    small_deployment harness;
    harness.start();
    const auto exchange = harness.send_and_wait(0, request_text("GET", "/read/1", "a1"));
    cr_assert(exchange->done && exchange->head.status == 200);
    cr_assert(exchange->body == "answer to a1");
    cr_assert(zinnianotch::find_field(exchange->head, "Response-Seal") == "seal-a1");
}

// Guards against clients that set header fields which only the system may send to an endpoint, and
// against API keys that are forwarded to endpoints.
Test(edge, request_reserved_fields_of_client_are_replaced)
{
    small_deployment harness;
    harness.accounts = value::array({account("library", "secret")});
    harness.start();
    const auto exchange = harness.send_and_wait(
        0, request_text("GET", "/read/1", "a1",
                        "Authorization: Bearer secret\r\nTenant: other\r\nHold: 7\r\nPin-Ms: 9\r\n"
                        "Deadline-Ms: 900\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"));
    cr_assert(exchange->head.status == 200);
    const auto& requests =
        harness.plain_1.requests.empty() ? harness.plain_2.requests : harness.plain_1.requests;
    const auto& fields = requests.front().fields;
    cr_assert(fields.at("tenant") == "library");
    for (const char* absent : {"authorization", "hold", "pin-ms", "x-hop"})
        cr_assert_not(fields.contains(absent), "%s was forwarded", absent);
    cr_assert(fields.at("x-kept") == "2");
    cr_assert(std::stoi(fields.at("deadline-ms")) <= 900);
}

// Guards against API keys that are not checked, and against anonymous routes that require one.
Test(edge, request_unknown_key_is_refused)
{
    small_deployment harness;
    harness.accounts = value::array({account("library", "secret")});
    harness.routes["/order/"]["allow_anonymous"] = value::boolean(true);
    harness.start();
    cr_assert(harness.send_and_wait(0, request_text("GET", "/read/1", "a1"))->head.status == 401);
    cr_assert(
        harness
            .send_and_wait(0, request_text("GET", "/read/1", "a2", "Authorization: Bearer x\r\n"))
            ->head.status == 401);
    cr_assert(
        harness.send_and_wait(0, request_text("POST", "/order/1", "a3", "", "x"))->head.status ==
        200);
    cr_assert(harness
                  .send_and_wait(
                      0, request_text("GET", "/none/1", "a4", "Authorization: Bearer secret\r\n"))
                  ->head.status == 404);
}

// Guards against a VM that responds with 404 or 401 before it has read any desired state.
Test(edge, request_without_desired_state_is_not_run)
{
    small_deployment harness;
    harness.store.refuse_status = 503;
    harness.add_vm();
    const auto exchange = harness.send_and_wait(0, request_text("GET", "/read/1", "a1"));
    cr_assert(exchange->head.status == 503);
    cr_assert(zinnianotch::find_field(exchange->head, "Retry-After").has_value());
    cr_assert_not(harness.is_ready(0));
}

// Guards against an idempotent request that fails because its first endpoint fails.
Test(edge, idempotent_request_endpoint_fails_other_one_answers)
{
    small_deployment harness;
    harness.start();
    harness.plain_1.fail_next = 1;
    harness.plain_2.fail_next = 0;
    for (int i = 0; i < 4; ++i)
        cr_assert(harness.send_and_wait(0, request_text("GET", "/read/1", "a" + std::to_string(i)))
                      ->head.status == 200);
}

// Guards against an order that is recorded twice because it is sent again after its connection
// broke.
Test(edge, order_connection_breaks_is_sent_once)
{
    small_deployment harness;
    harness.start();
    harness.for_both_plain([](fake_endpoint& endpoint) { endpoint.break_before_answer = 1; });
    const auto exchange = harness.send_and_wait(0, request_text("POST", "/order/1", "o1", "", "x"));
    cr_assert(exchange->head.status == 502, "status %d", exchange->head.status);
    cr_assert(harness.count_requests("o1") == 1);
}

// Guards against reporting an order as not run when its endpoint ran it and responded with 503.
Test(edge, order_endpoint_answers_503_without_not_run_caller_gets_502)
{
    small_deployment harness;
    harness.start();
    harness.for_both_plain(
        [](fake_endpoint& endpoint)
        {
            endpoint.fail_next = 1;
            endpoint.fail_status = 503;
        });
    const auto exchange = harness.send_and_wait(0, request_text("POST", "/order/1", "o1", "", "x"));
    cr_assert(exchange->head.status == 502);
    cr_assert(harness.count_requests("o1") == 1);
}

// Guards against an order that fails although its endpoint reported that it did not run it and
// another endpoint could.
Test(edge, order_endpoint_full_other_one_runs_it)
{
    small_deployment harness;
    harness.routes["/order/"]["attempts"] = value::number(2);
    harness.start();
    harness.plain_1.fail_next = 0;
    harness.for_both_plain(
        [](fake_endpoint& endpoint)
        {
            endpoint.fail_status = 503;
            endpoint.fail_as_not_run = true;
        });
    harness.plain_1.fail_next = 1;
    const auto first = harness.send_and_wait(0, request_text("POST", "/order/1", "o1", "", "x"));
    const auto second = harness.send_and_wait(0, request_text("POST", "/order/1", "o2", "", "x"));
    cr_assert(first->head.status == 200 && second->head.status == 200);
}

// Guards against the response to an earlier request being passed to the next client that uses the
// connection.
Test(edge, response_to_other_request_is_skipped)
{
    small_deployment harness;
    harness.start();
    harness.for_both_plain([](fake_endpoint& endpoint) { endpoint.stray_answer_first = true; });
    const auto exchange = harness.send_and_wait(0, request_text("GET", "/read/1", "a1"));
    cr_assert(exchange->done && exchange->body == "answer to a1", "got '%s'",
              exchange->body.c_str());
}

// Guards against bytes after a complete response being parsed as the start of the next one.
Test(edge, extra_bytes_next_request_gets_its_own_response)
{
    small_deployment harness;
    harness.start();
    harness.for_both_plain([](fake_endpoint& endpoint) { endpoint.extra_bytes = true; });
    for (int i = 0; i < 6; ++i)
    {
        const std::string attempt = "a" + std::to_string(i);
        const auto exchange = harness.send_and_wait(0, request_text("GET", "/read/1", attempt));
        cr_assert(exchange->done && exchange->body == "answer to " + attempt);
    }
}

// Guards against a response without a length (ended by closing the connection) being lost or
// truncated.
Test(edge, close_delimited_response_is_complete)
{
    small_deployment harness;
    harness.start();
    harness.for_both_plain([](fake_endpoint& endpoint) { endpoint.close_delimited = true; });
    const auto exchange = harness.send_and_wait(0, request_text("GET", "/read/1", "a1"));
    cr_assert(exchange->done && exchange->body == "answer to a1");
}

// Guards against a resumable stream that ends when its first engine fails, and against events that
// are lost or duplicated where the second engine continues.
Test(edge, resumable_stream_breaks_continues_without_gap)
{
    small_deployment harness;
    harness.start();
    harness.for_both_engines([](fake_endpoint& engine) { engine.break_after_event = 3; });
    auto exchange = harness.start_request(0, request_text("POST", "/stream/1", "s1", "", "x"));
    cr_assert(harness.run_until(
        [&] {
            return harness.engine_1.break_after_event < 0 || harness.engine_2.break_after_event < 0;
        }));
    // The first engine breaks the stream; the one that continues it must not.
    harness.for_both_engines([](fake_endpoint& engine) { engine.break_after_event = -1; });
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    cr_assert(exchange->done && exchange->body == events_text(5), "got '%s'",
              exchange->body.c_str());
    cr_assert(harness.count_requests("s1") == 2);
}

// Guards against a non-resumable stream that is sent to a second engine, and against one that looks
// complete to the client although its engine broke the connection.
Test(edge, unresumable_stream_breaks_does_not_look_complete)
{
    small_deployment harness;
    harness.start();
    harness.for_both_engines([](fake_endpoint& engine) { engine.break_after_event = 3; });
    const auto exchange = harness.send_and_wait(0, request_text("POST", "/once/1", "s1", "", "x"));
    cr_assert(exchange->failure.has_value());
    cr_assert(*exchange->failure == upstream_failure::broken_in_answer);
    cr_assert(exchange->body == events_text(3));
    cr_assert(harness.count_requests("s1") == 1);
}

// Guards against an error response written into a chunked response that has already begun, which
// clients read as an invalid chunk size. It happened when the stages of a resumed stream were
// refused.
Test(edge, resumed_stream_stages_refused_breaks_off)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    harness.start();
    harness.for_both_engines([](fake_endpoint& engine) { engine.break_after_event = 3; });
    harness.engine_1.event_interval = milliseconds(30);
    harness.engine_2.event_interval = milliseconds(30);
    auto exchange =
        harness.start_request(0, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(harness.run_until([&] { return !exchange->body.empty(); }));
    encoder.piece_failure_reason = "error";
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    cr_assert(exchange->failure == upstream_failure::broken_in_answer);
    cr_assert(exchange->body == events_text(3));
}

// Guards against stage results that are missing, duplicated or belong to another request.
Test(edge, stages_engine_gets_all_results_of_its_request)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    harness.start();
    const auto exchange =
        harness.send_and_wait(0, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(exchange->done && exchange->body == events_text(5));
    const auto& engine = harness.engine_1.requests.empty() ? harness.engine_2 : harness.engine_1;
    const std::string inputs = engine.requests.front().fields.at("inputs");
    cr_assert(inputs == encoder.address() + "/1," + encoder.address() + "/2", "%s", inputs.c_str());
    cr_assert(harness.run_until([&] { return encoder.freed.size() == 2; }));
}

// Guards against a shared prompt prefix that each failure domain's engines read again: the engine
// stays in the domain of large stage results, so these must be made where the prefix is cached.
Test(edge, large_stage_results_shared_prompt_stays_at_one_engine)
{
    small_deployment harness;
    harness.add_stage();
    harness.routes["/stream/"]["stages"][0]["bytes"] = value::number(1'000'000);
    harness.publish_endpoint("engines", harness.engine_2, "dom-b");
    (void)harness.add_endpoint("encoders", "encoder-1", "dom-a");
    (void)harness.add_endpoint("encoders", "encoder-2", "dom-b");
    harness.start();
    for (int prefix = 0; prefix < 4; ++prefix)
    {
        const std::size_t before = harness.engine_1.requests.size();
        for (int i = 0; i < 4; ++i)
        {
            const std::string prompt = "Prompt-Prefix: 7:500,cafe" + std::to_string(prefix) +
                                       ":4000,b" + std::to_string(i) + ":10\r\n";
            cr_assert(harness
                          .send_and_wait(0, request_text("POST", "/stream/1",
                                                         "s" + std::to_string(prefix * 4 + i),
                                                         two_pieces + prompt, "x"))
                          ->done);
        }
        const std::size_t at_first = harness.engine_1.requests.size() - before;
        cr_assert(at_first == 0 || at_first == 4, "prefix %d: %zu of 4", prefix, at_first);
    }
}

// Guards against calls sent to an endpoint whose result memory is still full of earlier results.
Test(edge, results_fill_endpoint_next_call_waits_until_they_are_freed)
{
    constexpr int request_count = 20;
    constexpr double bytes = 99'000;
    small_deployment harness;
    harness.add_stage();
    harness.routes["/stream/"]["stages"][0]["bytes"] = value::number(bytes);
    harness.result_memory_mb = 1.0;
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    encoder.result_limit = 9;
    harness.start();
    std::vector<std::unique_ptr<client_exchange>> exchanges;
    exchanges.reserve(request_count);
    for (int i = 0; i < request_count; ++i)
        exchanges.push_back(harness.start_request(
            0, request_text("POST", "/stream/1", "s" + std::to_string(i), two_pieces, "x")));
    cr_assert(harness.run_until(
        [&]
        {
            return std::all_of(exchanges.begin(), exchanges.end(),
                               [](const auto& one) { return one->ended(); });
        }));
    for (const auto& one : exchanges)
        cr_assert(one->done && one->body == events_text(5));
    cr_assert(encoder.pieces_rejected == 0, "%zu pieces", encoder.pieces_rejected);
}

// Guards against a request that fails because a result was gone when its engine fetched it.
Test(edge, input_gone_stages_run_again)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    harness.start();
    harness.publish_endpoint("engines", harness.engine_2, "dom-a", "draining");
    cr_assert(harness.run_until([&] { return !harness.vm(0).routes_to("engine-2"); }));
    harness.engine_1.inputs_gone_once = true;
    const auto exchange =
        harness.send_and_wait(0, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(exchange->done && exchange->body == events_text(5));
    cr_assert(encoder.pieces_completed == 4);
}

// Guards against a use after free when all pieces of a job fail: the job was destroyed before its
// last pieces were processed, and the process crashed with a segmentation fault.
Test(edge, stages_all_pieces_fail_request_is_refused)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    encoder.piece_failure_reason = "error";
    harness.limits.retries.slack = 3;
    harness.start();
    const auto exchange = harness.send_and_wait(
        0, request_text("POST", "/stream/1", "s1", "Pieces: 6\r\nPiece-Key: k1\r\n", "x"));
    cr_assert(exchange->head.status == 503, "status %d", exchange->head.status);
    cr_assert(harness.count_requests("s1") == 0);
}

// Guards against a result that is never freed, and against the use of a destroyed job: the first
// piece of a call fails and ends the job, and the second piece of the same call succeeds.
Test(edge, stages_piece_fails_permanently_other_results_are_freed)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    encoder.first_piece_fails = true;
    harness.limits.retries = {0.0, 0, milliseconds(10000)};
    harness.start();
    const auto exchange =
        harness.send_and_wait(0, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(exchange->head.status == 503, "status %d", exchange->head.status);
    cr_assert(encoder.pieces_completed == 1);
    cr_assert(harness.run_until([&] { return encoder.freed.size() == 1; }, milliseconds(2000)));
}

// Guards against refusing a request because results of others fill the endpoint for a moment: its
// pieces have not run, so no retry is needed to send them again.
Test(edge, stage_memory_full_for_a_moment_request_is_answered)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    encoder.result_limit = 0;
    harness.limits.retries = {0.0, 0, milliseconds(10000)};
    harness.start();
    auto exchange =
        harness.start_request(0, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(harness.run_until([&] { return encoder.pieces_rejected > 0; }));
    encoder.result_limit = 100;
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    cr_assert(exchange->done && exchange->head.status == 200, "status %d", exchange->head.status);
}

// Guards against every VM sending small calls of its own: both VMs send their pieces to one VM,
// which batches them while the endpoint is busy.
Test(edge, two_vms_pieces_share_calls)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    encoder.processing_time = milliseconds(150);
    harness.start_linked();
    std::vector<std::unique_ptr<client_exchange>> exchanges;
    exchanges.reserve(7);
    for (int i = 0; i < 7; ++i)
        exchanges.push_back(harness.start_request(
            static_cast<std::size_t>(i % 2),
            request_text("POST", "/stream/1", "s" + std::to_string(i), two_pieces, "x")));
    cr_assert(harness.run_until(
        [&]
        {
            return std::all_of(exchanges.begin(), exchanges.end(),
                               [](const auto& one) { return one->ended(); });
        }));
    for (const auto& one : exchanges)
        cr_assert(one->done && one->body == events_text(5));
    cr_assert(encoder.requests.size() <= 3, "%zu calls for 14 pieces", encoder.requests.size());
}

// Guards against requests that wait forever because the VM that batches their pieces has crashed.
Test(edge, batching_vm_crashes_other_vm_completes_request)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    encoder.processing_time = milliseconds(300);
    harness.start_linked();
    const std::size_t batching_vm = harness.vm(0).is_batcher_of("encoders") ? 0 : 1;
    const std::size_t other = 1 - batching_vm;
    auto exchange =
        harness.start_request(other, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(harness.run_until([&] { return !encoder.requests.empty(); }));
    harness.kill_vm(batching_vm);
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    cr_assert(exchange->done && exchange->body == events_text(5));
}

// Guards against a crash of the process when two stages of one request were at a VM that has
// crashed, and handling the first of them ends the request: an empty callback was called then.
Test(edge, batching_vm_of_two_stages_crashes_request_is_refused)
{
    small_deployment harness;
    value stage = value::object();
    stage["service"] = value::string("encoders");
    stage["after"] = value::array();
    stage["bytes"] = value::number(1000);
    harness.routes["/stream/"]["stages"] = value::array({stage, stage});
    harness.routes["/stream/"]["timeout_ms"] = value::number(1300);
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    encoder.never_responds = true;
    harness.start_linked();
    const std::size_t batching_vm = harness.vm(0).is_batcher_of("encoders") ? 0 : 1;
    auto exchange = harness.start_request(
        1 - batching_vm,
        request_text("POST", "/stream/1", "s1", "Pieces: 2,2\r\nPiece-Key: k1\r\n", "x"));
    cr_assert(harness.run_until([&] { return !encoder.requests.empty(); }));
    // Without an endpoint, the stages are refused as soon as the other VM takes them over.
    harness.publish_endpoint("encoders", encoder, "dom-a", "draining");
    cr_assert(
        harness.run_until([&] { return !harness.vm(1 - batching_vm).routes_to("encoder-1"); }));
    harness.kill_vm(batching_vm);
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    cr_assert(exchange->head.status == 503, "status %d", exchange->head.status);
    harness.run_for(milliseconds(50));
}

// Guards against a VM that drops all endpoints when the store recovers, because their entries
// expired during the outage, and against one that keeps an endpoint whose entry does not return.
Test(edge, entries_lapsed_during_store_outage_endpoints_stay_for_grace_period)
{
    small_deployment harness;
    harness.start();
    harness.store.refuse_status = 503;
    harness.run_for(milliseconds(3500)); // longer than the longest wait of a feed call
    harness.store.remove("servers", "plain-1");
    harness.store.remove("servers", "plain-2");
    harness.store.refuse_status = 0;
    harness.run_for(milliseconds(1300));
    cr_assert(harness.send_and_wait(0, request_text("GET", "/read/1", "a1"))->head.status == 200);
    harness.publish_endpoint("plain", harness.plain_1, "dom-a");
    cr_assert(
        harness.run_until([&] { return !harness.vm(0).routes_to("plain-2"); }, drain_bound * 2));
    cr_assert(harness.vm(0).routes_to("plain-1"));
}

// Guards against a request that is queued although no endpoint can be tried before its deadline: it
// must be refused at once, with Retry-After.
Test(edge, all_endpoints_leaving_request_is_refused_at_once)
{
    small_deployment harness;
    harness.start();
    harness.publish_endpoint("plain", harness.plain_1, "dom-a", "draining");
    harness.publish_endpoint("plain", harness.plain_2, "dom-a", "draining");
    cr_assert(harness.run_until(
        [&] { return !harness.vm(0).routes_to("plain-1") && !harness.vm(0).routes_to("plain-2"); },
        drain_bound));
    const auto sent = std::chrono::steady_clock::now();
    const auto exchange = harness.send_and_wait(0, request_text("POST", "/order/1", "o1", "", "x"));
    cr_assert(exchange->head.status == 503);
    cr_assert(zinnianotch::find_field(exchange->head, "Retry-After").has_value());
    cr_assert(std::chrono::steady_clock::now() - sent < zinnianotch::milliseconds(200));
}

// Guards against new requests to a draining endpoint.
Test(edge, draining_endpoint_gets_no_new_requests)
{
    small_deployment harness;
    harness.start();
    harness.publish_endpoint("plain", harness.plain_1, "dom-a", "draining");
    cr_assert(harness.run_until([&] { return !harness.vm(0).routes_to("plain-1"); }, drain_bound));
    const std::size_t before = harness.plain_1.requests.size();
    for (int i = 0; i < 6; ++i)
        cr_assert(harness.send_and_wait(0, request_text("GET", "/read/1", "a" + std::to_string(i)))
                      ->done);
    cr_assert(harness.plain_1.requests.size() == before);
}

// Guards against requests to a failure domain that is out of service, and against one that stays
// out because it was restored in a change that the feed no longer holds.
Test(edge, domain_out_gets_no_requests_until_restored)
{
    small_deployment harness;
    fake_endpoint& remote = harness.add_endpoint("plain", "plain-3", "dom-b");
    harness.start();
    harness.store.put("op", "evacuate/dom-a", value::object());
    cr_assert(harness.run_until([&] { return !harness.vm(0).routes_to("plain-1"); }, config_bound));
    const std::size_t before = harness.plain_1.requests.size() + harness.plain_2.requests.size();
    for (int i = 0; i < 4; ++i)
        cr_assert(harness.send_and_wait(0, request_text("GET", "/read/1", "a" + std::to_string(i)))
                      ->done);
    cr_assert(harness.plain_1.requests.size() + harness.plain_2.requests.size() == before);
    cr_assert(remote.requests.size() == 4);
    harness.store.unresponsive = true;
    harness.store.remove("op", "evacuate/dom-a");
    harness.store.discard_history();
    harness.store.unresponsive = false;
    cr_assert(harness.run_until(
        [&]
        {
            (void)harness.send_and_wait(0, request_text("GET", "/read/1", "b"));
            return harness.plain_1.requests.size() + harness.plain_2.requests.size() > before;
        }));
}

// Guards against one unreadable entry causing all entries to be discarded.
Test(edge, unreadable_entries_other_endpoints_serve)
{
    small_deployment harness;
    harness.store.put_bytes("servers", "bad-1", "\x01not json");
    value wrong = value::object();
    wrong["service"] = value::number(7);
    harness.store.put("servers", "bad-2", wrong);
    harness.start();
    cr_assert(harness.send_and_wait(0, request_text("GET", "/read/1", "a1"))->head.status == 200);
}

// Guards against a VM that replaces its desired state by an older version.
Test(edge, desired_state_older_version_is_ignored)
{
    small_deployment harness;
    harness.start();
    harness.configure(5);
    cr_assert(
        harness.run_until([&] { return harness.vm(0).desired_version() == 5; }, config_bound));
    harness.routes.erase("/read/");
    harness.configure(4);
    harness.run_for(milliseconds(100));
    cr_assert(harness.send_and_wait(0, request_text("GET", "/read/1", "a1"))->head.status == 200);
    harness.configure(6);
    cr_assert(
        harness.run_until([&] { return harness.vm(0).desired_version() == 6; }, config_bound));
    cr_assert(harness.send_and_wait(0, request_text("GET", "/read/1", "a2"))->head.status == 404);
}

// Guards against work that continues at an endpoint after the client has disconnected.
Test(edge, client_disconnects_endpoint_connection_is_closed)
{
    small_deployment harness;
    harness.start();
    harness.for_both_plain([](fake_endpoint& endpoint)
                           { endpoint.processing_time = milliseconds(5000); });
    auto exchange = harness.start_request(0, request_text("GET", "/read/1", "a1"));
    cr_assert(harness.run_until([&] { return harness.count_requests("a1") == 1; }));
    exchange->disconnect();
    cr_assert(harness.run_until(
        [&] { return harness.plain_1.disconnects + harness.plain_2.disconnects == 1; },
        milliseconds(500)));
}

// Guards against a request that waits beyond its route's timeout.
Test(edge, unresponsive_endpoint_client_gets_504_at_timeout)
{
    small_deployment harness;
    harness.routes["/order/"]["timeout_ms"] = value::number(300);
    harness.start();
    harness.for_both_plain([](fake_endpoint& endpoint) { endpoint.never_responds = true; });
    const auto sent = std::chrono::steady_clock::now();
    const auto exchange = harness.send_and_wait(0, request_text("POST", "/order/1", "o1", "", "x"));
    const auto taken = std::chrono::steady_clock::now() - sent;
    cr_assert(exchange->head.status == 504);
    cr_assert(taken >= milliseconds(290) && taken < milliseconds(800));
}

// Guards against a planned stop that breaks a request in flight, and against a stopping VM that the
// load balancer still uses because it reports itself ready.
Test(edge, planned_stop_request_in_flight_completes)
{
    small_deployment harness;
    harness.start();
    harness.for_both_engines([](fake_endpoint& engine)
                             { engine.event_interval = milliseconds(100); });
    auto exchange = harness.start_request(0, request_text("POST", "/once/1", "s1", "", "x"));
    cr_assert(harness.run_until([&] { return !exchange->body.empty(); }));
    harness.stop_vm(0);
    cr_assert_not(harness.is_ready(0));
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    cr_assert(exchange->done && exchange->body == events_text(5));
}

// Guards against stage jobs that are sent to a stopping VM by VMs that connect after the stop
// began.
Test(edge, planned_stop_vm_connects_later_learns_of_it)
{
    small_deployment harness;
    harness.start();
    harness.stop_vm(0);
    fake_peer late(harness, 0);
    cr_assert(late.connect());
    cr_assert(late.run_until([&] { return late.has_received<zinnianotch::leaving_message>(); }));
}

// Guards against stage jobs that wait at a stopping VM until its calls in progress end.
Test(edge, batching_vm_stops_waiting_job_runs_at_other_vm)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    encoder.never_responds = true;
    harness.start_linked();
    const std::size_t batching_vm = harness.vm(0).is_batcher_of("encoders") ? 0 : 1;
    const std::size_t other = 1 - batching_vm;
    auto begun =
        harness.start_request(other, request_text("POST", "/stream/1", "s1", two_pieces, "x"));
    cr_assert(harness.run_until([&] { return !encoder.requests.empty(); }));
    auto waiting =
        harness.start_request(other, request_text("POST", "/stream/1", "s2", two_pieces, "x"));
    harness.run_for(milliseconds(50));
    harness.stop_vm(batching_vm);
    cr_assert(harness.run_until([&] { return encoder.requests.size() > 1; }));
    const std::string& next_call = encoder.requests[1].body;
    cr_assert(next_call.find("s2") != std::string::npos, "%s", next_call.c_str());
    cr_assert(next_call.find("s1") == std::string::npos, "%s", next_call.c_str());
    encoder.never_responds = false;
    cr_assert(harness.run_until([&] { return begun->ended() && waiting->ended(); }));
    cr_assert(begun->done && begun->body == events_text(5));
    cr_assert(waiting->done && waiting->body == events_text(5));
}

// Guards against a stopping VM that takes a stage job which was sent before its sender learned of
// the stop.
Test(edge, planned_stop_job_crosses_message_is_returned)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    encoder.never_responds = true;
    harness.start();
    fake_peer peer(harness, 0);
    cr_assert(peer.connect());
    harness.stop_vm(0);
    zinnianotch::submit_message job;
    job.job = 7;
    job.request.attempt = "s1";
    job.request.service = "encoders";
    job.request.pieces = 2;
    job.request.key = "k1";
    job.request.goal_left = job.request.deadline_left = milliseconds(5000);
    peer.send(job);
    cr_assert(peer.run_until([&] { return peer.has_received<zinnianotch::returned_message>(); }));
    cr_assert(encoder.requests.empty());
}

// Guards against accounts that the batching VM does not tell apart, and against shares where the
// configuration does not call for them.
Test(edge, stage_outcome_reports_the_account_above_its_share)
{
    for (const bool has_accounts : {true, false})
    {
        small_deployment harness;
        harness.add_stage();
        harness.routes["/stream/"]["slo_ms"] = value::number(4000);
        harness.routes["/stream/"]["priority"] = value::number(1);
        harness.routes["/urgent/"] = harness.routes["/stream/"];
        harness.routes["/urgent/"]["slo_ms"] = value::number(1000);
        harness.routes["/urgent/"]["priority"] = value::number(0);
        if (has_accounts)
            harness.accounts =
                value::array({account("library", "secret"), account("archive", "hidden")});
        harness.add_endpoint("encoders", "encoder-1").never_responds = true;
        harness.start();
        fake_peer peer(harness, 0);
        cr_assert(peer.connect());
        std::uint64_t next_job = 0;
        const auto submit = [&](std::uint64_t account, std::uint32_t pieces)
        {
            zinnianotch::submit_message job;
            job.job = ++next_job;
            job.request.service = "encoders";
            job.request.pieces = pieces;
            job.request.account = account;
            job.request.refused_pieces = pieces;
            peer.send(job); // refused at once: its deadline has passed
        };
        submit(2, 1);
        std::vector<zinnianotch::account_share> shares;
        cr_assert(peer.run_until(
            [&]
            {
                submit(1, 50'000);
                const auto outcomes = peer.received<zinnianotch::done_message>();
                if (!outcomes.empty())
                    shares = outcomes.back().outcome.delays.shares;
                return !shares.empty() || (!has_accounts && outcomes.size() > 20);
            }));
        cr_assert(shares.empty() != has_accounts);
        if (has_accounts)
            cr_assert(shares.size() == 1 && shares[0].account == 1 && shares[0].share < 0.5);
    }
}

// Guards against results that fill an endpoint's memory until they expire, because the VM exits
// before it has released them.
Test(edge, planned_stop_results_are_released_before_exit)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    harness.start();
    harness.stop_vm(0);
    bool exited = false;
    const auto has_exited = [&]
    {
        exited = exited || harness.io.stopped();
        return exited;
    };
    for (int i = 0; !exited; ++i)
    {
        const auto exchange = harness.start_request(
            0, request_text("POST", "/stream/1", "s" + std::to_string(i), two_pieces, "x"));
        cr_assert(harness.run_until([&] { return has_exited() || exchange->ended(); }));
        (void)harness.run_until(has_exited, milliseconds(30));
    }
    harness.kill_vm(0);
    harness.run_for(milliseconds(100));
    cr_assert(encoder.pieces_completed > 0);
    cr_assert(encoder.freed.size() == encoder.pieces_completed, "%zu of %zu results released",
              encoder.freed.size(), encoder.pieces_completed);
}

// Guards against the record of a VM that is gone, when the store rejects its first removal.
Test(edge, planned_stop_store_rejects_removal_is_repeated)
{
    small_deployment harness;
    harness.start();
    cr_assert(harness.run_until([&] { return harness.store.has("vms", "vm-0"); }));
    harness.store.fail_listener(0);
    const std::uint64_t writes = harness.store.writes;
    harness.stop_vm(0);
    cr_assert(harness.run_until([&] { return harness.store.writes > writes; }));
    harness.store.restore_listener(0);
    cr_assert(harness.run_until([&] { return !harness.store.has("vms", "vm-0"); }));
}

// Guards against the record of a VM that is gone, when its registration takes effect after the
// stop signal.
Test(edge, planned_stop_registration_in_flight_record_is_removed)
{
    small_deployment harness;
    harness.store.next_write_delay = milliseconds(400);
    harness.configure(1);
    harness.add_vm();
    cr_assert(harness.run_until([&] { return harness.store.writes > 0; }));
    harness.stop_vm(0);
    cr_assert(harness.run_until([&] { return harness.store.has("vms", "vm-0"); }));
    cr_assert(harness.run_until([&] { return !harness.store.has("vms", "vm-0"); }));
}

// Guards against a VM that never receives a change of the desired state because the store fails for
// this VM only.
Test(edge, store_rejects_requests_of_vm_state_comes_from_other_vm)
{
    small_deployment harness;
    harness.add_stage();
    (void)harness.add_endpoint("encoders", "encoder-1");
    harness.start(2);
    cr_assert(harness.run_until([&] { return harness.vm(0).links_up() > 0; }));
    harness.store.fail_listener(0);
    harness.routes.erase("/read/");
    harness.configure(2);
    cr_assert(harness.run_until(
        [&] {
            return harness.send_and_wait(0, request_text("GET", "/read/1", "x"))->head.status ==
                   404;
        },
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

// Guards against a status that does not tell operators which endpoints get no requests, and why.
Test(edge, status_endpoint_drains_reports_use_of_each_endpoint)
{
    small_deployment harness;
    harness.start();
    harness.publish_endpoint("plain", harness.plain_1, "dom-a", "draining");
    cr_assert(harness.run_until([&] { return !harness.vm(0).routes_to("plain-1"); }));
    const value status = value::parse(harness.get_from_metrics_port(0, "/vm/status")->body);
    cr_assert(status.at("desired_version").as_integer() == 1);
    cr_assert(status.at("state").as_string() == "ready");
    cr_assert(use_of(status, "plain-1") == "draining");
    cr_assert(use_of(status, "plain-2") == "used");
    cr_assert(status.at("tables").size() == 3);
    cr_assert(status.at("tables").at(0).at("in_touch").as_bool());
}

// Guards against requests whose log lines cannot be retrieved from the VM that handled them.
Test(edge, request_log_lines_served_and_refused_requests_include_outcome)
{
    small_deployment harness;
    harness.start();
    zinnianotch::configure_log(zinnianotch::log_level::info, "vm-0",
                               zinnianotch::log_stream::standard_output, 1);
    zinnianotch::set_request_log_limit(zinnianotch::request_log_bytes);
    (void)harness.send_and_wait(0, request_text("GET", "/read/1", "attempt-7"));
    (void)harness.send_and_wait(0, request_text("GET", "/nothing/1", "attempt-8"));
    const auto response = harness.get_from_metrics_port(0, "/vm/requests/attempt-7");
    cr_assert(response->head.status == 200);
    cr_assert(response->body.find("event=request ") != std::string::npos);
    cr_assert(response->body.find("request=attempt-7") != std::string::npos);
    cr_assert(response->body.find("attempt-8") == std::string::npos);
    cr_assert(harness.get_from_metrics_port(0, "/vm/requests/attempt-8")->body.find("status=404") !=
              std::string::npos);
    cr_assert(harness.get_from_metrics_port(0, "/vm/requests/attempt-9")->head.status == 404);
}

// Guards against refusals that the metrics page does not count.
Test(edge, metrics_page_request_refused_counts_it)
{
    small_deployment harness;
    harness.start();
    harness.publish_endpoint("plain", harness.plain_1, "dom-a", "draining");
    harness.publish_endpoint("plain", harness.plain_2, "dom-a", "draining");
    cr_assert(harness.run_until(
        [&]
        { return !harness.vm(0).routes_to("plain-1") && !harness.vm(0).routes_to("plain-2"); }));
    cr_assert(harness.send_and_wait(0, request_text("GET", "/read/1", "x"))->head.status == 503);
    const auto page = harness.get_from_metrics_port(0, "/metrics");
    cr_assert(page->body.find("zinnianotch_requests_total 1") != std::string::npos);
    cr_assert(page->body.find("zinnianotch_refusals_total{reason=\"no_endpoint\"") !=
              std::string::npos);
}

// Guards against a VM that, after a pause of its process, holds requests for ever because the store
// does not answer.
Test(edge, process_paused_store_unresponsive_request_is_served)
{
    small_deployment harness;
    harness.start();
    harness.run_for(milliseconds(100));
    harness.store.unresponsive = true;
    pause_process();
    const auto exchange = harness.send_and_wait(0, request_text("GET", "/read/1", "a1"));
    cr_assert(exchange->done && exchange->head.status == 200);
    const auto page = harness.get_from_metrics_port(0, "/metrics");
    cr_assert(page->body.find("zinnianotch_pauses_total 1") != std::string::npos);
}

// Guards against a request that runs although its client left while the state was being confirmed
// after a pause of the process.
Test(edge, process_paused_client_left_request_is_not_sent)
{
    small_deployment harness;
    harness.start();
    harness.run_for(milliseconds(100));
    harness.store.unresponsive = true;
    pause_process();
    const auto exchange = harness.start_request(0, request_text("GET", "/read/1", "a1"));
    harness.run_for(milliseconds(100));
    exchange->disconnect();
    harness.run_for(milliseconds(800));
    cr_assert(harness.count_requests("a1") == 0);
}

// Guards against a retry that a paused process sends to an endpoint which began to drain meanwhile.
Test(edge, process_paused_retry_waits_for_confirmed_state)
{
    small_deployment harness;
    harness.start();
    harness.run_for(milliseconds(100));
    harness.for_both_plain([](fake_endpoint& endpoint) { endpoint.break_before_answer = 1; });
    const auto exchange = harness.start_request(0, request_text("GET", "/read/1", "a1"));
    cr_assert(harness.run_until([&] { return harness.count_requests("a1") == 1; }));
    const bool first_is_1 = harness.plain_1.requests.size() == 1;
    const fake_endpoint& other = first_is_1 ? harness.plain_2 : harness.plain_1;
    harness.store.unresponsive = true;
    harness.publish_endpoint("plain", other, "dom-a", "draining");
    pause_process();
    harness.store.unresponsive = false;
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    cr_assert(other.requests.empty(), "sent to a draining endpoint");
    cr_assert(exchange->head.status == 502, "status %d", exchange->head.status);
}

// Guards against the same for the pieces of a stage.
Test(edge, process_paused_stage_retry_waits_for_confirmed_state)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& first = harness.add_endpoint("encoders", "encoder-1");
    fake_endpoint& second = harness.add_endpoint("encoders", "encoder-2");
    harness.start();
    harness.run_for(milliseconds(100));
    first.break_before_answer = 1;
    second.break_before_answer = 1;
    const auto exchange = harness.start_request(
        0, request_text("POST", "/stream/1", "s1", "Pieces: 2\r\nPiece-Key: k\r\n", "x"));
    cr_assert(
        harness.run_until([&] { return first.requests.size() + second.requests.size() == 1; }));
    fake_endpoint& other = first.requests.empty() ? first : second;
    harness.store.unresponsive = true;
    harness.publish_endpoint("encoders", other, "dom-a", "draining");
    pause_process();
    harness.store.unresponsive = false;
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    cr_assert(other.requests.empty(), "sent to a draining endpoint");
    cr_assert(exchange->done);
}

// Guards against a VM record with an unreadable address that ends the processes of other VMs.
Test(edge, vm_record_with_unreadable_address_requests_are_served)
{
    small_deployment harness;
    harness.start_linked();
    for (const std::string address : {"vm-9.example:80", "127.0.0.1:0", ""})
    {
        for (const std::string name : {"vm-0", "vm-1", "vm-9"})
        {
            value record = value::object();
            record["domain"] = value::string("dom-a");
            record["address"] = value::string(address);
            record["capacity"] = value::number(1000.0); // preferred to the others
            harness.store.put("vms", name, record);
        }
        harness.run_for(milliseconds(2000)); // the list of VMs is read at intervals
        for (const std::size_t vm : {0, 1})
            cr_assert(harness.send_and_wait(vm, request_text("GET", "/read/1", "a" + address))
                          ->head.status == 200);
    }
}

// Guards against requests to an endpoint whose entry was replaced by one that names no address.
Test(edge, endpoint_record_with_unreadable_address_is_not_used)
{
    small_deployment harness;
    harness.start();
    value entry = value::object();
    for (const char* const field : {"service", "zone", "address"})
        entry[field] = value::string("plain");
    entry["state"] = value::string("ready");
    harness.store.put("servers", "plain-1", entry);
    cr_assert(
        harness.run_until([&] { return !harness.vm(0).routes_to("plain-1"); }, milliseconds(3000)));
}

// Guards against stages that are lost with the link to their batching VM when this VM appears under
// another address.
Test(edge, batching_vm_changes_address_stages_in_progress_are_moved)
{
    small_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    harness.start_linked();
    encoder.processing_time = milliseconds(300);
    const std::string queue = zinnianotch::queue_name("encoders", "");
    cr_assert(harness.run_until(
        [&] { return harness.vm(0).is_batcher_of(queue) != harness.vm(1).is_batcher_of(queue); }));
    const std::size_t batcher = harness.vm(0).is_batcher_of(queue) ? 0 : 1;
    value record = value::object();
    record["domain"] = value::string("dom-a");
    record["address"] = value::string("127.0.0.1:1");
    harness.store.put("vms", "vm-" + std::to_string(batcher), record);
    const auto end = zinnianotch::steady_clock::now() + milliseconds(2500);
    for (int i = 0; zinnianotch::steady_clock::now() < end; ++i)
    {
        const std::string attempt = "s" + std::to_string(i);
        const auto exchange =
            harness.send_and_wait(1 - batcher, request_text("POST", "/stream/1", attempt,
                                                            "Pieces: 2\r\nPiece-Key: k\r\n", "x"));
        cr_assert(exchange->head.status == 200, "%s: status %d", attempt.c_str(),
                  exchange->head.status);
    }
}

// Guards against a planned stop under load that cuts off requests which were just accepted: clients
// keep sending on open and on new connections until the VM is gone.
Test(edge, planned_stop_under_load_no_request_that_ran_is_cut_off)
{
    small_deployment harness;
    harness.start(2);
    harness.for_both_plain([](fake_endpoint& endpoint)
                           { endpoint.processing_time = milliseconds(120); });
    std::vector<std::pair<std::string, std::unique_ptr<client_exchange>>> exchanges;
    const auto end = zinnianotch::steady_clock::now() + milliseconds(3200);
    for (int i = 0; zinnianotch::steady_clock::now() < end; ++i)
    {
        const std::string attempt = "o" + std::to_string(i);
        exchanges.emplace_back(
            attempt, harness.start_request(0, request_text("POST", "/order/1", attempt, "", "x")));
        harness.run_for(milliseconds(10));
        if (i == 20)
            harness.stop_vm(0);
    }
    (void)harness.run_until(
        [&]
        {
            return std::all_of(exchanges.begin(), exchanges.end(),
                               [](const auto& entry) { return entry.second->ended(); });
        },
        milliseconds(3000));
    std::size_t answered = 0;
    for (const auto& [attempt, exchange] : exchanges)
    {
        answered += exchange->done ? 1 : 0;
        cr_assert(exchange->done || harness.count_requests(attempt) == 0, "%s ran and was cut off",
                  attempt.c_str());
    }
    cr_assert(answered > 100, "%zu answered", answered);
}

namespace
{

// A deployment whose VM is stopping and stays until its grace period ends, because of an order that
// takes longer.
struct stopping_deployment : small_deployment
{
    std::unique_ptr<client_exchange> long_order;

    void start_and_stop()
    {
        stop_grace = milliseconds(4000);
        for (const char* prefix : {"/order/", "/once/"})
            routes[prefix]["timeout_ms"] = value::number(20000);
        start();
        for_both_plain([](fake_endpoint& endpoint)
                       { endpoint.processing_time = milliseconds(6000); });
        for_both_engines(
            [](fake_endpoint& engine)
            {
                engine.event_count = 30;
                engine.event_interval = milliseconds(200);
            });
        long_order = start_request(0, request_text("POST", "/order/1", "long", "", "x"));
        cr_assert(run_until([&] { return count_requests("long") == 1; }));
        stop_vm(0);
    }

    // True if all exchanges have ended when the VM exits.
    bool end_before_exit(const std::vector<const client_exchange*>& exchanges)
    {
        bool exited = false;
        const auto ended = [&]
        {
            return std::all_of(exchanges.begin(), exchanges.end(),
                               [](const client_exchange* exchange) { return exchange->ended(); });
        };
        return run_until(
                   [&]
                   {
                       exited = exited || io.stopped();
                       return exited || ended();
                   }) &&
               ended();
    }
};

} // namespace

// Guards against a request that a stopping VM accepts late and breaks off when its grace period
// ends.
Test(edge, planned_stop_late_stream_is_refused_at_once)
{
    stopping_deployment harness;
    harness.start_and_stop();
    harness.run_for(milliseconds(2700));
    const auto late = harness.start_request(0, request_text("POST", "/once/1", "late", "", "x"));
    cr_assert(harness.end_before_exit({late.get()}));
    cr_assert(late->done && late->head.status == 503);
    cr_assert(zinnianotch::find_field(late->head, "Retry-After").has_value());
    cr_assert(zinnianotch::find_field(late->head, "Connection").value_or("") == "close");
    cr_assert(harness.count_requests("late") == 0);
}

// Guards against refusing a request that ends before the stopping VM exits whatever happens.
Test(edge, planned_stop_late_request_with_near_deadline_is_served)
{
    stopping_deployment harness;
    harness.start_and_stop();
    harness.for_both_plain([](fake_endpoint& endpoint)
                           { endpoint.processing_time = milliseconds(20); });
    harness.run_for(milliseconds(2700));
    const auto late =
        harness.send_and_wait(0, request_text("GET", "/read/1", "late", "Deadline-Ms: 500\r\n"));
    cr_assert(late->done && late->head.status == 200);
}

// Guards against accepting a stream that usually takes longer than the stopping VM has left.
Test(edge, planned_stop_stream_longer_than_grace_is_refused_at_once)
{
    small_deployment harness;
    harness.stop_grace = milliseconds(4000);
    harness.routes["/once/"]["timeout_ms"] = value::number(20000);
    harness.start();
    harness.for_both_engines(
        [](fake_endpoint& engine)
        {
            engine.event_count = 10;
            engine.event_interval = milliseconds(500);
        });
    cr_assert(harness.send_and_wait(0, request_text("POST", "/once/1", "s1", "", "x"))->done);
    harness.stop_vm(0);
    const auto next = harness.send_and_wait(0, request_text("POST", "/once/1", "s2", "", "x"));
    cr_assert(next->done && next->head.status == 503);
    cr_assert(harness.count_requests("s2") == 0);
}

// Guards against answers that are lost because the process exits before they are written.
Test(edge, planned_stop_grace_over_requests_are_answered_before_exit)
{
    stopping_deployment harness;
    harness.start_and_stop();
    cr_assert(harness.end_before_exit({harness.long_order.get()}));
    cr_assert(harness.long_order->done && harness.long_order->head.status == 502);
}

// Guards against requests that wait for the state after a pause and are lost at the exit.
Test(edge, planned_stop_requests_waiting_after_pause_are_answered_before_exit)
{
    small_deployment harness;
    harness.stop_grace = milliseconds(600);
    harness.start();
    harness.run_for(milliseconds(100));
    harness.store.unresponsive = true;
    const auto paused_until = zinnianotch::steady_clock::now() + milliseconds(1100);
    while (zinnianotch::steady_clock::now() < paused_until)
    {
    }
    harness.stop_vm(0);
    const auto exchange = harness.start_request(0, request_text("GET", "/read/1", "a1"));
    bool exited = false;
    cr_assert(harness.run_until(
        [&]
        {
            exited = exited || harness.io.stopped();
            return exited || exchange->ended();
        }));
    cr_assert(exchange->done);
}

namespace
{

// Sends requests without waiting for the responses.
struct pipelining_client
{
    pipelining_client(boost::asio::io_context& io, const std::string& address) : socket(io)
    {
        socket.connect(*zinnianotch::parse_socket_address(address));
        read();
    }

    void send(const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text)); }

    void read()
    {
        socket.async_read_some(boost::asio::buffer(buffer),
                               [this](const boost::system::error_code& error, std::size_t count)
                               {
                                   received.append(buffer.data(), count);
                                   closed = closed || error;
                                   if (!error)
                                       read();
                               });
    }

    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
    bool closed = false;
};

} // namespace

// Guards against a request that was read while a response was written and is dropped at the stop,
// although that response promised to keep the connection.
Test(edge, planned_stop_pipelined_request_is_answered)
{
    small_deployment harness;
    harness.routes["/once/"]["timeout_ms"] = value::number(20000);
    harness.start();
    harness.for_both_engines(
        [](fake_endpoint& engine)
        {
            engine.event_count = 10;
            engine.event_interval = milliseconds(300);
        });
    pipelining_client client(harness.io, harness.address(0));
    client.send(request_text("POST", "/once/1", "s1", "", "x"));
    cr_assert(
        harness.run_until([&] { return client.received.find("id: 1") != std::string::npos; }));
    client.send(request_text("GET", "/read/1", "a2"));
    harness.stop_vm(0);
    cr_assert(harness.run_until([&] { return client.closed; }));
    cr_assert(client.received.find("id: 10") != std::string::npos);
    const std::size_t second = client.received.find("HTTP/1.1 ", 1);
    cr_assert(second != std::string::npos);
    cr_assert(client.received.find("Connection: close", second) != std::string::npos);
}

// Guards against dropping a request that was read before the response to the one ahead of it began.
Test(edge, planned_stop_pipelined_request_before_head_is_answered)
{
    small_deployment harness;
    harness.start();
    harness.for_both_plain([](fake_endpoint& endpoint)
                           { endpoint.processing_time = milliseconds(300); });
    pipelining_client client(harness.io, harness.address(0));
    client.send(request_text("POST", "/order/1", "o1", "", "x") +
                request_text("POST", "/order/2", "o2", "", "x"));
    cr_assert(harness.run_until([&] { return harness.count_requests("o1") == 1; }));
    harness.stop_vm(0);
    cr_assert(harness.run_until([&] { return client.closed; }));
    const std::size_t second = client.received.find("HTTP/1.1 ", 1);
    cr_assert(second != std::string::npos, "%s", client.received.c_str());
    cr_assert(client.received.find("Connection: close") > second);
    cr_assert(client.received.starts_with("HTTP/1.1 200 "));
    cr_assert(client.received.compare(second, 13, "HTTP/1.1 200 ") == 0);
}

// Guards against an order that reaches a stopping VM late on a kept connection and is cut off.
Test(edge, planned_stop_late_order_on_kept_connection_is_refused_or_completes)
{
    for (const bool is_time_known : {false, true})
    {
        small_deployment harness;
        harness.stop_grace = milliseconds(5000);
        for (const char* prefix : {"/order/", "/once/"})
            harness.routes[prefix]["timeout_ms"] = value::number(20000);
        harness.start();
        if (is_time_known)
            cr_assert(
                harness.send_and_wait(0, request_text("POST", "/order/1", "o1", "", "x"))->done);
        harness.for_both_engines(
            [](fake_endpoint& engine)
            {
                engine.event_count = 10;
                engine.event_interval = milliseconds(300);
            });
        pipelining_client without_deadline(harness.io, harness.address(0));
        pipelining_client near_deadline(harness.io, harness.address(0));
        without_deadline.send(request_text("POST", "/once/1", "s1", "", "x"));
        near_deadline.send(request_text("POST", "/once/1", "s2", "", "x"));
        for (const pipelining_client* client : {&without_deadline, &near_deadline})
            cr_assert(harness.run_until(
                [&] { return client->received.find("id: 1") != std::string::npos; }));
        harness.stop_vm(0);
        without_deadline.send(request_text("POST", "/order/1", "late", "", "x"));
        near_deadline.send(request_text("POST", "/order/1", "near", "Deadline-Ms: 500\r\n", "x"));
        cr_assert(harness.run_until([&] { return without_deadline.closed; }));
        cr_assert(harness.run_until([&] { return near_deadline.closed; }));
        cr_assert(without_deadline.received.find("HTTP/1.1 503 ", 1) != std::string::npos);
        cr_assert(harness.count_requests("late") == 0);
        cr_assert(near_deadline.received.find("HTTP/1.1 200 ", 1) != std::string::npos);
        cr_assert(harness.count_requests("near") == 1);
    }
}

// Guards against closing the connection of a late order whose endpoint is silent until its
// deadline.
Test(edge, planned_stop_late_order_at_silent_endpoint_gets_504)
{
    stopping_deployment harness;
    harness.start_and_stop();
    harness.run_for(milliseconds(2700));
    const auto late = harness.start_request(
        0, request_text("POST", "/order/1", "late", "Deadline-Ms: 500\r\n", "x"));
    cr_assert(harness.end_before_exit({late.get()}));
    cr_assert(late->done && late->head.status == 504, "%d", late->head.status);
    cr_assert(harness.count_requests("late") == 1);
}

// Guards against a request that is received completely after the grace period and gets no answer.
Test(edge, planned_stop_order_partly_read_at_end_of_grace_is_refused)
{
    stopping_deployment harness;
    harness.start_and_stop();
    harness.run_for(milliseconds(2700));
    pipelining_client client(harness.io, harness.address(0));
    const std::string order = request_text("POST", "/order/1", "late", "", "xy");
    client.send(order.substr(0, order.size() - 1));
    cr_assert(harness.run_until([&] { return harness.long_order->ended(); }));
    client.send("y");
    cr_assert(harness.run_until([&] { return client.closed; }));
    cr_assert(client.received.starts_with("HTTP/1.1 503 "), "%s", client.received.c_str());
    cr_assert(harness.count_requests("late") == 0);
}

// Guards against an order that waits for the state after a pause until the grace period ends, and
// is sent then or lost.
Test(edge, planned_stop_order_waiting_after_pause_is_refused_unsent)
{
    small_deployment harness;
    harness.stop_grace = milliseconds(600);
    harness.start();
    harness.run_for(milliseconds(100));
    harness.store.unresponsive = true;
    const auto paused_until = zinnianotch::steady_clock::now() + milliseconds(1100);
    while (zinnianotch::steady_clock::now() < paused_until)
    {
    }
    harness.stop_vm(0);
    const auto order = harness.start_request(0, request_text("POST", "/order/1", "o1", "", "x"));
    bool exited = false;
    cr_assert(harness.run_until(
        [&]
        {
            exited = exited || harness.io.stopped();
            return exited || order->ended();
        }));
    cr_assert(order->done && order->head.status == 503, "%d", order->head.status);
    cr_assert(harness.count_requests("o1") == 0);
}

// Guards against a second stop signal that ends the orders in progress.
Test(edge, planned_stop_second_signal_order_in_progress_completes)
{
    small_deployment harness;
    harness.start();
    harness.for_both_plain([](fake_endpoint& endpoint)
                           { endpoint.processing_time = milliseconds(600); });
    const auto order = harness.start_request(0, request_text("POST", "/order/1", "o1", "", "x"));
    cr_assert(harness.run_until([&] { return harness.count_requests("o1") == 1; }));
    harness.stop_vm(0);
    harness.run_for(milliseconds(100));
    harness.stop_vm(0);
    cr_assert(harness.run_until([&] { return order->ended(); }));
    cr_assert(order->done && order->head.status == 200);
}

// Guards against a stopping VM that closes a connection before its first request has arrived.
Test(edge, planned_stop_request_on_new_connection_is_answered)
{
    stopping_deployment harness;
    harness.start_and_stop();
    harness.for_both_plain([](fake_endpoint& endpoint)
                           { endpoint.processing_time = milliseconds(20); });
    harness.run_for(milliseconds(2700));
    pipelining_client client(harness.io, harness.address(0));
    harness.run_for(milliseconds(100));
    cr_assert_not(client.closed);
    client.send(request_text("GET", "/read/1", "a1", "Deadline-Ms: 300\r\n"));
    cr_assert(harness.run_until([&] { return client.closed; }));
    cr_assert(client.received.starts_with("HTTP/1.1 200 "));
}

// Guards against sending a request whose stages took so long that its VM stops before it ends.
Test(edge, planned_stop_stage_ends_late_request_is_refused_unsent)
{
    small_deployment harness;
    harness.stop_grace = milliseconds(4000);
    harness.routes["/stream/"]["timeout_ms"] = value::number(20000);
    harness.routes["/stream/"]["slo_ms"] = value::number(20000);
    harness.add_stage();
    harness.stage_call_time = milliseconds(2400);
    harness.add_endpoint("encoders", "encoder-1").processing_time = milliseconds(2400);
    harness.start();
    harness.for_both_engines(
        [](fake_endpoint& engine)
        {
            engine.event_count = 4;
            engine.event_interval = milliseconds(350);
        });
    const auto first =
        harness.send_and_wait(0, request_text("POST", "/stream/1", "s1", "Pieces: 0\r\n", "x"));
    cr_assert(first->done && first->head.status == 200);
    harness.stop_vm(0);
    const auto second =
        harness.send_and_wait(0, request_text("POST", "/stream/1", "s2", two_pieces, "x"));
    cr_assert(second->done && second->head.status == 503, "%d", second->head.status);
    cr_assert(harness.count_requests("s2") == 0);
}

// Guards against giving up an attempt for a retry that is then refused because the VM stops.
Test(edge, planned_stop_silent_endpoint_late_attempt_is_kept)
{
    small_deployment harness;
    harness.stop_grace = milliseconds(4000);
    harness.routes["/read/"]["timeout_ms"] = value::number(20000);
    harness.start();
    harness.for_both_plain([](fake_endpoint& endpoint)
                           { endpoint.processing_time = milliseconds(700); });
    cr_assert(harness.send_and_wait(0, request_text("GET", "/read/1", "a1"))->done);
    harness.for_both_plain([](fake_endpoint& endpoint)
                           { endpoint.processing_time = milliseconds(1200); });
    harness.stop_vm(0);
    harness.run_for(milliseconds(1500));
    const auto exchange = harness.send_and_wait(0, request_text("GET", "/read/1", "a2"));
    cr_assert(exchange->done && exchange->head.status == 200, "%d", exchange->head.status);
    cr_assert(harness.count_requests("a2") == 1);
}

// Guards against a request that waits in a stage until a stopping VM exits, although nothing is
// left for its response.
Test(edge, planned_stop_stage_lasts_request_is_refused_before_grace_is_over)
{
    small_deployment harness;
    harness.stop_grace = milliseconds(4000);
    harness.routes["/stream/"]["timeout_ms"] = value::number(20000);
    harness.routes["/stream/"]["slo_ms"] = value::number(20000);
    harness.add_stage();
    harness.add_endpoint("encoders", "encoder-1").never_responds = true;
    harness.start();
    harness.for_both_engines(
        [](fake_endpoint& engine)
        {
            engine.event_count = 4;
            engine.event_interval = milliseconds(350);
        });
    const auto first =
        harness.send_and_wait(0, request_text("POST", "/stream/1", "s1", "Pieces: 0\r\n", "x"));
    cr_assert(first->done && first->head.status == 200);
    harness.stop_vm(0);
    const auto second =
        harness.start_request(0, request_text("POST", "/stream/1", "s2", two_pieces, "x"));
    cr_assert(harness.run_until([&] { return second->ended(); }, milliseconds(2500)));
    cr_assert(second->done && second->head.status == 503, "%d", second->head.status);
    cr_assert(harness.count_requests("s2") == 0);
}

// Guards against a stopping VM that accepts long streams because of the fast error responses before
// them.
Test(edge, planned_stop_fast_errors_before_long_stream_is_refused_at_once)
{
    small_deployment harness;
    harness.stop_grace = milliseconds(3000);
    harness.routes["/once/"]["timeout_ms"] = value::number(20000);
    harness.start();
    harness.for_both_engines(
        [](fake_endpoint& engine)
        {
            engine.event_count = 8;
            engine.event_interval = milliseconds(500);
        });
    cr_assert(harness.send_and_wait(0, request_text("POST", "/once/1", "s1", "", "x"))->done);
    harness.for_both_engines(
        [](fake_endpoint& engine)
        {
            engine.fail_next = 100;
            engine.fail_status = 404;
        });
    for (int i = 0; i < 50; ++i)
    {
        const auto rejected = harness.send_and_wait(
            0, request_text("POST", "/once/1", "e" + std::to_string(i), "", "x"));
        cr_assert(rejected->done && rejected->head.status == 404);
    }
    harness.for_both_engines([](fake_endpoint& engine) { engine.fail_next = 0; });
    harness.stop_vm(0);
    const auto next = harness.send_and_wait(0, request_text("POST", "/once/1", "s2", "", "x"));
    cr_assert(next->done && next->head.status == 503);
    cr_assert(harness.count_requests("s2") == 0);
}

// Guards against sending a request whose caller left while it waited for the state after a pause.
Test(edge, caller_leaves_while_request_waits_after_pause_is_not_sent)
{
    small_deployment harness;
    harness.start();
    harness.run_for(milliseconds(100));
    harness.store.unresponsive = true;
    const auto paused_until = zinnianotch::steady_clock::now() + milliseconds(1100);
    while (zinnianotch::steady_clock::now() < paused_until)
    {
    }
    const auto exchange = harness.start_request(0, request_text("POST", "/order/1", "a1", "", "x"));
    harness.run_for(milliseconds(150));
    exchange->disconnect();
    harness.run_for(milliseconds(1000));
    cr_assert(harness.count_requests("a1") == 0);
}
