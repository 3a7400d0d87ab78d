// Stand-ins for engines and clients.
#pragma once

#include "platform.h"

#include <functional>

namespace rig
{

struct engine_settings
{
    std::string id;
    std::string service;
    std::string zone;
    unsigned slots = 64;
    std::int64_t cold_ms = 0; // at its start
};

struct engine_answer
{
    std::int64_t first_byte_ms = 50; // time until the answer begins
    int events = 0;                  // of a stream; 0: a plain answer
    std::int64_t event_ms = 20;
    bool crashes = false;            // the engine crashes when it would begin to answer
    bool crashes_after_head = false; // the same right after the head of its answer
    int status = 200;
    std::string fields; // further ones, each with CR LF
};

// An engine that runs requests, tells its load, keeps its entry in the store, and starts again
// after a crash with a new id at the same address.
class engine : public server
{
public:
    using decide_type = std::function<engine_answer(engine&, const message&)>;

    engine(store& table, engine_settings with, decide_type decide)
        : server(address()), table_(table), with_(std::move(with)), decide_(std::move(decide))
    {
        id_ = with_.id;
    }

    void begin()
    {
        open();
        started_at_ = now_ms();
        put_entry(with_.cold_ms);
    }
    // Crashes once; later calls in the same lifetime have no effect.
    void crash_and_return(std::int64_t back_after_ms)
    {
        std::string old_id;
        {
            const std::lock_guard lock(state_);
            if (down_)
                return;
            down_ = true;
            ++crashes_;
            old_id = id_;
        }
        crash();
        std::thread(
            [this, old_id, back_after_ms]
            {
                sleep_ms(back_after_ms);
                {
                    const std::lock_guard lock(state_);
                    down_ = false;
                    running_ = 0;
                    id_ = with_.id + "-" + std::to_string(crashes_);
                    started_at_ = now_ms();
                }
                open();
                put_entry(with_.cold_ms);
                // The entry of the lifetime that crashed lapses after three check-in intervals.
                sleep_ms(3 * 1200 - back_after_ms);
                table_.remove("servers", old_id);
            })
            .detach();
    }
    void set_draining()
    {
        draining_ = true;
        put_entry(0);
    }
    void leave() { table_.remove("servers", id()); }
    std::string id()
    {
        const std::lock_guard lock(state_);
        return id_;
    }
    std::int64_t age_ms() const { return now_ms() - started_at_; }
    const engine_settings& settings() const { return with_; }

private:
    void put_entry(std::int64_t cold_ms)
    {
        value entry = value::object();
        entry["service"] = value::string(with_.service);
        entry["address"] = value::string(at().text());
        entry["zone"] = value::string(with_.zone);
        entry["version"] = value::string("v1");
        entry["slots"] = value::number(with_.slots);
        entry["state"] = value::string(draining_ ? "draining" : "ready");
        entry["cold_ms"] = value::number(cold_ms);
        entry["sequence"] = value::number(++sequence_);
        entry["born"] = value::number(std::int64_t{1'700'000'000'000} + started_at_);
        table_.put("servers", id(), entry.serialize());
    }

    void serve(int fd) override
    {
        reader in(fd);
        while (const auto request = read_message(in, now_ms() + 60'000))
        {
            if (!request->complete || !answer(fd, *request))
                return;
        }
    }

    // False if the connection is over.
    bool answer(int fd, const message& request)
    {
        std::string own;
        {
            const std::lock_guard lock(state_);
            own = id_;
            ++running_;
        }
        const bool goes_on = run(fd, request, own);
        const std::lock_guard lock(state_);
        running_ -= running_ > 0 ? 1 : 0;
        return goes_on;
    }

    bool run(int fd, const message& request, const std::string& own)
    {
        const std::string attempt = request.field("attempt-id");
        const std::string expected = request.field("expect-instance");
        if (!expected.empty() && expected != own)
            return send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + own +
                                    "\r\nContent-Length: 0\r\n\r\n");
        const engine_answer how = decide_(*this, request);
        const std::int64_t begins_at = now_ms() + how.first_byte_ms;
        while (now_ms() < begins_at)
        {
            sleep_ms(std::min<std::int64_t>(begins_at - now_ms(), 20));
            if (is_closed(fd))
                return false;
        }
        if (how.crashes)
        {
            crash_and_return(2500);
            return false;
        }
        std::string head = "HTTP/1.1 " + std::to_string(how.status) +
                           (how.status == 200 ? " OK" : " Service Unavailable") +
                           "\r\nAttempt-Id: " + attempt + "\r\n" + how.fields;
        {
            const std::lock_guard lock(state_);
            head += "Instance-Load: " + std::to_string(running_) + ",0," +
                    std::to_string(with_.slots) + "\r\n";
        }
        if (how.status == 200)
            head += "Response-Seal: seal." + attempt + "\r\n";
        if (how.events == 0)
        {
            const std::string body = how.status == 200 ? "answer to " + attempt : "";
            return send_all(fd, head + "Content-Length: " + std::to_string(body.size()) +
                                    "\r\n\r\n" + body);
        }
        const std::string resume = request.field("last-event-id");
        int event = resume.empty() ? 0 : std::atoi(resume.c_str());
        if (!send_all(fd, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                                 "chunked\r\n\r\n"))
            return false;
        if (how.crashes_after_head)
        {
            sleep_ms(5);
            crash_and_return(2500);
            return false;
        }
        while (event < how.events)
        {
            ++event;
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + attempt + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!send_all(fd, size + text + "\r\n"))
                return false;
            if (event < how.events)
                sleep_ms(how.event_ms);
            if (is_closed(fd))
                return false;
        }
        return send_all(fd, "0\r\n\r\n");
    }

    store& table_;
    engine_settings with_;
    decide_type decide_;
    std::mutex state_;
    std::string id_;
    bool down_ = false;
    std::atomic<bool> draining_ = false;
    int crashes_ = 0;
    unsigned running_ = 0;
    std::atomic<std::uint64_t> sequence_ = 0;
    std::atomic<std::int64_t> started_at_ = 0;
};

// One client attempt on a new connection. Status 0: no answer.
inline message call(const address& at, const std::string& head, const std::string& body,
                    std::int64_t timeout_ms)
{
    message none;
    const int fd = connect_to(at, 1000);
    if (fd < 0)
        return none;
    std::string text = head;
    if (!body.empty() || head.starts_with("POST"))
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    message out;
    if (send_all(fd, text))
    {
        reader in(fd);
        if (const auto answer = read_message(in, now_ms() + timeout_ms))
            out = *answer;
    }
    ::close(fd);
    return out;
}

// Starts threads and waits for all of them at its end.
class work
{
public:
    ~work() { wait(); }
    void start(std::function<void()> task)
    {
        ++open_;
        std::thread(
            [this, task = std::move(task)]
            {
                task();
                --open_;
            })
            .detach();
    }
    void wait()
    {
        while (open_ > 0)
            sleep_ms(10);
    }

private:
    std::atomic<int> open_ = 0;
};

inline bool has_trouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

inline std::string hex(std::uint64_t number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

} // namespace rig
