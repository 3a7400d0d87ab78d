// rpc_node: calls, token streams, cancellation, connection failures, limits and shutdown, between
// nodes in one process over loopback ports chosen by the system.
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

// Much longer than any awaited event takes, so that a timeout is a failure.
constexpr milliseconds test_timeout{30000};
// Time left for calls that are not meant to reach their deadline.
constexpr milliseconds long_time_left{60000};

// Polls until the condition holds; returns false on timeout.
template <typename Condition>
bool eventually(Condition condition, milliseconds timeout = test_timeout)
{
    std::mutex mutex;
    std::condition_variable never_notified;
    std::unique_lock lock(mutex);
    const auto deadline = steady_clock::now() + timeout;
    while (!condition())
    {
        if (steady_clock::now() >= deadline)
            return false;
        never_notified.wait_for(lock, milliseconds{2});
    }
    return true;
}

using stage_function = std::function<result<stage_output>(const stage_call&, const token_handler&,
                                                          const cancel_flag&)>;

// Service that runs a stage function set by the test. Records heartbeats and counts stage calls.
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
        stage_function stage_to_run;
        {
            const std::lock_guard lock(mutex);
            stage_to_run = stage;
        }
        auto call_result = stage_to_run(call, on_tokens, cancelled);
        ++ended;
        return call_result;
    }

    void set_stage(stage_function new_stage)
    {
        const std::lock_guard lock(mutex);
        stage = std::move(new_stage);
    }

    std::mutex mutex;
    std::vector<heartbeat> beats;
    heartbeat reply; // returned for each heartbeat
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

stage_call make_call(const std::string& name, milliseconds time_left = long_time_left)
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

// Stage that runs until it is cancelled. It waits longer than the tests do, so that a test fails if
// the cancellation never arrives.
result<stage_output> wait_for_cancel(const stage_call&, const token_handler&,
                                     const cancel_flag& cancelled)
{
    if (!eventually([&] { return cancelled->load(); }, 3 * test_timeout))
        return may_have_run(reason::endpoint_error, "never cancelled");
    return may_have_run(reason::cancelled);
}

// Runs a stage call on a thread of its own; the destructor joins the thread.
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

    result<stage_output> wait()
    {
        cr_assert(eventually([this] { return done(); }), "the call did not return");
        return *call_result_;
    }

private:
    void finish(result<stage_output> call_result)
    {
        call_result_ = std::move(call_result);
        done_ = true;
    }

    std::optional<result<stage_output>> call_result_;
    std::atomic<bool> done_{false};
    std::thread thread_;
};

void expect_failure(const result<stage_output>& call_result, verdict expected_verdict,
                    reason expected_reason)
{
    cr_assert(call_result.has_error(), "the call succeeded");
    cr_assert_eq(call_result.error().outcome, expected_verdict, "verdict %s (%s, %s)",
                 std::string(to_string(call_result.error().outcome)).c_str(),
                 std::string(to_string(call_result.error().why)).c_str(),
                 call_result.error().detail.c_str());
    cr_assert_eq(call_result.error().why, expected_reason, "reason %s (%s)",
                 std::string(to_string(call_result.error().why)).c_str(),
                 call_result.error().detail.c_str());
}

// Socket bound to a loopback port chosen by the system. Connections to it are refused if it does
// not listen; otherwise they are established by the system but never accepted here.
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

// Returns the descriptor of a connection to a loopback port, or -1 on failure.
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

// TCP proxy in front of a loopback port. Connections that exist when stall_connections() is called
// stay open, but nothing is forwarded on them from then on; later connections work.
class tcp_proxy
{
public:
    explicit tcp_proxy(std::uint16_t port) : port_(port), thread_([this] { run(); }) {}

    ~tcp_proxy()
    {
        stopping_ = true;
        thread_.join();
        for (const auto& connection : connections_)
        {
            close(connection.first);
            close(connection.second);
        }
    }

    tcp_proxy(const tcp_proxy&) = delete;
    tcp_proxy& operator=(const tcp_proxy&) = delete;

    // Returns once forwarding on the existing connections has stopped.
    void stall_connections()
    {
        stall_requested_ = true;
        cr_assert(eventually([this] { return !stall_requested_; }));
    }

    // Number of connections accepted so far.
    int accepted() const { return accepted_; }

    const std::string& address() const { return listener_.address; }

private:
    struct connection
    {
        int first;
        int second;
        bool stalled = false;
        bool ended = false;
    };

    void run()
    {
        while (!stopping_)
        {
            if (stall_requested_.exchange(false))
            {
                for (auto& connection : connections_)
                    connection.stalled = true;
            }
            std::vector<pollfd> fds = {{listener_.fd(), POLLIN, 0}};
            for (const auto& connection : connections_)
            {
                const short events = connection.stalled || connection.ended ? 0 : POLLIN;
                fds.push_back({events ? connection.first : -1, events, 0});
                fds.push_back({events ? connection.second : -1, events, 0});
            }
            poll(fds.data(), fds.size(), 5);
            for (std::size_t i = 0; i < connections_.size(); ++i)
            {
                if (fds[1 + 2 * i].revents)
                    forward(connections_[i], connections_[i].first, connections_[i].second);
                if (fds[2 + 2 * i].revents)
                    forward(connections_[i], connections_[i].second, connections_[i].first);
            }
            if (fds[0].revents)
            {
                connections_.push_back(
                    {accept(listener_.fd(), nullptr, nullptr), connect_to(port_)});
                ++accepted_;
            }
        }
    }

    static void forward(connection& connection, int from, int to)
    {
        std::array<char, 65536> buffer{};
        const auto count = recv(from, buffer.data(), buffer.size(), 0);
        if (count > 0)
        {
            send(to, buffer.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL);
            return;
        }
        connection.ended = true;
        shutdown(to, SHUT_RDWR);
    }

    const std::uint16_t port_;
    bound_socket listener_{true};
    std::vector<connection> connections_;
    std::atomic<int> accepted_{0};
    std::atomic<bool> stall_requested_{false};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// Sends one heartbeat and waits for the reply; returns false on timeout.
bool heartbeat_answered(rpc_node& node, const std::string& address)
{
    const auto answered = std::make_shared<std::atomic<bool>>(false);
    node.send_heartbeat(address, {}, [answered](const heartbeat&) { *answered = true; });
    return eventually([&] { return answered->load(); });
}

} // namespace

// Guards against fields missing from the heartbeat or its reply.
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
    for (const auto& received_beat : {callee.service.beats[0], *reply})
    {
        cr_assert_eq(received_beat.vm.incarnation, 42);
        cr_assert_eq(received_beat.domain, beat.domain);
        cr_assert_eq(received_beat.address, beat.address);
        cr_assert(received_beat.state == vm_state::draining);
        cr_assert_eq(received_beat.config_version, 3);
        cr_assert_eq(received_beat.view_version, 4);
        cr_assert_eq(received_beat.endpoints.size(), 2);
        cr_assert_eq(received_beat.endpoints[0].id, "engine-1");
        cr_assert_eq(received_beat.endpoints[0].domain, "north");
        cr_assert(received_beat.endpoints[0].phase == endpoint_phase::warming);
        cr_assert_eq(received_beat.endpoints[0].in_flight, 5);
        cr_assert_eq(received_beat.endpoints[0].limit, 6);
        cr_assert(received_beat.endpoints[1].phase == endpoint_phase::leaving);
    }
}

// Guards against a VM being unable to fetch the configuration from a peer while the table is
// unavailable.
Test(rpc, fetch_config_returns_document_of_callee)
{
    test_node caller;
    test_node callee;
    const auto config = caller.node.fetch_config(callee.address, test_timeout);
    cr_assert(config.has_value());
    cr_assert_eq(config.value().version, 7);
    cr_assert_eq(config.value().document, "document 7");

    const bound_socket closed(false);
    const auto refused = caller.node.fetch_config(closed.address, test_timeout);
    cr_assert(refused.has_error());
    cr_assert_eq(refused.error().outcome, verdict::not_run);
}

// Guards against fields missing from a stage call or its output.
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
    stage_call received_call;
    callee.service.set_stage(
        [&](const stage_call& call, const token_handler&, const cancel_flag&)
        {
            received_call = call;
            return result<stage_output>(stage_output{call.attempt, "output", 3});
        });
    const auto call_result = caller.node.run_stage(callee.address, sent, nullptr, nullptr);
    cr_assert(call_result.has_value());
    cr_assert_eq(call_result.value().attempt, sent.attempt);
    cr_assert_eq(call_result.value().output, "output");
    cr_assert_eq(call_result.value().tokens, 3);
    cr_assert_eq(received_call.request, sent.request);
    cr_assert_eq(received_call.account, sent.account);
    cr_assert_eq(received_call.priority, sent.priority);
    cr_assert_eq(received_call.pipeline, sent.pipeline);
    cr_assert_eq(received_call.stage, sent.stage);
    cr_assert_eq(received_call.pool, sent.pool);
    cr_assert_eq(received_call.endpoint, sent.endpoint);
    cr_assert_eq(received_call.streaming, sent.streaming);
    cr_assert_eq(received_call.max_tokens, sent.max_tokens);
    cr_assert_eq(received_call.resume_from, sent.resume_from);
    cr_assert_eq(received_call.config_version, sent.config_version);
    cr_assert_eq(received_call.input, sent.input);
    cr_assert(received_call.time_left <= sent.time_left &&
              received_call.time_left > milliseconds{0});
}

// Guards against tokens being lost, reordered or delivered after their call has returned.
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
    const auto call_result = caller.node.run_stage(
        callee.address, make_call("tokens"),
        [&](std::uint32_t first, const std::vector<std::string>& items)
        {
            in_order = in_order && first == next;
            for (const auto& item : items)
                in_order = in_order && item == "t" + std::to_string(next++);
            return true;
        },
        nullptr);
    cr_assert(call_result.has_value());
    cr_assert(in_order);
    cr_assert_eq(next, count + 5);
}

// Guards against the first token being delayed until the stage has ended.
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
    const auto call_result = caller.node.run_stage(
        callee.address, make_call("first"),
        [&](std::uint32_t, const std::vector<std::string>&)
        {
            received = true;
            return true;
        },
        nullptr);
    cr_assert(call_result.has_value());
}

// Guards against unbounded memory use when the caller consumes tokens more slowly than the endpoint
// generates them.
Test(rpc, slow_token_receiver_blocks_worker_of_callee)
{
    constexpr int count = 1000;
    test_node caller;
    test_node callee;
    std::atomic<int> sent_tokens{0};
    std::atomic<bool> receiver_open{false};
    callee.service.set_stage(
        [&](const stage_call& call, const token_handler& on_tokens, const cancel_flag&)
        {
            while (sent_tokens < count &&
                   on_tokens(static_cast<std::uint32_t>(sent_tokens), {"token"}))
                ++sent_tokens;
            return result<stage_output>(stage_output{call.attempt, "", count});
        });
    std::uint32_t received = 0;
    background_call call(caller.node, callee.address, make_call("slow"), nullptr,
                         [&](std::uint32_t, const std::vector<std::string>& items)
                         {
                             received += items.size();
                             return eventually([&] { return receiver_open.load(); });
                         });
    cr_assert(eventually([&] { return sent_tokens >= 64; }));
    for (int i = 0; i < 50; ++i)
        cr_assert(heartbeat_answered(caller.node, callee.address));
    cr_assert_leq(sent_tokens.load(), 2 * 64, "%d tokens sent", sent_tokens.load());
    receiver_open = true;
    cr_assert(call.wait().has_value());
    cr_assert_eq(received, count);
}

// Guards against the callee working on, or the caller staying blocked, after a cancellation.
Test(rpc, caller_cancel_reaches_the_callee)
{
    test_node caller;
    test_node callee;
    callee.service.set_stage(wait_for_cancel);
    const auto flag = make_flag();
    background_call call(caller.node, callee.address, make_call("cancelled"), flag);
    cr_assert(eventually([&] { return callee.service.started == 1; }));
    *flag = true;
    expect_failure(call.wait(), verdict::may_have_run, reason::cancelled);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
}

// Guards against a stream continuing after the token handler has returned false.
Test(rpc, token_handler_returns_false_call_cancelled)
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
    const auto call_result = caller.node.run_stage(
        callee.address, make_call("refused"),
        [](std::uint32_t, const std::vector<std::string>&) { return false; }, nullptr);
    expect_failure(call_result, verdict::may_have_run, reason::cancelled);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
    cr_assert(cancel_seen.load());
}

// Guards against a call exceeding its deadline because the callee does not respond.
Test(rpc, deadline_passed_ends_the_call_and_cancels_the_callee)
{
    test_node caller;
    test_node callee;
    callee.service.set_stage(wait_for_cancel);
    const auto call_result = caller.node.run_stage(
        callee.address, make_call("late", milliseconds{300}), nullptr, nullptr);
    expect_failure(call_result, verdict::may_have_run, reason::deadline_exceeded);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
}

// Guards against not_run being reported for a call that was sent, and against a caller that hangs.
Test(rpc, callee_stopped_during_the_call_may_have_run)
{
    test_node caller;
    auto callee = std::make_unique<test_node>();
    callee->service.set_stage(wait_for_cancel);
    background_call call(caller.node, callee->address, make_call("stopped"));
    cr_assert(eventually([&] { return callee->service.started == 1; }));
    callee->node.stop();
    expect_failure(call.wait(), verdict::may_have_run, reason::connection_broken);
    cr_assert_eq(callee->service.ended.load(), 1);
}

// Guards against the callee working for a caller that no longer exists.
Test(rpc, caller_stopped_during_the_call_cancels_the_callee)
{
    test_node callee;
    callee.service.set_stage(wait_for_cancel);
    test_node caller;
    background_call call(caller.node, callee.address, make_call("stopped"));
    cr_assert(eventually([&] { return callee.service.started == 1; }));
    caller.node.stop();
    expect_failure(call.wait(), verdict::may_have_run, reason::connection_broken);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
    const auto after = caller.node.run_stage(callee.address, make_call("after"), nullptr, nullptr);
    expect_failure(after, verdict::not_run, reason::draining);
}

// Guards against a refused connection being reported as may_have_run: a call that is not idempotent
// would then not be retried.
Test(rpc, nothing_listening_is_not_run)
{
    test_node caller;
    const bound_socket closed(false);
    for (int i = 0; i < 3; ++i)
    {
        const auto call_result =
            caller.node.run_stage(closed.address, make_call("refused"), nullptr, nullptr);
        expect_failure(call_result, verdict::not_run, reason::peer_unreachable);
    }
}

// Guards against calls hanging on an unresponsive peer, and delaying calls to other peers.
Test(rpc, unresponsive_peer_call_fails_without_delaying_other_calls)
{
    test_node caller;
    test_node callee;
    const bound_socket unresponsive(true);
    background_call blocked(caller.node, unresponsive.address, make_call("blocked"));
    caller.node.send_heartbeat(unresponsive.address, {}, nullptr);
    cr_assert(heartbeat_answered(caller.node, callee.address));
    const auto call_result =
        caller.node.run_stage(callee.address, make_call("other"), nullptr, nullptr);
    cr_assert(call_result.has_value());
    cr_assert(!blocked.done(), "the call to the other peer waited for the unresponsive one");
    expect_failure(blocked.wait(), verdict::not_run, reason::peer_unreachable);
}

// Guards against keeping a connection on which nothing arrives any more: calls on it would wait for
// their deadlines.
Test(rpc, stalled_connection_closed_by_heartbeat_and_replaced)
{
    test_node caller;
    test_node callee;
    tcp_proxy proxy(callee.node.port());
    cr_assert(heartbeat_answered(caller.node, proxy.address()));
    proxy.stall_connections();
    // Heartbeats are sent at the usual rate: more of them would fill the connection's buffers, and
    // it would be closed for that reason.
    const auto answered = std::make_shared<std::atomic<bool>>(false);
    const auto deadline = steady_clock::now() + test_timeout;
    while (!answered->load() && steady_clock::now() < deadline)
    {
        caller.node.send_heartbeat(proxy.address(), {},
                                   [answered](const heartbeat&) { *answered = true; });
        eventually([&] { return answered->load(); }, heartbeat_interval);
    }
    cr_assert(answered->load());
    cr_assert_eq(proxy.accepted(), 2);
}

// Guards against the same without heartbeats, which are not sent to peers in other failure domains.
Test(rpc, stalled_connection_with_call_closed_by_probe)
{
    test_node caller;
    test_node callee;
    tcp_proxy proxy(callee.node.port());
    callee.service.set_stage(wait_for_cancel);
    background_call call(caller.node, proxy.address(), make_call("stalled"));
    cr_assert(eventually([&] { return callee.service.started == 1; }));
    proxy.stall_connections();
    expect_failure(call.wait(), verdict::may_have_run, reason::connection_broken);
    callee.service.set_stage(
        [](const stage_call& sent, const token_handler&, const cancel_flag&) {
            return result<stage_output>(stage_output{sent.attempt, "again", 0});
        });
    const auto again = caller.node.run_stage(proxy.address(), make_call("again"), nullptr, nullptr);
    cr_assert(again.has_value());
}

// Guards against a worker staying blocked on sending tokens to a caller that no longer reads them.
Test(rpc, stalled_connection_of_caller_frees_worker_of_callee_at_deadline)
{
    test_node caller;
    test_node callee;
    tcp_proxy proxy(callee.node.port());
    callee.service.set_stage(
        [](const stage_call&, const token_handler& on_tokens, const cancel_flag&)
        {
            std::uint32_t index = 0;
            while (on_tokens(index, {"token"}))
                ++index;
            return result<stage_output>(may_have_run(reason::cancelled));
        });
    background_call call(caller.node, proxy.address(), make_call("gone", milliseconds{1000}),
                         nullptr,
                         [&](std::uint32_t, const std::vector<std::string>&)
                         {
                             proxy.stall_connections();
                             return true;
                         });
    cr_assert(eventually([&] { return callee.service.ended == 1; }));
    expect_failure(call.wait(), verdict::may_have_run, reason::deadline_exceeded);
}

// Guards against the probe closing a healthy connection because a call on it takes longer than
// peer_timeout.
Test(rpc, long_call_on_healthy_connection_not_interrupted)
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
    const auto call_result =
        caller.node.run_stage(callee.address, make_call("long"), nullptr, nullptr);
    cr_assert(call_result.has_value());
}

// Guards against invalid input on the peer port, such as the request of an HTTP client, stopping
// the node, holding the connection open or disturbing other connections.
Test(rpc, invalid_bytes_close_only_their_connection)
{
    test_node caller;
    test_node callee;
    callee.service.set_stage(wait_for_cancel);
    const auto flag = make_flag();
    background_call call(caller.node, callee.address, make_call("unrelated"), flag);
    cr_assert(eventually([&] { return callee.service.started == 1; }));

    const std::vector<std::string> inputs = {
        "GET / HTTP/1.1\r\nHost: localhost\r\n\r\n",
        std::string(4096, '\xff'),
        std::string(4096, '\x01'),
        std::string("\x00\x00\x00\x00\xff\xff\xff\x7f", 8), // one segment of 16 GiB
        std::string("\x00\x00\x00\x00\x02\x00\x00\x00", 8) + std::string(16, '\x7f'),
        std::string("\x00\x00\x00\x00", 4), // truncated header, closed by the handshake timeout
    };
    for (const auto& bytes : inputs)
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
        cr_assert(closed, "the connection stayed open after invalid bytes");
    }
    cr_assert(heartbeat_answered(caller.node, callee.address));
    cr_assert(!call.done());
    *flag = true;
    expect_failure(call.wait(), verdict::may_have_run, reason::cancelled);
}

// Guards against a result or tokens being delivered to another call than their own.
Test(rpc, concurrent_calls_each_get_their_own_result)
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
                bool tokens_match = true;
                const auto call_result = first.node.run_stage(
                    n % 2 == 0 ? second.address : third.address, call,
                    [&](std::uint32_t at, const std::vector<std::string>& items)
                    {
                        tokens_match = tokens_match && at == next;
                        for (const auto& item : items)
                            tokens_match =
                                tokens_match && item == call.input + "/" + std::to_string(next++);
                        return true;
                    },
                    nullptr);
                if (tokens_match && next == tokens && call_result.has_value() &&
                    call_result.value().attempt == call.attempt &&
                    call_result.value().output == "output of " + call.input)
                    ++correct;
            });
    }
    for (auto& thread : threads)
        thread.join();
    cr_assert_eq(correct.load(), callers, "%d of %d correct", correct.load(), callers);
}

// Guards against calls accumulating at an overloaded VM instead of being sent to another one.
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
        expect_failure(call.wait(), verdict::may_have_run, reason::cancelled);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
}

// Guards against a queued call being run, or keeping its place in the queue, after its
// cancellation.
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
    expect_failure(second.wait(), verdict::may_have_run, reason::cancelled);
    cr_assert(eventually([&] { return callee.node.in_flight() == 1; }));
    *running = true;
    expect_failure(first.wait(), verdict::may_have_run, reason::cancelled);
    cr_assert(eventually([&] { return callee.node.in_flight() == 0; }));
    cr_assert_eq(callee.service.started.load(), 1);
}

// Guards against the verdict, reason or detail of a failure at the callee being altered.
Test(rpc, failure_of_callee_keeps_verdict_and_reason)
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

// Guards against a message over the size limit breaking the connection for other calls.
Test(rpc, message_over_limit_fails_only_its_call)
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

// Guards against more inbound connections than the node is configured to hold.
Test(rpc, connection_over_inbound_limit_is_refused)
{
    auto options = small_options();
    options.max_inbound_connections = 1;
    test_node callee(options);
    test_node second;
    {
        test_node first;
        cr_assert(heartbeat_answered(first.node, callee.address));
        const auto call_result =
            second.node.run_stage(callee.address, make_call("second"), nullptr, nullptr);
        expect_failure(call_result, verdict::not_run, reason::peer_unreachable);
    }
    cr_assert(eventually(
        [&]
        {
            return second.node.run_stage(callee.address, make_call("later"), nullptr, nullptr)
                .has_value();
        }));
}

// Guards against threads still running after stop(), and against callers left blocked.
Test(rpc, stop_with_calls_in_progress_ends_all)
{
    test_node left;
    test_node right;
    const bound_socket unresponsive(true);
    left.service.set_stage(wait_for_cancel);
    right.service.set_stage(wait_for_cancel);
    std::deque<background_call> calls;
    for (int i = 0; i < 6; ++i)
    {
        calls.emplace_back(left.node, right.address, make_call("l" + std::to_string(i)));
        calls.emplace_back(right.node, left.address, make_call("r" + std::to_string(i)));
    }
    cr_assert(eventually([&] { return left.service.started == 6 && right.service.started == 6; }));
    background_call connecting(left.node, unresponsive.address, make_call("connecting"));
    left.node.stop();
    right.node.stop();
    for (auto& call : calls)
        expect_failure(call.wait(), verdict::may_have_run, reason::connection_broken);
    cr_assert(connecting.wait().has_error());
    cr_assert_eq(connecting.wait().error().outcome, verdict::not_run);
    cr_assert_eq(left.service.ended.load(), 6);
    cr_assert_eq(right.service.ended.load(), 6);
}

// Guards against errors of the listener being ignored: the VM would run but be unreachable.
Test(rpc, start_port_in_use_throws)
{
    test_node first;
    auto options = small_options();
    options.port = first.node.port();
    test_service service;
    rpc_node second(options, service);
    cr_assert_throw(second.start(), std::system_error);
}
