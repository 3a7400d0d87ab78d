#include "state/event_stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace zinnianotch
{

namespace
{

constexpr std::string_view id_field = "id:";

// Length of the first complete event including its blank line; 0 if there is none.
std::size_t event_length(std::string_view text)
{
    const std::size_t lf_end = text.find("\n\n");
    const std::size_t crlf_end = text.find("\r\n\r\n");
    if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos)
        return 0;
    if (crlf_end == std::string_view::npos || lf_end < crlf_end)
        return lf_end + 2;
    return crlf_end + 4;
}

std::optional<std::uint64_t> event_id(std::string_view event)
{
    while (!event.empty())
    {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [stop, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc{} && stop != line.data())
            return id;
    }
    return std::nullopt;
}

} // namespace

std::string event_stream::feed(std::string_view bytes)
{
    incomplete_event_ += bytes;
    std::string complete;
    std::string_view left = incomplete_event_;
    for (std::size_t length = event_length(left); length > 0; length = event_length(left))
    {
        const std::string_view event = left.substr(0, length);
        left.remove_prefix(length);
        const auto id = event_id(event);
        if (id && last_id_ && *id <= *last_id_)
            continue;
        gap_ = gap_ || (id && last_id_ && *id != *last_id_ + 1);
        if (id)
            last_id_ = id;
        ++events_;
        complete += event;
    }
    incomplete_event_ = std::string(left);
    return complete;
}

bool event_stream::has_incomplete_event() const
{
    return incomplete_event_.find_first_not_of("\r\n") != std::string::npos;
}

std::string event_stream::take_incomplete_event()
{
    return std::exchange(incomplete_event_, {});
}

void event_stream::restart()
{
    incomplete_event_.clear();
}

} // namespace zinnianotch
