#include "transport/http_client.h"

#include "transport/upstream.h"

#include <cpprest/http_client.h>

#include <boost/asio/connect.hpp>

#include <algorithm>
#include <condition_variable>
#include <list>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace zinnianotch
{

namespace
{

namespace client = web::http::client;

// Interval at which one thread polls the cancel flags of all calls in progress. A cancelled call
// ends within this time.
constexpr milliseconds cancel_poll_interval{20};

// cpprestsdk's timeout for a connection without progress. The timeouts of the calls are shorter (no
// request takes longer than 60 s); this one ends calls that were abandoned while connecting.
constexpr std::chrono::seconds library_timeout{120};

// Maximum size of a response body, and of a line of a streamed response. They keep a faulty
// endpoint from exhausting the VM's memory.
constexpr std::size_t max_body_bytes = 16 * 1024 * 1024;
constexpr std::size_t max_line_bytes = 1024 * 1024;

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

// Outcome of an asynchronous task, set by a thread of cpprestsdk's pool.
template <typename T>
struct task_outcome
{
    std::optional<T> value;
    std::exception_ptr error;
    bool done = false;
};

// How waiting for a task ended.
enum class wait_status
{
    completed,
    timeout,
    cancelled
};

// Waits for a task without blocking the library's pool. The continuation observes the exception of
// the task even after the wait was abandoned, because pplx terminates the process otherwise.
template <typename T>
wait_status await(const pplx::task<T>& task, const std::shared_ptr<call_signal>& signal,
                  time_point deadline, task_outcome<T>& out)
{
    auto state = std::make_shared<task_outcome<T>>();
    task.then(
        [state, signal](const pplx::task<T>& finished)
        {
            std::optional<T> value;
            std::exception_ptr error;
            try
            {
                value = finished.get();
            }
            catch (...)
            {
                error = std::current_exception();
            }
            const std::lock_guard lock(signal->mutex);
            state->value = std::move(value);
            state->error = error;
            state->done = true;
            signal->changed.notify_all();
        });
    std::unique_lock lock(signal->mutex);
    signal->changed.wait_until(lock, deadline, [&] { return state->done || signal->cancelled; });
    if (state->done)
    {
        out = std::move(*state);
        return wait_status::completed;
    }
    return signal->cancelled ? wait_status::cancelled : wait_status::timeout;
}

// Recognizes a failure to open a connection by cpprestsdk's error text. Its error code is the same
// for a refused connection and for a broken pipe while sending.
bool is_connect_error(std::string_view text)
{
    return text.starts_with("Failed to connect to any resolved endpoint") ||
           text.starts_with("Error resolving address");
}

// Converts an exception of the library. Unless connecting failed, the request may have reached the
// endpoint.
failure to_failure(const std::exception_ptr& error)
{
    try
    {
        std::rethrow_exception(error);
    }
    catch (const web::http::http_exception& e)
    {
        if (is_connect_error(e.what()))
            return not_run(reason::connect_failed, e.what());
        if (e.error_code() == std::errc::timed_out)
            return may_have_run(reason::silent_connection, e.what());
        return may_have_run(reason::connection_broken, e.what());
    }
    catch (const std::exception& e)
    {
        return may_have_run(reason::connection_broken, e.what());
    }
    catch (...)
    {
        return may_have_run(reason::connection_broken, "unknown error in the HTTP client");
    }
}

failure to_failure(wait_status status)
{
    if (status == wait_status::cancelled)
        return may_have_run(reason::cancelled);
    return may_have_run(reason::silent_connection, "no response within the timeout");
}

client::http_client_config make_config()
{
    client::http_client_config out;
    out.set_timeout(library_timeout);
    // A redirect could lead to an address that is not in the configuration.
    out.set_max_redirects(0);
    out.set_proxy(web::web_proxy(web::web_proxy::disabled));
    return out;
}

// True if only the end of its connection ends the response.
bool is_close_delimited(const web::http::http_response& response)
{
    const web::http::http_headers& headers = response.headers();
    return !headers.has(web::http::header_names::content_length) &&
           !headers.has(web::http::header_names::transfer_encoding) &&
           response.status_code() != web::http::status_codes::NoContent &&
           response.status_code() != web::http::status_codes::NotModified;
}

// True if the server accepts a connection within the timeout.
bool accepts_connections(const web::uri& server, milliseconds timeout)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context io;
    boost::system::error_code error;
    tcp::resolver resolver(io);
    const auto addresses = resolver.resolve(server.host(), std::to_string(server.port()), error);
    if (error)
        return false;
    tcp::socket socket(io);
    bool connected = false;
    boost::asio::async_connect(socket, addresses,
                               [&](const boost::system::error_code& failed, const tcp::endpoint&)
                               { connected = !failed; });
    io.run_for(timeout);
    return connected;
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

web::http::http_request make_message(const client_request& request)
{
    web::http::http_request out(request.method);
    out.set_request_uri(web::uri(request.path));
    for (const auto& [name, value] : request.headers)
        out.headers().add(name, value);
    if (!request.body.empty())
        out.set_body(request.body, request.content_type);
    return out;
}

// One call in progress. The destructor closes the connection unless the response was read
// completely, so that no later call on the connection receives the rest of this response.
class call
{
public:
    call(std::shared_ptr<client::http_client> library_client, const cancel_flag& cancelled,
         time_point deadline)
        : library_client_(std::move(library_client)), cancelled_(cancelled), deadline_(deadline),
          registration_(cancelled, signal_)
    {
    }
    ~call()
    {
        if (!complete_)
            cancellation_.cancel();
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
        if (!library_client_)
            return not_run(reason::connect_failed, "invalid base URL");
        web::http::http_request message;
        try
        {
            message = make_message(request);
        }
        catch (const std::exception& e)
        {
            return not_run(reason::bad_request, e.what());
        }
        task_outcome<web::http::http_response> outcome;
        if (auto error = wait(start(message), until, outcome))
            return *error;
        response_ = *outcome.value;
        client_reply out;
        out.status = response_.status_code();
        for (const auto& [name, value] : response_.headers())
            out.headers[lower_case(name)] = value;
        return out;
    }

    // Appends the bytes of the body that have arrived, at least one; false at the end of the body.
    result<bool> read_some(std::string& out, time_point until)
    {
        auto buffer = response_.body().streambuf();
        task_outcome<int> outcome;
        // Read a single byte first: a longer read would wait until its whole length has arrived.
        if (auto error = wait(buffer.bumpc(), until, outcome))
            return *error;
        if (*outcome.value == std::char_traits<char>::eof())
            return confirm_complete(until);
        out.push_back(static_cast<char>(*outcome.value));
        const std::size_t available = std::min(buffer.in_avail(), max_body_bytes + 1);
        if (available == 0)
            return true;
        // The task may outlive an abandoned call, so it shares ownership of its buffer.
        auto chunk = std::make_shared<std::string>(available, '\0');
        auto* chunk_data = reinterpret_cast<unsigned char*>(chunk->data());
        const auto filled =
            buffer.getn(chunk_data, available).then([chunk](std::size_t count) { return count; });
        task_outcome<std::size_t> rest;
        if (auto error = wait(filled, until, rest))
            return *error;
        out.append(*chunk, 0, *rest.value);
        return true;
    }

    time_point deadline() const { return deadline_; }

private:
    pplx::task<web::http::http_response> start(const web::http::http_request& message)
    {
        return library_client_->request(message, cancellation_.get_token());
    }

    template <typename T>
    std::optional<failure> wait(const pplx::task<T>& task, time_point until,
                                task_outcome<T>& outcome)
    {
        const wait_status status = await(task, signal_, std::min(until, deadline_), outcome);
        if (status != wait_status::completed)
            return to_failure(status);
        if (outcome.error)
            return to_failure(outcome.error);
        return std::nullopt;
    }

    // The body buffer also ends when the connection breaks; only the library's content_ready()
    // tells whether the body is complete. For a body without a length it can't tell either: the
    // connection also ends when the server crashes, which then accepts no connections.
    result<bool> confirm_complete(time_point until)
    {
        task_outcome<web::http::http_response> outcome;
        if (auto error = wait(response_.content_ready(), until, outcome))
            return *error;
        const auto left = std::chrono::duration_cast<milliseconds>(std::min(until, deadline_) -
                                                                   steady_clock::now());
        if (is_close_delimited(response_) &&
            !accepts_connections(library_client_->base_uri(),
                                 std::min(left, upstream_connect_timeout)))
            return may_have_run(reason::connection_broken,
                                "the server went away as it ended a response without a length");
        complete_ = true;
        return false;
    }

    std::shared_ptr<client::http_client> library_client_;
    cancel_flag cancelled_;
    time_point deadline_;
    std::shared_ptr<call_signal> signal_ = std::make_shared<call_signal>();
    cancel_poller::registration registration_;
    pplx::cancellation_token_source cancellation_;
    web::http::http_response response_;
    bool complete_ = false;
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
    explicit impl(std::string base_url)
        : base_url_(std::move(base_url)), pooled_(make_library_client())
    {
    }

    std::shared_ptr<client::http_client> pooled() const
    {
        const std::lock_guard lock(mutex_);
        return pooled_;
    }

    // Null if the base URL is invalid.
    std::shared_ptr<client::http_client> make_library_client() const
    {
        try
        {
            return std::make_shared<client::http_client>(web::uri(base_url_), make_config());
        }
        catch (const std::exception&)
        {
            return nullptr;
        }
    }

    void reset()
    {
        auto new_client = make_library_client();
        const std::lock_guard lock(mutex_);
        pooled_.swap(new_client);
    }

private:
    const std::string base_url_;
    mutable std::mutex mutex_;
    std::shared_ptr<client::http_client> pooled_;
};

http_client::http_client(std::string base_url) : impl_(std::make_unique<impl>(std::move(base_url)))
{
}

http_client::~http_client() = default;

result<client_reply> http_client::send(const client_request& request, milliseconds timeout,
                                       const cancel_flag& cancelled)
{
    call current(impl_->pooled(), cancelled, steady_clock::now() + timeout);
    BOOST_OUTCOME_TRY(reply, current.send(request, current.deadline()));
    return read_body(current, std::move(reply), timeout);
}

result<client_reply> http_client::send_once(const client_request& request, milliseconds timeout,
                                            const cancel_flag& cancelled)
{
    // The connection is closed when its client is destroyed. The endpoint can't be told so by a
    // "Connection: close" header, because cpprestsdk always adds "Connection: Keep-Alive".
    call current(impl_->make_library_client(), cancelled, steady_clock::now() + timeout);
    BOOST_OUTCOME_TRY(reply, current.send(request, current.deadline()));
    return read_body(current, std::move(reply), timeout);
}

result<client_reply> http_client::stream(const client_request& request, milliseconds idle_timeout,
                                         milliseconds timeout, const line_handler& on_line,
                                         const cancel_flag& cancelled)
{
    call current(impl_->pooled(), cancelled, steady_clock::now() + timeout);
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
