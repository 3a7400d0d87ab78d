#include "transport/request_log_buffer.h"

namespace zinnianotch
{

void request_log_buffer::set_limit(std::size_t max_bytes)
{
    const std::lock_guard lock(mutex_);
    max_bytes_ = max_bytes;
}

bool request_log_buffer::enabled() const
{
    const std::lock_guard lock(mutex_);
    return max_bytes_ > 0;
}

void request_log_buffer::append(std::string_view request, std::string_view line)
{
    const std::lock_guard lock(mutex_);
    entries_.push_back({std::string(request), std::string(line)});
    bytes_ += request.size() + line.size();
    while (bytes_ > max_bytes_ && !entries_.empty())
    {
        bytes_ -= entries_.front().request.size() + entries_.front().line.size();
        entries_.pop_front();
    }
}

std::vector<std::string> request_log_buffer::find(std::string_view request) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> lines;
    for (const entry& stored : entries_)
    {
        if (stored.request == request)
            lines.push_back(stored.line);
    }
    return lines;
}

} // namespace zinnianotch
