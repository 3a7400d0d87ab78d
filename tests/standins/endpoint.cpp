// Stand-ins for the endpoints: model engines, other pipeline stages and services.
#include "standin.h"
#include "token_text.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace standins
{

namespace
{

using std::chrono::steady_clock;
using web::json::value;

constexpr std::uint64_t default_max_tokens = 16;

// Sends the response, or the end of a streamed one. Called after the request no longer counts as
// running, so that a client that has its response never finds that request in the load report.
using deferred_response = std::function<void()>;

std::uint64_t number_field(const value& body, const std::string& name, std::uint64_t default_value)
{
    return body.has_field(name) ? body.at(name).as_number().to_uint64() : default_value;
}

std::string text_field(const value& body, const std::string& name)
{
    if (!body.has_field(name))
        return {};
    const value& field = body.at(name);
    return field.is_string() ? field.as_string() : field.serialize();
}

class endpoint : public standin
{
public:
    explicit endpoint(const options& opts)
        : standin(opts), cold_(opts.cold_ms != 0), cold_since_(steady_clock::now()),
          incarnation_(std::to_string(std::chrono::system_clock::now().time_since_epoch().count()))
    {
    }

private:
    void handle(session& client, const faults& injected) override
    {
        const std::string path = client.path();
        if (path == "/load" && client.method() == "GET")
        {
            send_load_report(client);
            return;
        }
        const bool is_work_request = (settings.role == "engine" && path == "/generate") ||
                                     (settings.role == "stage" && path == "/run") ||
                                     (settings.role == "service" && path.size() > 1);
        if (client.method() != "POST" || (!is_work_request && path != "/cancel"))
        {
            client.respond(404, R"({"error":"no such resource"})");
            return;
        }
        const value body = value::parse(client.body());
        if (is_work_request)
            handle_work(client, injected, body);
        else
            cancel(client, body);
    }

    void handle_work(session& client, const faults& injected, const value& body)
    {
        if (sample_bernoulli(injected.fail_percent))
        {
            client.respond(500, R"({"error":"failed"})");
            return;
        }
        deferred_response send_response = [&] { client.respond(503, R"({"error":"overloaded"})"); };
        if (try_admit())
            send_response = run(client, injected, body);
        {
            const std::lock_guard lock(mutex);
            --running_;
            cancelled_attempts_.erase(text_field(body, "attempt"));
        }
        send_response();
    }

    deferred_response run(session& client, const faults& injected, const value& body)
    {
        try
        {
            if (settings.role == "service")
                return run_operation(client, injected, body);
            if (settings.role == "engine")
                return generate(client, injected, body);
            return run_stage(client, injected, body);
        }
        catch (const web::json::json_exception&)
        {
            return [&] { client.respond(400, R"({"error":"bad request"})"); };
        }
    }

    // Counts a request as running. Returns false if that exceeds the capacity of the current phase;
    // the caller decrements running_ in either case.
    bool try_admit()
    {
        const std::lock_guard lock(mutex);
        ++running_;
        peak_running_ = std::max(peak_running_, running_);
        if (is_cold())
        {
            peak_running_while_cold_ = std::max(peak_running_while_cold_, running_);
            if (running_ > settings.cold_capacity)
            {
                ++overruns_;
                return false;
            }
        }
        else if (running_ > settings.capacity)
        {
            ++over_capacity_;
            return false;
        }
        ++starts_;
        started_after_leaving_ += active_faults.leaving ? 1 : 0;
        return true;
    }

    // Call with mutex held.
    bool is_cold()
    {
        if (cold_ && settings.cold_ms > 0 &&
            steady_clock::now() - cold_since_ >= milliseconds(settings.cold_ms))
            cold_ = false;
        return cold_;
    }

    // Waits for the simulated duration of the work. Returns false early if the client disconnects,
    // the attempt is cancelled or the endpoint goes down.
    bool simulate_work(session& client, int duration_ms, const std::string& attempt)
    {
        const auto should_stop = [&]
        {
            const std::lock_guard lock(mutex);
            return active_faults.down || cancelled_attempts_.contains(attempt);
        };
        if (client.wait(milliseconds(duration_ms), should_stop))
            return true;
        const std::lock_guard lock(mutex);
        cancelled_ += active_faults.down ? 0 : 1;
        return false;
    }

    // The attempt and input of a request, from which its response is derived.
    struct request_fields
    {
        std::string attempt;
        std::string input;
    };

    // Returns the request to respond to: this one, or the previous one if `swapped` is set.
    request_fields select_answered_request(const value& body, bool swapped)
    {
        const std::lock_guard lock(mutex);
        const request_fields previous =
            std::exchange(last_request_, {text_field(body, "attempt"), text_field(body, "input")});
        return swapped ? previous : last_request_;
    }

    deferred_response run_stage(session& client, const faults& injected, const value& body)
    {
        const request_fields answered = select_answered_request(body, injected.swap_attempts);
        if (!simulate_work(client, settings.work_ms + injected.delay_ms,
                           text_field(body, "attempt")) ||
            sample_bernoulli(injected.lose_answers_percent))
            return [&] { client.close(); };
        auto response = value::object();
        response["attempt"] = value(answered.attempt);
        response["output"] = value(settings.stage + '(' + answered.input + ')');
        return [&client, response] { client.respond(200, response.serialize()); };
    }

    // Streams the tokens from index resume_from up to, but not including, max_tokens. `tokens` in
    // the last line also counts those before resume_from.
    deferred_response generate(session& client, const faults& injected, const value& body)
    {
        const std::string attempt = text_field(body, "attempt");
        const std::uint64_t max_tokens = number_field(body, "max_tokens", default_max_tokens);
        std::uint64_t index = number_field(body, "resume_from", 0);
        const request_fields answered = select_answered_request(body, injected.swap_attempts);
        deferred_response close = [&] { client.close(); };
        if (!simulate_work(client, settings.work_ms + injected.delay_ms, attempt) ||
            sample_bernoulli(injected.lose_answers_percent) || !client.start_stream())
            return close;
        int sent = 0;
        for (; index < max_tokens; ++index)
        {
            auto line = value::object();
            line["attempt"] = value(answered.attempt);
            line["index"] = value::number(index);
            line["text"] = value(token_text(answered.input, index));
            for (int copy = 0; copy < (injected.duplicate_lines ? 2 : 1); ++copy)
                client.write_line(line.serialize());
            ++sent;
            if (sent == injected.cut_after_tokens ||
                !simulate_work(client, settings.token_ms, attempt))
                return close;
        }
        auto last_line = value::object();
        last_line["attempt"] = value(answered.attempt);
        last_line["done"] = value::boolean(true);
        last_line["tokens"] = value::number(max_tokens);
        return [&client, last_line]
        {
            client.write_line(last_line.serialize());
            client.finish_stream();
        };
    }

    // The operation takes effect immediately, even if the client disconnects before the response.
    deferred_response run_operation(session& client, const faults& injected, const value& body)
    {
        const std::string order = text_field(body, "order");
        auto response = value::object();
        response["order"] = value(order);
        {
            const std::lock_guard lock(mutex);
            response["run"] = value::number(++runs_[client.path().substr(1)][order]);
        }
        if (!simulate_work(client, settings.work_ms + injected.delay_ms, {}) ||
            sample_bernoulli(injected.lose_answers_percent))
            return [&] { client.close(); };
        return [&client, response] { client.respond(200, response.serialize()); };
    }

    void cancel(session& client, const value& body)
    {
        {
            const std::lock_guard lock(mutex);
            if (running_ > 0)
                cancelled_attempts_.insert(text_field(body, "attempt"));
        }
        client.respond(200, "{}");
    }

    void send_load_report(session& client)
    {
        auto load = value::object();
        {
            const std::lock_guard lock(mutex);
            load["incarnation"] = value(incarnation_);
            load["phase"] = value(is_cold() ? "cold" : "warm");
            load["running"] = value::number(running_);
            load["capacity"] = value::number(settings.capacity);
            load["leaving"] = value::boolean(active_faults.leaving);
        }
        client.respond(200, load.serialize());
    }

    void apply_control(const value& change) override
    {
        if (!change.has_field("phase"))
            return;
        cold_ = change.at("phase").as_string() == "cold";
        cold_since_ = steady_clock::now();
    }

    void add_counters(value& counters) override
    {
        counters["starts"] = value::number(starts_);
        counters["running"] = value::number(running_);
        counters["peak_running"] = value::number(peak_running_);
        counters["peak_running_while_cold"] = value::number(peak_running_while_cold_);
        counters["overruns"] = value::number(overruns_);
        counters["over_capacity"] = value::number(over_capacity_);
        counters["cancelled"] = value::number(cancelled_);
        counters["started_after_leaving"] = value::number(started_after_leaving_);
        auto runs = value::object();
        for (const auto& [operation, orders] : runs_)
            for (const auto& [order, count] : orders)
                runs[operation][order] = value::number(count);
        counters["runs"] = runs;
    }

    bool cold_;
    steady_clock::time_point cold_since_;
    const std::string incarnation_;
    request_fields last_request_{"no-such-attempt", "no such input"};
    std::set<std::string> cancelled_attempts_;
    std::map<std::string, std::map<std::string, std::uint64_t>> runs_; // by operation and order
    int running_ = 0;
    int peak_running_ = 0;
    int peak_running_while_cold_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t overruns_ = 0;      // requests rejected while cold
    std::uint64_t over_capacity_ = 0; // requests rejected while warm
    std::uint64_t cancelled_ = 0;
    std::uint64_t started_after_leaving_ = 0;
};

} // namespace

std::unique_ptr<standin> make_endpoint(const options& opts)
{
    return std::make_unique<endpoint>(opts);
}

} // namespace standins
