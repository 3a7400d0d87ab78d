// Log lines stay one line each, on standard error only, whatever their values hold.
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

// Redirects a file descriptor into an unnamed temporary file and gives back what was written.
class capture
{
public:
    explicit capture(int descriptor)
        : descriptor_(descriptor), saved_(::dup(descriptor)), file_(std::tmpfile())
    {
        ::dup2(::fileno(file_), descriptor_);
    }
    ~capture()
    {
        restore();
        std::fclose(file_);
    }
    capture(const capture&) = delete;
    capture& operator=(const capture&) = delete;

    std::string take()
    {
        restore();
        std::string out;
        std::rewind(file_);
        char piece[4096];
        for (std::size_t n = std::fread(piece, 1, sizeof piece, file_); n > 0;
             n = std::fread(piece, 1, sizeof piece, file_))
            out.append(piece, n);
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

std::vector<std::string> lines_of(const std::string& text)
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

// Guards against names that operators set in settings files and that no longer parse.
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

// Guards against a changed line format, local times and output on standard output.
Test(log, event_one_line_on_standard_error)
{
    configure_log(log_level::info, "vm-1");
    capture standard_output(STDOUT_FILENO);
    capture standard_error(STDERR_FILENO);
    log_event(log_level::warning, "endpoint_cold", {{"endpoint", "g1"}, {"limit", "2"}});
    const std::string written = standard_error.take();
    cr_assert(standard_output.take().empty());
    const std::regex expected(
        R"(time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=warning vm=vm-1 event=endpoint_cold endpoint=g1 limit=2\n)");
    cr_assert(std::regex_match(written, expected), "%s", written.c_str());
}

// Guards against server logs that are split over two streams: the platform collects one.
Test(log, server_event_one_line_on_standard_output)
{
    configure_log(log_level::info, "vm-1", log_stream::standard_output);
    capture standard_output(STDOUT_FILENO);
    capture standard_error(STDERR_FILENO);
    log_event(log_level::warning, "endpoint_cold", {{"endpoint", "g1"}});
    const auto lines = lines_of(standard_output.take());
    cr_assert(standard_error.take().empty());
    cr_assert(lines.size() == 1 && lines[0].ends_with("event=endpoint_cold endpoint=g1"));
}

// Guards against a flood of lines that takes the processor from the requests.
Test(log, lines_over_limit_are_counted)
{
    constexpr std::uint32_t limit = 20;
    constexpr int events = 500;
    configure_log(log_level::info, "vm-1", log_stream::standard_error, limit);
    capture standard_error(STDERR_FILENO);
    for (int i = 0; i < events; ++i)
        log_event(log_level::info, "tick", {});
    // A new second may begin meanwhile, and one more while a busy machine is slow.
    const std::size_t written = lines_of(standard_error.take()).size();
    cr_assert(written >= limit && written <= 4 * limit, "%zu lines", written);
}

// Guards against values from callers that forge log lines or fields of their own.
Test(log, value_with_special_characters_quoted)
{
    configure_log(log_level::info, "vm-1");
    capture standard_error(STDERR_FILENO);
    log_event(log_level::error, "bad_request",
              {{"a", "two words"},
               {"b", "say \"x\" \\"},
               {"c", "x\nlevel=info\r\x01"},
               {"d", ""},
               {"e", "100%msg%level"},
               {"f", "k=v"}});
    const auto lines = lines_of(standard_error.take());
    cr_assert(lines.size() == 1);
    const std::string expected = R"( a="two words" b="say \"x\" \\" c="x\nlevel=info\x0d\x01" )"
                                 R"(d="" e=100%msg%level f="k=v")";
    cr_assert(lines[0].ends_with(expected), "%s", lines[0].c_str());
}

// Guards against a level setting that is ignored.
Test(log, event_below_least_level_not_written)
{
    configure_log(log_level::warning, "vm-1");
    capture standard_error(STDERR_FILENO);
    log_event(log_level::debug, "quiet", {});
    log_event(log_level::info, "quiet", {});
    log_event(log_level::warning, "loud", {});
    configure_log(log_level::debug, "vm-1");
    log_event(log_level::debug, "loud", {});
    const auto lines = lines_of(standard_error.take());
    cr_assert(lines.size() == 2);
    for (const std::string& line : lines)
        cr_assert(line.find("event=loud") != std::string::npos);
}

// Guards against lines of several threads that mix.
Test(log, concurrent_events_lines_whole)
{
    constexpr int threads = 8;
    constexpr int events = 200;
    configure_log(log_level::info, "vm-1");
    capture standard_error(STDERR_FILENO);
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
    const auto lines = lines_of(standard_error.take());
    cr_assert(lines.size() == threads * events);
    for (const std::string& line : lines)
    {
        cr_assert(line.starts_with("time="));
        cr_assert(line.ends_with(" event=tick text=" + std::string(300, 'x')));
    }
}

// Guards against easylogging++'s own log files: the VMs have no disk.
Test(log, events_written_no_file_created)
{
    namespace fs = std::filesystem;
    std::string folder = (fs::temp_directory_path() / "zinnianotch-log-XXXXXX").string();
    cr_assert(::mkdtemp(folder.data()) != nullptr);
    fs::current_path(folder);
    {
        capture standard_error(STDERR_FILENO);
        configure_log(log_level::debug, "vm-1");
        log_event(log_level::error, "started", {});
    }
    const bool empty = fs::is_empty(folder);
    fs::current_path("/");
    fs::remove_all(folder);
    cr_assert(empty);
}

// Guards against a stuck reader of standard error that stops every thread of the process.
Test(log, standard_error_full_lines_dropped_and_counted)
{
    int ends[2];
    cr_assert(::pipe(ends) == 0);
    const int saved = ::dup(STDERR_FILENO);
    ::dup2(ends[1], STDERR_FILENO);
    configure_log(log_level::info, "vm-1");
    // Twice what a pipe holds by default, so that some lines must be lost.
    constexpr int events = 128;
    for (int i = 0; i < events; ++i)
        log_event(log_level::info, "tick", {{"text", std::string(1000, 'x')}});
    char piece[65536];
    std::string first(piece, static_cast<std::size_t>(::read(ends[0], piece, sizeof piece)));
    log_event(log_level::info, "after", {});
    std::string second(piece, static_cast<std::size_t>(::read(ends[0], piece, sizeof piece)));
    ::dup2(saved, STDERR_FILENO);
    const std::size_t kept = lines_of(first).size();
    cr_assert(kept < events);
    cr_assert(second.ends_with("event=after lost_lines=" + std::to_string(events - kept) + "\n"),
              "%zu kept, %s", kept, second.c_str());
}

// Guards against memory that grows with the number of requests.
Test(request_log_buffer, append_full_buffer_oldest_lines_are_dropped)
{
    request_log_buffer buffer(100);
    for (int i = 0; i < 50; ++i)
        buffer.append("r" + std::to_string(i), "a line of twenty byte");
    cr_assert(buffer.find("r0").empty());
    cr_assert(buffer.find("r49").size() == 1);
    cr_assert(buffer.find("r45").empty());
}

// Guards against the lines of a request coming in another order or from another request.
Test(request_log_buffer, find_two_requests_own_lines_in_order)
{
    request_log_buffer buffer(1000);
    buffer.append("a", "first");
    buffer.append("b", "other");
    buffer.append("a", "second");
    cr_assert(buffer.find("a") == (std::vector<std::string>{"first", "second"}));
    cr_assert(buffer.find("").empty());
}

// Guards against an explanation that is lost just in the busiest second.
Test(log, request_lines_output_is_bounded_kept_all_the_same)
{
    capture output(STDOUT_FILENO);
    configure_log(log_level::info, "vm-1", log_stream::standard_output, 1);
    set_request_log_limit(request_log_bytes);
    for (int i = 0; i < 3; ++i)
        log_event(log_level::info, "retry", {{"request", "r-1"}, {"attempt", std::to_string(i)}});
    cr_assert(request_log_lines("r-1").size() == 3);
    cr_assert(request_log_lines("r-2").empty());
    (void)output.take();
}
