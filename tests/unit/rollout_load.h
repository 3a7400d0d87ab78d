// Plays roll-outs on a deployment with fake endpoints: steady requests that use the service, and
// what must hold of every roll-out. The VMs may be in this process or others.
#pragma once

#include "serving_fixture.h"

#include <criterion/criterion.h>

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace serving
{

inline constexpr zinnianotch::rollout_limits rollout_test_limits{0.1, 50.0, milliseconds(5000)};
inline constexpr const char* rollout_service = "plain";
// Largest number of bad answers before which a bad version need not be known as such.
inline constexpr std::size_t sign_of_bad_version = 50;

class rollout_load
{
public:
    std::string service = rollout_service; // that is moved
    // Text of a request with an attempt id; by default to both routes of rollout_service.
    std::function<std::string(std::size_t number, const std::string& attempt)> request_of;
    // Address of each VM that gets requests.
    std::vector<std::string> vms;
    milliseconds interval{8};
    std::size_t answered = 0;
    std::vector<std::string> failures; // requests without a complete successful response

    explicit rollout_load(deployment& owner) : owner_(owner) {}

    // Adds endpoints of the version; `shape` sets their faults.
    std::vector<fake_endpoint*> add_endpoints(const std::string& version, std::size_t count,
                                              const std::function<void(fake_endpoint&)>& shape = {})
    {
        std::vector<fake_endpoint*> added;
        for (std::size_t i = 0; i < count; ++i)
        {
            fake_endpoint& endpoint =
                owner_.add_endpoint(service, version + "-" + std::to_string(i), "dom-a", version);
            endpoint.processing_time = milliseconds(15);
            if (shape)
                shape(endpoint);
            added.push_back(&endpoint);
        }
        return added;
    }

    // Sends requests until the condition holds.
    bool run_until(const std::function<bool()>& condition, milliseconds limit = milliseconds(60000))
    {
        return owner_.run_until(
            [&]
            {
                step();
                return condition();
            },
            limit);
    }
    // The same until so many further requests are answered.
    void run_requests(std::size_t count)
    {
        const std::size_t end = answered + failures.size() + count;
        cr_assert(run_until([&] { return answered + failures.size() >= end; }));
    }
    // The old endpoints exit at once when the roll-out is completed.
    bool run_until_state(const std::string& state, const std::vector<fake_endpoint*>& old = {})
    {
        const bool is_reached = run_until([&] { return owner_.rollout_state(service) == state; });
        for (fake_endpoint* const endpoint : old)
        {
            endpoint->crash_for_good();
            owner_.store.remove("servers", endpoint->id());
        }
        return is_reached;
    }

    static std::size_t received(const std::vector<fake_endpoint*>& endpoints)
    {
        std::size_t count = 0;
        for (const fake_endpoint* endpoint : endpoints)
            count += endpoint->requests.size();
        return count;
    }

    void expect_no_failures() const
    {
        cr_assert(failures.empty(), "%zu failures, the first: %s", failures.size(),
                  failures.empty() ? "" : failures.front().c_str());
    }
    // A bad version gets few requests, and none for long after it has shown itself.
    void expect_within_bounds(const std::vector<fake_endpoint*>& bad,
                              const std::vector<fake_endpoint*>& old) const
    {
        const auto all = static_cast<double>(received(bad) + received(old));
        const double bound =
            rollout_test_limits.exposure_share * all + rollout_test_limits.exposure_slack;
        cr_assert(static_cast<double>(received(bad)) <= bound, "%zu of %.0f requests",
                  received(bad), all);
        std::vector<time_point> times;
        for (const fake_endpoint* endpoint : bad)
        {
            for (const recorded_request& request : endpoint->requests)
                times.push_back(request.received_at);
        }
        if (times.size() <= sign_of_bad_version)
            return;
        std::sort(times.begin(), times.end());
        cr_assert(times.back() <=
                  times[sign_of_bad_version] + rollout_test_limits.roll_back + milliseconds(200));
    }
    // For each version ordered: running, then one final state, and nothing after it.
    void expect_status_never_goes_back() const
    {
        const auto found = owner_.store.statuses.find("rollout/" + service);
        if (found == owner_.store.statuses.end())
            return;
        std::string version;
        std::string state;
        for (const web::json::value& status : found->second)
        {
            const std::string next = status.at("state").as_string();
            if (status.at("to").as_string() == version)
                cr_assert(state == "running" || next == state, "%s after %s", next.c_str(),
                          state.c_str());
            version = status.at("to").as_string();
            state = next;
        }
    }

private:
    struct running_request
    {
        std::string name;
        std::unique_ptr<client_exchange> exchange;
    };

    void step()
    {
        for (auto next = running_.begin(); next != running_.end();)
        {
            const auto request = next++;
            if (!request->exchange->ended())
                continue;
            const client_exchange& ended = *request->exchange;
            if (ended.done && ended.head.status == 200)
                ++answered;
            else
                failures.push_back(
                    request->name + " status " + std::to_string(ended.head.status) + " " +
                    (ended.failure ? std::string(to_string(*ended.failure)) : std::string()) +
                    ended.body);
            running_.erase(request);
        }
        const time_point now = zinnianotch::steady_clock::now();
        if (now < next_at_)
            return;
        next_at_ = now + interval;
        const std::size_t number = ++sent_;
        const std::string attempt = "a" + std::to_string(number);
        const std::string& vm = vms[number % vms.size()];
        const bool is_order = number / vms.size() % 4 == 0;
        const std::string text =
            request_of ? request_of(number, attempt)
                       : request_text(is_order ? "POST" : "GET", is_order ? "/order/x" : "/read/x",
                                      attempt, "", is_order ? "body" : "");
        running_.push_back({text.substr(0, text.find('\r')) + " " + attempt,
                            std::make_unique<client_exchange>(owner_.io, vm, text)});
    }

    deployment& owner_;
    std::list<running_request> running_;
    time_point next_at_{};
    std::size_t sent_ = 0;
};

// A deployment with endpoints of version v1 on which versions are ordered. The VMs are up to the
// derived class.
struct rollout_scenario : deployment
{
    rollout_load load{*this};
    std::vector<fake_endpoint*> old;
    std::size_t endpoint_count; // of each version
    milliseconds order_time;

    rollout_scenario(std::size_t endpoints, milliseconds order_time)
        : endpoint_count(endpoints), order_time(order_time)
    {
    }

    std::vector<fake_endpoint*> order(const std::string& version,
                                      const std::function<void(fake_endpoint&)>& shape = {})
    {
        order_rollout(load.service, version, order_time);
        return load.add_endpoints(version, endpoint_count, shape);
    }
    // An order of a version that fails once `is_bad` is set.
    std::vector<fake_endpoint*> order_failing_once(const std::string& version, const bool& is_bad)
    {
        return order(version, [&](fake_endpoint& endpoint)
                     { endpoint.fails = [&](const recorded_request&) { return is_bad; }; });
    }
    bool is_exposed(const std::vector<fake_endpoint*>& candidates, std::size_t requests = 5)
    {
        return load.run_until([&] { return load.received(candidates) > requests; });
    }
    void expect_completed(const std::vector<fake_endpoint*>& candidates)
    {
        cr_assert(load.run_until_state("completed", old), "state %s",
                  rollout_state(load.service).c_str());
        const std::size_t received = load.received(candidates);
        load.run_requests(200);
        load.expect_status_never_goes_back();
        cr_assert(load.received(candidates) >= received + 100);
    }
    // All VMs follow the roll-back once `settled` further requests have been answered.
    void expect_rolled_back(const std::vector<fake_endpoint*>& candidates,
                            std::size_t settled = 100)
    {
        cr_assert(load.run_until_state("rolled_back"), "state %s",
                  rollout_state(load.service).c_str());
        load.run_requests(settled);
        const std::size_t received = load.received(candidates);
        load.run_requests(200);
        cr_assert(load.received(candidates) == received);
        load.expect_within_bounds(candidates, old);
        load.expect_status_never_goes_back();
    }
};

} // namespace serving
