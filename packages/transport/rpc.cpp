#include "transport/rpc.h"

#include "protocol/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <deque>
#include <exception>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <system_error>
#include <thread>

namespace zinnianotch
{

namespace
{

constexpr milliseconds open_timeout{1000}; // covers connect and the first answer of the peer
// Lets the callee's own deadline answer arrive before the caller gives up.
constexpr milliseconds deadline_margin{200};
constexpr milliseconds call_check_interval{10}; // how often cancel flags and deadlines are read
constexpr milliseconds probe_interval{500};     // for connections with calls in progress
constexpr milliseconds handshake_timeout{5000}; // inbound connection without a first request
constexpr milliseconds accept_retry_delay{100}; // after a failed accept, such as no descriptors
constexpr std::size_t message_limit = 16 * 1024 * 1024;
// Leaves room for a second read of a message and for its framing within message_limit.
constexpr std::size_t text_limit = message_limit / 2 - 64 * 1024;
constexpr std::size_t max_unsent_batches = 64;
constexpr std::size_t batch_bytes = 1024 * 1024; // tokens merged into one message
// Dead hosts send no reset: probe after 5 s of silence, drop the connection about 6 s later.
constexpr int keepalive_idle_s = 5;
constexpr int keepalive_interval_s = 2;
constexpr int keepalive_count = 3;
// Keepalive does not cover unacknowledged data, which the system would resend for minutes.
constexpr unsigned unacknowledged_limit_ms = 10000;
constexpr std::size_t detail_limit = 4096; // details may quote an endpoint's answer

constexpr std::array<std::string_view, 3> vm_state_names = {"starting", "serving", "draining"};

using vat_id = capnp::rpc::twoparty::VatId;

kj::Duration to_kj(milliseconds value)
{
    return value.count() * kj::MILLISECONDS;
}

capnp::ReaderOptions reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = message_limit / sizeof(capnp::word);
    return options;
}

kj::StringPtr to_text(const std::string& value)
{
    return {value.c_str(), value.size()};
}

std::string to_string(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

std::string describe(const kj::Exception& error)
{
    const auto text = error.getDescription();
    return {text.cStr(), text.size()};
}

void set_socket_options(kj::AsyncIoStream& stream)
{
    const auto set = [&stream](int level, int option, auto value)
    { stream.setsockopt(level, option, &value, sizeof(value)); };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepalive_count);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
}

void write_heartbeat(const heartbeat& beat, wire::Heartbeat::Builder out)
{
    out.setVm(to_text(beat.vm.name));
    out.setIncarnation(beat.vm.incarnation);
    out.setDomain(to_text(beat.domain));
    out.setAddress(to_text(beat.address));
    out.setState(static_cast<wire::VmState>(beat.state));
    out.setConfigVersion(beat.config_version);
    out.setViewVersion(beat.view_version);
    auto list = out.initEndpoints(static_cast<unsigned>(beat.endpoints.size()));
    unsigned index = 0;
    for (const auto& endpoint : beat.endpoints)
    {
        auto entry = list[index++];
        entry.setId(to_text(endpoint.id));
        entry.setDomain(to_text(endpoint.domain));
        entry.setPhase(static_cast<std::uint8_t>(endpoint.phase));
        entry.setInFlight(endpoint.in_flight);
        entry.setLimit(endpoint.limit);
    }
}

// Values that this version does not know are read as the most careful one: a VM that is not yet
// serving, an endpoint that is cold.
heartbeat read_heartbeat(wire::Heartbeat::Reader in)
{
    heartbeat beat;
    beat.vm = {to_string(in.getVm()), in.getIncarnation()};
    beat.domain = to_string(in.getDomain());
    beat.address = to_string(in.getAddress());
    if (static_cast<std::size_t>(in.getState()) < vm_state_names.size())
        beat.state = static_cast<vm_state>(in.getState());
    beat.config_version = in.getConfigVersion();
    beat.view_version = in.getViewVersion();
    for (const auto entry : in.getEndpoints())
    {
        endpoint_summary endpoint;
        endpoint.id = to_string(entry.getId());
        endpoint.domain = to_string(entry.getDomain());
        if (entry.getPhase() <= static_cast<std::uint8_t>(endpoint_phase::leaving))
            endpoint.phase = static_cast<endpoint_phase>(entry.getPhase());
        endpoint.in_flight = entry.getInFlight();
        endpoint.limit = entry.getLimit();
        endpoint.known = true;
        beat.endpoints.push_back(std::move(endpoint));
    }
    return beat;
}

void write_stage_call(const stage_call& call, milliseconds time_left, wire::StageCall::Builder out)
{
    out.setRequest(to_text(call.request));
    out.setAttempt(to_text(call.attempt));
    out.setAccount(to_text(call.account));
    out.setPriority(call.priority);
    out.setPipeline(to_text(call.pipeline));
    out.setStage(to_text(call.stage));
    out.setPool(to_text(call.pool));
    out.setEndpoint(to_text(call.endpoint));
    out.setStreaming(call.streaming);
    out.setMaxTokens(call.max_tokens);
    out.setResumeFrom(call.resume_from);
    out.setDeadlineMs(static_cast<std::uint32_t>(std::max<milliseconds::rep>(
        0, std::min<milliseconds::rep>(time_left.count(), UINT32_MAX))));
    out.setConfigVersion(call.config_version);
    out.setInput(to_text(call.input));
}

stage_call read_stage_call(wire::StageCall::Reader in)
{
    stage_call call;
    call.request = to_string(in.getRequest());
    call.attempt = to_string(in.getAttempt());
    call.account = to_string(in.getAccount());
    call.priority = in.getPriority();
    call.pipeline = to_string(in.getPipeline());
    call.stage = to_string(in.getStage());
    call.pool = to_string(in.getPool());
    call.endpoint = to_string(in.getEndpoint());
    call.streaming = in.getStreaming();
    call.max_tokens = in.getMaxTokens();
    call.resume_from = in.getResumeFrom();
    call.time_left = milliseconds{in.getDeadlineMs()};
    call.config_version = in.getConfigVersion();
    call.input = to_string(in.getInput());
    return call;
}

void write_failure(const failure& error, wire::StageResult::Builder out)
{
    out.setFailed(true);
    out.setVerdict(static_cast<std::uint8_t>(error.outcome));
    out.setReason(static_cast<std::uint8_t>(error.why));
    out.setDetail(to_text(error.detail.substr(0, detail_limit)));
}

void write_result(const result<stage_output>& end, wire::StageResult::Builder out)
{
    if (end.has_error())
    {
        write_failure(end.error(), out);
        return;
    }
    if (end.value().output.size() > text_limit)
    {
        write_failure({verdict::ran, reason::endpoint_error, "output exceeds the message limit"},
                      out);
        return;
    }
    out.setAttempt(to_text(end.value().attempt));
    out.setOutput(to_text(end.value().output));
    out.setTokens(end.value().tokens);
    out.setStatus(end.value().status);
}

// An unknown verdict or reason of a newer peer must not be taken for "not run".
result<stage_output> read_result(wire::StageResult::Reader in)
{
    if (!in.getFailed())
        return stage_output{to_string(in.getAttempt()), to_string(in.getOutput()), in.getTokens(),
                            in.getStatus()};
    failure error{verdict::may_have_run, reason::endpoint_error, to_string(in.getDetail())};
    if (in.getVerdict() <= static_cast<std::uint8_t>(verdict::ran))
        error.outcome = static_cast<verdict>(in.getVerdict());
    if (in.getReason() < reason_count)
        error.why = static_cast<reason>(in.getReason());
    return error;
}

struct token_batch
{
    std::uint32_t first = 0;
    std::vector<std::string> items;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> taken; // caller side: answers the callee
};

// A run_stage call of this VM, shared by the blocked caller and the event loop. Only the event
// loop sets the end.
struct client_call
{
    client_call(stage_call call, cancel_flag flag, time_point limit)
        : request(std::move(call)), cancelled(std::move(flag)), deadline(limit)
    {
    }

    const stage_call request;
    const cancel_flag cancelled;
    const time_point deadline;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<token_batch> batches;
    std::optional<result<stage_output>> end;
};

// Receives the tokens of one call on the event loop and answers each batch once the caller took it.
class token_sink final : public wire::TokenSink::Server
{
public:
    explicit token_sink(std::shared_ptr<client_call> call) : call_(std::move(call)) {}

    kj::Promise<void> tokens(TokensContext context) override
    {
        token_batch batch;
        const auto params = context.getParams();
        batch.first = params.getFirst();
        batch.items.reserve(params.getItems().size());
        for (const auto item : params.getItems())
            batch.items.push_back(to_string(item));
        auto taken = kj::newPromiseAndCrossThreadFulfiller<void>();
        batch.taken = kj::mv(taken.fulfiller);

        const std::lock_guard lock(call_->mutex);
        if (call_->end)
            return KJ_EXCEPTION(FAILED, "the call has ended");
        if (call_->batches.size() >= max_unsent_batches)
            return KJ_EXCEPTION(OVERLOADED, "too many unanswered token batches");
        call_->batches.push_back(std::move(batch));
        call_->changed.notify_all();
        return kj::mv(taken.promise);
    }

private:
    std::shared_ptr<client_call> call_;
};

// A run_stage call of another VM, shared by its worker and the event loop.
struct served_call
{
    served_call(stage_call call, std::atomic<std::size_t>& in_flight)
        : request(std::move(call)), in_flight_count(in_flight)
    {
        ++in_flight_count;
    }

    ~served_call() { --in_flight_count; }

    served_call(const served_call&) = delete;
    served_call& operator=(const served_call&) = delete;

    // The caller no longer wants the answer.
    void cancel()
    {
        cancelled->store(true);
        const std::lock_guard lock(mutex);
        space.notify_all();
    }

    // Queues tokens for the event loop; blocks the worker while too many are unsent. False once
    // the call is cancelled, for tokens over the message limit, and after the deadline: a caller
    // that vanished without closing its connection neither takes tokens nor cancels.
    bool push(std::uint32_t first, const std::vector<std::string>& items)
    {
        std::size_t bytes = 0;
        for (const auto& item : items)
            bytes += item.size();
        std::unique_lock lock(mutex);
        const bool ready = space.wait_until(
            lock, deadline,
            [this] { return cancelled->load() || unsent.size() < max_unsent_batches; });
        if (!ready || bytes > text_limit)
            cancelled->store(true);
        if (cancelled->load())
            return false;
        unsent.push_back({first, items, {}});
        signal(std::move(lock));
        return true;
    }

    void finish(result<stage_output> outcome)
    {
        std::unique_lock lock(mutex);
        end = std::move(outcome);
        signal(std::move(lock));
    }

    // Wakes the event loop if it waits for this call.
    void signal(std::unique_lock<std::mutex> lock)
    {
        auto waiting = kj::mv(wake);
        lock.unlock();
        if (waiting.get() != nullptr)
            waiting->fulfill();
    }

    // Takes the next message's worth of contiguous tokens. The mutex must be held.
    token_batch take_batch()
    {
        token_batch batch = std::move(unsent.front());
        unsent.pop_front();
        std::size_t bytes = 0;
        for (const auto& item : batch.items)
            bytes += item.size();
        while (!unsent.empty() && bytes < batch_bytes &&
               unsent.front().first == batch.first + batch.items.size())
        {
            for (auto& item : unsent.front().items)
            {
                bytes += item.size();
                batch.items.push_back(std::move(item));
            }
            unsent.pop_front();
        }
        return batch;
    }

    stage_call request;
    const time_point accepted = steady_clock::now();
    const time_point deadline = accepted + request.time_left;
    const cancel_flag cancelled = std::make_shared<std::atomic<bool>>(false);
    std::atomic<std::size_t>& in_flight_count;
    std::mutex mutex;
    std::condition_variable space;
    std::deque<token_batch> unsent;
    std::optional<result<stage_output>> end;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake;
};

// Sends the tokens of a call as they come and resolves when the worker has finished and all tokens
// are answered. Runs on the event loop.
kj::Promise<void> pump_tokens(std::shared_ptr<served_call> call, wire::TokenSink::Client sink)
{
    std::unique_lock lock(call->mutex);
    if (!call->unsent.empty())
    {
        const token_batch batch = call->take_batch();
        call->space.notify_all();
        lock.unlock();
        auto request = sink.tokensRequest();
        request.setFirst(batch.first);
        auto items = request.initItems(static_cast<unsigned>(batch.items.size()));
        for (unsigned i = 0; i < items.size(); ++i)
            items.set(i, to_text(batch.items[i]));
        return request.send().ignoreResult().then(
            [call, sink]() mutable { return pump_tokens(std::move(call), kj::mv(sink)); });
    }
    if (call->end)
        return kj::READY_NOW;
    auto next = kj::newPromiseAndCrossThreadFulfiller<void>();
    call->wake = kj::mv(next.fulfiller);
    lock.unlock();
    return next.promise.then([call, sink]() mutable
                             { return pump_tokens(std::move(call), kj::mv(sink)); });
}

// Threads that run the stage calls of other VMs, with a bounded queue.
class stage_workers
{
public:
    explicit stage_workers(rpc_service& service) : service_(service) {}

    void start(std::size_t threads, std::size_t queue_length)
    {
        queue_length_ = queue_length;
        for (std::size_t i = 0; i < threads; ++i)
            threads_.emplace_back([this] { run(); });
    }

    // False when all threads are busy and the queue is full.
    bool submit(const std::shared_ptr<served_call>& call)
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || queue_.size() >= idle_ + queue_length_)
            return false;
        queue_.push_back(call);
        ready_.notify_one();
        return true;
    }

    // Removes a cancelled call that has not started, so that it does not hold a queue slot.
    void withdraw(const std::shared_ptr<served_call>& call)
    {
        const std::lock_guard lock(mutex_);
        std::erase(queue_, call);
    }

    // Drops queued calls and waits for the running ones, which must be cancelled before.
    void stop()
    {
        std::deque<std::shared_ptr<served_call>> dropped;
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
            dropped.swap(queue_);
            ready_.notify_all();
        }
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
    }

private:
    void run()
    {
        for (;;)
        {
            std::unique_lock lock(mutex_);
            ++idle_;
            ready_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
            --idle_;
            if (stopping_)
                return;
            const auto call = std::move(queue_.front());
            queue_.pop_front();
            lock.unlock();
            call->finish(execute(*call));
        }
    }

    result<stage_output> execute(served_call& call)
    {
        if (call.cancelled->load())
            return not_run(reason::cancelled);
        call.request.time_left -=
            std::chrono::duration_cast<milliseconds>(steady_clock::now() - call.accepted);
        if (call.request.time_left <= milliseconds{0})
            return not_run(reason::deadline_unreachable, "deadline passed in the queue");
        try
        {
            return service_.on_run_stage(
                call.request,
                [&call](std::uint32_t first, const std::vector<std::string>& items)
                { return call.push(first, items); },
                call.cancelled);
        }
        catch (const std::exception& error)
        {
            return may_have_run(reason::endpoint_error, error.what());
        }
    }

    rpc_service& service_;
    std::size_t queue_length_ = 0;
    std::mutex mutex_;
    std::condition_variable ready_;
    std::deque<std::shared_ptr<served_call>> queue_;
    std::size_t idle_ = 0;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

// Answers the requests of other VMs. Runs on the event loop.
class peer_server final : public wire::Peer::Server
{
public:
    peer_server(rpc_service& service, stage_workers& workers, std::atomic<std::size_t>& in_flight)
        : service_(service), workers_(workers), in_flight_(in_flight)
    {
    }

    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        const auto reply = service_.on_heartbeat(read_heartbeat(context.getParams().getBeat()));
        write_heartbeat(reply, context.getResults().initReply());
        return kj::READY_NOW;
    }

    kj::Promise<void> runStage(RunStageContext context) override
    {
        const auto call = std::make_shared<served_call>(
            read_stage_call(context.getParams().getCall()), in_flight_);
        auto sink = context.getParams().getSink();
        context.releaseParams();
        context.allowCancellation();
        if (!workers_.submit(call))
        {
            write_failure(not_run(reason::overloaded, "worker queue is full"),
                          context.getResults().initResult());
            return kj::READY_NOW;
        }
        // The promise is dropped when the caller cancels or its connection closes.
        return pump_tokens(call, kj::mv(sink))
            .then([call, context]() mutable
                  { write_result(*call->end, context.getResults().initResult()); })
            .attach(kj::defer(
                [this, call]
                {
                    call->cancel();
                    workers_.withdraw(call);
                }));
    }

    kj::Promise<void> fetchConfig(FetchConfigContext context) override
    {
        const auto config = service_.on_fetch_config();
        if (config.document.size() > text_limit)
            return KJ_EXCEPTION(FAILED, "document exceeds the message limit");
        context.getResults().setVersion(config.version);
        context.getResults().setDocument(to_text(config.document));
        return kj::READY_NOW;
    }

private:
    rpc_service& service_;
    stage_workers& workers_;
    std::atomic<std::size_t>& in_flight_;
};

// Failures of background tasks show up in the calls they belong to.
class ignore_errors final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception&&) override {}
};

ignore_errors ignore_task_errors;

// Connection to another VM's listener. Event loop only.
struct peer_connection
{
    explicit peer_connection(std::string peer) : address(std::move(peer)) {}

    void attach(kj::Own<kj::AsyncIoStream> socket)
    {
        set_socket_options(*socket);
        stream = kj::mv(socket);
        network = kj::heap<capnp::TwoPartyVatNetwork>(*stream, capnp::rpc::twoparty::Side::CLIENT,
                                                      reader_options());
        rpc = kj::heap<capnp::RpcSystem<vat_id>>(capnp::makeRpcClient(*network));
    }

    // The peer's interface; resolves by one message exchange.
    wire::Peer::Client bootstrap()
    {
        capnp::MallocMessageBuilder message(4);
        auto id = message.getRoot<vat_id>();
        id.setSide(capnp::rpc::twoparty::Side::SERVER);
        return rpc->bootstrap(id).castAs<wire::Peer>();
    }

    // Releases everything in the order of dependence.
    void release()
    {
        tasks = nullptr;
        ready = nullptr;
        peer = nullptr;
        rpc = nullptr;
        network = nullptr;
        stream = nullptr;
    }

    const std::string address;
    bool closed = false;
    bool probing = false;
    time_point probed_at{};
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyVatNetwork> network;
    kj::Own<capnp::RpcSystem<vat_id>> rpc;
    kj::Maybe<wire::Peer::Client> peer;
    kj::ForkedPromise<void> ready = nullptr;
    kj::Own<kj::TaskSet> tasks = kj::heap<kj::TaskSet>(ignore_task_errors);
};

// Connection of another VM to this one's listener. Event loop only.
class inbound_connection final : public capnp::BootstrapFactory<vat_id>
{
public:
    inbound_connection(kj::Own<kj::AsyncIoStream> stream, wire::Peer::Client server)
        : stream_(kj::mv(stream)), server_(kj::mv(server)),
          network_(*stream_, capnp::rpc::twoparty::Side::SERVER, reader_options()),
          rpc_(capnp::makeRpcServer(network_, *this)), tasks(ignore_task_errors)
    {
    }

    capnp::Capability::Client createFor(vat_id::Reader) override
    {
        greeted_ = true;
        return server_;
    }

    // True once the peer has spoken the protocol.
    bool greeted() const { return greeted_; }

    kj::Promise<void> on_disconnect() { return network_.onDisconnect(); }

private:
    bool greeted_ = false;
    kj::Own<kj::AsyncIoStream> stream_;
    wire::Peer::Client server_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<vat_id> rpc_;

public:
    kj::TaskSet tasks;
};

// Event loop's side of a run_stage call.
struct active_call
{
    std::shared_ptr<client_call> call;
    std::shared_ptr<peer_connection> connection;
    bool sent = false;
    kj::Promise<void> task = nullptr;
};

void finish_call(client_call& call, result<stage_output> end)
{
    const std::lock_guard lock(call.mutex);
    call.end = std::move(end);
    call.changed.notify_all();
}

// State of the event loop thread; used on that thread only.
class event_loop
{
public:
    event_loop(kj::AsyncIoContext& io, std::size_t max_peers, wire::Peer::Client server)
        : io_(io), max_peers_(max_peers), server_(kj::mv(server)), tasks_(ignore_task_errors)
    {
    }

    ~event_loop() { close_all(); }

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    std::uint16_t listen(const std::string& address, std::uint16_t port)
    {
        auto parsed =
            io_.provider->getNetwork().parseAddress(to_text(address), port).wait(io_.waitScope);
        listener_ = parsed->listen();
        const auto bound = static_cast<std::uint16_t>(listener_->getPort());
        accepting_ = accept_next().eagerlyEvaluate(nullptr);
        return bound;
    }

    // Runs the function in a later turn of the loop.
    void defer(std::function<void()> job)
    {
        tasks_.add(kj::evalLater([job = std::move(job)] { job(); }));
    }

    void start_call(const std::string& address, const std::shared_ptr<client_call>& call)
    {
        if (closed_)
        {
            finish_call(*call, not_run(reason::draining, "this VM is stopping"));
            return;
        }
        const auto connection = connection_to(address);
        auto& entry = calls_[call.get()]; // from here on each way out ends the call
        entry.call = call;
        entry.connection = connection;
        entry.task = connection->ready.addBranch()
                         .then([this, key = call.get()] { return send_call(key); })
                         .then([] {}, [this, key = call.get()](kj::Exception&& error)
                               { fail_call(key, reason::connection_broken, describe(error)); })
                         .eagerlyEvaluate(nullptr);
        start_ticking();
    }

    // Ends a call that its caller no longer wants; the callee is told by the dropped promise.
    void drop_call(const client_call* key, reason why) { fail_call(key, why, {}); }

    void send_heartbeat(const std::string& address, const heartbeat& beat,
                        const std::function<void(const heartbeat&)>& on_reply)
    {
        if (closed_)
            return;
        const auto connection = connection_to(address);
        tasks_.add(connection->ready.addBranch().then(
            [this, connection, beat, on_reply]() -> kj::Promise<void>
            {
                KJ_IF_MAYBE (peer, connection->peer)
                {
                    auto request = peer->heartbeatRequest();
                    write_heartbeat(beat, request.initBeat());
                    auto answered = request.send().then(
                        [on_reply](capnp::Response<wire::Peer::HeartbeatResults>&& answer)
                        {
                            if (on_reply)
                                on_reply(read_heartbeat(answer.getReply()));
                        });
                    return answered.exclusiveJoin(close_after_silence(connection));
                }
                return kj::READY_NOW;
            }));
    }

    // Reports the outcome through `done`, also when the connection closes.
    void fetch_config(const std::string& address, milliseconds timeout,
                      const std::function<void(result<config_document>)>& done)
    {
        if (closed_)
        {
            done(not_run(reason::draining, "this VM is stopping"));
            return;
        }
        const auto connection = connection_to(address);
        const auto sent = std::make_shared<bool>(false);
        auto fetched = connection->ready.addBranch().then(
            [connection, sent, done]() -> kj::Promise<void>
            {
                KJ_IF_MAYBE (peer, connection->peer)
                {
                    *sent = true;
                    return peer->fetchConfigRequest().send().then(
                        [done](capnp::Response<wire::Peer::FetchConfigResults>&& answer) {
                            done(config_document{answer.getVersion(),
                                                 to_string(answer.getDocument())});
                        });
                }
                return KJ_EXCEPTION(DISCONNECTED, "connection closed");
            });
        auto expired = io_.provider->getTimer()
                           .afterDelay(to_kj(timeout))
                           .then(
                               [sent, done]
                               {
                                   done(failure{*sent ? verdict::may_have_run : verdict::not_run,
                                                reason::deadline_exceeded,
                                                "no configuration within the timeout"});
                               });
        tasks_.add(fetched.exclusiveJoin(kj::mv(expired))
                       .then([] {},
                             [sent, done](kj::Exception&& error)
                             {
                                 done(*sent
                                          ? may_have_run(reason::connection_broken, describe(error))
                                          : not_run(reason::peer_unreachable, describe(error)));
                             }));
    }

    // Closes the listener and all connections; calls in progress end, those of other VMs are
    // cancelled. Later calls are refused.
    void close_all()
    {
        closed_ = true;
        accepting_ = nullptr;
        listener_ = nullptr;
        while (!peers_.empty())
            close(peers_.begin()->second, "this VM is stopping");
        while (!calls_.empty())
            fail_call(calls_.begin()->first, reason::connection_broken, "this VM is stopping");
        inbound_.clear();
    }

private:
    // The open or opening connection to an address.
    std::shared_ptr<peer_connection> connection_to(const std::string& address)
    {
        auto& slot = peers_[address];
        if (slot)
            return slot;
        auto connection = std::make_shared<peer_connection>(address);
        slot = connection;
        auto opened =
            kj::evalLater([this, weak = std::weak_ptr(connection)] { return open(weak); });
        connection->ready =
            io_.provider->getTimer()
                .timeoutAfter(to_kj(open_timeout), kj::mv(opened))
                .then([] {},
                      [this, weak = std::weak_ptr(connection)](kj::Exception&& error)
                      {
                          if (const auto failed = weak.lock())
                              close(failed, "connection not opened: " + describe(error));
                          kj::throwFatalException(kj::mv(error));
                      })
                .fork();
        return connection;
    }

    // Connects and waits for the peer's first answer, so that a peer that accepts connections but
    // is frozen counts as unreachable before any call is sent to it.
    kj::Promise<void> open(const std::weak_ptr<peer_connection>& weak)
    {
        const auto connection = weak.lock();
        if (!connection)
            return KJ_EXCEPTION(DISCONNECTED, "connection closed");
        return io_.provider->getNetwork()
            .parseAddress(to_text(connection->address))
            .then(
                [](kj::Own<kj::NetworkAddress>&& address)
                {
                    auto connecting = address->connect();
                    return connecting.attach(kj::mv(address));
                })
            .then(
                [this, weak](kj::Own<kj::AsyncIoStream>&& stream) -> kj::Promise<void>
                {
                    const auto opening = weak.lock();
                    if (!opening || opening->closed)
                        return KJ_EXCEPTION(DISCONNECTED, "connection closed");
                    opening->attach(kj::mv(stream));
                    opening->tasks->add(opening->network->onDisconnect().then(
                        [this, weak]
                        {
                            if (const auto broken = weak.lock())
                                close(broken, "peer closed the connection");
                        }));
                    auto peer = opening->bootstrap();
                    opening->peer = peer;
                    return peer.whenResolved().attach(kj::mv(peer));
                });
    }

    // Closes a connection and ends the calls on it. Its objects are released in a later turn,
    // because this may run inside one of them.
    void close(std::shared_ptr<peer_connection> connection, const std::string& why)
    {
        if (connection->closed)
            return;
        connection->closed = true;
        const auto slot = peers_.find(connection->address);
        if (slot != peers_.end() && slot->second == connection)
            peers_.erase(slot);
        std::vector<const client_call*> ended;
        for (const auto& [key, entry] : calls_)
        {
            if (entry.connection == connection)
                ended.push_back(key);
        }
        for (const auto* key : ended)
            fail_call(key, reason::connection_broken, why);
        tasks_.add(kj::evalLater([closed = std::move(connection)] { closed->release(); }));
    }

    // Closes the connection when an answer stays out for peer_timeout.
    kj::Promise<void> close_after_silence(const std::shared_ptr<peer_connection>& connection)
    {
        return io_.provider->getTimer()
            .afterDelay(to_kj(peer_timeout))
            .then([this, connection] { close(connection, "no answer within the peer timeout"); });
    }

    kj::Promise<void> send_call(const client_call* key)
    {
        const auto found = calls_.find(key);
        if (found == calls_.end())
            return kj::READY_NOW;
        auto& entry = found->second;
        KJ_IF_MAYBE (peer, entry.connection->peer)
        {
            auto request = peer->runStageRequest();
            const auto left = std::chrono::duration_cast<milliseconds>(
                entry.call->deadline - deadline_margin - steady_clock::now());
            write_stage_call(entry.call->request, left, request.initCall());
            request.setSink(kj::heap<token_sink>(entry.call));
            entry.sent = true;
            return request.send().then(
                [this, key](capnp::Response<wire::Peer::RunStageResults>&& answer)
                { end_call(key, read_result(answer.getResult())); });
        }
        return KJ_EXCEPTION(DISCONNECTED, "connection closed");
    }

    // Ends a call without an answer. Before the call was sent, the work certainly did not start.
    void fail_call(const client_call* key, reason why, const std::string& detail)
    {
        const auto found = calls_.find(key);
        if (found == calls_.end())
            return;
        if (found->second.sent)
            end_call(key, may_have_run(why, detail));
        else if (why == reason::connection_broken)
            end_call(key, not_run(reason::peer_unreachable, detail));
        else
            end_call(key, not_run(why, detail));
    }

    void end_call(const client_call* key, result<stage_output> end)
    {
        auto node = calls_.extract(key);
        if (node.empty())
            return;
        finish_call(*node.mapped().call, std::move(end));
        // The task may be the one that runs now, so it is dropped in a later turn. The call stays
        // until then, so that no new call gets its address while the task refers to it.
        tasks_.add(kj::evalLater([ended = kj::mv(node.mapped())] {}));
    }

    // Looks at cancel flags and deadlines as long as there are calls.
    void start_ticking()
    {
        if (ticking_)
            return;
        ticking_ = true;
        tasks_.add(tick());
    }

    kj::Promise<void> tick()
    {
        return io_.provider->getTimer()
            .afterDelay(to_kj(call_check_interval))
            .then(
                [this]() -> kj::Promise<void>
                {
                    check_calls(steady_clock::now());
                    if (!calls_.empty())
                        return tick();
                    ticking_ = false;
                    return kj::READY_NOW;
                });
    }

    void check_calls(time_point now)
    {
        std::vector<std::pair<const client_call*, reason>> ended;
        for (const auto& [key, entry] : calls_)
        {
            if (key->cancelled && key->cancelled->load())
                ended.emplace_back(key, reason::cancelled);
            else if (now >= key->deadline)
                ended.emplace_back(key, reason::deadline_exceeded);
            else if (entry.sent)
                probe(entry.connection, now);
        }
        for (const auto& [key, why] : ended)
            fail_call(key, why, {});
    }

    // Asks a peer that has calls in progress for a sign of life. Peers in other failure domains
    // get no heartbeats, and a silent connection would hold its calls until their deadlines.
    void probe(const std::shared_ptr<peer_connection>& connection, time_point now)
    {
        if (connection->closed || connection->probing ||
            now - connection->probed_at < probe_interval)
            return;
        connection->probing = true;
        connection->probed_at = now;
        auto peer = connection->bootstrap();
        tasks_.add(peer.whenResolved()
                       .attach(kj::mv(peer))
                       .exclusiveJoin(close_after_silence(connection))
                       .then([connection] { connection->probing = false; }));
    }

    kj::Promise<void> accept_next()
    {
        return listener_->accept()
            .then([this](kj::Own<kj::AsyncIoStream>&& stream) { add_inbound(kj::mv(stream)); })
            .then([] { return kj::Promise<void>(kj::READY_NOW); }, [this](kj::Exception&&)
                  { return io_.provider->getTimer().afterDelay(to_kj(accept_retry_delay)); })
            .then([this] { return accept_next(); });
    }

    void add_inbound(kj::Own<kj::AsyncIoStream> stream)
    {
        if (inbound_.size() >= max_peers_)
            return;
        set_socket_options(*stream);
        auto owned = std::make_unique<inbound_connection>(kj::mv(stream), server_);
        auto* const connection = owned.get();
        inbound_.emplace(connection, std::move(owned));
        connection->tasks.add(
            connection->on_disconnect().then([this, connection] { remove_inbound(connection); }));
        connection->tasks.add(io_.provider->getTimer()
                                  .afterDelay(to_kj(handshake_timeout))
                                  .then(
                                      [this, connection]
                                      {
                                          if (!connection->greeted())
                                              remove_inbound(connection);
                                      }));
    }

    void remove_inbound(const inbound_connection* connection)
    {
        tasks_.add(kj::evalLater([this, connection] { inbound_.erase(connection); }));
    }

    kj::AsyncIoContext& io_;
    const std::size_t max_peers_;
    wire::Peer::Client server_;
    bool closed_ = false;
    bool ticking_ = false;
    kj::Own<kj::ConnectionReceiver> listener_;
    kj::Promise<void> accepting_ = nullptr;
    std::map<std::string, std::shared_ptr<peer_connection>> peers_;
    std::map<const client_call*, active_call> calls_;
    std::map<const inbound_connection*, std::unique_ptr<inbound_connection>> inbound_;
    kj::TaskSet tasks_;
};

} // namespace

std::string_view to_string(vm_state value)
{
    return vm_state_names[static_cast<std::size_t>(value)];
}

class rpc_node::impl
{
public:
    impl(rpc_options options, rpc_service& service)
        : options_(std::move(options)), service_(service), workers_(service)
    {
    }

    void start()
    {
        std::promise<void> started;
        auto outcome = started.get_future();
        loop_thread_ = std::thread([this, &started] { run_loop(started); });
        try
        {
            outcome.get();
            workers_.start(options_.workers, options_.queue_length);
        }
        catch (...)
        {
            stop();
            throw;
        }
    }

    std::uint16_t port() const { return port_; }

    std::size_t in_flight() const { return in_flight_.load(); }

    void send_heartbeat(const std::string& address, const heartbeat& beat,
                        std::function<void(const heartbeat&)> on_reply)
    {
        const caller_scope scope(*this);
        if (scope.admitted())
            post([this, address, beat, on_reply = std::move(on_reply)]
                 { loop_->send_heartbeat(address, beat, on_reply); });
    }

    result<stage_output> run_stage(const std::string& address, const stage_call& request,
                                   const token_handler& on_tokens, const cancel_flag& cancelled)
    {
        if (request.input.size() > text_limit)
            return not_run(reason::bad_request, "input exceeds the message limit");
        const auto call = std::make_shared<client_call>(
            request, cancelled, steady_clock::now() + request.time_left + deadline_margin);
        const caller_scope scope(*this);
        if (!scope.admitted() || !post([=, this] { loop_->start_call(address, call); }))
            return not_run(reason::draining, "this VM is stopping");
        try
        {
            if (deliver_tokens(*call, on_tokens))
                return *call->end;
        }
        catch (...)
        {
            abandon(call);
            throw;
        }
        abandon(call);
        return may_have_run(reason::cancelled, "the receiver of the tokens ended the call");
    }

    result<config_document> fetch_config(const std::string& address, milliseconds timeout)
    {
        const caller_scope scope(*this);
        const auto answer = std::make_shared<std::promise<result<config_document>>>();
        auto outcome = answer->get_future();
        const auto done = [answer](result<config_document> value)
        {
            try
            {
                answer->set_value(std::move(value));
            }
            catch (const std::future_error&)
            {
                return; // ended before, by the other of answer and timeout
            }
        };
        if (!scope.admitted() || !post([=, this] { loop_->fetch_config(address, timeout, done); }))
            return not_run(reason::draining, "this VM is stopping");
        return outcome.get();
    }

    void stop()
    {
        {
            std::unique_lock lock(mutex_);
            if (stopping_)
            {
                // Another thread stops the node; the owner may destroy it once this returns.
                changed_.wait(lock, [this] { return stopped_; });
                return;
            }
            stopping_ = true;
            if (!loop_thread_.joinable())
            {
                stopped_ = true;
                return;
            }
        }
        post([this] { loop_->close_all(); });
        workers_.stop();
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return callers_ == 0; });
        }
        post([this] { exit_->fulfill(); });
        loop_thread_.join();
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        changed_.notify_all();
    }

private:
    // Counts the threads inside a call, so that stop() ends the loop only after they left.
    class caller_scope
    {
    public:
        explicit caller_scope(impl& node) : node_(node)
        {
            const std::lock_guard lock(node_.mutex_);
            admitted_ = !node_.stopping_;
            if (admitted_)
                ++node_.callers_;
        }

        ~caller_scope()
        {
            if (!admitted_)
                return;
            const std::lock_guard lock(node_.mutex_);
            if (--node_.callers_ == 0)
                node_.changed_.notify_all();
        }

        caller_scope(const caller_scope&) = delete;
        caller_scope& operator=(const caller_scope&) = delete;

        bool admitted() const { return admitted_; }

    private:
        impl& node_;
        bool admitted_ = false;
    };

    void run_loop(std::promise<void>& started)
    {
        bool running = false;
        try
        {
            auto io = kj::setupAsyncIo();
            event_loop loop(io, options_.max_peers,
                            kj::heap<peer_server>(service_, workers_, in_flight_));
            port_ = loop.listen(options_.address, options_.port);
            auto exit = kj::newPromiseAndFulfiller<void>();
            exit_ = kj::mv(exit.fulfiller);
            loop_ = &loop;
            {
                const std::lock_guard lock(mailbox_mutex_);
                executor_ = kj::getCurrentThreadExecutor().addRef();
                accepting_jobs_ = true;
            }
            running = true;
            started.set_value();
            exit.promise.wait(io.waitScope);
            const std::lock_guard lock(mailbox_mutex_);
            accepting_jobs_ = false;
        }
        catch (const kj::Exception& error)
        {
            if (!running)
                started.set_exception(std::make_exception_ptr(std::system_error(
                    std::make_error_code(std::errc::address_not_available), describe(error))));
        }
    }

    // Hands a job to the event loop; jobs run in order. False when the loop does not run.
    bool post(std::function<void()> job)
    {
        if (std::this_thread::get_id() == loop_thread_.get_id())
        {
            loop_->defer(std::move(job));
            return true;
        }
        bool wake = false;
        {
            const std::lock_guard lock(mailbox_mutex_);
            if (!accepting_jobs_)
                return false;
            wake = mailbox_.empty();
            mailbox_.push_back(std::move(job));
        }
        if (!wake)
            return true; // the thread that filled the empty mailbox wakes the loop
        try
        {
            executor_->executeSync([this] { loop_->defer([this] { run_mailbox(); }); });
        }
        catch (const kj::Exception&)
        {
            return false;
        }
        return true;
    }

    void run_mailbox()
    {
        std::vector<std::function<void()>> jobs;
        {
            const std::lock_guard lock(mailbox_mutex_);
            jobs.swap(mailbox_);
        }
        for (const auto& job : jobs)
            kj::runCatchingExceptions([&job] { job(); }); // one job must not lose the others
    }

    // Hands tokens to the caller until the call has ended. False when the caller wants no more.
    static bool deliver_tokens(client_call& call, const token_handler& on_tokens)
    {
        for (;;)
        {
            std::unique_lock lock(call.mutex);
            call.changed.wait(lock, [&call] { return call.end || !call.batches.empty(); });
            if (call.batches.empty() || (call.end && call.end->has_error()))
                return true;
            const token_batch batch = std::move(call.batches.front());
            call.batches.pop_front();
            lock.unlock();
            if (on_tokens && !on_tokens(batch.first, batch.items))
                return false;
            batch.taken->fulfill();
        }
    }

    // Drops the call at the callee and waits until the event loop has let go of it.
    void abandon(const std::shared_ptr<client_call>& call)
    {
        post([=, this] { loop_->drop_call(call.get(), reason::cancelled); });
        std::unique_lock lock(call->mutex);
        call->changed.wait(lock, [&call] { return call->end.has_value(); });
    }

    const rpc_options options_;
    rpc_service& service_;
    std::atomic<std::size_t> in_flight_{0};
    stage_workers workers_;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t callers_ = 0;
    bool stopping_ = false;
    bool stopped_ = false;

    std::mutex mailbox_mutex_;
    std::vector<std::function<void()>> mailbox_;
    bool accepting_jobs_ = false;
    // An own reference, because posting threads use it without holding the mutex.
    kj::Own<const kj::Executor> executor_;

    std::thread loop_thread_;
    std::uint16_t port_ = 0;
    event_loop* loop_ = nullptr; // used on the loop thread only, as is exit_
    kj::Own<kj::PromiseFulfiller<void>> exit_;
};

rpc_node::rpc_node(rpc_options options, rpc_service& service)
    : impl_(std::make_unique<impl>(std::move(options), service))
{
}

rpc_node::~rpc_node()
{
    stop();
}

void rpc_node::start()
{
    impl_->start();
}

std::uint16_t rpc_node::port() const
{
    return impl_->port();
}

void rpc_node::send_heartbeat(const std::string& address, const heartbeat& beat,
                              std::function<void(const heartbeat&)> on_reply)
{
    impl_->send_heartbeat(address, beat, std::move(on_reply));
}

result<stage_output> rpc_node::run_stage(const std::string& address, const stage_call& call,
                                         const token_handler& on_tokens,
                                         const cancel_flag& cancelled)
{
    return impl_->run_stage(address, call, on_tokens, cancelled);
}

result<config_document> rpc_node::fetch_config(const std::string& address, milliseconds timeout)
{
    return impl_->fetch_config(address, timeout);
}

std::size_t rpc_node::in_flight() const
{
    return impl_->in_flight();
}

void rpc_node::stop()
{
    impl_->stop();
}

} // namespace zinnianotch
