// Stand-ins for the endpoints: model engines, the other stages and plain services.
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

// Completes an answer once the work no longer counts as running, so that a client that has its
// answer never finds its own request in the load report.
using ending = std::function<void()>;

std::uint64_t number_field(const value& body, const std::string& name, std::uint64_t fallback)
{
    return body.has_field(name) ? body.at(name).as_number().to_uint64() : fallback;
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
    void handle(session& client, const faults& now) override
    {
        const std::string path = client.path();
        if (path == "/load" && client.method() == "GET")
        {
            answer_load(client);
            return;
        }
        const bool is_work = (settings.role == "engine" && path == "/generate") ||
                             (settings.role == "stage" && path == "/run") ||
                             (settings.role == "service" && path.size() > 1);
        if (client.method() != "POST" || (!is_work && path != "/cancel"))
        {
            client.answer(404, R"({"error":"no such resource"})");
            return;
        }
        const value body = value::parse(client.body());
        if (is_work)
            do_work(client, now, body);
        else
            cancel(client, body);
    }

    void do_work(session& client, const faults& now, const value& body)
    {
        if (draw(now.fail_percent))
        {
            client.answer(500, R"({"error":"failed"})");
            return;
        }
        ending finish = [&] { client.answer(503, R"({"error":"overloaded"})"); };
        if (begin_work())
            finish = run(client, now, body);
        {
            const std::lock_guard lock(mutex);
            --running_;
            cancelled_attempts_.erase(text_field(body, "attempt"));
        }
        finish();
    }

    ending run(session& client, const faults& now, const value& body)
    {
        try
        {
            if (settings.role == "service")
                return run_operation(client, now, body);
            if (settings.role == "engine")
                return generate(client, now, body);
            return run_stage(client, now, body);
        }
        catch (const web::json::json_exception&)
        {
            return [&] { client.answer(400, R"({"error":"bad request"})"); };
        }
    }

    // Counts a request as running; false when that is more than the endpoint bears now.
    bool begin_work()
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
        started_after_leaving_ += switched.leaving ? 1 : 0;
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

    // Lets work take `duration`; false when the client left, cancelled the attempt or the endpoint
    // went down meanwhile.
    bool take_time(session& client, int duration_ms, const std::string& attempt)
    {
        const auto stop = [&]
        {
            const std::lock_guard lock(mutex);
            return switched.down || cancelled_attempts_.contains(attempt);
        };
        if (client.wait(milliseconds(duration_ms), stop))
            return true;
        const std::lock_guard lock(mutex);
        cancelled_ += switched.down ? 0 : 1;
        return false;
    }

    // Attempt and input to answer: those of the request before this one when answers are swapped.
    struct subject
    {
        std::string attempt;
        std::string input;
    };

    subject choose_subject(const value& body, bool swapped)
    {
        const std::lock_guard lock(mutex);
        const subject previous =
            std::exchange(last_, {text_field(body, "attempt"), text_field(body, "input")});
        return swapped ? previous : last_;
    }

    ending run_stage(session& client, const faults& now, const value& body)
    {
        const subject answered = choose_subject(body, now.swap_attempts);
        if (!take_time(client, settings.work_ms + now.delay_ms, text_field(body, "attempt")) ||
            draw(now.lose_answers_percent))
            return [&] { client.close(); };
        auto answer = value::object();
        answer["attempt"] = value(answered.attempt);
        answer["output"] = value(settings.stage + '(' + answered.input + ')');
        return [&client, answer] { client.answer(200, answer.serialize()); };
    }

    // Streams the tokens from index resume_from up to max_tokens; `tokens` in the last line counts
    // those before resume_from too.
    ending generate(session& client, const faults& now, const value& body)
    {
        const std::string attempt = text_field(body, "attempt");
        const std::uint64_t end = number_field(body, "max_tokens", default_max_tokens);
        std::uint64_t index = number_field(body, "resume_from", 0);
        const subject answered = choose_subject(body, now.swap_attempts);
        ending close = [&] { client.close(); };
        if (!take_time(client, settings.work_ms + now.delay_ms, attempt) ||
            draw(now.lose_answers_percent) || !client.start_stream())
            return close;
        int sent = 0;
        for (; index < end; ++index)
        {
            auto line = value::object();
            line["attempt"] = value(answered.attempt);
            line["index"] = value::number(index);
            line["text"] = value(token_text(answered.input, index));
            for (int copy = 0; copy < (now.duplicate_lines ? 2 : 1); ++copy)
                client.write_line(line.serialize());
            ++sent;
            if (sent == now.cut_after_tokens || !take_time(client, settings.token_ms, attempt))
                return close;
        }
        auto last = value::object();
        last["attempt"] = value(answered.attempt);
        last["done"] = value::boolean(true);
        last["tokens"] = value::number(end);
        return [&client, last]
        {
            client.write_line(last.serialize());
            client.finish_stream();
        };
    }

    // The operation takes effect at once, whether or not the client waits for its answer.
    ending run_operation(session& client, const faults& now, const value& body)
    {
        const std::string order = text_field(body, "order");
        auto answer = value::object();
        answer["order"] = value(order);
        {
            const std::lock_guard lock(mutex);
            answer["run"] = value::number(++runs_[client.path().substr(1)][order]);
        }
        if (!take_time(client, settings.work_ms + now.delay_ms, {}) ||
            draw(now.lose_answers_percent))
            return [&] { client.close(); };
        return [&client, answer] { client.answer(200, answer.serialize()); };
    }

    void cancel(session& client, const value& body)
    {
        {
            const std::lock_guard lock(mutex);
            if (running_ > 0)
                cancelled_attempts_.insert(text_field(body, "attempt"));
        }
        client.answer(200, "{}");
    }

    void answer_load(session& client)
    {
        auto load = value::object();
        {
            const std::lock_guard lock(mutex);
            load["incarnation"] = value(incarnation_);
            load["phase"] = value(is_cold() ? "cold" : "warm");
            load["running"] = value::number(running_);
            load["capacity"] = value::number(settings.capacity);
            load["leaving"] = value::boolean(switched.leaving);
        }
        client.answer(200, load.serialize());
    }

    void control(const value& change) override
    {
        if (!change.has_field("phase"))
            return;
        cold_ = change.at("phase").as_string() == "cold";
        cold_since_ = steady_clock::now();
    }

    void report(value& counters) override
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
    subject last_{"no-such-attempt", "no such input"};
    std::set<std::string> cancelled_attempts_;
    std::map<std::string, std::map<std::string, std::uint64_t>> runs_; // operation, order
    int running_ = 0;
    int peak_running_ = 0;
    int peak_running_while_cold_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t overruns_ = 0;
    std::uint64_t over_capacity_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t started_after_leaving_ = 0;
};

} // namespace

std::unique_ptr<standin> make_endpoint(const options& opts)
{
    return std::make_unique<endpoint>(opts);
}

} // namespace standins
