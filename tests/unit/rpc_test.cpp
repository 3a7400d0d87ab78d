// RPC between nodes in one process, over loopback ports chosen by the system.
#include "transport/rpc.h"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <thread>

using namespace zinnianotch;

namespace
{

constexpr milliseconds patience{30000}; // generous, a passing test never waits for it
constexpr milliseconds long_call{60000};

// Polls a condition until it holds; false when it does not within the deadline.
template <typename Condition>
bool eventually(Condition condition, milliseconds within = patience)
{
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    const auto limit = steady_clock::now() + within;
    while (!condition())
    {
        if (steady_clock::now() >= limit)
            return false;
        never.wait_for(lock, milliseconds{2});
    }
    return true;
}

using stage_function = std::function<result<stage_output>(const stage_call&, const token_handler&,
                                                          const cancel_flag&)>;

// Service whose stage is given by the test; counts what it is asked.
class test_service : public rpc_service
{
public:
    heartbeat on_heartbeat(const heartbeat& beat) override
    {
        const std::lock_guard lock(mutex);
        beats.push_back(beat);
        return reply;
    }

    config_document on_fetch_config() override { return {7, "document 7"}; }

    result<stage_output> on_run_stage(const stage_call& call, const token_handler& on_tokens,
                                      const cancel_flag& cancelled) override
    {
        ++started;
        stage_function run;
        {
            const std::lock_guard lock(mutex);
            run = stage;
        }
        auto end = run(call, on_tokens, cancelled);
        ++ended;
        return end;
    }

    void set_stage(stage_function next)
    {
        const std::lock_guard lock(mutex);
        stage = std::move(next);
    }

    std::mutex mutex;
    std::vector<heartbeat> beats;
    heartbeat reply;
    stage_function stage = [](const stage_call& call, const token_handler&, const cancel_flag&) {
        return result<stage_output>(stage_output{call.attempt, call.input, 0});
    };
    std::atomic<int> started{0};
    std::atomic<int> ended{0};
};

rpc_options small_options()
{
    rpc_options options;
    options.workers = 8;
    options.queue_length = 8;
    return options;
}

struct test_node
{
    explicit test_node(const rpc_options& options = small_options()) : node(options, service)
    {
        node.start();
        address = "127.0.0.1:" + std::to_string(node.port());
    }

    test_service service;
    rpc_node node;
    std::string address;
};

stage_call make_call(const std::string& name, milliseconds time_left = long_call)
{
    stage_call call;
    call.request = "request-" + name;
    call.attempt = "attempt-" + name;
    call.account = "account-" + name;
    call.input = "input-" + name;
    call.time_left = time_left;
    return call;
}

cancel_flag make_flag()
{
    return std::make_shared<std::atomic<bool>>(false);
}

// Stage that works until it is cancelled. It waits longer than the tests do, so that a cancel that
// never comes fails them.
result<stage_output> wait_for_cancel(const stage_call&, const token_handler&,
                                     const cancel_flag& cancelled)
{
    if (!eventually([&] { return cancelled->load(); }, 3 * patience))
        return may_have_run(reason::endpoint_error, "never cancelled");
    return may_have_run(reason::cancelled);
}

// Runs a call on its own thread.
class background_call
{
public:
    background_call(rpc_node& node, std::string address, stage_call call,
                    cancel_flag flag = nullptr, token_handler on_tokens = nullptr)
        : thread_([this, &node, address = std::move(address), call = std::move(call),
                   flag = std::move(flag), on_tokens = std::move(on_tokens)]
                  { finish(node.run_stage(address, call, on_tokens, flag)); })
    {
    }

    ~background_call() { thread_.join(); }

    background_call(const background_call&) = delete;
    background_call& operator=(const background_call&) = delete;

    bool done() const { return done_.load(); }

    result<stage_output> end()
    {
        cr_assert(eventually([this] { return done(); }), "the call did not return");
        return *end_;
    }

private:
    void finish(result<stage_output> end)
    {
        end_ = std::move(end);
        done_ = true;
    }

    std::optional<result<stage_output>> end_;
    std::atomic<bool> done_{false};
    std::thread thread_;
};

void expect_failure(const result<stage_output>& end, verdict outcome, reason why)
{
    cr_assert(end.has_error(), "the call succeeded");
    cr_assert_eq(end.error().outcome, outcome, "verdict %s (%s, %s)",
                 std::string(to_string(end.error().outcome)).c_str(),
                 std::string(to_string(end.error().why)).c_str(), end.error().detail.c_str());
    cr_assert_eq(end.error().why, why, "reason %s (%s)",
                 std::string(to_string(end.error().why)).c_str(), end.error().detail.c_str());
}

// Socket bound to a loopback port; listens only when asked to, and never accepts.
class bound_socket
{
public:
    explicit bound_socket(bool listening) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(name);
        cr_assert_eq(bind(fd_, reinterpret_cast<sockaddr*>(&name), length), 0);
        cr_assert_eq(getsockname(fd_, reinterpret_cast<sockaddr*>(&name), &length), 0);
        address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
        if (listening)
            cr_assert_eq(listen(fd_, 64), 0);
    }

    ~bound_socket() { close(fd_); }

    bound_socket(const bound_socket&) = delete;
    bound_socket& operator=(const bound_socket&) = delete;

    int fd() const { return fd_; }

    std::string address;

private:
    int fd_;
};

int connect_to(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0)
        return fd;
    close(fd);
    return -1;
}

// Passes bytes between its listener and a port. Connections that exist when mute() is called stay
// open and carry nothing from then on; later ones work.
class relay
{
public:
    explicit relay(std::uint16_t port) : port_(port), thread_([this] { run(); }) {}

    ~relay()
    {
        stopping_ = true;
        thread_.join();
        for (const auto& link : links_)
        {
            close(link.first);
            close(link.second);
        }
    }

    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    // Returns once no byte passes any more.
    void mute()
    {
        mute_ = true;
        cr_assert(eventually([this] { return !mute_; }));
    }

    int accepted() const { return accepted_; }

    const std::string& address() const { return listener_.address; }

private:
    struct link
    {
        int first;
        int second;
        bool muted = false;
        bool ended = false;
    };

    void run()
    {
        while (!stopping_)
        {
            if (mute_.exchange(false))
            {
                for (auto& link : links_)
                    link.muted = true;
            }
            std::vector<pollfd> fds = {{listener_.fd(), POLLIN, 0}};
            for (const auto& link : links_)
            {
                const short events = link.muted || link.ended ? 0 : POLLIN;
                fds.push_back({events ? link.first : -1, events, 0});
                fds.push_back({events ? link.second : -1, events, 0});
            }
            poll(fds.data(), fds.size(), 5);
            for (std::size_t i = 0; i < links_.size(); ++i)
            {
                if (fds[1 + 2 * i].revents)
                    pass(links_[i], links_[i].first, links_[i].second);
                if (fds[2 + 2 * i].revents)
                    pass(links_[i], links_[i].second, links_[i].first);
            }
            if (fds[0].revents)
            {
                links_.push_back({accept(listener_.fd(), nullptr, nullptr), connect_to(port_)});
                ++accepted_;
            }
        }
    }

    static void pass(link& link, int from, int to)
    {
        std::array<char, 65536> buffer{};
        const auto count = recv(from, buffer.data(), buffer.size(), 0);
        if (count > 0)
        {
            send(to, buffer.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL);
            return;
        }
        link.ended = true;
        shutdown(to, SHUT_RDWR);
    }

    const std::uint16_t port_;
    bound_socket listener_{true};
    std::vector<link> links_;
    std::atomic<int> accepted_{0};
    std::atomic<bool> mute_{false};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// Sends heartbeats until one is answered.
bool heartbeat_answered(rpc_node& node, const std::string& address)
{
    const auto answered = std::make_shared<std::atomic<bool>>(false);
    node.send_heartbeat(address, {}, [answered](const heartbeat&) { *answered = true; });
    return eventually([&] { return answered->load(); });
}

} // namespace

// Guards against a field that is left out of the message or of the reply.
Test(rpc, heartbeat_reply_carries_all_fields)
{
    test_node caller;
    test_node callee;
    heartbeat beat;
    beat.vm = {"vm-1", 42};
    beat.domain = "north";
    beat.address = "127.0.0.1:1";
    beat.state = vm_state::draining;
    beat.config_version = 3;
    beat.view_version = 4;
    beat.endpoints = {{"engine-1", "north", endpoint_phase::warming, 5, 6, 0, true},
                      {"engine-2", "south", endpoint_phase::leaving, 0, 0, 0, true}};
    callee.service.reply = beat;
    callee.service.reply.vm.name = "vm-2";

    std::mutex mutex;
    std::optional<heartbeat> reply;
    caller.node.send_heartbeat(callee.address, beat,
                               [&](const heartbeat& answer)
                               {
                                   const std::lock_guard lock(mutex);
                                   reply = answer;
                               });
    cr_assert(eventually(
        [&]
        {
            const std::lock_guard lock(mutex);
            return reply.has_value();
        }));
    const std::lock_guard lock(mutex);
    const std::lock_guard service_lock(callee.service.mutex);
    cr_assert_eq(callee.service.beats.size(), 1);
    cr_assert(callee.service.beats[0].vm == beat.vm);
    cr_assert_eq(reply->vm.name, "vm-2");
    for (const auto& got : {callee.service.beats[0], *reply})
    {
        cr_assert_eq(got.vm.incarnation, 42);
        cr_assert_eq(got.domain, beat.domain);
        cr_assert_eq(got.address, beat.address);
        cr_assert(got.state == vm_state::draining);
        cr_assert_eq(got.config_version, 3);
        cr_assert_eq(got.view_version, 4);
        cr_assert_eq(got.endpoints.size(), 2);
        cr_assert_eq(got.endpoints[0].id, "engine-1");
        cr_assert_eq(got.endpoints[0].domain, "north");
        cr_assert(got.endpoints[0].phase == endpoint_phase::warming);
        cr_assert_eq(got.endpoints[0].in_flight, 5);
        cr_assert_eq(got.endpoints[0].limit, 6);
        cr_assert(got.endpoints[1].phase == endpoint_phase::leaving);
    }
}

// Guards against a configuration that a VM cannot pull from a peer while the table is down.
Test(rpc, fetch_config_returns_the_callees_document)
{
    test_node caller;
    test_node callee;
    const auto config = caller.node.fetch_config(callee.address, patience);
    cr_assert(config.has_value());
    cr_assert_eq(config.value().version, 7);
    cr_assert_eq(config.value().document, "document 7");

    const bound_socket closed(false);
    const auto refused = caller.node.fetch_config(closed.address, patience);
    cr_assert(refused.has_error());
    cr_assert_eq(refused.error().outcome, verdict::not_run);
}

// Guards against fields of a call that do not reach the callee and against lost output.
Test(rpc, stage_call_carries_all_fields)
{
    test_node caller;
    test_node callee;
    auto sent = make_call("one");
    sent.priority = 2;
    sent.pipeline = "summaries";
    sent.stage = "rerank";
    sent.pool = "rerankers";
    sent.endpoint = "reranker-1";
    sent.streaming = true;
    sent.max_tokens = 9;
    sent.resume_from = 4;
    sent.config_version = 11;
    sent.input = std::string("line\0\nend", 9);
    stage_call got;
    callee.service.set_stage(
        [&](const stage_call& call, const token_handler&, const cancel_flag&)
        {
            got = call;
            return result<stage_output>(stage_output{call.attempt, "output", 3});
        });
    const auto end = caller.node.run_stage(callee.address, sent, nullptr, nullptr);
    cr_assert(end.has_value());
    cr_assert_eq(end.value().attempt, sent.attempt);
    cr_assert_eq(end.value().output, "output");
    cr_assert_eq(end.value().tokens, 3);
    cr_assert_eq(got.request, sent.request);
    cr_assert_eq(got.account, sent.account);
    cr_assert_eq(got.priority, sent.priority);
    cr_assert_eq(got.pipeline, sent.pipeline);
    cr_assert_eq(got.stage, sent.stage);
    cr_assert_eq(got.pool, sent.pool);
    cr_assert_eq(got.endpoint, sent.endpoint);
    cr_assert_eq(got.streaming, sent.streaming);
    cr_assert_eq(got.max_tokens, sent.max_tokens);
    cr_assert_eq(got.resume_from, sent.resume_from);
    cr_assert_eq(got.config_version, sent.config_version);
    cr_assert_eq(got.input, sent.input);
    cr_assert(got.time_left <= sent.time_left && got.time_left > milliseconds{0});
}

// Guards against tokens that are lost, reordered or delivered after the end of their call.
Test(rpc, stage_call_delivers_streamed_tokens_in_order)
{
    constexpr std::uint32_t count = 2000;
    test_node caller;
    test_node callee;
    callee.service.set_stage(
        [&](const stage_call& call, const token_handler& on_tokens, const cancel_flag&)
        {
            for (std::uint32_t i = 0; i < count; ++i)
            {
                if (!on_tokens(i + 5, {"t" + std::to_string(i + 5)}))
                    return result<stage_output>(may_have_run(reason::cancelled));
            }
            return result<stage_output>(stage_output{call.attempt, "", count});
        });
    std::uint32_t next = 5;
    bool in_order = true;
    const auto end = caller.node.run_stage(
        callee.address, make_call("tokens"),
        [&](std::uint32_t first, const std::vector<std::string>& items)
        {
            in_order = in_order && first == next;
            for (const auto& item : items)
                in_order = in_order && item == "t" + std::to_string(next++);
            return true;
        },
        nullptr);
    cr_assert(end.has_value());
    cr_assert(in_order);
    cr_assert_eq(next, count + 5);
}

// Guards against the first token waiting for the end of the stage.
Test(rpc, first_token_arrives_while_the_stage_runs)
{
    test_node caller;
    test_node callee;
    std::atomic<bool> received{false};
    callee.service.set_stage(
        [&](const stage_call& call, const token_handler& on_tokens, const cancel_flag&)
        {
            on_tokens(0, {"first"});
            if (!eventually([&] { return received.load(); }))
                return result<stage_output>(may_have_run(reason::endpoint_error));
            return result<stage_output>(stage_output{call.attempt, "", 1});
        });
    const auto end = caller.node.run_stage(
        callee.address, make_call("first"),
        [&](std::uint32_t, const std::vector<std::string>&)
        {
            received = true;
            return true;
        },
        nullptr);
    cr_assert(end.has_value());
}

// Guards against unbounded memory when the caller of a stream reads slower than the engine writes.
Test(rpc, slow_token_receiver_blocks_the_callees_worker)
{
    constexpr int count = 1000;
    test_node caller;
    test_node callee;
    std::atomic<int> pushed{0};
    std::atomic<bool> open{false};
    callee.service.set_stage(
        [&](const stage_call& call, const token_handler& on_tokens, const cancel_flag&)
        {
            while (pushed < count && on_tokens(static_cast<std::uint32_t>(pushed), {"token"}))
                ++pushed;
            return result<stage_output>(stage_output{call.attempt, "", count});
        });
    std::uint32_t received = 0;
    background_call call(caller.node, callee.address, make_call("slow"), nullptr,
                         [&](std::uint32_t, const std::vector<std::string>& items)
                         {
                             received += items.size();
                             return eventually([&] { return open.load(); });
                         });
    cr_assert(eventually([&] { return pushed >= 64; }));
    for (int i = 0; i < 50; ++i)
        cr_assert(heartbeat_answered(caller.node, callee.address));
    cr_assert_leq(pushed.load(), 2 * 64, "%d pushed", pushed.load());
    open = true;
    cr_assert(call.end().has_value());
    cr_assert_eq(received, count);
}

// Guards against work that goes on, or a caller that stays blocked, after a cancel.
Test(rpc, caller_cancel_reaches_the_callee)
{
    test_node caller;
    test_node callee;
    callee.service.set_stage(wait_for_cancel);
    const auto flag = make_flag();
    background_call call(caller.node, callee.address, make_call("cancelled"), flag);
    cr_assert(eventually([&] { return callee.service.started == 1; }));
    *flag = true;
    expect_failure(call.end(), verdict::may_have_run, reason::cancelled);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
}

// Guards against a stream that goes on after its receiver refused a token.
Test(rpc, refused_token_cancels_the_call)
{
    test_node caller;
    test_node callee;
    std::atomic<bool> cancel_seen{false};
    callee.service.set_stage(
        [&](const stage_call&, const token_handler& on_tokens, const cancel_flag& cancelled)
        {
            std::uint32_t index = 0;
            while (on_tokens(index, {"token"}))
                ++index;
            cancel_seen = cancelled->load();
            return result<stage_output>(may_have_run(reason::cancelled));
        });
    const auto end = caller.node.run_stage(
        callee.address, make_call("refused"),
        [](std::uint32_t, const std::vector<std::string>&) { return false; }, nullptr);
    expect_failure(end, verdict::may_have_run, reason::cancelled);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
    cr_assert(cancel_seen.load());
}

// Guards against a call that outlives its deadline because the callee does not answer.
Test(rpc, deadline_passed_ends_the_call_and_cancels_the_callee)
{
    test_node caller;
    test_node callee;
    callee.service.set_stage(wait_for_cancel);
    const auto end = caller.node.run_stage(callee.address, make_call("late", milliseconds{300}),
                                           nullptr, nullptr);
    expect_failure(end, verdict::may_have_run, reason::deadline_exceeded);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
}

// Guards against "not run" being claimed for a call that was sent, and against a caller that hangs.
Test(rpc, callee_stopped_during_the_call_may_have_run)
{
    test_node caller;
    auto callee = std::make_unique<test_node>();
    callee->service.set_stage(wait_for_cancel);
    background_call call(caller.node, callee->address, make_call("stopped"));
    cr_assert(eventually([&] { return callee->service.started == 1; }));
    callee->node.stop();
    expect_failure(call.end(), verdict::may_have_run, reason::connection_broken);
    cr_assert_eq(callee->service.ended.load(), 1);
}

// Guards against work for a caller that no longer exists.
Test(rpc, caller_stopped_during_the_call_cancels_the_callee)
{
    test_node callee;
    callee.service.set_stage(wait_for_cancel);
    test_node caller;
    background_call call(caller.node, callee.address, make_call("stopped"));
    cr_assert(eventually([&] { return callee.service.started == 1; }));
    caller.node.stop();
    expect_failure(call.end(), verdict::may_have_run, reason::connection_broken);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
    const auto after = caller.node.run_stage(callee.address, make_call("after"), nullptr, nullptr);
    expect_failure(after, verdict::not_run, reason::draining);
}

// Guards against a refused connection being reported as possibly run, which forbids the retry.
Test(rpc, nothing_listening_is_not_run)
{
    test_node caller;
    const bound_socket closed(false);
    for (int i = 0; i < 3; ++i)
    {
        const auto end =
            caller.node.run_stage(closed.address, make_call("refused"), nullptr, nullptr);
        expect_failure(end, verdict::not_run, reason::peer_unreachable);
    }
}

// Guards against calls that hang on a frozen peer, and against calls to other peers behind them.
Test(rpc, peer_that_never_answers_fails_and_delays_no_other)
{
    test_node caller;
    test_node callee;
    const bound_socket silent(true);
    background_call stuck(caller.node, silent.address, make_call("stuck"));
    caller.node.send_heartbeat(silent.address, {}, nullptr);
    cr_assert(heartbeat_answered(caller.node, callee.address));
    const auto end = caller.node.run_stage(callee.address, make_call("other"), nullptr, nullptr);
    cr_assert(end.has_value());
    cr_assert(!stuck.done(), "the other call waited for the silent peer");
    expect_failure(stuck.end(), verdict::not_run, reason::peer_unreachable);
}

// Guards against a connection gone silent that is kept: calls on it would wait for their deadlines.
Test(rpc, silent_connection_is_closed_by_heartbeat_and_replaced)
{
    test_node caller;
    test_node callee;
    relay between(callee.node.port());
    cr_assert(heartbeat_answered(caller.node, between.address()));
    between.mute();
    // At the usual rate: a flood would fill the connection and close it by other means.
    const auto answered = std::make_shared<std::atomic<bool>>(false);
    const auto limit = steady_clock::now() + patience;
    while (!answered->load() && steady_clock::now() < limit)
    {
        caller.node.send_heartbeat(between.address(), {},
                                   [answered](const heartbeat&) { *answered = true; });
        eventually([&] { return answered->load(); }, heartbeat_interval);
    }
    cr_assert(answered->load());
    cr_assert_eq(between.accepted(), 2);
}

// Guards against the same without heartbeats, which peers in other failure domains do not get.
Test(rpc, silent_connection_with_a_call_is_closed_by_probe)
{
    test_node caller;
    test_node callee;
    relay between(callee.node.port());
    callee.service.set_stage(wait_for_cancel);
    background_call call(caller.node, between.address(), make_call("silent"));
    cr_assert(eventually([&] { return callee.service.started == 1; }));
    between.mute();
    expect_failure(call.end(), verdict::may_have_run, reason::connection_broken);
    callee.service.set_stage(
        [](const stage_call& sent, const token_handler&, const cancel_flag&) {
            return result<stage_output>(stage_output{sent.attempt, "again", 0});
        });
    const auto again =
        caller.node.run_stage(between.address(), make_call("again"), nullptr, nullptr);
    cr_assert(again.has_value());
}

// Guards against a worker that stays blocked on the tokens of a caller that vanished.
Test(rpc, silent_caller_frees_the_callees_worker_at_the_deadline)
{
    test_node caller;
    test_node callee;
    relay between(callee.node.port());
    callee.service.set_stage(
        [](const stage_call&, const token_handler& on_tokens, const cancel_flag&)
        {
            std::uint32_t index = 0;
            while (on_tokens(index, {"token"}))
                ++index;
            return result<stage_output>(may_have_run(reason::cancelled));
        });
    background_call call(caller.node, between.address(), make_call("gone", milliseconds{1000}),
                         nullptr,
                         [&](std::uint32_t, const std::vector<std::string>&)
                         {
                             between.mute();
                             return true;
                         });
    cr_assert(eventually([&] { return callee.service.ended == 1; }));
    expect_failure(call.end(), verdict::may_have_run, reason::deadline_exceeded);
}

// Guards against the probe closing a healthy connection whose call simply takes long.
Test(rpc, long_call_on_a_healthy_connection_is_kept)
{
    test_node caller;
    test_node callee;
    callee.service.set_stage(
        [](const stage_call& call, const token_handler&, const cancel_flag& flag)
        {
            const auto until = steady_clock::now() + peer_timeout + milliseconds{1000};
            eventually([&] { return flag->load() || steady_clock::now() >= until; });
            return result<stage_output>(stage_output{call.attempt, "done", 0});
        });
    const auto end = caller.node.run_stage(callee.address, make_call("long"), nullptr, nullptr);
    cr_assert(end.has_value());
}

// Guards against a stray client on the peer port that takes the node down or holds a connection.
Test(rpc, junk_bytes_close_only_their_connection)
{
    test_node caller;
    test_node callee;
    callee.service.set_stage(wait_for_cancel);
    const auto flag = make_flag();
    background_call call(caller.node, callee.address, make_call("bystander"), flag);
    cr_assert(eventually([&] { return callee.service.started == 1; }));

    const std::vector<std::string> junk = {
        "GET / HTTP/1.1\r\nHost: localhost\r\n\r\n",
        std::string(4096, '\xff'),
        std::string(4096, '\x01'),
        std::string("\x00\x00\x00\x00\xff\xff\xff\x7f", 8), // one segment of 16 GiB
        std::string("\x00\x00\x00\x00\x02\x00\x00\x00", 8) + std::string(16, '\x7f'),
        std::string("\x00\x00\x00\x00", 4), // cut header, ended by the handshake timeout
    };
    for (const auto& bytes : junk)
    {
        const int fd = connect_to(callee.node.port());
        cr_assert_geq(fd, 0);
        cr_assert_eq(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                     static_cast<ssize_t>(bytes.size()));
        const auto closed = eventually(
            [&]
            {
                std::array<char, 256> buffer{};
                pollfd readable{fd, POLLIN, 0};
                return poll(&readable, 1, 10) == 1 &&
                       recv(fd, buffer.data(), buffer.size(), 0) <= 0;
            });
        close(fd);
        cr_assert(closed, "junk left the connection open");
    }
    cr_assert(heartbeat_answered(caller.node, callee.address));
    cr_assert(!call.done());
    *flag = true;
    expect_failure(call.end(), verdict::may_have_run, reason::cancelled);
}

// Guards against an answer or tokens that reach another request than their own.
Test(rpc, concurrent_calls_each_get_their_own_answer)
{
    constexpr int callers = 200;
    constexpr std::uint32_t tokens = 20;
    rpc_options options;
    options.workers = 64;
    options.queue_length = 256;
    test_node first(options);
    test_node second(options);
    test_node third(options);
    for (auto* node : {&second, &third})
    {
        node->service.set_stage(
            [](const stage_call& call, const token_handler& on_tokens, const cancel_flag&)
            {
                for (std::uint32_t i = 0; i < tokens; ++i)
                    on_tokens(i, {call.input + "/" + std::to_string(i)});
                return result<stage_output>(
                    stage_output{call.attempt, "output of " + call.input, tokens});
            });
    }
    std::atomic<int> correct{0};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int n = 0; n < callers; ++n)
    {
        threads.emplace_back(
            [&, n]
            {
                const auto call = make_call(std::to_string(n));
                std::uint32_t next = 0;
                bool own = true;
                const auto end = first.node.run_stage(
                    n % 2 == 0 ? second.address : third.address, call,
                    [&](std::uint32_t at, const std::vector<std::string>& items)
                    {
                        own = own && at == next;
                        for (const auto& item : items)
                            own = own && item == call.input + "/" + std::to_string(next++);
                        return true;
                    },
                    nullptr);
                if (own && next == tokens && end.has_value() &&
                    end.value().attempt == call.attempt &&
                    end.value().output == "output of " + call.input)
                    ++correct;
            });
    }
    for (auto& thread : threads)
        thread.join();
    cr_assert_eq(correct.load(), callers, "%d of %d correct", correct.load(), callers);
}

// Guards against calls that pile up at a busy VM instead of going elsewhere.
Test(rpc, full_worker_queue_refuses_as_overloaded)
{
    rpc_options options;
    options.workers = 2;
    options.queue_length = 3;
    test_node callee(options);
    test_node caller;
    callee.service.set_stage(wait_for_cancel);
    const auto flag = make_flag();
    std::deque<background_call> calls;
    for (int i = 0; i < 5; ++i)
    {
        calls.emplace_back(caller.node, callee.address, make_call(std::to_string(i)), flag);
        cr_assert(eventually([&] { return callee.node.in_flight() == std::size_t(i) + 1; }));
        cr_assert(i >= 2 || eventually([&] { return callee.service.started == i + 1; }));
    }
    const auto refused =
        caller.node.run_stage(callee.address, make_call("refused"), nullptr, nullptr);
    expect_failure(refused, verdict::not_run, reason::overloaded);
    *flag = true;
    for (auto& call : calls)
        expect_failure(call.end(), verdict::may_have_run, reason::cancelled);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
}

// Guards against a queued call that runs although its caller has left, or that keeps its slot.
Test(rpc, cancelled_call_in_the_queue_never_runs)
{
    rpc_options options;
    options.workers = 1;
    options.queue_length = 1;
    test_node callee(options);
    test_node caller;
    callee.service.set_stage(wait_for_cancel);
    const auto running = make_flag();
    const auto queued = make_flag();
    background_call first(caller.node, callee.address, make_call("running"), running);
    cr_assert(eventually([&] { return callee.service.started == 1; }));
    background_call second(caller.node, callee.address, make_call("queued"), queued);
    cr_assert(eventually([&] { return callee.node.in_flight() == 2; }));
    *queued = true;
    expect_failure(second.end(), verdict::may_have_run, reason::cancelled);
    cr_assert(eventually([&] { return callee.node.in_flight() == 1; }));
    *running = true;
    expect_failure(first.end(), verdict::may_have_run, reason::cancelled);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
    cr_assert_eq(callee.service.started.load(), 1);
}

// Guards against a verdict or reason of the callee that changes on its way.
Test(rpc, failure_of_the_callee_keeps_verdict_and_reason)
{
    test_node caller;
    test_node callee;
    callee.service.set_stage([](const stage_call&, const token_handler&, const cancel_flag&)
                             { return result<stage_output>(not_run(reason::busy, "cold")); });
    const auto busy = caller.node.run_stage(callee.address, make_call("busy"), nullptr, nullptr);
    expect_failure(busy, verdict::not_run, reason::busy);
    cr_assert_eq(busy.error().detail, "cold");

    callee.service.set_stage(
        [](const stage_call&, const token_handler&, const cancel_flag&) -> result<stage_output>
        { throw std::runtime_error("broken"); });
    const auto thrown =
        caller.node.run_stage(callee.address, make_call("thrown"), nullptr, nullptr);
    expect_failure(thrown, verdict::may_have_run, reason::endpoint_error);
}

// Guards against a large message that breaks the connection of all other calls.
Test(rpc, message_over_the_limit_fails_alone)
{
    constexpr std::size_t too_large = 9 * 1024 * 1024;
    test_node caller;
    test_node callee;
    auto large = make_call("large");
    large.input = std::string(too_large, 'x');
    expect_failure(caller.node.run_stage(callee.address, large, nullptr, nullptr), verdict::not_run,
                   reason::bad_request);
    large.input = std::string(4 * 1024 * 1024, 'y');
    const auto echoed = caller.node.run_stage(callee.address, large, nullptr, nullptr);
    cr_assert(echoed.has_value());
    cr_assert(echoed.value().output == large.input);

    callee.service.set_stage(
        [](const stage_call& call, const token_handler&, const cancel_flag&) {
            return result<stage_output>(stage_output{call.attempt, std::string(too_large, 'z'), 0});
        });
    expect_failure(caller.node.run_stage(callee.address, make_call("output"), nullptr, nullptr),
                   verdict::ran, reason::endpoint_error);
}

// Guards against more open connections than the node is meant to hold.
Test(rpc, connection_over_max_peers_is_refused)
{
    auto options = small_options();
    options.max_inbound_connections = 1;
    test_node callee(options);
    test_node second;
    {
        test_node first;
        cr_assert(heartbeat_answered(first.node, callee.address));
        const auto end =
            second.node.run_stage(callee.address, make_call("second"), nullptr, nullptr);
        expect_failure(end, verdict::not_run, reason::peer_unreachable);
    }
    cr_assert(eventually(
        [&]
        {
            return second.node.run_stage(callee.address, make_call("later"), nullptr, nullptr)
                .has_value();
        }));
}

// Guards against threads that outlive stop(), and against callers left blocked.
Test(rpc, stop_with_calls_in_progress_ends_all)
{
    test_node left;
    test_node right;
    const bound_socket silent(true);
    left.service.set_stage(wait_for_cancel);
    right.service.set_stage(wait_for_cancel);
    std::deque<background_call> calls;
    for (int i = 0; i < 6; ++i)
    {
        calls.emplace_back(left.node, right.address, make_call("l" + std::to_string(i)));
        calls.emplace_back(right.node, left.address, make_call("r" + std::to_string(i)));
    }
    cr_assert(eventually([&] { return left.service.started == 6 && right.service.started == 6; }));
    background_call opening(left.node, silent.address, make_call("opening"));
    left.node.stop();
    right.node.stop();
    for (auto& call : calls)
        expect_failure(call.end(), verdict::may_have_run, reason::connection_broken);
    cr_assert(opening.end().has_error());
    cr_assert_eq(opening.end().error().outcome, verdict::not_run);
    cr_assert_eq(left.service.ended.load(), 6);
    cr_assert_eq(right.service.ended.load(), 6);
}

// Guards against a listener error that is swallowed: the VM would be up but unreachable.
Test(rpc, start_on_a_used_port_throws)
{
    test_node first;
    auto options = small_options();
    options.port = first.node.port();
    test_service service;
    rpc_node second(options, service);
    cr_assert_throw(second.start(), std::system_error);
}
