#include "transport/log.h"

#include "state/enum_names.h"
#include "transport/request_trail.h"

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

std::atomic<log_level> least_level{log_level::info};
std::atomic<int> descriptor{STDERR_FILENO};

// Lets a number of lines through in each second and counts the others.
class line_limiter
{
public:
    void set_limit(std::uint32_t lines) { limit_ = lines; }

    // False when this second's lines are used up. `suppressed` takes the count of the lines that
    // were held back before this one.
    bool try_pass(std::chrono::steady_clock::time_point now, std::uint64_t& suppressed)
    {
        const std::lock_guard lock(mutex_);
        if (now - second_began_ >= std::chrono::seconds(1))
        {
            second_began_ = now;
            lines_ = 0;
        }
        if (limit_ != unlimited_lines && lines_ >= limit_)
        {
            ++suppressed_;
            return false;
        }
        ++lines_;
        suppressed = std::exchange(suppressed_, 0);
        return true;
    }

private:
    std::mutex mutex_;
    std::atomic<std::uint32_t> limit_{unlimited_lines};
    std::uint32_t lines_ = 0;
    std::uint64_t suppressed_ = 0;
    std::chrono::steady_clock::time_point second_began_{};
};

line_limiter& limiter()
{
    static line_limiter instance;
    return instance;
}

request_trail& trail()
{
    static request_trail instance(0);
    return instance;
}

// Value of the field `request`; empty when there is none.
std::string_view request_of(std::initializer_list<log_field> fields)
{
    for (const auto& [key, value] : fields)
    {
        if (key == "request")
            return value;
    }
    return {};
}

std::mutex vm_mutex;
std::string& vm_name()
{
    static std::string name;
    return name;
}

// Writes the message as it is and never blocks. easylogging++ calls it under its lock, so one line
// is written at a time.
class stream_callback : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData* data) override
    {
        if (!writable())
        {
            ++lost_;
            return;
        }
        std::string line = data->logMessage()->message();
        if (lost_ > 0)
            line += " lost_lines=" + std::to_string(std::exchange(lost_, 0));
        line += '\n';
        std::string_view rest = line;
        while (!rest.empty())
        {
            const ssize_t count = ::write(descriptor, rest.data(), rest.size());
            if (count < 0 && errno == EINTR)
                continue;
            if (count <= 0)
                return;
            rest.remove_prefix(static_cast<std::size_t>(count));
        }
    }

private:
    // False while the reader of the stream is stuck and its pipe is full. Blocking there would
    // stop every thread that logs; the lines are counted instead and the next one says how many
    // were lost.
    static bool writable()
    {
        pollfd polled{descriptor, POLLOUT, 0};
        return ::poll(&polled, 1, 0) != 0;
    }

    std::uint64_t lost_ = 0;
};

// Makes the chosen stream the only output. The VMs have no disk, so no file is ever opened.
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

// Appends the value; escapes keep it on the line and its end recognizable.
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

void configure_log(log_level least, std::string vm, log_stream stream,
                   std::uint32_t lines_per_second)
{
    least_level = least;
    descriptor = stream == log_stream::standard_output ? STDOUT_FILENO : STDERR_FILENO;
    limiter().set_limit(lines_per_second);
    const std::lock_guard lock(vm_mutex);
    vm_name() = std::move(vm);
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < least_level)
        return;
    std::uint64_t suppressed = 0;
    const bool passes = limiter().try_pass(std::chrono::steady_clock::now(), suppressed);
    const std::string_view request = request_of(fields);
    const bool kept = !request.empty() && trail().is_on();
    if (!passes && !kept)
        return;
    static std::once_flag installed;
    std::call_once(installed, install_sink);
    std::string line;
    append_pair(line, "time", utc_now());
    append_pair(line, "level", to_string(level));
    {
        const std::lock_guard lock(vm_mutex);
        append_pair(line, "vm", vm_name());
    }
    append_pair(line, "event", event);
    for (const auto& [key, value] : fields)
        append_pair(line, key, value);
    if (kept)
        trail().keep(request, line);
    if (!passes)
        return;
    if (suppressed > 0)
        append_pair(line, "suppressed_lines", std::to_string(suppressed));
    dispatch(level, line);
}

void keep_request_lines(std::size_t most_bytes)
{
    trail().set_limit(most_bytes);
}

std::vector<std::string> request_lines(std::string_view request)
{
    return trail().find(request);
}

} // namespace zinnianotch
