// Endpoints that name how many requests a second they take from all VMs together.
#include "serving_fixture.h"

#include <criterion/criterion.h>

using namespace serving;

namespace
{

// The rule: in any window, half as much again as the limit allows, and five requests.
constexpr milliseconds limit_window{4000};
constexpr double limit_tolerance = 1.5;
constexpr double limit_slack = 5.0;
// Requests that may be on their way when a VM hears of the limit.
constexpr milliseconds limit_notice_time{500};
constexpr milliseconds send_interval{25};

struct limit_deployment : deployment
{
    static constexpr std::size_t vm_count = 6;
    fake_endpoint& plain_1 = add_endpoint("plain", "plain-1");
    fake_endpoint& plain_2 = add_endpoint("plain", "plain-2");
    fake_endpoint& engine_1 = add_endpoint("engines", "engine-1");
    fake_endpoint& encoder_1 = add_endpoint("encoders", "encoder-1");
    fake_endpoint& encoder_2 = add_endpoint("encoders", "encoder-2");

    void start()
    {
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
                    if (!is_ready(i) || vm(i).known_endpoints() < 5 || vm(i).links_up() < 2)
                        return false;
                }
                return true;
            }));
    }

    static void name_limit(fake_endpoint& endpoint, const std::string& limit)
    {
        endpoint.answer_fields = limit.empty() ? "" : "Server-Limit: " + limit + "\r\n";
        endpoint.refusal_fields = endpoint.answer_fields;
    }

    std::string next_attempt() { return "a" + std::to_string(++attempts_); }
    std::string read_text() { return request_text("GET", "/read/1", next_attempt()); }
    std::string stream_text()
    {
        return request_text("POST", "/stream/1", next_attempt(), "Pieces: 1\r\nPiece-Key: k\r\n",
                            "x");
    }

    // Sends through all VMs in turn, without waiting for responses, until the time is over.
    void send_for(milliseconds time, std::string (limit_deployment::*text)())
    {
        const auto end = zinnianotch::steady_clock::now() + time;
        while (zinnianotch::steady_clock::now() < end)
        {
            exchanges_.push_back(start_request(exchanges_.size() % vm_count, (this->*text)()));
            run_for(send_interval);
        }
    }

    // Most requests that the endpoint has received in any limit_window from `from` on.
    static std::size_t most_in_window(const fake_endpoint& endpoint, time_point from)
    {
        std::size_t most = 0;
        const std::vector<time_point>& arrivals = endpoint.arrivals;
        for (std::size_t first = 0; first < arrivals.size(); ++first)
        {
            if (arrivals[first] < from)
                continue;
            std::size_t last = first;
            while (last < arrivals.size() && arrivals[last] - arrivals[first] <= limit_window)
                ++last;
            most = std::max(most, last - first);
        }
        return most;
    }

    void check_limit(fake_endpoint& endpoint, double limit, std::string (limit_deployment::*text)())
    {
        name_limit(endpoint, std::to_string(limit));
        send_for(limit_notice_time * 3, text);
        const time_point told_at = zinnianotch::steady_clock::now();
        send_for(limit_window * 2, text);
        const double seconds = static_cast<double>(limit_window.count()) / 1000.0;
        const auto allowed =
            static_cast<std::size_t>(limit_tolerance * limit * seconds + limit_slack);
        const std::size_t most = most_in_window(endpoint, told_at);
        cr_assert(most <= allowed, "%zu requests, %zu allowed", most, allowed);
        cr_assert(most > 0, "no request at all");
    }

    // Sends until the endpoint has received this number of further requests; false if it does not.
    bool run_until_requests(const fake_endpoint& endpoint, std::size_t count,
                            std::string (limit_deployment::*text)())
    {
        const std::size_t before = endpoint.arrivals.size();
        const auto end = zinnianotch::steady_clock::now() + run_timeout;
        while (endpoint.arrivals.size() < before + count)
        {
            if (zinnianotch::steady_clock::now() >= end)
                return false;
            send_for(send_interval, text);
        }
        return true;
    }

    std::size_t refused() const
    {
        return static_cast<std::size_t>(std::count_if(
            exchanges_.begin(), exchanges_.end(),
            [](const auto& each) { return each->ended() && each->head.status != 200; }));
    }

private:
    int attempts_ = 0;
    std::vector<std::unique_ptr<client_exchange>> exchanges_;
};

} // namespace

// Guards against VMs that send as many requests as before to an endpoint that has named a limit, or
// that each take the limit for themselves.
Test(edge_endpoint_limit, endpoint_names_limit_all_vms_together_keep_to_it)
{
    limit_deployment harness;
    harness.start();
    harness.check_limit(harness.plain_1, 1.0, &limit_deployment::read_text);
    cr_assert(harness.refused() == 0, "%zu refused beside an endpoint without a limit",
              harness.refused());
}

// Guards against the same with calls that run pieces of stages.
Test(edge_endpoint_limit, stage_endpoint_names_limit_all_vms_together_keep_to_it)
{
    limit_deployment harness;
    harness.start();
    harness.check_limit(harness.encoder_1, 1.0, &limit_deployment::stream_text);
}

// Guards against a limit that is kept after the endpoint has stopped naming it, also by VMs that
// are told nothing by it any more.
Test(edge_endpoint_limit, limit_not_named_any_more_endpoint_gets_its_part_again)
{
    limit_deployment harness;
    harness.start();
    harness.check_limit(harness.plain_1, 0.2, &limit_deployment::read_text);
    harness.name_limit(harness.plain_1, "");
    cr_assert(harness.run_until_requests(harness.plain_1, 60, &limit_deployment::read_text));
}

// Guards against a limit that is laid on the next lifetime of the endpoint.
Test(edge_endpoint_limit, endpoint_starts_again_limit_is_forgotten)
{
    limit_deployment harness;
    harness.start();
    harness.check_limit(harness.plain_1, 0.2, &limit_deployment::read_text);
    harness.name_limit(harness.plain_1, "");
    harness.publish_endpoint("plain", harness.plain_1, "dom-a", "ready", 2);
    harness.run_for(limit_notice_time * 3);
    const std::size_t before = harness.plain_1.arrivals.size();
    harness.send_for(limit_window / 2, &limit_deployment::read_text);
    cr_assert(harness.plain_1.arrivals.size() >= before + 10);
}

// Guards against callers that wait for an endpoint which takes no more, or are not told when to
// come back.
Test(edge_endpoint_limit, all_endpoints_limited_rest_is_refused_at_once_as_not_run)
{
    limit_deployment harness;
    harness.start();
    harness.name_limit(harness.plain_1, "0.5");
    harness.name_limit(harness.plain_2, "0.5");
    harness.send_for(limit_notice_time * 3, &limit_deployment::read_text);
    std::size_t refused = 0;
    for (std::size_t i = 0; i < 12; ++i)
    {
        const time_point sent_at = zinnianotch::steady_clock::now();
        const auto exchange =
            harness.send_and_wait(i % limit_deployment::vm_count, harness.read_text());
        if (exchange->head.status == 200)
            continue;
        ++refused;
        cr_assert(exchange->head.status == 503);
        cr_assert(zinnianotch::find_field(exchange->head, "Retry-After").has_value());
        cr_assert(zinnianotch::steady_clock::now() - sent_at < limit_notice_time);
    }
    cr_assert(refused >= 8, "%zu refused", refused);
}

// Guards against a VM that learns of a limit only by exceeding it.
Test(edge_endpoint_limit, one_vm_is_told_others_hear_of_it)
{
    limit_deployment harness;
    harness.start();
    harness.name_limit(harness.plain_1, "0.2");
    while (harness.plain_1.arrivals.empty())
        (void)harness.send_and_wait(0, harness.read_text());
    const auto all_know = [&]
    {
        for (std::size_t i = 0; i < limit_deployment::vm_count; ++i)
        {
            const auto report = harness.vm(i).report(zinnianotch::steady_clock::now());
            const bool knows = std::any_of(
                report.endpoints.begin(), report.endpoints.end(),
                [](const auto& each)
                { return each.id == "plain-1" && each.use == zinnianotch::endpoint_use::limited; });
            if (!knows)
                return false;
        }
        return true;
    };
    cr_assert(harness.run_until(all_know));
    cr_assert(harness.plain_1.arrivals.size() == 1);
}
