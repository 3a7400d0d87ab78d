// Splits a text/event-stream into whole events and remembers the last one passed on, so that a
// broken stream can go on at another endpoint without a gap or a repeat.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinnianotch
{

class event_stream
{
public:
    // Adds bytes of the stream and returns the events that are now whole. Events whose id was
    // passed on before are left out.
    std::string feed(std::string_view bytes);

    // Bytes of an event that is not whole.
    std::string take_incomplete_event();
    bool has_incomplete_event() const { return !incomplete_event_.empty(); }

    // Drops the unfinished event: the stream goes on in another answer.
    void restart();

    std::optional<std::uint64_t> last_id() const { return last_id_; }
    std::uint64_t events() const { return events_; }
    // True when ids do not follow each other; the stream must not go on.
    bool has_gap() const { return gap_; }

private:
    std::string incomplete_event_;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t events_ = 0;
    bool gap_ = false;
};

} // namespace zinnianotch
