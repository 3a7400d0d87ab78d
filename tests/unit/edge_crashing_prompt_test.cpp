// Engines that crash under one part of a prompt, seen by several VMs.
#include "seeds.h"
#include "serving_fixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace serving;
using zinnianotch::steady_clock;

namespace
{

// VMs have this long to hear of the fifth crash; sound requests are served again after twice that.
constexpr milliseconds contact{3000};
constexpr milliseconds observed{2000}; // sound requests after that
constexpr milliseconds engine_down_time{600};
constexpr const char* crashing_part = "badc0de1";
constexpr std::size_t document_count = 4000;

// Three VMs before six engines that crash under `crashing_part`. Requests with and without it share
// their first part, and come at all VMs.
struct crashing_deployment : deployment
{
    std::vector<fake_endpoint*> engines;
    std::map<std::string, std::int64_t> starts;
    std::vector<time_point> crashes;
    std::vector<std::pair<time_point, std::unique_ptr<client_exchange>>> sound;
    std::vector<std::unique_ptr<client_exchange>> guilty;
    std::size_t sent = 0;
    std::size_t documents = 0; // further shared parts of each prompt
    zinnianotch::testing::random_source random{1};

    crashing_deployment()
    {
        for (int i = 0; i < 6; ++i)
        {
            fake_endpoint& engine = add_endpoint("engines", "engine-" + std::to_string(i),
                                                 i % 2 == 0 ? "dom-a" : "dom-b");
            engine.event_count = 5;
            engine.event_interval = milliseconds(20);
            engine.crash_part = crashing_part;
            engine.on_crash = [this, &engine, i] { handle_crash(engine, i); };
            engines.push_back(&engine);
        }
        configure(1);
        for (std::size_t i = 0; i < 3; ++i)
            add_vm();
        cr_assert(run_until(
            [&]
            {
                for (std::size_t i = 0; i < 3; ++i)
                {
                    if (!is_ready(i) || vm(i).known_endpoints() < 6 || vm(i).links_up() < 2)
                        return false;
                }
                return true;
            }));
    }

    // The engine returns as a new lifetime under its id.
    void handle_crash(fake_endpoint& engine, int number)
    {
        crashes.push_back(steady_clock::now());
        const auto timer = std::make_shared<boost::asio::steady_timer>(io);
        timer->expires_after(engine_down_time);
        timer->async_wait(
            [this, timer, &engine, number](const boost::system::error_code&)
            {
                engine.restart();
                publish_endpoint("engines", engine, number % 2 == 0 ? "dom-a" : "dom-b", "ready",
                                 2 + starts[engine.id()]++);
            });
    }

    std::unique_ptr<client_exchange> start_prompt(std::size_t at_vm, const std::string& part,
                                                  const std::string& prefix)
    {
        const std::string attempt = part + "-" + std::to_string(++sent);
        std::string prompt = "0007:800,";
        for (std::size_t i = 0; i < documents; ++i)
            prompt += "d0c" + std::to_string(random.below(document_count)) + ":40,";
        prompt += part + ":400,own" + std::to_string(sent) + ":90";
        // No two requests are the same one.
        return start_request(at_vm,
                             request_text("POST", "/" + prefix + "/" + std::to_string(sent),
                                          attempt, "Prompt-Prefix: " + prompt + "\r\n", "x"));
    }

    // 50 sound requests a second, and 10 with the crashing part if `with_crashing`.
    void run_load(milliseconds time, bool with_crashing)
    {
        const time_point end = steady_clock::now() + time;
        for (std::size_t i = 0; steady_clock::now() < end; ++i)
        {
            sound.emplace_back(steady_clock::now(),
                               start_prompt(i % 3, "50f" + std::to_string(i % 8), "stream"));
            if (with_crashing && i % 5 == 0)
                guilty.push_back(start_prompt(i / 5 % 3, crashing_part, "once"));
            run_for(milliseconds(20));
        }
    }

    // When the VMs have had a reason to hold the part: the fifth crash, or the last if there are
    // fewer.
    time_point known_at() const
    {
        cr_assert(!crashes.empty());
        return crashes[std::min<std::size_t>(crashes.size(), 5) - 1];
    }

    // Requests that engines got after a time, with attempt ids that begin so.
    std::size_t arrivals_after(time_point from, const std::string& attempts) const
    {
        std::size_t count = 0;
        for (const fake_endpoint* engine : engines)
            count += std::count_if(engine->requests.begin(), engine->requests.end(),
                                   [&](const recorded_request& request) {
                                       return request.received_at > from &&
                                              request.attempt.starts_with(attempts);
                                   });
        return count;
    }

    // Part of the sound requests sent in a span that were answered.
    double answered(time_point from, time_point to) const
    {
        double count = 0.0;
        double all = 0.0;
        for (const auto& [at, exchange] : sound)
        {
            if (at < from || at >= to)
                continue;
            all += 1.0;
            count += exchange->done && exchange->head.status == 200 ? 1.0 : 0.0;
        }
        return all > 0.0 ? count / all : 0.0;
    }
};

// Plays calm and then crashing load, and checks what reaches engines and what is answered.
void expect_part_is_held(crashing_deployment& harness)
{
    const time_point begin = steady_clock::now();
    harness.run_load(milliseconds(1000), false);
    const time_point calm_end = steady_clock::now() - milliseconds(200);
    do
        harness.run_load(milliseconds(500), true);
    while (steady_clock::now() < harness.known_at() + 2 * contact + observed);
    const time_point end = steady_clock::now();
    harness.run_for(milliseconds(500));
    const time_point known = harness.known_at();
    const double calm = harness.answered(begin, calm_end);
    const double later = harness.answered(known + 2 * contact, end);
    const std::size_t arrivals = harness.arrivals_after(known + contact, crashing_part);
    cr_assert(arrivals <= 3, "%zu arrivals, %zu crashes", arrivals, harness.crashes.size());
    cr_assert(calm > 0.9 && later >= 0.5 * calm, "%f of %f answered", later, calm);
    cr_assert(std::all_of(harness.guilty.begin(), harness.guilty.end(),
                          [](const auto& exchange) { return exchange->ended(); }));
}

} // namespace

TestSuite(edge_crashing_prompt, .timeout = 60);

// Guards against requests with a part that crashes engines which VMs send to one engine after the
// other.
Test(edge_crashing_prompt, part_crashes_engines_it_is_held_on_all_vms_and_sound_requests_go_on)
{
    crashing_deployment harness;
    expect_part_is_held(harness);
}

// Guards against a part that is never held, since it is behind many others in its prompts.
Test(edge_crashing_prompt, crashing_part_behind_many_others_is_held)
{
    crashing_deployment harness;
    harness.documents = 18;
    expect_part_is_held(harness);
}

// Guards against a part that is never held, since its engines crash with several events out.
Test(edge_crashing_prompt, engines_crash_after_several_events_part_is_held)
{
    crashing_deployment harness;
    for (fake_endpoint* engine : harness.engines)
        engine->crash_events = 3;
    expect_part_is_held(harness);
}

// The same for a request without shared parts, which comes again.
Test(edge_crashing_prompt, engines_crash_after_several_events_of_one_request_it_is_held)
{
    constexpr std::size_t counted_crashes = 3;
    const std::string name = "again-";
    crashing_deployment harness;
    for (fake_endpoint* engine : harness.engines)
    {
        engine->crash_events = 3;
        engine->is_crashing = [&](const recorded_request& request)
        { return request.attempt.starts_with(name); };
    }
    std::vector<std::unique_ptr<client_exchange>> sent;
    const time_point end = steady_clock::now() + 2 * contact + observed;
    while (steady_clock::now() < end)
    {
        const std::string attempt = name + std::to_string(sent.size());
        sent.push_back(harness.start_request(
            sent.size() % 3, request_text("POST", "/once/again", attempt, "", "the same body")));
        harness.run_for(milliseconds(200));
    }
    cr_assert(harness.crashes.size() >= counted_crashes);
    const std::size_t arrivals =
        harness.arrivals_after(harness.crashes[counted_crashes - 1] + contact, name);
    cr_assert(arrivals <= 3, "%zu arrivals, %zu crashes", arrivals, harness.crashes.size());
}

// Guards against crashes that are overlooked because the connection is closed in order.
Test(edge_crashing_prompt, response_without_length_ends_at_crash_part_is_held)
{
    crashing_deployment harness;
    for (fake_endpoint* engine : harness.engines)
        engine->close_delimited = true;
    expect_part_is_held(harness);
}

// Guards against kept connections that were lost while idle being taken for crashes, which holds a
// popular part.
Test(edge_crashing_prompt, kept_connections_lost_at_many_engines_hold_nothing)
{
    crashing_deployment harness;
    harness.routes["/stream/"]["attempts"] = web::json::value::number(1);
    harness.configure(2);
    cr_assert(harness.run_until(
        [&] { return harness.vm(0).report(steady_clock::now()).desired_version == 2; }));
    const auto send_next = [&]
    {
        const auto exchange =
            harness.start_prompt(0, "50f" + std::to_string(harness.sent % 40), "stream");
        cr_assert(harness.run_until([&] { return exchange->ended(); }));
    };
    while (std::any_of(harness.engines.begin(), harness.engines.end(),
                       [](const auto* engine) { return engine->executions.empty(); }))
        send_next();
    for (fake_endpoint* engine : harness.engines)
        engine->break_before_answer = 1;
    for (std::size_t broken = 0; broken < harness.engines.size(); ++broken)
    {
        send_next();
        const auto found =
            std::find_if(harness.engines.begin(), harness.engines.end(),
                         [](const auto* engine) { return engine->break_before_answer == 0; });
        cr_assert(found != harness.engines.end());
        (*found)->break_before_answer = -1;
        // A sound run would clear the part.
        const auto number = found - harness.engines.begin();
        harness.publish_endpoint("engines", **found, number % 2 == 0 ? "dom-a" : "dom-b",
                                 "draining");
        const std::string id = (*found)->id();
        cr_assert(harness.run_until(
            [&]
            {
                const auto endpoints = harness.vm(0).report(steady_clock::now()).endpoints;
                return std::any_of(endpoints.begin(), endpoints.end(),
                                   [&](const auto& each) {
                                       return each.id == id &&
                                              each.use == zinnianotch::endpoint_use::draining;
                                   });
            }));
        harness.run_for(zinnianotch::domain_cause_window + milliseconds(20));
    }
    cr_assert(harness.vm(0).report(steady_clock::now()).held_prompt_parts.empty());
}
