// The ledger of held memory with what is to be done when a holder has to give way. Not thread-safe:
// used only on the thread that runs the io_context.
#pragma once

#include "state/held_memory.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace zinnianotch
{

class memory_account
{
public:
    held_memory ledger;

    // `on_yield` releases what the holder holds, or ends what it belongs to.
    holder_id add(held_kind kind, std::function<void()> on_yield, time_point now);
    void remove(holder_id id);
    // Lets holders give way if memory is short, and returns them.
    std::vector<yielding_holder> relieve(time_point now);

private:
    std::vector<std::function<void()>> on_yield_; // by slot
};

// Registration of one holder; without an account nothing is counted.
class held_bytes
{
public:
    held_bytes() = default;
    held_bytes(std::shared_ptr<memory_account> account, held_kind kind,
               std::function<void()> on_yield, time_point now);
    held_bytes(held_bytes&& other) noexcept;
    held_bytes& operator=(held_bytes&& other) noexcept;
    held_bytes(const held_bytes&) = delete;
    held_bytes& operator=(const held_bytes&) = delete;
    ~held_bytes() { release(); }

    // Each with the number of bytes; see held_memory.
    void grow(std::uint64_t bytes, time_point now);
    void drain(std::uint64_t bytes, time_point now);
    void note_progress(std::uint64_t bytes, time_point now);
    // Grows or drains to this number of bytes.
    void set(std::uint64_t bytes, time_point now);
    void release();
    explicit operator bool() const { return account_ != nullptr; }

private:
    std::shared_ptr<memory_account> account_;
    holder_id id_;
};

} // namespace zinnianotch
