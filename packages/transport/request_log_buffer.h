// The latest log lines that name a request, so that an operator can ask a VM what one request went
// through. The VMs have no disk, and the output of a busy second is bounded; the trail is not cut
// by that bound.
#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

class request_trail
{
public:
    // Keeps up to so many bytes of lines; 0 keeps none.
    explicit request_trail(std::size_t most_bytes) : most_bytes_(most_bytes) {}

    void set_limit(std::size_t most_bytes);
    bool is_on() const;
    // Drops the oldest lines when there is no room.
    void keep(std::string_view request, std::string_view line);
    // Lines of the request, the oldest first.
    std::vector<std::string> find(std::string_view request) const;

private:
    struct entry
    {
        std::string request;
        std::string line;
    };

    mutable std::mutex mutex_;
    std::size_t most_bytes_;
    std::size_t bytes_ = 0;
    std::deque<entry> entries_;
};

} // namespace zinnianotch
