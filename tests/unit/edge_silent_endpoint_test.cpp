// Sound endpoints that fall silent for a while and go on, beside changes of the configuration: each
// request gets a complete response, and a response that has begun is completed.
#include "seeds.h"
#include "serving_fixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <utility>

using namespace serving;
using web::json::value;

namespace
{

constexpr int stream_events = 5;
// Longer than any time after which a VM turns to another endpoint.
constexpr milliseconds long_silence{3000};

struct silent_deployment : deployment
{
    fake_endpoint& plain_1 = add_endpoint("plain", "plain-1");
    fake_endpoint& plain_2 = add_endpoint("plain", "plain-2");
    fake_endpoint& engine_1 = add_endpoint("engines", "engine-1");
    fake_endpoint& engine_2 = add_endpoint("engines", "engine-2");
    fake_endpoint* first = nullptr; // the endpoint that has the request
    fake_endpoint* other = nullptr; // of the same service
    std::string pieces = "1";       // of the stages of a request

    silent_deployment()
    {
        for (fake_endpoint* engine : {&engine_1, &engine_2})
            engine->event_count = stream_events;
        for (auto& [prefix, description] : routes)
            description["timeout_ms"] = value::number(15000);
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

    bool all_vms_have(std::uint64_t version, std::size_t vms)
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            if (vm(i).desired_version() != version)
                return false;
        }
        return true;
    }

    void change_to(std::uint64_t version)
    {
        configure(version);
        cr_assert(run_until([&] { return all_vms_have(version, 1); }));
    }

    // Sends a request; the endpoint that gets it falls silent at this point, once.
    std::unique_ptr<client_exchange> start_at_silent(const std::string& method,
                                                     const std::string& path, silence_point point,
                                                     milliseconds time = long_silence)
    {
        for (fake_endpoint* endpoint : {&plain_1, &plain_2, &engine_1, &engine_2})
        {
            endpoint->silent_at = point;
            endpoint->silence_time = time;
            endpoint->silences_left = 1;
        }
        auto exchange = start_request(0, request_text(method, path, "s1",
                                                      "Pieces: " + pieces + "\r\nPiece-Key: k\r\n",
                                                      method == "POST" ? "x" : ""));
        const bool is_plain = path.starts_with("/read/") || path.starts_with("/order/");
        fake_endpoint& one = is_plain ? plain_1 : engine_1;
        fake_endpoint& two = is_plain ? plain_2 : engine_2;
        cr_assert(run_until([&] { return one.silences + two.silences > 0; }));
        first = one.silences > 0 ? &one : &two;
        other = one.silences > 0 ? &two : &one;
        other->silences_left = 0;
        return exchange;
    }

    // Starts a stream whose engine falls silent after two events, and waits until the client has
    // them.
    std::unique_ptr<client_exchange> begin_stream(const std::string& path = "/stream/1")
    {
        auto exchange = start_at_silent("POST", path, silence_point::between_events);
        cr_assert(run_until([&] { return exchange->body == events_text(2); }));
        return exchange;
    }

    // Sends reads while all endpoints of their service are silent.
    std::vector<std::unique_ptr<client_exchange>> start_reads_at_silence(int count)
    {
        std::vector<std::unique_ptr<client_exchange>> reads;
        plain_1.fall_silent(long_silence);
        plain_2.fall_silent(long_silence);
        reads.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            reads.push_back(
                start_request(0, request_text("GET", "/read/1", "a" + std::to_string(i))));
        return reads;
    }

    void check_stream_completed(client_exchange& exchange)
    {
        cr_assert(run_until([&] { return exchange.ended(); }));
        cr_assert(first->crashes == 0 && first->silences == 1);
        cr_assert(exchange.done && exchange.body == events_text(stream_events),
                  "%s after %zu bytes: %s, requests at the other engine: %zu",
                  exchange.done ? "ended" : "broken off", exchange.body.size(),
                  exchange.failure ? std::string(to_string(*exchange.failure)).c_str() : "-",
                  other->requests.size());
    }

    // The request must be answered by the endpoint or, if nothing was passed on, get an error.
    void check_not_lost(client_exchange& exchange, const std::string& body)
    {
        cr_assert(run_until([&] { return exchange.ended(); }));
        cr_assert(exchange.done, "status %d, broken off after %zu bytes", exchange.head.status,
                  exchange.body.size());
        cr_assert(exchange.head.status >= 400 || exchange.body == body, "status %d: %s",
                  exchange.head.status, exchange.body.c_str());
    }

    // The same, and it must be answered.
    void check_answered(client_exchange& exchange, const std::string& body)
    {
        check_not_lost(exchange, body);
        cr_assert(exchange.head.status == 200, "status %d", exchange.head.status);
    }
};

// Random silences, refusals and changes of the configuration over several VMs. Endpoints are sound:
// they never break a connection, and go on serving while they are draining or have no entry.
class silent_rig : public deployment
{
public:
    explicit silent_rig(std::uint64_t seed) : random_(seed)
    {
        limits.retries.slack = 12;
        further_services = {"plain-b", "engines-b"};
        for (const std::string service : {"plain", "plain-b", "engines", "engines-b", "encoders"})
        {
            for (int i = 0; i < (service == "encoders" ? 2 : 3); ++i)
                add_server(service, i);
        }
        add_stage();
        routes["/staged/"] = routes["/stream/"];
        routes["/staged/"]["name"] = value::string("r-staged");
        routes["/stream/"].erase("stages");
        routes["/order/"]["name"] = value::string("r-order");
        for (auto& [prefix, description] : routes)
        {
            description["timeout_ms"] = value::number(shortest_timeout);
            description["attempts"] = value::number(random_.between(1, 4));
        }
        set_keys();
    }

    void run()
    {
        configure(++version_);
        for (std::size_t i = 0; i < vm_count; ++i)
            add_vm();
        cr_assert(run_until(
            [&]
            {
                for (std::size_t i = 0; i < vm_count; ++i)
                {
                    if (!is_ready(i) || vm(i).known_endpoints() < servers_.size())
                        return false;
                }
                return true;
            }));
        for (int step = 0; step < step_count; ++step)
        {
            for (int i = 0; i < 12; ++i)
                send_request();
            make_silent();
            run_for(milliseconds(random_.between(0, 60)));
            change();
            run_for(milliseconds(random_.between(50, 250)));
        }
        (void)run_until(
            [&]
            {
                return std::all_of(sent_.begin(), sent_.end(),
                                   [](const auto& request) { return request.exchange->ended(); });
            });
        for (const sent_request& request : sent_)
            judge(request);
        std::size_t silences = 0;
        for (const server& each : servers_)
            silences += each.endpoint->silences;
        std::printf("silent endpoints: %zu requests, %zu silences, %llu versions; %zu answered, "
                    "%zu errors, %zu late, %zu lost\n",
                    sent_.size() + judged_early_, silences,
                    static_cast<unsigned long long>(version_), answered_, errors_, late_,
                    violations_.size());
        for (const std::string& violation : violations_)
            std::printf("  %s\n", violation.c_str());
        std::fflush(stdout);
        // The rig tests nothing unless these happen.
        cr_assert(answered_ > 0 && silences > 0);
    }

    const std::vector<std::string>& violations() const { return violations_; }

private:
    static constexpr std::size_t vm_count = 3;
    static constexpr int step_count = 32;
    static constexpr std::int64_t shortest_timeout = 12000;
    static constexpr std::size_t large_body = 100 * 1024;

    struct server
    {
        std::string service;
        fake_endpoint* endpoint = nullptr;
        enum class entry
        {
            ready,
            draining,
            gone
        } state = entry::ready;
    };

    struct sent_request
    {
        std::string attempt;
        std::string path;
        std::size_t vm = 0;
        time_point at{};
        std::string beside; // the change after it
        std::unique_ptr<client_exchange> exchange;
    };

    void add_server(const std::string& service, int number)
    {
        const std::string id = service + "-" + std::to_string(number);
        fake_endpoint& added = add_endpoint(service, id, number == 0 ? "dom-b" : "dom-a");
        if (service.starts_with("engines"))
            added.event_count = stream_events;
        added.event_interval = milliseconds(20);
        added.close_delimited = number == 2 && service != "encoders";
        added.filler_bytes = service == "plain-b" ? large_body : 0;
        servers_.push_back({service, &added});
    }

    // The key of the requests belongs to the first account.
    void set_keys()
    {
        const auto account = [](const std::string& name, const std::vector<value>& keys)
        {
            value object = value::object();
            object["name"] = value::string(name);
            object["api_keys"] = value::array(keys);
            return object;
        };
        std::vector<value> own{value::string("key-a")};
        std::vector<value> other{value::string("key-b")};
        if (own_key_withdrawn_)
            own.clear();
        if (other_key_added_)
            other.push_back(value::string("key-c"));
        accounts = value::array({account("account-a", own), account("account-b", other)});
    }

    void send_request()
    {
        const std::vector<std::string> paths{"/read/", "/order/", "/stream/", "/once/", "/staged/"};
        const std::string& path = paths[random_.below(paths.size())];
        const std::string attempt = "r" + std::to_string(++sent_count_);
        const bool is_read = path == "/read/";
        const std::string text = request_text(
            is_read ? "GET" : "POST", path + "1", attempt,
            "Authorization: Bearer key-a\r\nPieces: 1\r\nPiece-Key: k\r\n", is_read ? "" : "x");
        const auto kept = std::find_if(sent_.begin(), sent_.end(),
                                       [](const auto& request) { return request.exchange->done; });
        if (kept != sent_.end() && random_.chance(0.5))
        {
            judge(*kept);
            ++judged_early_;
            kept->attempt = attempt;
            kept->path = path;
            kept->at = zinnianotch::steady_clock::now();
            kept->beside.clear();
            return kept->exchange->send_next(text);
        }
        const std::size_t at = random_.below(vm_count);
        sent_.push_back(
            {attempt, path, at, zinnianotch::steady_clock::now(), {}, start_request(at, text)});
    }

    void make_silent()
    {
        const std::vector<silence_point> points{
            silence_point::before_accept,       silence_point::before_reading,
            silence_point::before_head,         silence_point::within_head,
            silence_point::between_events,      silence_point::within_event,
            silence_point::within_plain_body,   silence_point::before_last_byte,
            silence_point::before_close,        silence_point::after_close,
            silence_point::before_stage_results};
        for (int i = 0; i < 3; ++i)
        {
            fake_endpoint& chosen = *servers_[random_.below(servers_.size())].endpoint;
            chosen.silent_at = points[random_.below(points.size())];
            chosen.silences_left = 1;
            chosen.silent_after_event = static_cast<int>(random_.below(stream_events));
            chosen.silence_time = milliseconds(random_.between(300, 3000));
        }
        if (random_.chance(0.1))
        {
            const std::string service = servers_[random_.below(servers_.size())].service;
            const milliseconds time(random_.between(300, 3000));
            for (const server& each : servers_)
            {
                if (each.service == service)
                    each.endpoint->fall_silent(time);
            }
        }
        fake_endpoint& full = *servers_[random_.below(servers_.size())].endpoint;
        full.fail_next = static_cast<int>(random_.below(4));
        full.fail_status = 503;
        full.fail_as_not_run = true;
    }

    void change()
    {
        const std::vector<std::string> prefixes{"/read/", "/order/", "/stream/", "/once/",
                                                "/staged/"};
        const std::string& prefix = prefixes[random_.below(prefixes.size())];
        const bool is_plain = prefix == "/read/" || prefix == "/order/";
        const std::string service = is_plain ? "plain" : "engines";
        const auto kind = random_.below(10);
        // These end with the next change.
        if (std::exchange(own_key_withdrawn_, false))
            set_keys();
        if (removed_)
        {
            routes[removed_->first] = removed_->second;
            removed_.reset();
        }
        value& changed = routes[prefix];
        switch (kind)
        {
        case 0:
            changed["service"] =
                value::string(changed["service"].as_string() == service ? service + "-b" : service);
            if (changed.has_field("backends"))
                changed.erase("backends");
            return put("service of " + prefix);
        case 1:
        {
            value one = value::object();
            one["service"] = value::string(service);
            one["weight"] = value::number(random_.between(0, 3));
            value two = value::object();
            two["service"] = value::string(service + "-b");
            two["weight"] = value::number(random_.between(1, 3));
            changed["backends"] = value::array({one, two});
            return put("weights of " + prefix);
        }
        case 2:
            changed["timeout_ms"] = value::number(shortest_timeout * random_.between(1, 2));
            return put("timeout of " + prefix);
        case 3:
            other_key_added_ = !other_key_added_;
            set_keys();
            return put("key of another account");
        case 4:
            own_key_withdrawn_ = true;
            set_keys();
            return put("own key");
        case 5:
            removed_ = {prefix, changed};
            routes.erase(prefix);
            return put("removal of " + prefix);
        case 6:
            client_limits["idle_timeout_ms"] = value::number(random_.between(200, 8000));
            client_limits["header_timeout_ms"] = value::number(random_.between(500, 3000));
            client_limits["max_header_bytes"] = value::number(random_.between(2000, 16000));
            return put("client limits");
        case 7:
        case 8:
            return change_entry();
        default:
        {
            zinnianotch::fleet_limits changed_limits = limits;
            changed_limits.retries.slack = static_cast<double>(random_.between(0, 24));
            for (std::size_t i = 0; i < vm_count; ++i)
                vm(i).set_limits(changed_limits);
            return note("retry limits");
        }
        }
    }

    // Makes an endpoint draining, removes its entry, or publishes it again.
    void change_entry()
    {
        const auto away =
            std::find_if(servers_.begin(), servers_.end(),
                         [](const server& each) { return each.state != server::entry::ready; });
        server& changed = away != servers_.end() && random_.chance(0.6)
                              ? *away
                              : servers_[random_.below(servers_.size())];
        const std::string domain = changed.endpoint->id().ends_with("-0") ? "dom-b" : "dom-a";
        if (changed.state != server::entry::ready)
        {
            changed.state = server::entry::ready;
            publish_endpoint(changed.service, *changed.endpoint, domain);
        }
        else if (random_.chance(0.5))
        {
            changed.state = server::entry::draining;
            publish_endpoint(changed.service, *changed.endpoint, domain, "draining");
        }
        else
        {
            changed.state = server::entry::gone;
            store.remove("servers", changed.endpoint->id());
        }
        note("entry of " + changed.endpoint->id());
    }

    void put(const std::string& what)
    {
        configure(++version_);
        note(what);
    }

    void note(const std::string& what)
    {
        for (sent_request& request : sent_)
        {
            if (!request.exchange->ended())
                request.beside += (request.beside.empty() ? "" : ", ") + what;
        }
    }

    bool is_answer(const sent_request& request) const
    {
        const std::string& body = request.exchange->body;
        if (request.path != "/read/" && request.path != "/order/")
            return body == events_text(stream_events);
        const std::string expected = "answer to " + request.attempt;
        return body == expected || body == expected + std::string(large_body, '.');
    }

    bool reached_endpoint(const std::string& attempt) const
    {
        return std::any_of(servers_.begin(), servers_.end(),
                           [&](const server& each)
                           {
                               return std::any_of(
                                   each.endpoint->requests.begin(), each.endpoint->requests.end(),
                                   [&](const auto& request) { return request.attempt == attempt; });
                           });
    }

    void judge(const sent_request& request)
    {
        const client_exchange& exchange = *request.exchange;
        const auto took = std::chrono::duration_cast<milliseconds>(
            (exchange.ended() ? exchange.ended_at : zinnianotch::steady_clock::now()) - request.at);
        const bool is_late = took.count() >= shortest_timeout * 7 / 10;
        const bool is_error = exchange.done && exchange.head.status >= 400;
        // The VM closed the kept connection just before.
        const bool is_unread = !is_late && exchange.is_reused() && exchange.body.empty() &&
                               !reached_endpoint(request.attempt);
        if (exchange.done && exchange.head.status == 200 && is_answer(request))
            ++answered_;
        else if (is_error || is_unread)
            ++errors_;
        else if (is_late)
            ++late_;
        else
            violations_.push_back(
                request.path + " " + request.attempt + " at vm-" + std::to_string(request.vm) +
                ": " + (exchange.failure ? std::string(to_string(*exchange.failure)) : "ended") +
                " after " + std::to_string(took.count()) + " ms and " +
                std::to_string(exchange.body.size()) + " bytes of " +
                std::to_string(exchange.head.status) + "; beside: " + request.beside);
    }

    zinnianotch::testing::random_source random_;
    std::vector<server> servers_;
    std::vector<sent_request> sent_;
    std::optional<std::pair<std::string, value>> removed_; // route
    bool own_key_withdrawn_ = false;
    bool other_key_added_ = false;
    std::uint64_t version_ = 0;
    std::size_t sent_count_ = 0;
    std::size_t judged_early_ = 0;
    std::size_t answered_ = 0;
    std::size_t errors_ = 0;
    std::size_t late_ = 0;
    std::vector<std::string> violations_;
};

} // namespace

// Guards against a begun stream that leaves a silent engine for one that is full.
Test(edge_silent_endpoint, begun_stream_next_engine_refuses_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.other->fail_next = 1000;
    harness.other->fail_status = 503;
    harness.other->fail_as_not_run = true;
    harness.check_stream_completed(*exchange);
}

// Guards against the same where the next engine fails.
Test(edge_silent_endpoint, begun_stream_next_engine_fails_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.other->fail_next = 1000;
    harness.check_stream_completed(*exchange);
}

// Guards against the same where the next engine breaks the connection.
Test(edge_silent_endpoint, begun_stream_next_engine_breaks_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.other->break_before_answer = 1000;
    harness.check_stream_completed(*exchange);
}

// Guards against the same where the next engine accepts no connection.
Test(edge_silent_endpoint, begun_stream_next_engine_unreachable_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.other->crash_for_good();
    harness.check_stream_completed(*exchange);
}

// Guards against the same where the next engine breaks after further events: the client has them.
Test(edge_silent_endpoint, begun_stream_next_engine_breaks_in_answer_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.other->break_after_event = 3;
    harness.check_stream_completed(*exchange);
}

// Guards against a begun stream that leaves the only engine of its service.
Test(edge_silent_endpoint, begun_stream_no_other_engine_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.store.remove("servers", harness.other->id());
    cr_assert(harness.run_until([&] { return !harness.vm(0).routes_to(harness.other->id()); }));
    harness.check_stream_completed(*exchange);
}

// Guards against the same where the other engine is draining.
Test(edge_silent_endpoint, begun_stream_other_engine_draining_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.publish_endpoint("engines", *harness.other, "dom-a", "draining");
    cr_assert(harness.run_until([&] { return !harness.vm(0).routes_to(harness.other->id()); }));
    harness.check_stream_completed(*exchange);
}

// Guards against a begun stream that is broken off because its engine leaves while it is silent.
Test(edge_silent_endpoint, begun_stream_own_engine_draining_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.publish_endpoint("engines", *harness.first, "dom-a", "draining");
    harness.other->fail_next = 1000;
    harness.other->fail_status = 503;
    harness.other->fail_as_not_run = true;
    harness.check_stream_completed(*exchange);
}

// Guards against the same where all entries of the service go, as when it is moved.
Test(edge_silent_endpoint, begun_stream_entries_of_service_go_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    for (const fake_endpoint* engine : {harness.first, harness.other})
        harness.store.remove("servers", engine->id());
    harness.check_stream_completed(*exchange);
}

// Guards against a begun stream that is broken off when its route moves and its service empties.
Test(edge_silent_endpoint, begun_stream_service_moves_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.routes["/stream/"]["service"] = value::string("plain");
    harness.change_to(2);
    harness.store.remove("servers", harness.other->id());
    harness.check_stream_completed(*exchange);
}

// Guards against a begun stream that is broken off when its route is removed.
Test(edge_silent_endpoint, begun_stream_route_removed_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.routes.erase("/stream/");
    harness.change_to(2);
    harness.check_stream_completed(*exchange);
}

// Guards against a begun stream that leaves its engine with the last retry of the budget.
Test(edge_silent_endpoint, begun_stream_retry_budget_used_up_stream_is_completed)
{
    silent_deployment harness;
    harness.limits.retries.ratio = 0.0;
    harness.limits.retries.slack = 1;
    harness.routes["/stream/"]["attempts"] = value::number(4);
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.other->fail_next = 1;
    harness.other->fail_status = 503;
    harness.other->fail_as_not_run = true;
    harness.check_stream_completed(*exchange);
}

// Guards against the same where the limits are reloaded meanwhile.
Test(edge_silent_endpoint, begun_stream_retry_limits_lowered_stream_is_completed)
{
    silent_deployment harness;
    harness.routes["/stream/"]["attempts"] = value::number(4);
    harness.start();
    const auto exchange = harness.begin_stream();
    zinnianotch::fleet_limits lowered = harness.limits;
    lowered.retries.ratio = 0.0;
    lowered.retries.slack = 1;
    harness.vm(0).set_limits(lowered);
    harness.other->break_before_answer = 1;
    harness.check_stream_completed(*exchange);
}

// Guards against a stream that is broken off although no retry was left to leave its engine.
Test(edge_silent_endpoint, begun_stream_no_retry_left_stream_is_completed)
{
    silent_deployment harness;
    harness.limits.retries.ratio = 0.0;
    harness.limits.retries.slack = 0;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.check_stream_completed(*exchange);
}

// Guards against a begun stream whose engines are all silent at once.
Test(edge_silent_endpoint, begun_stream_all_engines_silent_stream_is_completed)
{
    silent_deployment harness;
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.other->fall_silent(long_silence);
    harness.check_stream_completed(*exchange);
}

// Guards against a begun stream with stages that are refused when they run again.
Test(edge_silent_endpoint, begun_stream_stages_refused_stream_is_completed)
{
    silent_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    harness.start();
    const auto exchange = harness.begin_stream();
    encoder.piece_failure_reason = "error";
    harness.check_stream_completed(*exchange);
}

// Guards against the same where the only endpoint of the stage is silent, too.
Test(edge_silent_endpoint, begun_stream_stage_silent_stream_is_completed)
{
    silent_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    harness.start();
    const auto exchange = harness.begin_stream();
    encoder.fall_silent(long_silence);
    harness.check_stream_completed(*exchange);
}

// Guards against the same where the stage has no endpoint any more.
Test(edge_silent_endpoint, begun_stream_stage_without_endpoint_stream_is_completed)
{
    silent_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.store.remove("servers", encoder.id());
    cr_assert(harness.run_until([&] { return !harness.vm(0).routes_to(encoder.id()); }));
    harness.check_stream_completed(*exchange);
}

// Guards against a begun stream that the refusal of its second stage ends.
Test(edge_silent_endpoint, begun_stream_two_stages_refused_stream_is_completed)
{
    silent_deployment harness;
    harness.add_stage();
    const value stages = harness.routes["/stream/"].at("stages");
    harness.routes["/stream/"]["stages"] = value::array({stages.at(0), stages.at(0)});
    harness.pieces = "1,1";
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.store.remove("servers", encoder.id());
    cr_assert(harness.run_until([&] { return !harness.vm(0).routes_to(encoder.id()); }));
    harness.check_stream_completed(*exchange);
}

// Guards against stages that run again for a stream that no other engine can take.
Test(edge_silent_endpoint, begun_stream_no_other_engine_stages_do_not_run_again)
{
    silent_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.store.remove("servers", harness.other->id());
    cr_assert(harness.run_until([&] { return !harness.vm(0).routes_to(harness.other->id()); }));
    harness.check_stream_completed(*exchange);
    cr_assert(encoder.pieces_completed == 1, "%zu pieces", encoder.pieces_completed);
}

// Guards against the same where no retry is left.
Test(edge_silent_endpoint, begun_stream_no_retry_left_stages_do_not_run_again)
{
    silent_deployment harness;
    harness.limits.retries.ratio = 0.0;
    harness.limits.retries.slack = 0;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    harness.start();
    const auto exchange = harness.begin_stream();
    harness.check_stream_completed(*exchange);
    cr_assert(encoder.pieces_completed == 1, "%zu pieces", encoder.pieces_completed);
}

// Guards against a stream that leaves its engine before the first event and is sent on without the
// results of its stages.
Test(edge_silent_endpoint, stream_silent_after_head_next_engine_gets_inputs)
{
    silent_deployment harness;
    harness.add_stage();
    (void)harness.add_endpoint("encoders", "encoder-1");
    for (fake_endpoint* engine : {&harness.engine_1, &harness.engine_2})
        engine->silent_after_event = 0;
    harness.start();
    const auto exchange = harness.start_at_silent(
        "POST", "/stream/1", silence_point::between_events, milliseconds(3000));
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    harness.check_answered(*exchange, events_text(stream_events));
    for (const fake_endpoint* engine : {harness.first, harness.other})
    {
        for (const recorded_request& request : engine->requests)
            cr_assert(request.fields.contains("inputs"), "%s got no inputs", engine->id().c_str());
    }
}

// Guards against a stream that may not be resumed and is ended by a silence of its engine.
Test(edge_silent_endpoint, stream_not_resumable_silent_stream_is_completed)
{
    for (const silence_point point : {silence_point::between_events, silence_point::within_event})
    {
        silent_deployment harness;
        harness.start();
        const auto exchange = harness.start_at_silent("POST", "/once/1", point, milliseconds(3000));
        harness.routes.erase("/once/");
        harness.change_to(2);
        harness.check_stream_completed(*exchange);
    }
}

// Guards against an order that is ended by a silence of its endpoint.
Test(edge_silent_endpoint, order_silent_before_answer_order_is_answered)
{
    silent_deployment harness;
    harness.start();
    const auto exchange =
        harness.start_at_silent("POST", "/order/1", silence_point::before_head, milliseconds(3000));
    harness.routes["/order/"]["service"] = value::string("engines");
    harness.change_to(2);
    harness.store.remove("servers", harness.first->id());
    harness.check_answered(*exchange, "answer to s1");
}

// Guards against an order with a large response that is ended by a silence within it.
Test(edge_silent_endpoint, order_silent_within_large_body_order_is_answered)
{
    constexpr std::size_t large_body = 200 * 1024;
    silent_deployment harness;
    for (fake_endpoint* endpoint : {&harness.plain_1, &harness.plain_2})
        endpoint->filler_bytes = large_body;
    harness.start();
    const auto exchange = harness.start_at_silent(
        "POST", "/order/1", silence_point::within_plain_body, milliseconds(3000));
    harness.store.remove("servers", harness.first->id());
    harness.check_answered(*exchange, "answer to s1" + std::string(large_body, '.'));
}

// Guards against a response without a length that is broken off because its endpoint is silent
// before it closes the connection.
Test(edge_silent_endpoint, response_without_length_silent_before_close_response_is_completed)
{
    for (const silence_point point : {silence_point::before_close, silence_point::after_close})
    {
        silent_deployment harness;
        for (fake_endpoint* endpoint :
             {&harness.plain_1, &harness.plain_2, &harness.engine_1, &harness.engine_2})
            endpoint->close_delimited = true;
        harness.start();
        const auto order = harness.start_at_silent("POST", "/order/1", point);
        harness.check_answered(*order, "answer to s1");
        const auto stream = harness.start_at_silent("POST", "/once/1", point);
        harness.check_answered(*stream, events_text(stream_events));
    }
}

// Guards against reads that end with an error while all endpoints of their service are silent.
Test(edge_silent_endpoint, all_endpoints_silent_reads_are_answered)
{
    silent_deployment harness;
    harness.start();
    const auto reads = harness.start_reads_at_silence(24);
    for (std::size_t i = 0; i < reads.size(); ++i)
        harness.check_answered(*reads[i], "answer to a" + std::to_string(i));
}

// Guards against reads that are refused after such a silence because all endpoints count as
// failing.
Test(edge_silent_endpoint, all_endpoints_silent_later_reads_are_answered)
{
    for (const int attempts : {2, 4})
    {
        silent_deployment harness;
        harness.routes["/read/"]["attempts"] = value::number(attempts);
        harness.start();
        const auto reads = harness.start_reads_at_silence(24);
        cr_assert(harness.run_until(
            [&] { return !harness.plain_1.is_silent() && !harness.plain_2.is_silent(); }));
        for (int i = 0; i < 24; ++i)
        {
            const std::string attempt = "b" + std::to_string(i);
            const auto later = harness.send_and_wait(0, request_text("GET", "/read/1", attempt));
            harness.check_answered(*later, "answer to " + attempt);
        }
    }
}

// Guards against a request that is lost while it waits for its stages beside a change.
Test(edge_silent_endpoint, stage_silent_beside_change_stream_is_answered)
{
    silent_deployment harness;
    harness.add_stage();
    fake_endpoint& encoder = harness.add_endpoint("encoders", "encoder-1");
    encoder.silent_at = silence_point::before_stage_results;
    encoder.silences_left = 1;
    encoder.silence_time = milliseconds(1000);
    harness.start();
    const auto exchange = harness.start_request(
        0, request_text("POST", "/stream/1", "s1", "Pieces: 1\r\nPiece-Key: k\r\n", "x"));
    cr_assert(harness.run_until([&] { return encoder.silences == 1; }));
    harness.routes.erase("/stream/");
    harness.change_to(2);
    harness.check_answered(*exchange, events_text(stream_events));
}

// Guards against a kept connection that the VM closes under a request when the idle timeout
// shrinks.
Test(edge_silent_endpoint, kept_connection_idle_timeout_shrinks_request_is_answered)
{
    silent_deployment harness;
    harness.client_limits["idle_timeout_ms"] = value::number(4000);
    harness.start();
    std::vector<std::unique_ptr<client_exchange>> kept;
    kept.reserve(8);
    for (int i = 0; i < 8; ++i)
        kept.push_back(
            harness.send_and_wait(0, request_text("POST", "/order/1", "a" + std::to_string(i))));
    for (fake_endpoint* endpoint : {&harness.plain_1, &harness.plain_2})
        endpoint->fall_silent(long_silence);
    for (int i = 0; i < 8; ++i)
    {
        kept[i]->send_next(request_text("POST", "/order/1", "b" + std::to_string(i)));
        cr_assert(kept[i]->is_reused());
    }
    harness.client_limits["idle_timeout_ms"] = value::number(500);
    harness.change_to(2);
    for (int i = 0; i < 8; ++i)
        harness.check_answered(*kept[i], "answer to b" + std::to_string(i));
}

// Guards against requests that are lost while sound endpoints are silent beside any change.
Test(edge_silent_endpoint, random_silences_beside_changes_no_request_is_lost)
{
    const std::uint64_t seed = zinnianotch::testing::replayed_seed().value_or(1);
    silent_rig rig(seed);
    rig.run();
    cr_assert(rig.violations().empty(), "ZINNIANOTCH_SEED=%llu: %zu requests lost, first: %s",
              static_cast<unsigned long long>(seed), rig.violations().size(),
              rig.violations().front().c_str());
}
