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

constexpr milliseconds open_timeout{1000}; // for connecting and the first response of the peer
// Added to the caller's deadline, so that the callee's own deadline error can arrive first.
constexpr milliseconds deadline_margin{200};
constexpr milliseconds call_check_interval{10}; // for polling cancel flags and deadlines
constexpr milliseconds probe_interval{500};     // for connections with calls in progress
constexpr milliseconds handshake_timeout{5000}; // for the first request of an inbound connection
constexpr milliseconds accept_retry_delay{100}; // after a failed accept, e.g. no free descriptors
constexpr std::size_t max_message_bytes = 16 * 1024 * 1024;
// Cap'n Proto counts repeated reads of a message against its traversal limit. This leaves room for
// a second read and for framing within max_message_bytes.
constexpr std::size_t max_text_bytes = max_message_bytes / 2 - 64 * 1024;
constexpr std::size_t max_queued_batches = 64;
constexpr std::size_t target_batch_bytes = 1024 * 1024; // tokens are merged up to about this size
// An unreachable host sends no RST: send keepalive probes after 5 s without received data, and
// close the connection about 6 s later.
constexpr int keepalive_idle_s = 5;
constexpr int keepalive_interval_s = 2;
constexpr int keepalive_count = 3;
// Keepalive does not apply while data is unacknowledged, which the kernel would retransmit for
// minutes.
constexpr unsigned tcp_user_timeout_ms = 10000;
constexpr std::size_t max_detail_bytes = 4096; // details may quote an endpoint's response

constexpr std::array<std::string_view, 3> vm_state_names = {"starting", "serving", "draining"};

using vat_id = capnp::rpc::twoparty::VatId;

kj::Duration to_kj(milliseconds value)
{
    return value.count() * kj::MILLISECONDS;
}

capnp::ReaderOptions reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_message_bytes / sizeof(capnp::word);
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
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, tcp_user_timeout_ms);
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

// Unknown enum values of a newer version are read as the most conservative ones: a VM that is
// not yet serving, an endpoint that is cold.
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
    out.setDetail(to_text(error.detail.substr(0, max_detail_bytes)));
}

void write_result(const result<stage_output>& final_result, wire::StageResult::Builder out)
{
    if (final_result.has_error())
    {
        write_failure(final_result.error(), out);
        return;
    }
    if (final_result.value().output.size() > max_text_bytes)
    {
        write_failure(
            {verdict::ran, reason::endpoint_error, "output exceeds the message size limit"}, out);
        return;
    }
    out.setAttempt(to_text(final_result.value().attempt));
    out.setOutput(to_text(final_result.value().output));
    out.setTokens(final_result.value().tokens);
    out.setStatus(final_result.value().status);
}

// An unknown verdict or reason of a newer peer is read as may_have_run or endpoint_error: a call
// must not be taken for not_run by mistake.
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
    // At the caller only: completes the request with which the callee sent the batch.
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> acknowledged;
};

// An outbound run_stage call, shared by the blocked caller and the event loop. Only the event loop
// sets the final result.
struct outbound_call
{
    outbound_call(stage_call call, cancel_flag flag, time_point call_deadline)
        : request(std::move(call)), cancelled(std::move(flag)), deadline(call_deadline)
    {
    }

    const stage_call request;
    const cancel_flag cancelled;
    const time_point deadline;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<token_batch> batches;
    std::optional<result<stage_output>> final_result;
};

// Receives the tokens of one call on the event loop. Acknowledges each batch once the caller has
// processed it.
class token_sink final : public wire::TokenSink::Server
{
public:
    explicit token_sink(std::shared_ptr<outbound_call> call) : call_(std::move(call)) {}

    kj::Promise<void> tokens(TokensContext context) override
    {
        token_batch batch;
        const auto params = context.getParams();
        batch.first = params.getFirst();
        batch.items.reserve(params.getItems().size());
        for (const auto item : params.getItems())
            batch.items.push_back(to_string(item));
        auto acknowledged = kj::newPromiseAndCrossThreadFulfiller<void>();
        batch.acknowledged = kj::mv(acknowledged.fulfiller);

        const std::lock_guard lock(call_->mutex);
        if (call_->final_result)
            return KJ_EXCEPTION(FAILED, "the call has ended");
        if (call_->batches.size() >= max_queued_batches)
            return KJ_EXCEPTION(OVERLOADED, "too many unacknowledged token batches");
        call_->batches.push_back(std::move(batch));
        call_->changed.notify_all();
        return kj::mv(acknowledged.promise);
    }

private:
    std::shared_ptr<outbound_call> call_;
};

// An inbound run_stage call, shared by its worker thread and the event loop.
struct inbound_call
{
    inbound_call(stage_call call, std::atomic<std::size_t>& in_flight)
        : request(std::move(call)), in_flight_count(in_flight)
    {
        ++in_flight_count;
    }

    ~inbound_call() { --in_flight_count; }

    inbound_call(const inbound_call&) = delete;
    inbound_call& operator=(const inbound_call&) = delete;

    // Called when the caller cancels the call or disconnects, and when the call has ended.
    void cancel()
    {
        cancelled->store(true);
        const std::lock_guard lock(mutex);
        not_full.notify_all();
    }

    // Queues tokens for the event loop; blocks the worker while the queue is full. Returns false
    // once the call is cancelled, if the tokens exceed the message size limit, and if the queue is
    // still full at the deadline: a caller that became unreachable without closing its
    // connection neither acknowledges tokens nor cancels.
    bool push(std::uint32_t first, const std::vector<std::string>& items)
    {
        std::size_t bytes = 0;
        for (const auto& item : items)
            bytes += item.size();
        std::unique_lock lock(mutex);
        const bool ready = not_full.wait_until(
            lock, deadline,
            [this] { return cancelled->load() || unsent.size() < max_queued_batches; });
        if (!ready || bytes > max_text_bytes)
            cancelled->store(true);
        if (cancelled->load())
            return false;
        unsent.push_back({first, items, {}});
        wake_event_loop(std::move(lock));
        return true;
    }

    void finish(result<stage_output> outcome)
    {
        std::unique_lock lock(mutex);
        final_result = std::move(outcome);
        wake_event_loop(std::move(lock));
    }

    // Wakes the event loop if it is waiting for this call.
    void wake_event_loop(std::unique_lock<std::mutex> lock)
    {
        auto waiting = kj::mv(wakeup);
        lock.unlock();
        if (waiting.get() != nullptr)
            waiting->fulfill();
    }

    // Removes consecutive tokens for the next message from the queue. The mutex must be held.
    token_batch take_batch()
    {
        token_batch batch = std::move(unsent.front());
        unsent.pop_front();
        std::size_t bytes = 0;
        for (const auto& item : batch.items)
            bytes += item.size();
        while (!unsent.empty() && bytes < target_batch_bytes &&
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
    const time_point accepted_at = steady_clock::now();
    const time_point deadline = accepted_at + request.time_left;
    const cancel_flag cancelled = std::make_shared<std::atomic<bool>>(false);
    std::atomic<std::size_t>& in_flight_count;
    std::mutex mutex;
    std::condition_variable not_full;
    std::deque<token_batch> unsent;
    std::optional<result<stage_output>> final_result;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wakeup;
};

// Sends the tokens of a call as they are produced; resolves when the worker has finished and all
// tokens are acknowledged. Runs on the event loop.
kj::Promise<void> pump_tokens(std::shared_ptr<inbound_call> call, wire::TokenSink::Client sink)
{
    std::unique_lock lock(call->mutex);
    if (!call->unsent.empty())
    {
        const token_batch batch = call->take_batch();
        call->not_full.notify_all();
        lock.unlock();
        auto request = sink.tokensRequest();
        request.setFirst(batch.first);
        auto items = request.initItems(static_cast<unsigned>(batch.items.size()));
        for (unsigned i = 0; i < items.size(); ++i)
            items.set(i, to_text(batch.items[i]));
        return request.send().ignoreResult().then(
            [call, sink]() mutable { return pump_tokens(std::move(call), kj::mv(sink)); });
    }
    if (call->final_result)
        return kj::READY_NOW;
    auto next = kj::newPromiseAndCrossThreadFulfiller<void>();
    call->wakeup = kj::mv(next.fulfiller);
    lock.unlock();
    return next.promise.then([call, sink]() mutable
                             { return pump_tokens(std::move(call), kj::mv(sink)); });
}

// Thread pool with a bounded queue that runs the stage calls from other VMs.
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
    bool submit(const std::shared_ptr<inbound_call>& call)
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || queue_.size() >= idle_ + queue_length_)
            return false;
        queue_.push_back(call);
        ready_.notify_one();
        return true;
    }

    // Removes a cancelled call that has not started, so that it does not occupy a queue slot.
    void remove_queued(const std::shared_ptr<inbound_call>& call)
    {
        const std::lock_guard lock(mutex_);
        std::erase(queue_, call);
    }

    // Drops queued calls and waits for the running ones, which must have been cancelled.
    void stop()
    {
        std::deque<std::shared_ptr<inbound_call>> dropped;
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

    result<stage_output> execute(inbound_call& call)
    {
        if (call.cancelled->load())
            return not_run(reason::cancelled);
        call.request.time_left -=
            std::chrono::duration_cast<milliseconds>(steady_clock::now() - call.accepted_at);
        if (call.request.time_left <= milliseconds{0})
            return not_run(reason::deadline_unreachable,
                           "deadline expired while the call was queued");
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
    std::deque<std::shared_ptr<inbound_call>> queue_;
    std::size_t idle_ = 0;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

// Serves the requests of other VMs. Runs on the event loop.
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
        const auto call = std::make_shared<inbound_call>(
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
        // The promise is destroyed when the caller cancels or its connection closes, and when the
        // call has ended; the attachment cancels the work that may still be running.
        return pump_tokens(call, kj::mv(sink))
            .then([call, context]() mutable
                  { write_result(*call->final_result, context.getResults().initResult()); })
            .attach(kj::defer(
                [this, call]
                {
                    call->cancel();
                    workers_.remove_queued(call);
                }));
    }

    kj::Promise<void> fetchConfig(FetchConfigContext context) override
    {
        const auto config = service_.on_fetch_config();
        if (config.document.size() > max_text_bytes)
            return KJ_EXCEPTION(FAILED, "document exceeds the message size limit");
        context.getResults().setVersion(config.version);
        context.getResults().setDocument(to_text(config.document));
        return kj::READY_NOW;
    }

private:
    rpc_service& service_;
    stage_workers& workers_;
    std::atomic<std::size_t>& in_flight_;
};

// Errors of background tasks are reported by the calls that they belong to.
class ignore_errors final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception&&) override {}
};

ignore_errors ignore_task_errors;

// Outbound connection to another VM. Used on the event loop only.
struct outbound_connection
{
    explicit outbound_connection(std::string peer) : address(std::move(peer)) {}

    void attach(kj::Own<kj::AsyncIoStream> socket)
    {
        set_socket_options(*socket);
        stream = kj::mv(socket);
        network = kj::heap<capnp::TwoPartyVatNetwork>(*stream, capnp::rpc::twoparty::Side::CLIENT,
                                                      reader_options());
        rpc = kj::heap<capnp::RpcSystem<vat_id>>(capnp::makeRpcClient(*network));
    }

    // The peer's interface; resolved by one round trip.
    wire::Peer::Client bootstrap()
    {
        capnp::MallocMessageBuilder message(4);
        auto id = message.getRoot<vat_id>();
        id.setSide(capnp::rpc::twoparty::Side::SERVER);
        return rpc->bootstrap(id).castAs<wire::Peer>();
    }

    // Destroys all objects, dependents first.
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

// Inbound connection from another VM. Used on the event loop only.
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
        handshake_done_ = true;
        return server_;
    }

    // True once the peer has requested the bootstrap interface.
    bool handshake_done() const { return handshake_done_; }

    kj::Promise<void> on_disconnect() { return network_.onDisconnect(); }

private:
    bool handshake_done_ = false;
    kj::Own<kj::AsyncIoStream> stream_;
    wire::Peer::Client server_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<vat_id> rpc_;

public:
    kj::TaskSet tasks;
};

// State of an outbound run_stage call that the event loop owns.
struct active_call
{
    std::shared_ptr<outbound_call> call;
    std::shared_ptr<outbound_connection> connection;
    bool sent = false;
    kj::Promise<void> task = nullptr;
};

void finish_call(outbound_call& call, result<stage_output> final_result)
{
    const std::lock_guard lock(call.mutex);
    call.final_result = std::move(final_result);
    call.changed.notify_all();
}

// State of the event loop thread; used on that thread only.
class event_loop
{
public:
    event_loop(kj::AsyncIoContext& io, std::size_t max_inbound_connections,
               wire::Peer::Client server)
        : io_(io), max_inbound_connections_(max_inbound_connections), server_(kj::mv(server)),
          tasks_(ignore_task_errors)
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

    // Runs the job in a later turn of the event loop.
    void defer(std::function<void()> job)
    {
        tasks_.add(kj::evalLater([job = std::move(job)] { job(); }));
    }

    void start_call(const std::string& address, const std::shared_ptr<outbound_call>& call)
    {
        if (closed_)
        {
            finish_call(*call, not_run(reason::draining, "this VM is stopping"));
            return;
        }
        const auto connection = connection_to(address);
        auto& entry = calls_[call.get()]; // from here on, every path ends the call
        entry.call = call;
        entry.connection = connection;
        entry.task = connection->ready.addBranch()
                         .then([this, key = call.get()] { return send_call(key); })
                         .then([] {}, [this, key = call.get()](kj::Exception&& error)
                               { fail_call(key, reason::connection_broken, describe(error)); })
                         .eagerlyEvaluate(nullptr);
        start_call_checks();
    }

    // Ends a call on behalf of its caller. Dropping the promise cancels the call at the callee.
    void cancel_call(const outbound_call* key, reason why) { fail_call(key, why, {}); }

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
                    auto reply_handled = request.send().then(
                        [on_reply](capnp::Response<wire::Peer::HeartbeatResults>&& response)
                        {
                            if (on_reply)
                                on_reply(read_heartbeat(response.getReply()));
                        });
                    return reply_handled.exclusiveJoin(close_after_peer_timeout(connection));
                }
                return kj::READY_NOW;
            }));
    }

    // Passes the outcome to `done`, also if the connection closes.
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
                        [done](capnp::Response<wire::Peer::FetchConfigResults>&& response) {
                            done(config_document{response.getVersion(),
                                                 to_string(response.getDocument())});
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
                                                "no configuration received within the timeout"});
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

    // Closes the listener and all connections. Outbound calls in progress fail, inbound ones are
    // cancelled, later calls are refused.
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
    // Returns the connection to an address, and opens it if there is none.
    std::shared_ptr<outbound_connection> connection_to(const std::string& address)
    {
        auto& slot = peers_[address];
        if (slot)
            return slot;
        auto connection = std::make_shared<outbound_connection>(address);
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
                              close(failed, "failed to open the connection: " + describe(error));
                          kj::throwFatalException(kj::mv(error));
                      })
                .fork();
        return connection;
    }

    // Connects and waits for the peer's first response, so that a frozen peer whose kernel still
    // accepts connections is found unreachable before any call is sent to it.
    kj::Promise<void> open(const std::weak_ptr<outbound_connection>& weak)
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

    // Closes a connection and fails the calls on it. Its objects are destroyed in a later turn of
    // the event loop, because this may be called from one of them.
    void close(std::shared_ptr<outbound_connection> connection, const std::string& detail)
    {
        if (connection->closed)
            return;
        connection->closed = true;
        const auto slot = peers_.find(connection->address);
        if (slot != peers_.end() && slot->second == connection)
            peers_.erase(slot);
        std::vector<const outbound_call*> ended;
        for (const auto& [key, entry] : calls_)
        {
            if (entry.connection == connection)
                ended.push_back(key);
        }
        for (const auto* key : ended)
            fail_call(key, reason::connection_broken, detail);
        tasks_.add(kj::evalLater([closed = std::move(connection)] { closed->release(); }));
    }

    // Closes the connection after peer_timeout; joined with a request that is waiting for a
    // response.
    kj::Promise<void>
    close_after_peer_timeout(const std::shared_ptr<outbound_connection>& connection)
    {
        return io_.provider->getTimer()
            .afterDelay(to_kj(peer_timeout))
            .then([this, connection] { close(connection, "no response within the peer timeout"); });
    }

    kj::Promise<void> send_call(const outbound_call* key)
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
                [this, key](capnp::Response<wire::Peer::RunStageResults>&& response)
                { end_call(key, read_result(response.getResult())); });
        }
        return KJ_EXCEPTION(DISCONNECTED, "connection closed");
    }

    // Ends a call that got no response. If the call was not sent, the verdict is not_run.
    void fail_call(const outbound_call* key, reason why, const std::string& detail)
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

    void end_call(const outbound_call* key, result<stage_output> final_result)
    {
        auto node = calls_.extract(key);
        if (node.empty())
            return;
        finish_call(*node.mapped().call, std::move(final_result));
        // The task may be running now, so it is destroyed in a later turn of the event loop. The
        // call is kept until then, so that its address, which the task uses as key, is not reused.
        tasks_.add(kj::evalLater([ended = kj::mv(node.mapped())] {}));
    }

    // Checks cancel flags and deadlines periodically while there are calls.
    void start_call_checks()
    {
        if (call_checks_running_)
            return;
        call_checks_running_ = true;
        tasks_.add(schedule_call_check());
    }

    kj::Promise<void> schedule_call_check()
    {
        return io_.provider->getTimer()
            .afterDelay(to_kj(call_check_interval))
            .then(
                [this]() -> kj::Promise<void>
                {
                    check_calls(steady_clock::now());
                    if (!calls_.empty())
                        return schedule_call_check();
                    call_checks_running_ = false;
                    return kj::READY_NOW;
                });
    }

    void check_calls(time_point now)
    {
        std::vector<std::pair<const outbound_call*, reason>> ended;
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

    // Liveness probe of a peer with calls in progress. Peers in other failure domains get no
    // heartbeats, so an unresponsive connection would otherwise hold its calls until their
    // deadlines.
    void probe(const std::shared_ptr<outbound_connection>& connection, time_point now)
    {
        if (connection->closed || connection->probing ||
            now - connection->probed_at < probe_interval)
            return;
        connection->probing = true;
        connection->probed_at = now;
        auto peer = connection->bootstrap();
        tasks_.add(peer.whenResolved()
                       .attach(kj::mv(peer))
                       .exclusiveJoin(close_after_peer_timeout(connection))
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
        if (inbound_.size() >= max_inbound_connections_)
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
                                          if (!connection->handshake_done())
                                              remove_inbound(connection);
                                      }));
    }

    void remove_inbound(const inbound_connection* connection)
    {
        tasks_.add(kj::evalLater([this, connection] { inbound_.erase(connection); }));
    }

    kj::AsyncIoContext& io_;
    const std::size_t max_inbound_connections_;
    wire::Peer::Client server_;
    bool closed_ = false;
    bool call_checks_running_ = false;
    kj::Own<kj::ConnectionReceiver> listener_;
    kj::Promise<void> accepting_ = nullptr;
    std::map<std::string, std::shared_ptr<outbound_connection>> peers_;
    std::map<const outbound_call*, active_call> calls_;
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
        if (request.input.size() > max_text_bytes)
            return not_run(reason::bad_request, "input exceeds the message size limit");
        const auto call = std::make_shared<outbound_call>(
            request, cancelled, steady_clock::now() + request.time_left + deadline_margin);
        const caller_scope scope(*this);
        if (!scope.admitted() || !post([=, this] { loop_->start_call(address, call); }))
            return not_run(reason::draining, "this VM is stopping");
        try
        {
            if (deliver_tokens(*call, on_tokens))
                return *call->final_result;
        }
        catch (...)
        {
            abandon(call);
            throw;
        }
        abandon(call);
        return may_have_run(reason::cancelled, "the token handler cancelled the call");
    }

    result<config_document> fetch_config(const std::string& address, milliseconds timeout)
    {
        const caller_scope scope(*this);
        const auto response = std::make_shared<std::promise<result<config_document>>>();
        auto outcome = response->get_future();
        const auto done = [response](result<config_document> value)
        {
            try
            {
                response->set_value(std::move(value));
            }
            catch (const std::future_error&)
            {
                return; // already set: response and timeout race
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
                // Another thread is stopping the node. Wait for it, because the owner may destroy
                // the node once this call returns.
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
    // Counts the threads inside a call, so that stop() ends the event loop only after the last one
    // has returned.
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
            event_loop loop(io, options_.max_inbound_connections,
                            kj::heap<peer_server>(service_, workers_, in_flight_));
            port_ = loop.listen(options_.address, options_.port);
            auto exit = kj::newPromiseAndFulfiller<void>();
            exit_ = kj::mv(exit.fulfiller);
            loop_ = &loop;
            {
                const std::lock_guard lock(job_queue_mutex_);
                executor_ = kj::getCurrentThreadExecutor().addRef();
                accepting_jobs_ = true;
            }
            running = true;
            started.set_value();
            exit.promise.wait(io.waitScope);
            const std::lock_guard lock(job_queue_mutex_);
            accepting_jobs_ = false;
        }
        catch (const kj::Exception& error)
        {
            if (!running)
                started.set_exception(std::make_exception_ptr(std::system_error(
                    std::make_error_code(std::errc::address_not_available), describe(error))));
        }
    }

    // Queues a job for the event loop; jobs run in order. False if the event loop is not running.
    bool post(std::function<void()> job)
    {
        if (std::this_thread::get_id() == loop_thread_.get_id())
        {
            loop_->defer(std::move(job));
            return true;
        }
        bool wake = false;
        {
            const std::lock_guard lock(job_queue_mutex_);
            if (!accepting_jobs_)
                return false;
            wake = job_queue_.empty();
            job_queue_.push_back(std::move(job));
        }
        if (!wake)
            return true; // the thread that queued the first job wakes the loop
        try
        {
            executor_->executeSync([this] { loop_->defer([this] { run_queued_jobs(); }); });
        }
        catch (const kj::Exception&)
        {
            return false;
        }
        return true;
    }

    void run_queued_jobs()
    {
        std::vector<std::function<void()>> jobs;
        {
            const std::lock_guard lock(job_queue_mutex_);
            jobs.swap(job_queue_);
        }
        for (const auto& job : jobs)
            kj::runCatchingExceptions([&job] { job(); }); // a failing job must not skip the rest
    }

    // Passes tokens to the caller's handler until the call has ended. False once the handler
    // cancels.
    static bool deliver_tokens(outbound_call& call, const token_handler& on_tokens)
    {
        for (;;)
        {
            std::unique_lock lock(call.mutex);
            call.changed.wait(lock, [&call] { return call.final_result || !call.batches.empty(); });
            if (call.batches.empty() || (call.final_result && call.final_result->has_error()))
                return true;
            const token_batch batch = std::move(call.batches.front());
            call.batches.pop_front();
            lock.unlock();
            if (on_tokens && !on_tokens(batch.first, batch.items))
                return false;
            batch.acknowledged->fulfill();
        }
    }

    // Cancels the call at the callee and waits until the event loop has ended it.
    void abandon(const std::shared_ptr<outbound_call>& call)
    {
        post([=, this] { loop_->cancel_call(call.get(), reason::cancelled); });
        std::unique_lock lock(call->mutex);
        call->changed.wait(lock, [&call] { return call->final_result.has_value(); });
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

    std::mutex job_queue_mutex_;
    std::vector<std::function<void()>> job_queue_;
    bool accepting_jobs_ = false;
    // Owned, because posting threads use it without holding the mutex.
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
