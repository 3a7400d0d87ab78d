#include "transport/memory_account.h"

#include <utility>

namespace zinnianotch
{

holder_id memory_account::add(held_kind kind, std::function<void()> on_yield, time_point now)
{
    const holder_id id = ledger.add(kind, now);
    if (id.slot >= on_yield_.size())
        on_yield_.resize(id.slot + 1);
    on_yield_[id.slot] = std::move(on_yield);
    return id;
}

void memory_account::remove(holder_id id)
{
    ledger.remove(id);
    on_yield_[id.slot] = nullptr;
}

std::vector<yielding_holder> memory_account::relieve(time_point now)
{
    std::vector<yielding_holder> yielding = ledger.choose_yielding(now);
    for (const yielding_holder& each : yielding)
    {
        // One may have been released by another that gave way before.
        if (ledger.bytes(each.id) == 0 || !on_yield_[each.id.slot])
            continue;
        const std::function<void()> on_yield = on_yield_[each.id.slot];
        on_yield();
    }
    return yielding;
}

held_bytes::held_bytes(std::shared_ptr<memory_account> account, held_kind kind,
                       std::function<void()> on_yield, time_point now)
    : account_(std::move(account))
{
    if (account_ != nullptr)
        id_ = account_->add(kind, std::move(on_yield), now);
}

held_bytes::held_bytes(held_bytes&& other) noexcept
    : account_(std::move(other.account_)), id_(other.id_)
{
}

held_bytes& held_bytes::operator=(held_bytes&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    account_ = std::move(other.account_);
    id_ = other.id_;
    return *this;
}

void held_bytes::grow(std::uint64_t bytes, time_point now)
{
    if (account_ != nullptr)
        account_->ledger.grow(id_, bytes, now);
}

void held_bytes::drain(std::uint64_t bytes, time_point now)
{
    if (account_ != nullptr)
        account_->ledger.drain(id_, bytes, now);
}

void held_bytes::note_progress(std::uint64_t bytes, time_point now)
{
    if (account_ != nullptr)
        account_->ledger.note_progress(id_, bytes, now);
}

void held_bytes::set(std::uint64_t bytes, time_point now)
{
    if (account_ == nullptr)
        return;
    const std::uint64_t before = account_->ledger.bytes(id_);
    if (bytes > before)
        grow(bytes - before, now);
    else
        drain(before - bytes, now);
}

void held_bytes::release()
{
    if (const auto account = std::move(account_))
        account->remove(id_);
}

} // namespace zinnianotch
