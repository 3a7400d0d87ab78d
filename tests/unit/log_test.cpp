// Log: format, output stream, quoting, level and rate limit of log lines, and the buffer of the
// recent lines of requests.
#include "transport/log.h"
#include "transport/request_log_buffer.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <regex>
#include <string>
#include <thread>
#include <vector>

using namespace zinnianotch;

namespace
{

// Redirects a file descriptor to an unnamed temporary file; stop_and_read() ends the redirection
// and returns what was written.
class captured_output
{
public:
    explicit captured_output(int descriptor)
        : descriptor_(descriptor), saved_(::dup(descriptor)), file_(std::tmpfile())
    {
        ::dup2(::fileno(file_), descriptor_);
    }
    ~captured_output()
    {
        restore();
        std::fclose(file_);
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    std::string stop_and_read()
    {
        restore();
        std::string out;
        std::rewind(file_);
        char block[4096];
        for (std::size_t n = std::fread(block, 1, sizeof block, file_); n > 0;
             n = std::fread(block, 1, sizeof block, file_))
            out.append(block, n);
        return out;
    }

private:
    void restore()
    {
        if (saved_ < 0)
            return;
        ::dup2(saved_, descriptor_);
        ::close(saved_);
        saved_ = -1;
    }

    int descriptor_;
    int saved_;
    std::FILE* file_;
};

std::vector<std::string> split_lines(const std::string& text)
{
    std::vector<std::string> out;
    std::size_t begin = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin))
    {
        out.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return out;
}

} // namespace

// Guards against names of levels that to_string() writes but from_string() does not accept;
// operators set these names in settings files.
Test(log, level_every_name_parses_back)
{
    for (const log_level value :
         {log_level::debug, log_level::info, log_level::warning, log_level::error})
    {
        log_level parsed = log_level::debug;
        cr_assert(from_string(to_string(value), parsed));
        cr_assert(parsed == value);
    }
    log_level parsed = log_level::debug;
    cr_assert(!from_string("verbose", parsed));
}

// Guards against a changed line format, times in the local time zone and output on standard output.
Test(log, event_one_line_on_standard_error)
{
    configure_log(log_level::info, "vm-1");
    captured_output standard_output(STDOUT_FILENO);
    captured_output standard_error(STDERR_FILENO);
    log_event(log_level::warning, "endpoint_cold", {{"endpoint", "g1"}, {"limit", "2"}});
    const std::string written = standard_error.stop_and_read();
    cr_assert(standard_output.stop_and_read().empty());
    const std::regex expected(
        R"(time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=warning vm=vm-1 event=endpoint_cold endpoint=g1 limit=2\n)");
    cr_assert(std::regex_match(written, expected), "%s", written.c_str());
}

// Guards against server logs being split between two streams: the platform collects only one.
Test(log, server_event_one_line_on_standard_output)
{
    configure_log(log_level::info, "vm-1", log_stream::standard_output);
    captured_output standard_output(STDOUT_FILENO);
    captured_output standard_error(STDERR_FILENO);
    log_event(log_level::warning, "endpoint_cold", {{"endpoint", "g1"}});
    const auto lines = split_lines(standard_output.stop_and_read());
    cr_assert(standard_error.stop_and_read().empty());
    cr_assert(lines.size() == 1 && lines[0].ends_with("event=endpoint_cold endpoint=g1"));
}

// Guards against logging at an unlimited rate, which would take CPU time from the requests.
Test(log, lines_over_rate_limit_suppressed)
{
    constexpr std::uint32_t limit = 20;
    constexpr int events = 500;
    configure_log(log_level::info, "vm-1", log_stream::standard_error, limit);
    captured_output standard_error(STDERR_FILENO);
    for (int i = 0; i < events; ++i)
        log_event(log_level::info, "tick", {});
    // The limit applies to each second. The events are expected to be logged within one, but a new
    // second may begin meanwhile, and further ones on a busy machine.
    const std::size_t written = split_lines(standard_error.stop_and_read()).size();
    cr_assert(written >= limit && written <= 4 * limit, "%zu lines", written);
}

// Guards against values from callers forging log lines or fields.
Test(log, value_with_special_characters_quoted)
{
    configure_log(log_level::info, "vm-1");
    captured_output standard_error(STDERR_FILENO);
    log_event(log_level::error, "bad_request",
              {{"a", "two words"},
               {"b", "say \"x\" \\"},
               {"c", "x\nlevel=info\r\x01"},
               {"d", ""},
               {"e", "100%msg%level"},
               {"f", "k=v"}});
    const auto lines = split_lines(standard_error.stop_and_read());
    cr_assert(lines.size() == 1);
    const std::string expected = R"( a="two words" b="say \"x\" \\" c="x\nlevel=info\x0d\x01" )"
                                 R"(d="" e=100%msg%level f="k=v")";
    cr_assert(lines[0].ends_with(expected), "%s", lines[0].c_str());
}

// Guards against the minimum level being ignored.
Test(log, event_below_min_level_not_written)
{
    configure_log(log_level::warning, "vm-1");
    captured_output standard_error(STDERR_FILENO);
    log_event(log_level::debug, "quiet", {});
    log_event(log_level::info, "quiet", {});
    log_event(log_level::warning, "loud", {});
    configure_log(log_level::debug, "vm-1");
    log_event(log_level::debug, "loud", {});
    const auto lines = split_lines(standard_error.stop_and_read());
    cr_assert(lines.size() == 2);
    for (const std::string& line : lines)
        cr_assert(line.find("event=loud") != std::string::npos);
}

// Guards against interleaved lines of several threads.
Test(log, concurrent_events_lines_not_interleaved)
{
    constexpr int threads = 8;
    constexpr int events = 200;
    configure_log(log_level::info, "vm-1");
    captured_output standard_error(STDERR_FILENO);
    std::vector<std::thread> writers;
    writers.reserve(threads);
    for (int t = 0; t < threads; ++t)
    {
        writers.emplace_back(
            []
            {
                for (int i = 0; i < events; ++i)
                    log_event(log_level::info, "tick", {{"text", std::string(300, 'x')}});
            });
    }
    for (std::thread& writer : writers)
        writer.join();
    const auto lines = split_lines(standard_error.stop_and_read());
    cr_assert(lines.size() == threads * events);
    for (const std::string& line : lines)
    {
        cr_assert(line.starts_with("time="));
        cr_assert(line.ends_with(" event=tick text=" + std::string(300, 'x')));
    }
}

// Guards against easylogging++ creating its default log file: the VMs have no disk.
Test(log, events_written_no_file_created)
{
    namespace fs = std::filesystem;
    std::string directory = (fs::temp_directory_path() / "zinnianotch-log-XXXXXX").string();
    cr_assert(::mkdtemp(directory.data()) != nullptr);
    fs::current_path(directory);
    {
        captured_output standard_error(STDERR_FILENO);
        configure_log(log_level::debug, "vm-1");
        log_event(log_level::error, "started", {});
    }
    const bool empty = fs::is_empty(directory);
    fs::current_path("/");
    fs::remove_all(directory);
    cr_assert(empty);
}

// Guards against a reader of standard error that has stopped reading blocking every thread of the
// process.
Test(log, standard_error_full_lines_dropped_and_counted)
{
    int pipe_fds[2];
    cr_assert(::pipe(pipe_fds) == 0);
    const int saved_stderr = ::dup(STDERR_FILENO);
    ::dup2(pipe_fds[1], STDERR_FILENO);
    configure_log(log_level::info, "vm-1");
    // 128 lines of over 1000 bytes are twice the default capacity of a pipe, 64 KiB, so that some
    // lines must be dropped.
    constexpr int events = 128;
    for (int i = 0; i < events; ++i)
        log_event(log_level::info, "tick", {{"text", std::string(1000, 'x')}});
    char block[65536];
    std::string first(block, static_cast<std::size_t>(::read(pipe_fds[0], block, sizeof block)));
    log_event(log_level::info, "after", {});
    std::string second(block, static_cast<std::size_t>(::read(pipe_fds[0], block, sizeof block)));
    ::dup2(saved_stderr, STDERR_FILENO);
    const std::size_t written_lines = split_lines(first).size();
    cr_assert(written_lines < events);
    cr_assert(
        second.ends_with("event=after lost_lines=" + std::to_string(events - written_lines) + "\n"),
        "%zu lines written, then %s", written_lines, second.c_str());
}

// Guards against memory use that grows with the number of requests.
Test(request_log_buffer, append_full_buffer_oldest_lines_are_dropped)
{
    request_log_buffer buffer(100);
    for (int i = 0; i < 50; ++i)
        buffer.append("r" + std::to_string(i), "a line of twenty byte");
    cr_assert(buffer.find("r0").empty());
    cr_assert(buffer.find("r49").size() == 1);
    cr_assert(buffer.find("r45").empty());
}

// Guards against lines of other requests in the result, and against a changed order.
Test(request_log_buffer, find_two_requests_own_lines_in_order)
{
    request_log_buffer buffer(1000);
    buffer.append("a", "first");
    buffer.append("b", "other");
    buffer.append("a", "second");
    cr_assert(buffer.find("a") == (std::vector<std::string>{"first", "second"}));
    cr_assert(buffer.find("").empty());
}

// Guards against the rate limit of the output also dropping lines from the request log buffer: the
// log of a request would be incomplete when the load is highest.
Test(log, request_log_lines_over_rate_limit_retained)
{
    captured_output output(STDOUT_FILENO);
    configure_log(log_level::info, "vm-1", log_stream::standard_output, 1);
    set_request_log_limit(request_log_bytes);
    for (int i = 0; i < 3; ++i)
        log_event(log_level::info, "retry", {{"request", "r-1"}, {"attempt", std::to_string(i)}});
    cr_assert(request_log_lines("r-1").size() == 3);
    cr_assert(request_log_lines("r-2").empty());
    (void)output.stop_and_read();
}
