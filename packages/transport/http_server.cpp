#include "transport/http_server.h"

#include "state/verdict.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <deque>
#include <list>
#include <mutex>
#include <optional>
#include <sstream>
#include <system_error>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinnianotch
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

// Bytes of pipelined requests that are read while a request is being processed. Reading ahead
// detects a closed connection immediately; further bytes stay in the kernel's receive buffer.
constexpr std::size_t read_ahead_limit = 4 * 1024;

// Interval at which a closed connection is polled for while the read-ahead buffer is full.
constexpr milliseconds hangup_poll_interval{25};

// Capacity of the connection buffer beyond the header limit, for a chunk header or body bytes.
constexpr std::size_t buffer_slack = 8 * 1024;

// Limit on the body bytes of all requests that are being read, queued or processed. Without a
// common limit every connection could hold a whole body, 4 GiB in total with the default limits.
constexpr std::size_t total_body_limit = 128 * 1024 * 1024;

// Bytes of a chunked response waiting for the socket at which write() blocks.
constexpr std::size_t stream_buffer_limit = 64 * 1024;

// Limits what the kernel buffers for a caller that stops reading. By default the buffer grows to
// several megabytes per connection, which delays back-pressure.
constexpr int socket_send_buffer_size = 128 * 1024;

// How long input is read and discarded after the last response on a connection. Closing a socket
// with unread data resets the connection, and the caller may lose the response.
constexpr milliseconds linger_time{2000};

// Delay before the next accept when the process is out of file descriptors or memory.
constexpr milliseconds accept_retry_interval{50};

// How long stop() waits for connections to close before it stops the I/O threads.
constexpr milliseconds stop_timeout{5000};

std::string lower_case(boost::string_view text)
{
    std::string out(text.data(), text.size());
    for (char& c : out)
    {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return out;
}

// Error body in the format of section 7 of the design document. `message` must not contain
// characters that JSON escapes. The request id is empty, because none has been assigned yet.
std::string error_body(reason why, verdict outcome, std::string_view message)
{
    std::string out = R"({"error":{"reason":")";
    out += to_string(why);
    out += R"(","verdict":")";
    out += to_string(outcome);
    out += R"(","message":")";
    out += message;
    out += R"(","request":""}})";
    return out;
}

template <typename BufferSequence>
void append_buffers(std::string& out, const BufferSequence& buffers)
{
    for (const asio::const_buffer buffer : beast::buffers_range_ref(buffers))
        out.append(static_cast<const char*>(buffer.data()), buffer.size());
}

bool is_single_line(std::string_view value)
{
    return value.find_first_of("\r\n") == std::string_view::npos;
}

// True when the request is not valid HTTP, false when the connection was closed or failed.
bool is_syntax_error(const error_code& ec)
{
    static const auto& parser_errors = http::make_error_code(http::error::bad_method).category();
    if (ec == http::error::buffer_overflow)
        return true;
    return ec.category() == parser_errors && ec != http::error::end_of_stream &&
           ec != http::error::partial_message;
}

using response_header = http::response<http::empty_body>;

response_header make_header(int status, unsigned version, std::string_view content_type,
                            const std::map<std::string, std::string>& fields)
{
    response_header out;
    out.version(version);
    out.result(static_cast<unsigned>(status));
    out.set(http::field::content_type, {content_type.data(), content_type.size()});
    for (const auto& [name, value] : fields)
    {
        // Prevents header injection through a line break.
        if (is_single_line(name) && is_single_line(value))
            out.set(name, value);
    }
    return out;
}

std::string serialize_header(const response_header& header)
{
    std::ostringstream out;
    out << header.base();
    return out.str();
}

// Counts a request as in flight from its first byte until its response is sent and its handler has
// returned.
class in_flight_guard
{
public:
    explicit in_flight_guard(std::atomic<std::size_t>& counter) : counter_(counter) { ++counter_; }
    ~in_flight_guard() { --counter_; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

private:
    std::atomic<std::size_t>& counter_;
};

// Part of total_body_limit that one request has reserved.
class body_reservation
{
public:
    explicit body_reservation(std::atomic<std::size_t>& used) : used_(used) {}
    ~body_reservation() { used_ -= held_; }
    body_reservation(const body_reservation&) = delete;
    body_reservation& operator=(const body_reservation&) = delete;

    // False when the limit would be exceeded.
    bool grow_to(std::size_t size)
    {
        if (size <= held_)
            return true;
        const std::size_t additional = size - held_;
        if (used_.fetch_add(additional) + additional > total_body_limit)
        {
            used_ -= additional;
            return false;
        }
        held_ = size;
        return true;
    }

private:
    std::atomic<std::size_t>& used_;
    std::size_t held_ = 0;
};

class session;

// One request and its response. The worker thread appends to `pending_`, the session's strand
// writes it to the socket. A session outlives its exchanges, and a finished exchange ignores late
// calls.
class exchange final : public http_response
{
public:
    exchange(std::shared_ptr<session> owner, std::shared_ptr<in_flight_guard> guard,
             std::shared_ptr<body_reservation> reservation)
        : owner_(std::move(owner)), in_flight_guard_(std::move(guard)),
          body_reservation_(std::move(reservation))
    {
    }

    void send(int status, std::string_view content_type, std::string body,
              const std::map<std::string, std::string>& headers) override;
    void start_stream(int status, std::string_view content_type,
                      const std::map<std::string, std::string>& headers) override;
    bool write(std::string_view chunk) override;
    void finish() override;
    void abort() override;
    cancel_flag cancelled() const override { return cancelled_; }

    // Called by the session on its strand.
    void connection_lost();

    // Ends an exchange whose handler returned or threw without completing the response.
    void complete_after_handler(bool threw);

    http_request request;
    unsigned version = 11;
    bool keep_alive = true;
    bool head_only = false;

private:
    friend class session;

    enum class phase
    {
        not_started,
        streaming,
        ended
    };

    bool decide_keep_alive();
    void notify_session();

    std::shared_ptr<session> owner_;
    std::shared_ptr<in_flight_guard> in_flight_guard_;
    std::shared_ptr<body_reservation> body_reservation_;
    cancel_flag cancelled_ = std::make_shared<std::atomic<bool>>(false);

    std::mutex mutex_;
    std::condition_variable writable_;
    phase phase_ = phase::not_started;
    std::string pending_;
    bool close_after_ = false;
    bool reset_after_ = false; // a response delimited by the close is truncated by a reset
    bool chunked_ = false;
    bool detached_ = false;
};

// Thread pool that runs the handlers; threads are started on demand. At most `workers` jobs run and
// at most `queue_length` are queued.
class worker_pool
{
public:
    using job = std::function<void()>;

    worker_pool(std::size_t workers, std::size_t queue_length)
        : workers_(std::max<std::size_t>(workers, 1)), queue_length_(queue_length)
    {
    }

    // False when all workers are busy and the queue is full, or the pool is stopping.
    bool submit(job work)
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || running_ + queue_.size() >= workers_ + queue_length_)
            return false;
        const std::size_t idle_threads = threads_.size() - running_;
        if (queue_.size() >= idle_threads && threads_.size() < workers_ && !start_thread())
            return false;
        queue_.push_back(std::move(work));
        ready_.notify_one();
        return true;
    }

    // Discards queued jobs, waits for the running ones and joins the threads.
    void stop()
    {
        std::vector<std::thread> threads;
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
            queue_.clear();
            threads.swap(threads_);
            ready_.notify_all();
        }
        for (std::thread& thread : threads)
            thread.join();
    }

private:
    // True when at least one thread exists to run the job.
    bool start_thread()
    {
        try
        {
            threads_.emplace_back([this] { run(); });
            return true;
        }
        catch (const std::system_error&)
        {
            return !threads_.empty();
        }
    }

    void run()
    {
        std::unique_lock lock(mutex_);
        for (;;)
        {
            ready_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
            if (stopping_)
                return;
            job work = std::move(queue_.front());
            queue_.pop_front();
            ++running_;
            lock.unlock();
            work();
            work = nullptr;
            lock.lock();
            --running_;
        }
    }

    const std::size_t workers_;
    const std::size_t queue_length_;
    std::mutex mutex_;
    std::condition_variable ready_;
    std::deque<job> queue_;
    std::vector<std::thread> threads_;
    std::size_t running_ = 0;
    bool stopping_ = false;
};

// Open connections. Those that are idle or lingering may be evicted to admit a new one.
class connection_registry
{
public:
    explicit connection_registry(std::size_t limit) : limit_(std::max<std::size_t>(limit, 1)) {}

    struct admission
    {
        bool accepted = false;
        std::shared_ptr<session> evicted; // must be closed by the code that called add()
    };

    // Adds a connection. At the limit, the connection that has been evictable for the longest time
    // is evicted: otherwise idle connections alone could lock out all callers.
    admission add(const std::shared_ptr<session>& added)
    {
        const std::lock_guard lock(mutex_);
        if (closed_)
            return {};
        admission out;
        if (all_.size() >= limit_)
        {
            if (evictable_.empty())
                return {};
            const auto victim = all_.find(evictable_.front());
            out.evicted = victim->second.connection;
            evictable_.pop_front();
            all_.erase(victim);
        }
        all_.emplace(added.get(), entry{added, evictable_.end()});
        out.accepted = true;
        return out;
    }

    void remove(session* removed)
    {
        const std::lock_guard lock(mutex_);
        const auto found = all_.find(removed);
        if (found == all_.end())
            return;
        if (found->second.evictable_position != evictable_.end())
            evictable_.erase(found->second.evictable_position);
        all_.erase(found);
        if (all_.empty())
            empty_.notify_all();
    }

    void mark_evictable(session* registered)
    {
        const std::lock_guard lock(mutex_);
        const auto found = all_.find(registered);
        if (found != all_.end() && found->second.evictable_position == evictable_.end())
            found->second.evictable_position = evictable_.insert(evictable_.end(), registered);
    }

    // Protects the connection from eviction. False when it has been evicted already.
    bool mark_in_use(session* registered)
    {
        const std::lock_guard lock(mutex_);
        const auto found = all_.find(registered);
        if (found == all_.end())
            return false;
        if (found->second.evictable_position != evictable_.end())
        {
            evictable_.erase(found->second.evictable_position);
            found->second.evictable_position = evictable_.end();
        }
        return true;
    }

    // Admits no further connections and returns those that are open.
    std::vector<std::shared_ptr<session>> close()
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
        std::vector<std::shared_ptr<session>> out;
        for (const auto& item : all_)
            out.push_back(item.second.connection);
        return out;
    }

    // Releases connections that did not close in time. Call after all threads have ended.
    void clear()
    {
        const std::lock_guard lock(mutex_);
        evictable_.clear();
        all_.clear();
    }

    void wait_empty(milliseconds timeout)
    {
        std::unique_lock lock(mutex_);
        empty_.wait_for(lock, timeout, [this] { return all_.empty(); });
    }

private:
    struct entry
    {
        std::shared_ptr<session> connection;
        std::list<session*>::iterator evictable_position;
    };

    const std::size_t limit_;
    std::mutex mutex_;
    std::condition_variable empty_;
    std::unordered_map<session*, entry> all_;
    std::list<session*> evictable_;
    bool closed_ = false;
};

// Drops the packets that would open new connections. Closing the listener instead would reset the
// connections that callers have opened and the server has not accepted yet. If it fails, new
// connections are accepted until the listener closes.
void drop_connection_requests(tcp::acceptor& acceptor)
{
    constexpr std::uint32_t flags_offset = 13; // in the TCP header
    constexpr std::uint32_t syn = 0x02;
    constexpr std::uint32_t ack = 0x10;
    std::array<sock_filter, 5> code{{
        {BPF_LD | BPF_B | BPF_ABS, 0, 0, flags_offset},
        {BPF_ALU | BPF_AND | BPF_K, 0, 0, syn | ack},
        {BPF_JMP | BPF_JEQ | BPF_K, 0, 1, syn},
        {BPF_RET | BPF_K, 0, 0, 0},
        {BPF_RET | BPF_K, 0, 0, 0xFFFFFFFF},
    }};
    const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
    if (acceptor.is_open())
        (void)::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                           sizeof program);
}

// State shared by the server and its sessions. Destroyed after all threads have ended.
struct server_state
{
    server_state(http_server_options server_options, http_handler request_handler,
                 response_body_factory overload_body)
        : options(std::move(server_options)), handler(std::move(request_handler)),
          overloaded_body(std::move(overload_body)), pool(options.workers, options.queue_length),
          connections(options.max_connections)
    {
    }

    const http_server_options options;
    const http_handler handler;
    const response_body_factory overloaded_body;
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> in_flight{0};
    std::atomic<std::size_t> body_bytes{0};
    std::atomic<std::uint64_t> dropped{0};
    worker_pool pool;
    connection_registry connections;
};

// One connection. Members are used only on the strand of the socket.
class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, server_state& server)
        : socket_(std::move(socket)), timer_(socket_.get_executor()),
          hangup_timer_(socket_.get_executor()), server_(server),
          buffer_(server.options.header_limit + buffer_slack)
    {
    }

    void start();
    void post_flush();
    void post_close();
    bool draining() const { return server_.draining; }

private:
    using parser_type = http::request_parser<http::string_body>;

    enum class phase
    {
        idle,       // waits for the first byte of a request
        reading,    // receives a request
        processing, // the handler runs or the response is being written
        lingering,  // the last response is sent; discards input until the caller closes
        closed
    };

    void wait_for_request();
    void wait_readable();
    void on_readable(const error_code& ec);
    void read_ahead();
    void poll_hangup();
    void begin_request();
    void read_header();
    void on_header(const error_code& ec);
    void send_continue();
    void read_body();
    bool handle_read_error(const error_code& ec);
    void reject(int status, reason why, std::string_view message);
    void dispatch();
    void run_handler(const std::shared_ptr<exchange>& current);
    std::shared_ptr<exchange> make_exchange();
    void flush();
    void write_some();
    void on_response_sent();
    void linger();
    void discard_input();
    void close();
    void drop();
    void start_timer(milliseconds time, void (session::*expired)());
    void cancel_timer();
    void on_read_timeout();

    tcp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer hangup_timer_;
    server_state& server_;
    beast::flat_buffer buffer_;
    std::optional<parser_type> parser_;
    std::shared_ptr<in_flight_guard> in_flight_guard_;
    std::shared_ptr<body_reservation> body_reservation_;
    std::shared_ptr<exchange> exchange_;
    std::string write_buffer_;
    std::size_t write_offset_ = 0;
    std::uint64_t timer_generation_ = 0;
    phase phase_ = phase::idle;
    bool waiting_readable_ = false;
    bool hangup_poll_pending_ = false;
    bool writing_ = false;
    bool read_timed_out_ = false;
    bool rejecting_ = false;
};

// exchange

bool exchange::decide_keep_alive()
{
    if (!keep_alive || owner_->draining())
        close_after_ = true;
    return !close_after_;
}

void exchange::notify_session()
{
    owner_->post_flush();
}

void exchange::send(int status, std::string_view content_type, std::string body,
                    const std::map<std::string, std::string>& headers)
{
    {
        const std::lock_guard lock(mutex_);
        if (phase_ != phase::not_started)
            return;
        // An invalid status throws here; phase_ is then still not_started.
        response_header header = make_header(status, version, content_type, headers);
        header.keep_alive(decide_keep_alive());
        const bool bodiless = status == 204 || status == 304 || status < 200;
        if (!bodiless)
            header.content_length(body.size());
        pending_ = serialize_header(header);
        if (!bodiless && !head_only)
            pending_ += body;
        phase_ = phase::ended;
    }
    notify_session();
}

void exchange::start_stream(int status, std::string_view content_type,
                            const std::map<std::string, std::string>& headers)
{
    {
        const std::lock_guard lock(mutex_);
        if (phase_ != phase::not_started)
            return;
        response_header header = make_header(status, version, content_type, headers);
        chunked_ = version >= 11;
        if (!chunked_)
            close_after_ = true;
        header.keep_alive(decide_keep_alive());
        if (chunked_)
            header.chunked(true);
        pending_ = serialize_header(header);
        phase_ = phase::streaming;
    }
    notify_session();
}

bool exchange::write(std::string_view chunk)
{
    {
        std::unique_lock lock(mutex_);
        writable_.wait(lock, [this] { return detached_ || pending_.size() < stream_buffer_limit; });
        if (detached_ || phase_ != phase::streaming)
            return false;
        // An empty chunk would end the response.
        if (chunk.empty() || head_only)
            return true;
        const asio::const_buffer data(chunk.data(), chunk.size());
        if (chunked_)
            append_buffers(pending_, http::make_chunk(data));
        else
            pending_.append(chunk);
    }
    notify_session();
    return true;
}

void exchange::finish()
{
    {
        const std::lock_guard lock(mutex_);
        if (phase_ != phase::streaming)
            return;
        phase_ = phase::ended;
        if (chunked_ && !head_only)
            append_buffers(pending_, http::make_chunk_last());
    }
    notify_session();
}

void exchange::abort()
{
    {
        const std::lock_guard lock(mutex_);
        if (phase_ == phase::ended)
            return;
        reset_after_ = phase_ == phase::streaming && !chunked_;
        phase_ = phase::ended;
        close_after_ = true;
    }
    notify_session();
}

void exchange::connection_lost()
{
    {
        const std::lock_guard lock(mutex_);
        // Set before a write can fail: a handler decides by it why its write failed.
        *cancelled_ = true;
        detached_ = true;
        pending_.clear();
        writable_.notify_all();
    }
}

void exchange::complete_after_handler(bool threw)
{
    phase final_phase;
    {
        const std::lock_guard lock(mutex_);
        final_phase = phase_;
    }
    if (final_phase == phase::streaming)
        abort();
    if (final_phase != phase::not_started)
        return;
    send(500, "application/json",
         error_body(reason::endpoint_error, verdict::may_have_run,
                    threw ? "the request handler threw an exception"
                          : "the request handler returned without a response"),
         {});
}

// session

void session::start()
{
    auto self = shared_from_this();
    asio::post(socket_.get_executor(),
               [self]
               {
                   error_code ec;
                   self->socket_.non_blocking(true, ec);
                   self->socket_.set_option(tcp::no_delay(true), ec);
                   self->socket_.set_option(
                       asio::socket_base::send_buffer_size(socket_send_buffer_size), ec);
                   self->wait_for_request();
               });
}

void session::post_flush()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->flush(); });
}

void session::post_close()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
}

// The session waits for readability of the socket until it closes, also while a request is being
// processed, in order to detect a connection closed by the caller.
void session::wait_for_request()
{
    if (phase_ == phase::closed)
        return;
    if (buffer_.size() > 0)
    {
        begin_request();
        return;
    }
    phase_ = phase::idle;
    in_flight_guard_.reset();
    parser_.reset();
    buffer_.shrink_to_fit();
    server_.connections.mark_evictable(this);
    start_timer(server_.options.idle_timeout, &session::close);
    wait_readable();
}

void session::wait_readable()
{
    if (waiting_readable_ || phase_ == phase::closed)
        return;
    waiting_readable_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& ec)
                       {
                           self->waiting_readable_ = false;
                           self->on_readable(ec);
                       });
}

void session::on_readable(const error_code& ec)
{
    if (phase_ == phase::processing)
    {
        // After a rejected request the response is sent even if the caller has shut down its
        // sending side.
        if (!ec && !rejecting_)
            read_ahead();
        return;
    }
    if (phase_ != phase::idle)
        return;
    if (ec)
    {
        close();
        return;
    }
    char first = 0;
    error_code peek_error;
    socket_.receive(asio::buffer(&first, 1), tcp::socket::message_peek, peek_error);
    if (peek_error == asio::error::would_block)
    {
        wait_readable();
        return;
    }
    if (peek_error || !server_.connections.mark_in_use(this))
    {
        close();
        return;
    }
    begin_request();
}

// Reads what the caller sends while its request is being processed: pipelined requests or the end
// of the connection.
void session::read_ahead()
{
    while (buffer_.size() < read_ahead_limit)
    {
        error_code ec;
        const std::size_t room = read_ahead_limit - buffer_.size();
        const std::size_t count = socket_.read_some(buffer_.prepare(room), ec);
        if (ec == asio::error::would_block)
        {
            wait_readable();
            return;
        }
        if (ec)
        {
            close();
            return;
        }
        buffer_.commit(count);
    }
    poll_hangup();
}

// With a full read-ahead buffer the socket stays readable, so only poll(2) shows that the caller
// has closed the connection.
void session::poll_hangup()
{
    if (hangup_poll_pending_ || phase_ != phase::processing || buffer_.size() < read_ahead_limit)
        return;
    pollfd poll_entry{socket_.native_handle(), POLLRDHUP, 0};
    if (::poll(&poll_entry, 1, 0) > 0)
    {
        close();
        return;
    }
    hangup_poll_pending_ = true;
    hangup_timer_.expires_after(hangup_poll_interval);
    hangup_timer_.async_wait(
        [self = shared_from_this()](const error_code&)
        {
            self->hangup_poll_pending_ = false;
            self->poll_hangup();
        });
}

void session::begin_request()
{
    phase_ = phase::reading;
    read_timed_out_ = false;
    // The guard of the previous request is released after this request is counted, so that a drain
    // never sees zero between two pipelined requests.
    in_flight_guard_ = std::make_shared<in_flight_guard>(server_.in_flight);
    body_reservation_ = std::make_shared<body_reservation>(server_.body_bytes);
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(server_.options.header_limit));
    parser_->body_limit(server_.options.body_limit);
    start_timer(server_.options.read_timeout, &session::on_read_timeout);
    read_header();
}

void session::on_read_timeout()
{
    read_timed_out_ = true;
    error_code ec;
    socket_.cancel(ec);
}

void session::read_header()
{
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](const error_code& ec, std::size_t)
                            { self->on_header(ec); });
}

void session::on_header(const error_code& ec)
{
    if (handle_read_error(ec))
        return;
    const auto& message = parser_->get();
    const auto codings = message.equal_range(http::field::transfer_encoding);
    if (std::any_of(codings.first, codings.second,
                    [](const auto& coding)
                    { return !beast::iequals(coding.value(), "chunked"); }) ||
        std::distance(codings.first, codings.second) > 1)
    {
        // The end of the body is not known: what follows could be read as another request.
        reject(400, reason::bad_request, "unsupported Transfer-Encoding");
        return;
    }
    if (message.version() >= 11 && !parser_->is_done() &&
        beast::iequals(message[http::field::expect], "100-continue"))
    {
        send_continue();
        return;
    }
    read_body();
}

// The interim response is short and the socket's send buffer is nearly empty. If it does not fit,
// the caller has stopped reading; it then sends its body without the interim response or times out.
void session::send_continue()
{
    static constexpr std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code ec;
    socket_.write_some(asio::buffer(line.data(), line.size()), ec);
    read_body();
}

void session::read_body()
{
    if (!body_reservation_->grow_to(parser_->get().body().size()))
    {
        reject(503, reason::overloaded,
               "the total size of the request bodies in progress exceeds the limit");
        return;
    }
    if (parser_->is_done())
    {
        dispatch();
        return;
    }
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const error_code& ec, std::size_t)
                          {
                              if (!self->handle_read_error(ec))
                                  self->read_body();
                          });
}

// Returns false when reading may go on. Otherwise ends the connection, with an error response where
// the caller may still receive one.
bool session::handle_read_error(const error_code& ec)
{
    if (phase_ != phase::reading)
        return true;
    if (read_timed_out_)
        reject(408, reason::bad_request, "the request was not received within the read timeout");
    else if (!ec)
        return false;
    else if (ec == http::error::header_limit ||
             (ec == http::error::buffer_overflow && !parser_->is_header_done()))
        reject(431, reason::bad_request, "the request header is too large");
    else if (ec == http::error::body_limit)
        reject(413, reason::bad_request, "the request body is too large");
    else if (is_syntax_error(ec))
        reject(400, reason::bad_request, "the request is not valid HTTP");
    else
        close();
    return true;
}

void session::reject(int status, reason why, std::string_view message)
{
    ++server_.dropped;
    exchange_ = make_exchange();
    exchange_->keep_alive = false;
    phase_ = phase::processing;
    rejecting_ = true;
    cancel_timer();
    exchange_->send(status, "application/json", error_body(why, verdict::not_run, message), {});
}

std::shared_ptr<exchange> session::make_exchange()
{
    return std::make_shared<exchange>(shared_from_this(), in_flight_guard_, body_reservation_);
}

void session::dispatch()
{
    cancel_timer();
    phase_ = phase::processing;
    auto current = make_exchange();
    exchange_ = current;
    auto message = parser_->release();
    parser_.reset();
    current->version = message.version();
    current->keep_alive = message.keep_alive();
    current->head_only = message.method() == http::verb::head;
    current->request.method = std::string(message.method_string());
    current->request.target = std::string(message.target());
    for (const auto& field : message)
    {
        auto [found, added] = current->request.headers.try_emplace(
            lower_case(field.name_string()), field.value().data(), field.value().size());
        if (!added)
            found->second.append(", ").append(field.value().data(), field.value().size());
    }
    current->request.body = std::move(message.body());

    wait_readable();
    auto self = shared_from_this();
    if (!server_.pool.submit([self, current] { self->run_handler(current); }))
        current->send(503, "application/json", server_.overloaded_body(), {{"Retry-After", "1"}});
}

// Runs on a worker thread. Skips a request whose caller disconnected while it was queued.
void session::run_handler(const std::shared_ptr<exchange>& current)
{
    if (*current->cancelled())
        return;
    bool threw = false;
    try
    {
        server_.handler(current->request, *current);
    }
    catch (...)
    {
        // Errors are logged by the handler; the worker thread must go on.
        threw = true;
    }
    current->complete_after_handler(threw);
}

// Writes the pending bytes of the current exchange, one write at a time.
void session::flush()
{
    if (writing_ || phase_ != phase::processing || !exchange_)
        return;
    bool ended = false;
    {
        const std::lock_guard lock(exchange_->mutex_);
        write_buffer_.clear();
        write_buffer_.swap(exchange_->pending_);
        ended = exchange_->phase_ == exchange::phase::ended;
        exchange_->writable_.notify_all();
    }
    if (write_buffer_.empty())
    {
        if (ended)
            on_response_sent();
        return;
    }
    writing_ = true;
    write_offset_ = 0;
    write_some();
}

// The timer is restarted whenever the socket accepts bytes, so only a caller that reads nothing at
// all is dropped.
void session::write_some()
{
    start_timer(server_.options.write_timeout, &session::drop);
    socket_.async_write_some(
        asio::buffer(write_buffer_.data() + write_offset_, write_buffer_.size() - write_offset_),
        [self = shared_from_this()](const error_code& ec, std::size_t count)
        {
            if (self->phase_ == phase::closed)
                return;
            if (ec)
            {
                self->close();
                return;
            }
            self->write_offset_ += count;
            if (self->write_offset_ < self->write_buffer_.size())
            {
                self->write_some();
                return;
            }
            self->writing_ = false;
            self->cancel_timer();
            self->flush();
        });
}

void session::on_response_sent()
{
    auto completed = std::move(exchange_);
    exchange_.reset();
    body_reservation_.reset();
    std::string().swap(write_buffer_);
    hangup_timer_.cancel();
    bool close_after = false;
    bool reset_after = false;
    {
        const std::lock_guard lock(completed->mutex_);
        close_after = completed->close_after_;
        reset_after = completed->reset_after_;
        completed->detached_ = true; // late calls of the handler have no effect
    }
    // The exchange held by the worker keeps the request counted until the handler returns.
    if (!close_after)
    {
        wait_for_request();
        return;
    }
    in_flight_guard_.reset();
    if (reset_after)
    {
        error_code ec;
        socket_.set_option(asio::socket_base::linger(true, 0), ec);
        close();
        return;
    }
    linger();
}

void session::linger()
{
    phase_ = phase::lingering;
    parser_.reset();
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    if (ec)
    {
        close();
        return;
    }
    buffer_.clear();
    server_.connections.mark_evictable(this);
    start_timer(linger_time, &session::close);
    discard_input();
}

void session::discard_input()
{
    buffer_.clear();
    socket_.async_read_some(buffer_.prepare(read_ahead_limit),
                            [self = shared_from_this()](const error_code& ec, std::size_t)
                            {
                                if (self->phase_ != phase::lingering)
                                    return;
                                if (ec)
                                    self->close();
                                else
                                    self->discard_input();
                            });
}

void session::close()
{
    if (phase_ == phase::closed)
        return;
    phase_ = phase::closed;
    cancel_timer();
    hangup_timer_.cancel();
    error_code ec;
    socket_.close(ec);
    if (exchange_)
        exchange_->connection_lost();
    exchange_.reset();
    body_reservation_.reset();
    in_flight_guard_.reset();
    server_.connections.remove(this);
}

void session::drop()
{
    ++server_.dropped;
    close();
}

void session::start_timer(milliseconds time, void (session::*expired)())
{
    const std::uint64_t generation = ++timer_generation_;
    timer_.expires_after(time);
    timer_.async_wait(
        [self = shared_from_this(), generation, expired](const error_code& ec)
        {
            // A wait that expired just before it was replaced still completes without an error.
            if (!ec && generation == self->timer_generation_)
                (self.get()->*expired)();
        });
}

void session::cancel_timer()
{
    ++timer_generation_;
    timer_.cancel();
}

} // namespace

std::string_view http_request::header(std::string_view name) const
{
    const auto found = headers.find(std::string(name));
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

class http_server::impl
{
public:
    impl(http_server_options options, http_handler handler, response_body_factory overloaded_body)
        : state_(std::move(options), std::move(handler), std::move(overloaded_body)),
          work_(asio::make_work_guard(io_)), acceptor_(asio::make_strand(io_)),
          accept_timer_(acceptor_.get_executor())
    {
    }

    void start();
    void stop_accepting();
    void stop();

    server_state& state() { return state_; }
    std::uint16_t port() const { return port_; }

private:
    void accept();
    void on_accept(const error_code& ec, tcp::socket socket);
    void run_io();

    // Destroyed last: sessions still held by the I/O context refer to it.
    server_state state_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    std::vector<std::thread> threads_;
    std::uint16_t port_ = 0;
};

void http_server::impl::start()
{
    try
    {
        const tcp::endpoint endpoint(asio::ip::make_address(state_.options.address),
                                     state_.options.port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen(asio::socket_base::max_listen_connections);
        port_ = acceptor_.local_endpoint().port();
    }
    catch (const boost::system::system_error& e)
    {
        // boost::system::system_error is not derived from std::system_error.
        throw std::system_error(e.code(), e.what());
    }
    asio::post(acceptor_.get_executor(), [this] { accept(); });
    for (std::size_t i = 0; i < std::max<std::size_t>(state_.options.io_threads, 1); ++i)
        threads_.emplace_back([this] { run_io(); });
}

void http_server::impl::run_io()
{
    for (;;)
    {
        try
        {
            io_.run();
            return;
        }
        catch (const std::exception&)
        {
            // Only memory exhaustion leads here. The affected connection is closed by its timer;
            // the others continue.
        }
    }
}

void http_server::impl::accept()
{
    if (!acceptor_.is_open())
        return;
    acceptor_.async_accept(asio::make_strand(io_), [this](const error_code& ec, tcp::socket socket)
                           { on_accept(ec, std::move(socket)); });
}

void http_server::impl::on_accept(const error_code& ec, tcp::socket socket)
{
    if (!acceptor_.is_open())
        return;
    if (ec && ec != asio::error::connection_aborted)
    {
        // Without the delay, a process out of file descriptors would retry in a busy loop.
        accept_timer_.expires_after(accept_retry_interval);
        accept_timer_.async_wait(
            [this](const error_code& wait_error)
            {
                if (!wait_error)
                    accept();
            });
        return;
    }
    if (!ec)
    {
        auto added = std::make_shared<session>(std::move(socket), state_);
        auto admitted = state_.connections.add(added);
        if (!admitted.accepted || admitted.evicted)
            ++state_.dropped;
        if (admitted.evicted)
            admitted.evicted->post_close();
        if (admitted.accepted)
            added->start();
    }
    accept();
}

void http_server::impl::stop_accepting()
{
    asio::post(acceptor_.get_executor(), [this] { drop_connection_requests(acceptor_); });
}

void http_server::impl::stop()
{
    if (threads_.empty())
        return;
    asio::post(acceptor_.get_executor(),
               [this]
               {
                   error_code ec;
                   acceptor_.close(ec);
                   accept_timer_.cancel();
               });
    for (const auto& open : state_.connections.close())
        open->post_close();
    state_.connections.wait_empty(stop_timeout);
    state_.pool.stop();
    work_.reset();
    io_.stop();
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
    state_.connections.clear();
}

http_server::http_server(http_server_options options, http_handler handler,
                         response_body_factory overloaded_body)
    : impl_(std::make_unique<impl>(std::move(options), std::move(handler),
                                   std::move(overloaded_body)))
{
}

http_server::~http_server()
{
    impl_->stop();
}

void http_server::start()
{
    impl_->start();
}

std::uint16_t http_server::port() const
{
    return impl_->port();
}

void http_server::begin_drain()
{
    impl_->state().draining = true;
}

void http_server::stop_accepting()
{
    impl_->stop_accepting();
}

std::size_t http_server::in_flight() const
{
    return impl_->state().in_flight;
}

std::uint64_t http_server::dropped_connections() const
{
    return impl_->state().dropped;
}

void http_server::stop()
{
    impl_->stop();
}

} // namespace zinnianotch
