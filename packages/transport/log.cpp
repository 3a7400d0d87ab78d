#include "transport/log.h"

#include "state/enum_names.h"
#include "transport/request_log_buffer.h"

#include <easylogging++.h>

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 4> level_names = {"debug", "info", "warning", "error"};

constexpr const char* default_sink = "DefaultLogDispatchCallback";
constexpr const char* stream_sink = "stream_callback";

std::atomic<log_level> current_min_level{log_level::info};
std::atomic<int> output_fd{STDERR_FILENO};

// Limits the number of lines in windows of one second and counts the suppressed ones.
class line_rate_limiter
{
public:
    void set_limit(std::uint32_t lines_per_second) { max_lines_per_window_ = lines_per_second; }

    // False once the limit for the current window is reached. On success, `suppressed` is set to
    // the number of lines suppressed since the last one that was written.
    bool try_acquire(std::chrono::steady_clock::time_point now, std::uint64_t& suppressed)
    {
        const std::lock_guard lock(mutex_);
        if (now - window_start_ >= std::chrono::seconds(1))
        {
            window_start_ = now;
            lines_in_window_ = 0;
        }
        if (max_lines_per_window_ != unlimited_log_lines &&
            lines_in_window_ >= max_lines_per_window_)
        {
            ++suppressed_;
            return false;
        }
        ++lines_in_window_;
        suppressed = std::exchange(suppressed_, 0);
        return true;
    }

private:
    std::mutex mutex_;
    std::atomic<std::uint32_t> max_lines_per_window_{unlimited_log_lines};
    std::uint32_t lines_in_window_ = 0;
    std::uint64_t suppressed_ = 0;
    std::chrono::steady_clock::time_point window_start_{};
};

line_rate_limiter& rate_limiter()
{
    static line_rate_limiter instance;
    return instance;
}

request_log_buffer& request_log()
{
    static request_log_buffer instance(0);
    return instance;
}

// Value of the field `request`; empty if there is none.
std::string_view request_field(std::initializer_list<log_field> fields)
{
    for (const auto& [key, value] : fields)
    {
        if (key == "request")
            return value;
    }
    return {};
}

std::mutex vm_name_mutex;
std::string& vm_name()
{
    static std::string name;
    return name;
}

// Writes the message unchanged and skips it if the write would block. easylogging++ holds a lock
// during the call, so lines are written one at a time.
class stream_callback : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData* data) override
    {
        if (!writable())
        {
            ++lost_lines_;
            return;
        }
        std::string line = data->logMessage()->message();
        if (lost_lines_ > 0)
            line += " lost_lines=" + std::to_string(std::exchange(lost_lines_, 0));
        line += '\n';
        std::string_view rest = line;
        while (!rest.empty())
        {
            const ssize_t count = ::write(output_fd, rest.data(), rest.size());
            if (count < 0 && errno == EINTR)
                continue;
            if (count <= 0)
                return;
            rest.remove_prefix(static_cast<std::size_t>(count));
        }
    }

private:
    // False while the pipe is full because its reader has stalled. A blocking write would stop
    // every thread that logs; instead, lost lines are counted and the next line reports their
    // number.
    static bool writable()
    {
        pollfd poll_entry{output_fd, POLLOUT, 0};
        return ::poll(&poll_entry, 1, 0) != 0;
    }

    std::uint64_t lost_lines_ = 0;
};

// Makes the configured stream the only output. The VMs have no disk, so no log file is opened.
void install_sink()
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::setDefaultConfigurations(settings, true);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(default_sink);
    el::Helpers::installLogDispatchCallback<stream_callback>(stream_sink);
}

// UTC time with milliseconds, as in 2026-01-31T09:30:00.125Z.
std::string utc_now()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const std::time_t seconds = since_epoch / 1000;
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    const std::size_t size = std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(since_epoch % 1000));
    return std::string(date.data(), size) + fraction.data();
}

bool is_control(char c)
{
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

bool needs_quotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char c : value)
    {
        if (is_control(c) || c == ' ' || c == '"' || c == '=' || c == '\\')
            return true;
    }
    return false;
}

// Appends the value. Quoting and escaping keep it on one line and mark its end.
void append_value(std::string& out, std::string_view value)
{
    if (!needs_quotes(value))
    {
        out += value;
        return;
    }
    out += '"';
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
            (out += '\\') += c;
        else if (c == '\n')
            out += "\\n";
        else if (is_control(c))
        {
            std::array<char, 8> escape{};
            std::snprintf(escape.data(), escape.size(), "\\x%02x",
                          static_cast<unsigned>(static_cast<unsigned char>(c)));
            out += escape.data();
        }
        else
            out += c;
    }
    out += '"';
}

void append_pair(std::string& out, std::string_view key, std::string_view value)
{
    if (!out.empty())
        out += ' ';
    out += key;
    out += '=';
    append_value(out, value);
}

void dispatch(log_level level, const std::string& line)
{
    switch (level)
    {
    case log_level::debug:
        LOG(DEBUG) << line;
        return;
    case log_level::info:
        LOG(INFO) << line;
        return;
    case log_level::warning:
        LOG(WARNING) << line;
        return;
    case log_level::error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace

std::string_view to_string(log_level value)
{
    return name_of(level_names, value);
}

bool from_string(std::string_view name, log_level& out)
{
    return value_of(level_names, name, out);
}

void configure_log(log_level min_level, std::string vm, log_stream stream,
                   std::uint32_t lines_per_second)
{
    current_min_level = min_level;
    output_fd = stream == log_stream::standard_output ? STDOUT_FILENO : STDERR_FILENO;
    rate_limiter().set_limit(lines_per_second);
    const std::lock_guard lock(vm_name_mutex);
    vm_name() = std::move(vm);
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < current_min_level)
        return;
    std::uint64_t suppressed = 0;
    const bool within_rate =
        rate_limiter().try_acquire(std::chrono::steady_clock::now(), suppressed);
    const std::string_view request = request_field(fields);
    const bool retained = !request.empty() && request_log().enabled();
    if (!within_rate && !retained)
        return;
    static std::once_flag installed;
    std::call_once(installed, install_sink);
    std::string line;
    append_pair(line, "time", utc_now());
    append_pair(line, "level", to_string(level));
    {
        const std::lock_guard lock(vm_name_mutex);
        append_pair(line, "vm", vm_name());
    }
    append_pair(line, "event", event);
    for (const auto& [key, value] : fields)
        append_pair(line, key, value);
    if (retained)
        request_log().append(request, line);
    if (!within_rate)
        return;
    if (suppressed > 0)
        append_pair(line, "suppressed_lines", std::to_string(suppressed));
    dispatch(level, line);
}

void set_request_log_limit(std::size_t max_bytes)
{
    request_log().set_limit(max_bytes);
}

std::vector<std::string> request_log_lines(std::string_view request)
{
    return request_log().find(request);
}

} // namespace zinnianotch
