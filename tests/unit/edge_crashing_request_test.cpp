// Endpoints that crash under single requests which come again and again, seen by several VMs.
#include "serving_fixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>

using namespace serving;
using zinnianotch::steady_clock;

namespace
{

// VMs have this long to hear of the third crash; sound requests are served again after twice that.
constexpr milliseconds contact{3000};
constexpr milliseconds observed{2000}; // sound requests after that
constexpr milliseconds endpoint_down_time{1500};
constexpr std::size_t counted_crashes = 3;
constexpr std::size_t late_arrivals_max = 3;

// A request that crashes each endpoint which runs it.
struct crashing_request
{
    std::string method;
    std::string target;
    std::string body;
    std::vector<time_point> crashes{};
    std::optional<time_point> held_at{}; // by all VMs

    bool matches(const recorded_request& request) const
    {
        return request.method == method && request.target == target && request.body == body;
    }
};

// Three VMs before endpoints of one service. Sound requests have the routes, and some the path, of
// crashing ones.
struct crashing_deployment : deployment
{
    std::vector<fake_endpoint*> endpoints;
    std::vector<crashing_request> crashing;
    std::map<std::string, std::int64_t> starts;
    std::map<std::string, time_point> up_since;
    std::vector<std::pair<time_point, std::unique_ptr<client_exchange>>> popular;
    std::vector<std::pair<time_point, std::unique_ptr<client_exchange>>> single;
    std::vector<std::unique_ptr<client_exchange>> crashing_sent;
    std::size_t sent = 0;
    std::size_t steps = 0;             // of run_load, 20 ms each
    std::size_t crashing_interval = 5; // in steps

    explicit crashing_deployment(std::vector<crashing_request> requests)
        : crashing(std::move(requests))
    {
        for (int i = 0; i < 4; ++i)
        {
            fake_endpoint& endpoint =
                add_endpoint("plain", "plain-" + std::to_string(i), domain(i));
            endpoint.processing_time = milliseconds(20);
            endpoint.is_crashing = [this](const recorded_request& request)
            { return find_crashing(request) != nullptr; };
            endpoint.on_crash = [this, &endpoint, i] { handle_crash(endpoint, i); };
            endpoints.push_back(&endpoint);
        }
        configure(1);
        for (std::size_t i = 0; i < 3; ++i)
            add_vm();
        cr_assert(run_until(
            [&]
            {
                for (std::size_t i = 0; i < 3; ++i)
                {
                    if (!is_ready(i) || vm(i).known_endpoints() < 4 || vm(i).links_up() < 2)
                        return false;
                }
                return true;
            }));
    }

    static std::string domain(int number) { return number % 2 == 0 ? "dom-a" : "dom-b"; }

    crashing_request* find_crashing(const recorded_request& request)
    {
        const auto found =
            std::find_if(crashing.begin(), crashing.end(),
                         [&](const crashing_request& each) { return each.matches(request); });
        return found == crashing.end() ? nullptr : &*found;
    }

    // The endpoint returns as a new lifetime under its id.
    void handle_crash(fake_endpoint& endpoint, int number)
    {
        // Several crashing requests may be at the endpoint.
        for (crashing_request& each : crashing)
        {
            const bool was_there = std::any_of(
                endpoint.requests.begin(), endpoint.requests.end(),
                [&](const recorded_request& request) {
                    return request.received_at >= up_since[endpoint.id()] && each.matches(request);
                });
            if (was_there)
                each.crashes.push_back(steady_clock::now());
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(io);
        timer->expires_after(endpoint_down_time);
        timer->async_wait(
            [this, timer, &endpoint, number](const boost::system::error_code&)
            {
                endpoint.restart();
                up_since[endpoint.id()] = steady_clock::now();
                publish_endpoint("plain", endpoint, domain(number), "ready",
                                 2 + starts[endpoint.id()]++);
            });
    }

    std::unique_ptr<client_exchange> start(std::size_t at_vm, const std::string& method,
                                           const std::string& target, const std::string& body)
    {
        return start_request(at_vm,
                             request_text(method, target, "r-" + std::to_string(++sent), "", body));
    }

    // 50 popular and 50 single sound requests a second, and each crashing one every
    // `crashing_interval` if `with_crashing`.
    void run_load(milliseconds time, bool with_crashing)
    {
        const time_point end = steady_clock::now() + time;
        for (; steady_clock::now() < end; ++steps)
        {
            const std::size_t i = steps;
            popular.emplace_back(steady_clock::now(), start(i % 3, "GET", "/read/popular", ""));
            single.emplace_back(steady_clock::now(),
                                start((i + 1) % 3, "POST", "/order/new", std::to_string(sent)));
            for (std::size_t k = 0;
                 with_crashing && i % crashing_interval == 0 && k < crashing.size(); ++k)
            {
                crashing_request& each = crashing[k];
                crashing_sent.push_back(
                    start((i / crashing_interval + k) % 3, each.method, each.target, each.body));
            }
            run_for(milliseconds(20));
        }
    }

    bool is_held_by_all(std::size_t count)
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            if (vm(i).report(steady_clock::now()).held_requests.size() < count)
                return false;
        }
        return true;
    }

    // True once each request has crashed enough endpoints, or is held before it has: VMs also count
    // endpoints at which it was while another one crashed them.
    bool are_all_known()
    {
        const bool all_held = is_held_by_all(crashing.size());
        bool all_known = true;
        for (crashing_request& each : crashing)
        {
            if (all_held && !each.held_at)
                each.held_at = steady_clock::now();
            all_known = all_known && (each.crashes.size() >= counted_crashes || each.held_at);
        }
        return all_known;
    }

    // When the VMs have had a reason to hold the request.
    static time_point known_at(const crashing_request& request)
    {
        if (request.crashes.size() >= counted_crashes)
            return request.crashes[counted_crashes - 1];
        cr_assert(request.held_at.has_value());
        return *request.held_at;
    }

    std::size_t late_arrivals(const crashing_request& of) const
    {
        std::size_t count = 0;
        for (const fake_endpoint* endpoint : endpoints)
            count += std::count_if(endpoint->requests.begin(), endpoint->requests.end(),
                                   [&](const recorded_request& request) {
                                       return request.received_at > known_at(of) + contact &&
                                              of.matches(request);
                                   });
        return count;
    }

    // Part of the requests sent in a span that were answered.
    static double
    answered(const std::vector<std::pair<time_point, std::unique_ptr<client_exchange>>>& requests,
             time_point from, time_point to)
    {
        double count = 0.0;
        double all = 0.0;
        for (const auto& [at, exchange] : requests)
        {
            if (at < from || at >= to)
                continue;
            all += 1.0;
            count += exchange->done && exchange->head.status == 200 ? 1.0 : 0.0;
        }
        return all > 0.0 ? count / all : 0.0;
    }
};

// Plays calm and then crashing load, and checks what reaches endpoints and what is answered.
void expect_requests_are_held(crashing_deployment& harness)
{
    const time_point begin = steady_clock::now();
    harness.run_load(milliseconds(1000), false);
    const time_point calm_end = steady_clock::now() - milliseconds(200);
    const time_point limit = steady_clock::now() + run_timeout;
    while (!harness.are_all_known() && steady_clock::now() < limit)
        harness.run_load(milliseconds(100), true);
    time_point known{};
    for (const crashing_request& each : harness.crashing)
        known = std::max(known, crashing_deployment::known_at(each));
    while (steady_clock::now() < known + 2 * contact + observed)
        harness.run_load(milliseconds(500), true);
    const time_point end = steady_clock::now();
    harness.run_for(milliseconds(500));
    for (const crashing_request& each : harness.crashing)
    {
        const std::size_t arrivals = harness.late_arrivals(each);
        cr_expect(arrivals <= late_arrivals_max, "%s %s: %zu late arrivals, %zu crashes",
                  each.method.c_str(), each.target.c_str(), arrivals, each.crashes.size());
    }
    cr_expect(std::all_of(harness.crashing_sent.begin(), harness.crashing_sent.end(),
                          [](const auto& exchange) { return exchange->ended(); }));
    for (const auto* requests : {&harness.popular, &harness.single})
    {
        const double calm = harness.answered(*requests, begin, calm_end);
        const double later = harness.answered(*requests, known + 2 * contact, end);
        cr_expect(calm > 0.9 && later >= 0.9 * calm, "%f of %f answered", later, calm);
    }
}

} // namespace

TestSuite(edge_crashing_request, .timeout = 90);

// Guards against a request that VMs send to one endpoint after the other although each crashes.
Test(edge_crashing_request, idempotent_request_crashes_endpoints_it_is_held_on_all_vms)
{
    crashing_deployment harness({{"GET", "/read/job-86", "", {}}});
    expect_requests_are_held(harness);
}

// Guards against an identity that leaves out the body, and against several crashing requests that
// hide each other.
Test(edge_crashing_request, two_requests_crash_endpoints_both_are_held_and_same_path_goes_on)
{
    crashing_deployment harness(
        {{"GET", "/read/job-86", "", {}}, {"POST", "/order/new", std::string(200'000, 'x'), {}}});
    expect_requests_are_held(harness);
}

// Guards against crashes that are taken for kept connections which were lost before, because they
// follow the request at once.
Test(edge_crashing_request, request_crashes_endpoints_at_once_it_is_held_on_all_vms)
{
    crashing_deployment harness({{"GET", "/read/job-86", "", {}}});
    for (fake_endpoint* endpoint : harness.endpoints)
    {
        endpoint->processing_time = milliseconds(5);
        endpoint->crash_delay = milliseconds(1);
        endpoint->refuses_after_crash = true;
    }
    // Meanwhile sound requests open the connections that are kept.
    harness.crashing_interval = 60;
    expect_requests_are_held(harness);
}

// Guards against a sound request that is blamed because endpoints close kept connections under it.
Test(edge_crashing_request, kept_connections_close_under_request_it_is_not_blamed)
{
    crashing_deployment harness({});
    harness.routes["/read/"]["attempts"] = web::json::value::number(4);
    harness.configure(2);
    harness.run_load(milliseconds(1000), false); // opens connections
    for (fake_endpoint* endpoint : harness.endpoints)
        endpoint->break_before_answer = 1;
    const auto exchange = harness.start(0, "GET", "/read/job-86", "");
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    std::size_t broken = 0;
    for (const fake_endpoint* endpoint : harness.endpoints)
        broken += endpoint->break_before_answer == 0 ? 1 : 0;
    cr_assert(broken == harness.endpoints.size(), "%zu endpoints closed a connection", broken);
    cr_assert(harness.vm(0).report(steady_clock::now()).held_requests.empty());
    const auto again = harness.start(0, "GET", "/read/job-86", "");
    cr_assert(harness.run_until([&] { return again->ended(); }));
    cr_assert(again->done && again->head.status == 200, "status %d", again->head.status);
}

// Guards against one client attempt that crashes more endpoints than a request may.
Test(edge_crashing_request, plain_request_crashes_two_endpoints_it_is_sent_to_no_third)
{
    crashing_deployment harness({{"GET", "/read/job-86", ""}});
    harness.routes["/read/"]["attempts"] = web::json::value::number(4);
    harness.configure(2);
    cr_assert(harness.run_until(
        [&] { return harness.vm(0).report(steady_clock::now()).desired_version == 2; }));
    const auto exchange = harness.start(0, "GET", "/read/job-86", "");
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    cr_assert(harness.crashing.front().crashes.size() == zinnianotch::max_crashes_per_request);
    cr_assert(exchange->done && exchange->head.status == 502);
}
