// In-memory buffer of recent log lines with a request ID, from which an operator can query a VM for
// the log of one request. The VMs have no disk, and log output is rate-limited; this buffer also
// holds the lines that the rate limit suppressed.
#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

class request_log_buffer
{
public:
    // Holds at most `max_bytes` of request IDs and lines; 0 disables the buffer.
    explicit request_log_buffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    void set_limit(std::size_t max_bytes);
    bool enabled() const;
    // Drops the oldest lines if the buffer exceeds its limit.
    void append(std::string_view request, std::string_view line);
    // Lines of the request, oldest first.
    std::vector<std::string> find(std::string_view request) const;

private:
    struct entry
    {
        std::string request;
        std::string line;
    };

    mutable std::mutex mutex_;
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    std::deque<entry> entries_;
};

} // namespace zinnianotch
