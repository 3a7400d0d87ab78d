#include "transport/request_trail.h"

namespace zinnianotch
{

void request_trail::set_limit(std::size_t most_bytes)
{
    const std::lock_guard lock(mutex_);
    most_bytes_ = most_bytes;
}

bool request_trail::is_on() const
{
    const std::lock_guard lock(mutex_);
    return most_bytes_ > 0;
}

void request_trail::keep(std::string_view request, std::string_view line)
{
    const std::lock_guard lock(mutex_);
    entries_.push_back({std::string(request), std::string(line)});
    bytes_ += request.size() + line.size();
    while (bytes_ > most_bytes_ && !entries_.empty())
    {
        bytes_ -= entries_.front().request.size() + entries_.front().line.size();
        entries_.pop_front();
    }
}

std::vector<std::string> request_trail::find(std::string_view request) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> lines;
    for (const entry& kept : entries_)
    {
        if (kept.request == request)
            lines.push_back(kept.line);
    }
    return lines;
}

} // namespace zinnianotch
