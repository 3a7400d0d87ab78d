// What endpoints say of themselves with their responses: one that leaves gets no new request from
// the VM that has passed this on, and one that asks for a pause gets none until it is over.
#include "serving_fixture.h"

#include <criterion/criterion.h>

using namespace serving;

namespace
{

constexpr milliseconds retry_after{2000};
// Requests that may be on their way when the pause begins.
constexpr milliseconds pause_slack{500};

struct notice_deployment : deployment
{
    std::size_t vm_count = 0;
    fake_endpoint& plain_1 = add_endpoint("plain", "plain-1");
    fake_endpoint& plain_2 = add_endpoint("plain", "plain-2");
    fake_endpoint& engine_1 = add_endpoint("engines", "engine-1");
    fake_endpoint& encoder_1 = add_endpoint("encoders", "encoder-1");
    fake_endpoint& encoder_2 = add_endpoint("encoders", "encoder-2");

    void start(std::size_t vms = 4)
    {
        vm_count = vms;
        engine_1.event_count = 2;
        add_stage();
        configure(1);
        for (std::size_t i = 0; i < vm_count; ++i)
            add_vm();
        cr_assert(run_until(
            [&]
            {
                for (std::size_t i = 0; i < vm_count; ++i)
                {
                    if (!is_ready(i) || vm(i).known_endpoints() < 5)
                        return false;
                }
                return true;
            }));
    }

    std::string next_attempt() { return "a" + std::to_string(++attempts_); }
    int read(std::size_t vm)
    {
        return send_and_wait(vm, request_text("GET", "/read/1", next_attempt()))->head.status;
    }
    int stream(std::size_t vm)
    {
        return send_and_wait(vm, request_text("POST", "/stream/1", next_attempt(),
                                              "Pieces: 1\r\nPiece-Key: k\r\n", "x"))
            ->head.status;
    }
    // Sends requests through each VM until the endpoint has responded to it with a notice.
    void send_until_met(const fake_endpoint& endpoint, int (notice_deployment::*send)(std::size_t))
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            const std::size_t before = endpoint.requests.size();
            for (int n = 0; n < 12 && endpoint.requests.size() == before; ++n)
                (void)(this->*send)(i);
        }
        cr_assert(!endpoint.requests.empty(), "the endpoint was not met");
    }
    void refuse_with_pause(fake_endpoint& endpoint)
    {
        endpoint.fail_next = 1;
        endpoint.fail_status = 503;
        endpoint.fail_as_not_run = true;
        endpoint.refusals_have_id = true;
        endpoint.refusal_fields =
            "Retry-After: " + std::to_string(retry_after.count() / 1000) + "\r\n";
    }
    // Sends through the first VM until the time is over; returns how many responses were no 200.
    int send_for(milliseconds time, int (notice_deployment::*send)(std::size_t))
    {
        int others = 0;
        const auto end = zinnianotch::steady_clock::now() + time;
        while (zinnianotch::steady_clock::now() < end)
        {
            others += (this->*send)(0) == 200 ? 0 : 1;
            run_for(milliseconds(10));
        }
        return others;
    }
    void check_pause(fake_endpoint& endpoint, int (notice_deployment::*send)(std::size_t))
    {
        refuse_with_pause(endpoint);
        const std::size_t at_start = endpoint.requests.size();
        for (int n = 0; n < 40 && endpoint.fail_next > 0; ++n)
            (void)(this->*send)(0);
        cr_assert(endpoint.fail_next == 0 && endpoint.requests.size() > at_start);
        run_for(pause_slack);
        const std::size_t before = endpoint.requests.size();
        cr_assert(send_for(retry_after - pause_slack - milliseconds(200), send) == 0);
        cr_assert(endpoint.requests.size() == before, "%zu requests within the pause",
                  endpoint.requests.size() - before);
        run_for(milliseconds(200));
        (void)send_for(milliseconds(600), send);
        cr_assert(endpoint.requests.size() > before, "no request after the pause");
    }

private:
    int attempts_ = 0;
};

} // namespace

// Guards against requests at an endpoint that leaves and has said so only in its responses.
Test(edge_endpoint_notice, leaving_endpoint_gets_no_further_requests)
{
    notice_deployment harness;
    harness.start();
    harness.plain_1.answer_fields = "Server-Leaving: 1\r\n";
    harness.send_until_met(harness.plain_1, &notice_deployment::read);
    const std::size_t before = harness.plain_1.requests.size();
    const auto check = [&](const char* when)
    {
        for (std::size_t i = 0; i < harness.vm_count; ++i)
        {
            for (int n = 0; n < 6; ++n)
                cr_assert(harness.read(i) == 200, "%s", when);
        }
        cr_assert(harness.plain_1.requests.size() == before, "%s: %zu requests", when,
                  harness.plain_1.requests.size() - before);
    };
    check("listed as ready");
    harness.publish_endpoint("plain", harness.plain_1, "dom-a");
    harness.run_for(milliseconds(300));
    check("written again");
    harness.store.remove("servers", "plain-1");
    harness.run_for(milliseconds(600));
    harness.publish_endpoint("plain", harness.plain_1, "dom-a");
    harness.run_for(milliseconds(600));
    check("removed and written again");
}

// Guards against an endpoint that gets no requests after it has started again under its id.
Test(edge_endpoint_notice, leaving_endpoint_started_again_gets_requests)
{
    notice_deployment harness;
    harness.start();
    harness.plain_1.answer_fields = "Server-Leaving: 1\r\n";
    harness.send_until_met(harness.plain_1, &notice_deployment::read);
    harness.plain_1.answer_fields.clear();
    const std::size_t before = harness.plain_1.requests.size();
    harness.publish_endpoint("plain", harness.plain_1, "dom-a", "ready", 2);
    harness.run_for(milliseconds(2500)); // it is cold at first
    for (int n = 0; n < 30; ++n)
        (void)harness.read(0);
    cr_assert(harness.plain_1.requests.size() > before);
}

// Guards against the same with calls of a stage; each VM that batches it learns for itself.
Test(edge_endpoint_notice, leaving_stage_endpoint_gets_no_further_calls)
{
    for (const std::size_t vms : {std::size_t(1), std::size_t(4)})
    {
        notice_deployment harness;
        harness.start(vms);
        harness.encoder_1.answer_fields = "Server-Leaving: 1\r\n";
        for (std::size_t n = 0; n < 40; ++n)
            cr_assert(harness.stream(n % vms) == 200);
        cr_assert(!harness.encoder_1.requests.empty(), "the endpoint was not met");
        cr_assert(harness.encoder_1.requests.size() <= vms, "%zu VMs: %zu calls", vms,
                  harness.encoder_1.requests.size());
    }
}

// Guards against requests at an endpoint that has asked for a pause.
Test(edge_endpoint_notice, endpoint_asks_for_pause_gets_no_requests_until_its_end)
{
    notice_deployment harness;
    harness.start();
    harness.check_pause(harness.plain_1, &notice_deployment::read);
}

// Guards against the same with calls of a stage.
Test(edge_endpoint_notice, stage_endpoint_asks_for_pause_gets_no_calls_until_its_end)
{
    notice_deployment harness;
    harness.start(1);
    harness.check_pause(harness.encoder_1, &notice_deployment::stream);
}

// Guards against requests that wait until their deadline although no endpoint wants them.
Test(edge_endpoint_notice, all_endpoints_ask_for_pause_caller_is_refused_at_once_with_its_rest)
{
    notice_deployment harness;
    harness.start();
    for (fake_endpoint* endpoint : {&harness.plain_1, &harness.plain_2})
        harness.refuse_with_pause(*endpoint);
    for (int n = 0; n < 4; ++n)
        (void)harness.read(0);
    const auto sent = zinnianotch::steady_clock::now();
    const auto exchange =
        harness.send_and_wait(0, request_text("GET", "/read/1", harness.next_attempt()));
    cr_assert(zinnianotch::steady_clock::now() - sent < milliseconds(500));
    cr_assert(exchange->head.status == 503);
    const auto rest = zinnianotch::find_field(exchange->head, "Retry-After");
    cr_assert(rest && std::stod(std::string(*rest)) > 1.0, "%s", rest ? rest->data() : "none");
}
