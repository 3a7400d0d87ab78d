// A failure domain is cut off: connections to its endpoints time out.
#include "raw_socket.h"
#include "serving_fixture.h"

#include <criterion/criterion.h>

using namespace serving;
using zinnianotch::test::raw_listener;
using zinnianotch::test::raw_socket;

TestSuite(edge_unreachable_domain, .timeout = 120);

namespace
{

// Accepts no connection until it is opened: its backlog is full.
struct unreachable_endpoint
{
    raw_listener listener{1};
    std::vector<raw_socket> backlog = listener.fill_backlog();
    std::vector<raw_socket> accepted;

    std::string address() const
    {
        return std::string(loopback) + ":" + std::to_string(listener.port());
    }
    void open()
    {
        for (raw_socket socket = listener.accept(milliseconds(0)); socket.valid();
             socket = listener.accept(milliseconds(0)))
            accepted.push_back(std::move(socket));
    }
};

struct cut_deployment : deployment
{
    fake_endpoint& near = add_endpoint("plain", "near", "dom-c");
    std::vector<unreachable_endpoint> far{2};

    cut_deployment()
    {
        for (const unreachable_endpoint& endpoint : far)
            cr_assert_not(endpoint.backlog.empty(), "the backlog takes every connection");
        publish_address("plain", "far-1", far[0].address(), "dom-b");
        publish_address("plain", "far-2", far[1].address(), "dom-b");
        configure(1);
        add_vm();
        cr_assert(run_until([&] { return is_ready(0) && vm(0).known_endpoints() >= 3; }));
    }
    std::int64_t metric(const std::string& name)
    {
        const std::string page = get_from_metrics_port(0, "/metrics")->body;
        const std::size_t at = page.find("\nzinnianotch_" + name + " ");
        return at == std::string::npos
                   ? 0
                   : std::stoll(
                         page.substr(at + name.size() + std::string("\nzinnianotch_ ").size()));
    }
    void read()
    {
        const auto exchange =
            send_and_wait(0, request_text("GET", "/read/", "a" + std::to_string(++requests_)));
        cr_assert(exchange->done && exchange->head.status == 200, "status %d",
                  exchange->head.status);
    }

private:
    int requests_ = 0;
};

} // namespace

// Guards against requests that each find out by a time-out that a domain is cut off, and against a
// domain that stays out of use after it is back.
Test(edge_unreachable_domain, connections_time_out_later_requests_avoid_domain_until_probe_succeeds)
{
    cut_deployment harness;
    cr_assert(harness.run_until(
        [&]
        {
            harness.read();
            return harness.metric("domains_unreachable") == 1;
        }));
    const std::int64_t sends = harness.metric("sends_total");
    for (int i = 0; i < 10; ++i)
        harness.read();
    cr_assert(harness.metric("sends_total") == sends + 10, "requests were sent to the domain");
    cr_assert(harness.run_until(
        [&]
        {
            for (unreachable_endpoint& endpoint : harness.far)
                endpoint.open();
            return harness.metric("domains_unreachable") == 0;
        }));
}
