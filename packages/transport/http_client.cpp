#include "transport/http_client.h"

#include <cpprest/http_client.h>

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

// Interval at which the flags of all calls in progress are looked at. A cancelled call ends within
// this time; one thread does it for the whole process.
constexpr milliseconds cancel_poll_interval{20};

// Bound that cpprestsdk puts on a connection without progress. The calls' own timeouts are shorter
// (no request outlives 60 s); this one ends calls that were given up while they were connecting.
constexpr std::chrono::seconds library_timeout{120};

// Largest body of an answer, and largest line of a streamed one. An endpoint that sends more is at
// fault and must not exhaust the VM's memory.
constexpr std::size_t answer_limit = 16 * 1024 * 1024;
constexpr std::size_t line_limit = 1024 * 1024;

// What a calling thread waits for: the end of a step, its deadline, or the cancel flag.
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

// Watches the cancel flags of all calls in progress with one thread, which sleeps while there is
// none. A flag is a plain atomic that its setter doesn't announce, so it has to be polled.
class cancel_watcher
{
public:
    static cancel_watcher& instance()
    {
        static cancel_watcher watcher;
        return watcher;
    }

    cancel_watcher(const cancel_watcher&) = delete;
    cancel_watcher& operator=(const cancel_watcher&) = delete;

    // Registers a call for as long as the object lives.
    class registration
    {
    public:
        registration(const cancel_flag& flag, const std::shared_ptr<call_signal>& signal)
            : active_(flag != nullptr)
        {
            if (active_)
                place_ = instance().add(flag, signal);
        }
        ~registration()
        {
            if (active_)
                instance().remove(place_);
        }
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

    private:
        bool active_;
        std::list<std::pair<cancel_flag, std::shared_ptr<call_signal>>>::iterator place_;
    };

private:
    using entry_list = std::list<std::pair<cancel_flag, std::shared_ptr<call_signal>>>;

    cancel_watcher() : thread_([this] { run(); }) {}

    ~cancel_watcher()
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

    void remove(entry_list::iterator place)
    {
        const std::lock_guard lock(mutex_);
        entries_.erase(place);
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

// Outcome of one asynchronous step, filled in by cpprestsdk's pool.
template <typename T>
struct step_state
{
    std::optional<T> value;
    std::exception_ptr error;
    bool done = false;
};

// Error of a step that its caller gave up.
enum class gave_up
{
    no,
    timeout,
    cancelled
};

// Waits for a task without blocking the library's pool. The continuation observes the task's
// exception even when nobody waits any more; cpprestsdk ends the process for an unobserved one.
template <typename T>
gave_up await(const pplx::task<T>& task, const std::shared_ptr<call_signal>& signal,
              time_point deadline, step_state<T>& out)
{
    auto state = std::make_shared<step_state<T>>();
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
        return gave_up::no;
    }
    return signal->cancelled ? gave_up::cancelled : gave_up::timeout;
}

// Text with which cpprestsdk reports that no connection could be opened. Its error code doesn't
// tell: it reports a refused connection and a broken pipe while sending as the same code.
bool is_connect_error(std::string_view text)
{
    return text.starts_with("Failed to connect to any resolved endpoint") ||
           text.starts_with("Error resolving address");
}

// Maps an error of the library. Everything but a failed connect may have reached the endpoint.
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
        return may_have_run(reason::connection_broken, "unknown error of the HTTP client");
    }
}

failure to_failure(gave_up why)
{
    if (why == gave_up::cancelled)
        return may_have_run(reason::cancelled);
    return may_have_run(reason::silent_connection, "no answer within the timeout");
}

client::http_client_config make_config()
{
    client::http_client_config out;
    out.set_timeout(library_timeout);
    // A redirected request would run at an address that no configuration names.
    out.set_max_redirects(0);
    out.set_proxy(web::web_proxy(web::web_proxy::disabled));
    return out;
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

// One call in progress. Unless it has been completed, its end closes the connection, so that no
// later call receives an answer that is still outstanding.
class call
{
public:
    call(std::shared_ptr<client::http_client> inner, const cancel_flag& cancelled,
         time_point deadline)
        : inner_(std::move(inner)), cancelled_(cancelled), deadline_(deadline),
          registration_(cancelled, signal_)
    {
    }
    ~call()
    {
        if (!complete_)
            source_.cancel();
    }
    call(const call&) = delete;
    call& operator=(const call&) = delete;

    // Sends the request and waits for the header of the answer.
    result<client_reply> open(const client_request& request, time_point until)
    {
        if (cancelled_ && *cancelled_)
            return not_run(reason::cancelled);
        if (steady_clock::now() >= deadline_)
            return not_run(reason::silent_connection, "no time was left to send the request");
        if (!inner_)
            return not_run(reason::connect_failed, "the base address is not valid");
        web::http::http_request message;
        try
        {
            message = make_message(request);
        }
        catch (const std::exception& e)
        {
            return not_run(reason::bad_request, e.what());
        }
        step_state<web::http::http_response> step;
        if (auto error = wait(start(message), until, step))
            return *error;
        response_ = *step.value;
        client_reply out;
        out.status = response_.status_code();
        for (const auto& [name, value] : response_.headers())
            out.headers[lower_case(name)] = value;
        return out;
    }

    // Appends what has arrived of the body, at least a byte; false at its end.
    result<bool> read(std::string& out, time_point until)
    {
        auto buffer = response_.body().streambuf();
        step_state<int> step;
        // Reading one byte first returns as soon as there is any; a longer read waits until the
        // whole length has arrived.
        if (auto error = wait(buffer.bumpc(), until, step))
            return *error;
        if (*step.value == std::char_traits<char>::eof())
            return end_of_body(until);
        out.push_back(static_cast<char>(*step.value));
        const std::size_t available = std::min(buffer.in_avail(), answer_limit + 1);
        if (available == 0)
            return true;
        // The task may outlive this call when the call is given up, so it owns its target.
        auto piece = std::make_shared<std::string>(available, '\0');
        auto* target = reinterpret_cast<unsigned char*>(piece->data());
        const auto filled =
            buffer.getn(target, available).then([piece](std::size_t count) { return count; });
        step_state<std::size_t> rest;
        if (auto error = wait(filled, until, rest))
            return *error;
        out.append(*piece, 0, *rest.value);
        return true;
    }

    time_point deadline() const { return deadline_; }

private:
    pplx::task<web::http::http_response> start(const web::http::http_request& message)
    {
        return inner_->request(message, source_.get_token());
    }

    template <typename T>
    std::optional<failure> wait(const pplx::task<T>& task, time_point until, step_state<T>& step)
    {
        const gave_up why = await(task, signal_, std::min(until, deadline_), step);
        if (why != gave_up::no)
            return to_failure(why);
        if (step.error)
            return to_failure(step.error);
        return std::nullopt;
    }

    // The body buffer also ends when the connection breaks; only the library's own completion
    // says that the body is whole.
    result<bool> end_of_body(time_point until)
    {
        step_state<web::http::http_response> step;
        if (auto error = wait(response_.content_ready(), until, step))
            return *error;
        complete_ = true;
        return false;
    }

    std::shared_ptr<client::http_client> inner_;
    cancel_flag cancelled_;
    time_point deadline_;
    std::shared_ptr<call_signal> signal_ = std::make_shared<call_signal>();
    cancel_watcher::registration registration_;
    pplx::cancellation_token_source source_;
    web::http::http_response response_;
    bool complete_ = false;
};

// Reads the whole body of an answer into the reply.
result<client_reply> read_all(call& current, client_reply reply, milliseconds silence)
{
    for (;;)
    {
        BOOST_OUTCOME_TRY(more, current.read(reply.body, steady_clock::now() + silence));
        if (!more)
            return reply;
        if (reply.body.size() > answer_limit)
            return may_have_run(reason::endpoint_error, "the answer is too large");
    }
}

// Hands out the whole lines at the front of the text and removes them; false when the handler
// wants no more.
bool hand_out_lines(std::string& text, const line_handler& on_line)
{
    std::size_t begin = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin))
    {
        std::string_view line(text.data() + begin, end - begin);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        begin = end + 1;
        if (!line.empty() && !on_line(line))
            return false;
    }
    text.erase(0, begin);
    return true;
}

} // namespace

class http_client::impl
{
public:
    explicit impl(std::string base_url) : base_url_(std::move(base_url)), pooled_(make_inner()) {}

    std::shared_ptr<client::http_client> pooled() const
    {
        const std::lock_guard lock(mutex_);
        return pooled_;
    }

    // Null when the base address is not valid.
    std::shared_ptr<client::http_client> make_inner() const
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
        auto fresh = make_inner();
        const std::lock_guard lock(mutex_);
        pooled_.swap(fresh);
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
    BOOST_OUTCOME_TRY(reply, current.open(request, current.deadline()));
    return read_all(current, std::move(reply), timeout);
}

result<client_reply> http_client::send_once(const client_request& request, milliseconds timeout,
                                            const cancel_flag& cancelled)
{
    // The connection is closed with its client. A "Connection: close" header can't say so to the
    // endpoint, because cpprestsdk always adds "Connection: Keep-Alive".
    call current(impl_->make_inner(), cancelled, steady_clock::now() + timeout);
    BOOST_OUTCOME_TRY(reply, current.open(request, current.deadline()));
    return read_all(current, std::move(reply), timeout);
}

result<client_reply> http_client::stream(const client_request& request, milliseconds silence,
                                         milliseconds timeout, const line_handler& on_line,
                                         const cancel_flag& cancelled)
{
    call current(impl_->pooled(), cancelled, steady_clock::now() + timeout);
    BOOST_OUTCOME_TRY(reply, current.open(request, steady_clock::now() + silence));
    if (reply.status != 200)
        return read_all(current, std::move(reply), silence);
    std::string text;
    for (;;)
    {
        BOOST_OUTCOME_TRY(more, current.read(text, steady_clock::now() + silence));
        if (!more)
            break;
        if (!hand_out_lines(text, on_line))
            return std::move(reply);
        if (text.size() > line_limit)
            return may_have_run(reason::endpoint_error, "a line of the answer is too long");
    }
    // The last line may lack its line break.
    text.push_back('\n');
    hand_out_lines(text, on_line);
    return std::move(reply);
}

void http_client::reset_connections()
{
    impl_->reset();
}

} // namespace zinnianotch
