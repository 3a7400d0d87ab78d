#include "transport/http_client.h"

#include "transport/event_loop.h"
#include "transport/upstream.h"

#include <cpprest/base_uri.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace zinnianotch
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

// Interval at which one thread polls the cancel flags of all calls in progress. A cancelled call
// ends within this time.
constexpr milliseconds cancel_poll_interval{20};

// Maximum size of a response body, and of a line of a streamed response. They keep a faulty
// endpoint from exhausting the VM's memory.
constexpr std::size_t max_body_bytes = 16 * 1024 * 1024;
constexpr std::size_t max_line_bytes = 1024 * 1024;
// Reading pauses while this many bytes of a response wait for the thread that made the call.
constexpr std::size_t waiting_bytes_limit = 64 * 1024;
// Never reuses a connection.
constexpr milliseconds new_connection{-1};

// Wakes the thread that made a call when a task of the call has finished or the call is cancelled.
struct call_signal
{
    std::mutex mutex;
    std::condition_variable changed;
    bool cancelled = false;

    void cancel()
    {
        const std::lock_guard lock(mutex);
        cancelled = true;
        changed.notify_all();
    }
};

// Polls the cancel flags of all calls in progress on one thread, which sleeps while there are none.
// A flag is a plain atomic without notification, so it has to be polled.
class cancel_poller
{
public:
    static cancel_poller& instance()
    {
        static cancel_poller poller;
        return poller;
    }

    cancel_poller(const cancel_poller&) = delete;
    cancel_poller& operator=(const cancel_poller&) = delete;

    // Registers a call for the lifetime of this object.
    class registration
    {
    public:
        registration(const cancel_flag& flag, const std::shared_ptr<call_signal>& signal)
            : active_(flag != nullptr)
        {
            if (active_)
                entry_ = instance().add(flag, signal);
        }
        ~registration()
        {
            if (active_)
                instance().remove(entry_);
        }
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

    private:
        bool active_;
        std::list<std::pair<cancel_flag, std::shared_ptr<call_signal>>>::iterator entry_;
    };

private:
    using entry_list = std::list<std::pair<cancel_flag, std::shared_ptr<call_signal>>>;

    cancel_poller() : thread_([this] { run(); }) {}

    ~cancel_poller()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
            changed_.notify_all();
        }
        thread_.join();
    }

    entry_list::iterator add(const cancel_flag& flag, const std::shared_ptr<call_signal>& signal)
    {
        const std::lock_guard lock(mutex_);
        if (entries_.empty())
            changed_.notify_all();
        return entries_.emplace(entries_.end(), flag, signal);
    }

    void remove(entry_list::iterator entry)
    {
        const std::lock_guard lock(mutex_);
        entries_.erase(entry);
    }

    void run()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_)
        {
            changed_.wait(lock, [this] { return stopping_ || !entries_.empty(); });
            changed_.wait_for(lock, cancel_poll_interval, [this] { return stopping_; });
            for (const auto& [flag, signal] : entries_)
            {
                if (*flag)
                    signal->cancel();
            }
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    entry_list entries_;
    bool stopping_ = false;
    std::thread thread_;
};

// Runs the connections of all clients of the process on one thread.
class connection_loop
{
public:
    static connection_loop& instance()
    {
        static connection_loop loop;
        return loop;
    }
    ~connection_loop()
    {
        io_.stop();
        thread_.join();
    }
    connection_loop(const connection_loop&) = delete;
    connection_loop& operator=(const connection_loop&) = delete;

    asio::io_context& io() { return io_; }

private:
    connection_loop() : work_(io_.get_executor()), thread_([this] { run_event_loop(io_); }) {}

    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread thread_;
};

// Connections to one server, by the addresses of its name. Used only on the loop's thread.
class server_pools
{
public:
    upstream_pool& at(const tcp::endpoint& peer)
    {
        return pools_.try_emplace(peer, connection_loop::instance().io(), peer).first->second;
    }

private:
    std::map<tcp::endpoint, upstream_pool> pools_;
};

// Destroys the pools on the loop's thread as soon as no call uses them.
std::shared_ptr<server_pools> make_pools()
{
    return {new server_pools, [](server_pools* pools)
            {
                asio::post(connection_loop::instance().io(),
                           [owned = std::unique_ptr<server_pools>(pools)] {});
            }};
}

struct server_url
{
    std::string host;
    std::uint16_t port = 0;
    std::string path; // prefix of the paths of requests

    std::string authority() const { return host + ":" + std::to_string(port); }
};

// Nothing if the text is no URL of an HTTP server.
std::optional<server_url> parse_url(const std::string& text)
{
    constexpr int default_port = 80;
    try
    {
        const web::uri uri(text);
        if (uri.scheme() != "http" || uri.host().empty() || uri.port() > UINT16_MAX)
            return std::nullopt;
        server_url out;
        out.host = uri.host();
        out.port = static_cast<std::uint16_t>(uri.port() > 0 ? uri.port() : default_port);
        out.path = uri.path();
        if (out.path.ends_with('/'))
            out.path.pop_back();
        return out;
    }
    catch (const web::uri_exception&)
    {
        return std::nullopt;
    }
}

std::string lower_case(std::string text)
{
    for (char& c : text)
    {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return text;
}

bool is_printable(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; });
}

// The request as HTTP text; nothing if a part of it cannot be sent.
std::optional<std::string> encode_request(const server_url& server, const client_request& request)
{
    const std::string target = server.path + request.path;
    if (!target.starts_with('/') || !is_printable(target + request.method) ||
        (target + request.method).find(' ') != std::string::npos)
        return std::nullopt;
    std::string text = request.method;
    text += " ";
    text += target;
    text += " HTTP/1.1\r\nHost: ";
    text += server.authority();
    text += "\r\n";
    for (const auto& [name, value] : request.headers)
    {
        if (!is_printable(name + value))
            return std::nullopt;
        text += name;
        text += ":";
        text += value;
        text += "\r\n";
    }
    if (!request.body.empty())
        text += "Content-Type: " + request.content_type + "\r\n";
    if (!request.body.empty() || request.method != "GET")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    return text + request.body;
}

failure to_failure(upstream_failure why)
{
    const std::string detail(to_string(why));
    if (is_connect_failure(why))
        return not_run(reason::connect_failed, detail);
    return may_have_run(reason::connection_broken, detail);
}

// One exchange with a server. Its callbacks run on the loop's thread; the thread that made the call
// takes what they have received.
class client_exchange : public upstream_response_handler,
                        public std::enable_shared_from_this<client_exchange>
{
public:
    client_exchange(std::shared_ptr<server_pools> pools, std::shared_ptr<call_signal> signal,
                    std::string text, bool may_reuse, bool response_has_body)
        : pools_(std::move(pools)), signal_(std::move(signal)), text_(std::move(text)),
          may_reuse_(may_reuse), response_has_body_(response_has_body),
          resolver_(connection_loop::instance().io())
    {
    }

    void start(const server_url& server)
    {
        asio::post(connection_loop::instance().io(),
                   [self = shared_from_this(), server] { self->resolve(server); });
    }
    // Closes the connection unless the response is complete.
    void cancel()
    {
        asio::post(connection_loop::instance().io(),
                   [self = shared_from_this()]
                   {
                       self->cancelled_ = true;
                       self->resolver_.cancel();
                       if (self->connection_)
                           self->connection_->cancel();
                       self->connection_.reset();
                       self->in_progress_.reset();
                   });
    }

    // upstream_response_handler
    bool matches_request(const message_head&) override { return true; }
    void on_head(message_head& head, body_framing, std::optional<std::uint64_t>) override
    {
        const std::lock_guard lock(signal_->mutex);
        response_head = std::move(head);
        signal_->changed.notify_all();
    }
    void on_body(std::string bytes) override
    {
        const std::lock_guard lock(signal_->mutex);
        waiting_body += bytes;
        if (waiting_body.size() > waiting_bytes_limit && !std::exchange(paused_, true))
            connection_->set_paused(true);
        signal_->changed.notify_all();
    }
    void on_end() override
    {
        const std::lock_guard lock(signal_->mutex);
        has_ended = true;
        signal_->changed.notify_all();
        release();
    }
    void on_failure(upstream_failure why) override
    {
        // A connection that was kept open may have been closed by the server meanwhile. Requests
        // that are sent on one are safe to repeat.
        was_sent_ = was_sent_ || !is_connect_failure(why);
        if (why == upstream_failure::connection_lost && std::exchange(may_reuse_, false))
            return connect();
        if (is_connect_failure(why) && ++address_ < addresses_.size())
            return connect();
        fail(was_sent_ ? may_have_run(reason::connection_broken, std::string(to_string(why)))
                       : to_failure(why));
    }

    // What the thread that made the call has not taken yet. Guarded by the signal's mutex.
    std::optional<message_head> response_head;
    std::string waiting_body;
    bool has_ended = false;
    std::optional<failure> error;

    // Takes the received bytes of the body; the mutex is locked.
    std::string take_body()
    {
        if (std::exchange(paused_, false))
            asio::post(connection_loop::instance().io(),
                       [self = shared_from_this()]
                       {
                           if (self->connection_)
                               self->connection_->set_paused(false);
                       });
        return std::exchange(waiting_body, {});
    }

private:
    void resolve(const server_url& server)
    {
        in_progress_ = shared_from_this();
        boost::system::error_code error;
        const auto address = asio::ip::make_address(server.host, error);
        if (!error)
        {
            addresses_ = {tcp::endpoint(address, server.port)};
            return connect();
        }
        resolver_.async_resolve(
            server.host, std::to_string(server.port),
            [self = shared_from_this()](const boost::system::error_code& failed,
                                        const tcp::resolver::results_type& found)
            {
                for (const auto& each : found)
                    self->addresses_.push_back(each.endpoint());
                if (failed || found.empty())
                    return self->fail(not_run(reason::connect_failed, "unknown host"));
                self->connect();
            });
    }
    void connect()
    {
        if (cancelled_)
            return release();
        const time_point now = steady_clock::now();
        upstream_pool& pool = pools_->at(addresses_[address_]);
        pool.sweep(now);
        connection_ = pool.start(text_, *this, may_reuse_ ? default_idle_timeout : new_connection,
                                 now, response_has_body_);
    }
    void fail(failure why)
    {
        const std::lock_guard lock(signal_->mutex);
        error = std::move(why);
        signal_->changed.notify_all();
        release();
    }
    // The exchange has ended; its connection may serve another one.
    void release()
    {
        connection_.reset();
        // The caller of this callback still uses this object.
        asio::post(connection_loop::instance().io(), [self = std::move(in_progress_)] {});
    }

    std::shared_ptr<server_pools> pools_;
    std::shared_ptr<call_signal> signal_;
    std::string text_;
    bool may_reuse_;
    bool response_has_body_;
    bool paused_ = false;
    bool cancelled_ = false;
    bool was_sent_ = false; // on an earlier connection
    tcp::resolver resolver_;
    std::vector<tcp::endpoint> addresses_;
    std::size_t address_ = 0;
    std::shared_ptr<upstream_connection> connection_;
    std::shared_ptr<client_exchange> in_progress_; // keeps this object while callbacks may follow
};

// One call in progress. The destructor closes the connection unless the response was read
// completely, so that no later call on the connection receives the rest of this response.
class call
{
public:
    call(std::optional<server_url> server, std::shared_ptr<server_pools> pools, bool may_reuse,
         const cancel_flag& cancelled, time_point deadline)
        : server_(std::move(server)), pools_(std::move(pools)), may_reuse_(may_reuse),
          cancelled_(cancelled), deadline_(deadline), registration_(cancelled, signal_)
    {
    }
    ~call()
    {
        if (exchange_)
            exchange_->cancel();
    }
    call(const call&) = delete;
    call& operator=(const call&) = delete;

    // Sends the request and waits for the header of the response.
    result<client_reply> send(const client_request& request, time_point until)
    {
        if (cancelled_ && *cancelled_)
            return not_run(reason::cancelled);
        if (steady_clock::now() >= deadline_)
            return not_run(reason::silent_connection,
                           "timeout expired before the request was sent");
        if (!server_)
            return not_run(reason::connect_failed, "invalid base URL");
        auto text = encode_request(*server_, request);
        if (!text)
            return not_run(reason::bad_request, "the request cannot be written as HTTP");
        exchange_ = std::make_shared<client_exchange>(pools_, signal_, std::move(*text), may_reuse_,
                                                      request.method != "HEAD");
        exchange_->start(*server_);
        std::unique_lock lock(signal_->mutex);
        if (auto error = wait(lock, until, [&] { return exchange_->response_head.has_value(); }))
            return *error;
        client_reply out;
        out.status = exchange_->response_head->status;
        for (const header_field& field : exchange_->response_head->fields)
        {
            std::string& value = out.headers[lower_case(field.name)];
            value += (value.empty() ? "" : ", ") + field.value;
        }
        return out;
    }

    // Appends the bytes of the body that have arrived, at least one; false at the end of the body.
    result<bool> read_some(std::string& out, time_point until)
    {
        std::unique_lock lock(signal_->mutex);
        const auto has_news = [&]
        { return !exchange_->waiting_body.empty() || exchange_->has_ended; };
        if (auto error = wait(lock, until, has_news))
            return *error;
        const bool has_bytes = !exchange_->waiting_body.empty();
        out += exchange_->take_body();
        return has_bytes;
    }

    time_point deadline() const { return deadline_; }

private:
    // Waits until the condition holds. Bytes that arrived before a failure are taken first.
    template <typename Condition>
    std::optional<failure> wait(std::unique_lock<std::mutex>& lock, time_point until,
                                Condition condition)
    {
        const auto is_over = [&] { return condition() || exchange_->error || signal_->cancelled; };
        (void)signal_->changed.wait_until(lock, std::min(until, deadline_), is_over);
        if (condition())
            return std::nullopt;
        if (exchange_->error)
            return exchange_->error;
        if (signal_->cancelled)
            return may_have_run(reason::cancelled);
        return may_have_run(reason::silent_connection, "no response within the timeout");
    }

    std::optional<server_url> server_;
    std::shared_ptr<server_pools> pools_;
    bool may_reuse_;
    cancel_flag cancelled_;
    time_point deadline_;
    std::shared_ptr<call_signal> signal_ = std::make_shared<call_signal>();
    cancel_poller::registration registration_;
    std::shared_ptr<client_exchange> exchange_;
};

// Reads the response body into the reply.
result<client_reply> read_body(call& current, client_reply reply, milliseconds idle_timeout)
{
    for (;;)
    {
        BOOST_OUTCOME_TRY(more, current.read_some(reply.body, steady_clock::now() + idle_timeout));
        if (!more)
            return reply;
        if (reply.body.size() > max_body_bytes)
            return may_have_run(reason::endpoint_error, "response body exceeds 16 MiB");
    }
}

// Passes the complete lines of the buffer to the handler and removes them; false once the handler
// ends the stream.
bool deliver_lines(std::string& buffer, const line_handler& on_line)
{
    std::size_t begin = 0;
    for (std::size_t end = buffer.find('\n'); end != std::string::npos;
         end = buffer.find('\n', begin))
    {
        std::string_view line(buffer.data() + begin, end - begin);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        begin = end + 1;
        if (!line.empty() && !on_line(line))
            return false;
    }
    buffer.erase(0, begin);
    return true;
}

} // namespace

class http_client::impl
{
public:
    explicit impl(const std::string& base_url) : server_(parse_url(base_url)) {}

    call make_call(const cancel_flag& cancelled, milliseconds timeout) const
    {
        const std::lock_guard lock(mutex_);
        return {server_, pools_, true, cancelled, steady_clock::now() + timeout};
    }
    // A call on a connection of its own, which is closed after it.
    call make_single_call(const cancel_flag& cancelled, milliseconds timeout) const
    {
        return {server_, make_pools(), false, cancelled, steady_clock::now() + timeout};
    }

    void reset()
    {
        auto pools = make_pools();
        const std::lock_guard lock(mutex_);
        pools_.swap(pools);
    }

private:
    const std::optional<server_url> server_;
    mutable std::mutex mutex_;
    std::shared_ptr<server_pools> pools_ = make_pools();
};

http_client::http_client(const std::string& base_url) : impl_(std::make_unique<impl>(base_url)) {}

http_client::~http_client() = default;

result<client_reply> http_client::send(const client_request& request, milliseconds timeout,
                                       const cancel_flag& cancelled)
{
    call current = impl_->make_call(cancelled, timeout);
    BOOST_OUTCOME_TRY(reply, current.send(request, current.deadline()));
    return read_body(current, std::move(reply), timeout);
}

result<client_reply> http_client::send_once(const client_request& request, milliseconds timeout,
                                            const cancel_flag& cancelled)
{
    call current = impl_->make_single_call(cancelled, timeout);
    BOOST_OUTCOME_TRY(reply, current.send(request, current.deadline()));
    return read_body(current, std::move(reply), timeout);
}

result<client_reply> http_client::stream(const client_request& request, milliseconds idle_timeout,
                                         milliseconds timeout, const line_handler& on_line,
                                         const cancel_flag& cancelled)
{
    call current = impl_->make_call(cancelled, timeout);
    BOOST_OUTCOME_TRY(reply, current.send(request, steady_clock::now() + idle_timeout));
    if (reply.status != 200)
        return read_body(current, std::move(reply), idle_timeout);
    std::string buffer;
    for (;;)
    {
        BOOST_OUTCOME_TRY(more, current.read_some(buffer, steady_clock::now() + idle_timeout));
        if (!more)
            break;
        if (!deliver_lines(buffer, on_line))
            return std::move(reply);
        if (buffer.size() > max_line_bytes)
            return may_have_run(reason::endpoint_error, "response line exceeds 1 MiB");
    }
    // The last line may have no line break.
    buffer.push_back('\n');
    deliver_lines(buffer, on_line);
    return std::move(reply);
}

void http_client::reset_connections()
{
    impl_->reset();
}

} // namespace zinnianotch
