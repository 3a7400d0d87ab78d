// Splits a text/event-stream into complete events and tracks the last id forwarded, so that a
// broken stream can be resumed at another endpoint without gaps or duplicates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinnianotch
{

class event_stream
{
public:
    // Appends bytes of the stream and returns the events that are now complete, without those whose
    // id is not greater than the last one.
    std::string feed(std::string_view bytes);

    // Removes and returns the bytes of the incomplete event.
    std::string take_incomplete_event();
    // True if bytes of an event were received whose end is missing. Line ends after the last event
    // belong to none.
    bool has_incomplete_event() const;
    std::size_t incomplete_bytes() const { return incomplete_event_.size(); }

    // Discards the incomplete event, before the stream is resumed in another response.
    void restart();

    std::optional<std::uint64_t> last_id() const { return last_id_; }
    std::uint64_t events() const { return events_; }
    // True if an id was skipped; the stream must not be continued.
    bool has_gap() const { return gap_; }

private:
    std::string incomplete_event_;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t events_ = 0;
    bool gap_ = false;
};

} // namespace zinnianotch
