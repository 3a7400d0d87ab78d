// Keeps to the limit that an endpoint in need has named: the requests a second that it takes from
// all VMs together.
//
// The limit is divided among some VMs, the same on all of them without communication, so that the
// share of each is not far below one request in a few seconds. A VM spaces its requests by its
// share.
#pragma once

#include "state/time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Part of the limit that the VM which batches calls for a stage uses. During a change of the VM
// list, two VMs may batch them for some seconds.
inline constexpr double stage_limit_usage = 0.7;
// Interval between requests of a sender whose share is smaller than that, also with a limit of
// zero: an endpoint that gets nothing cannot say that the limit is over.
inline constexpr milliseconds limit_probe_interval{10'000};
// Shortest time until a VM without a share expects room at another one: its own requests are
// refused at once instead of waiting for an endpoint that it may not use.
inline constexpr milliseconds limit_elsewhere_min{1000};
// Interval at which a VM tells the others of a limit that the endpoint goes on naming, and the time
// after which one that no VM has told of counts as over. The second grows with the rank of the VM,
// so that not all VMs try the endpoint at the same moment.
inline constexpr milliseconds limit_report_interval{3000};
inline constexpr milliseconds limit_expiry{25'000};
inline constexpr milliseconds limit_expiry_per_rank{2000};
// Maximum number of requests that a VM with a large share may send at once, and the time whose
// requests it may send so.
inline constexpr std::size_t limit_burst_max = 64;
inline constexpr milliseconds limit_burst_time{250};

// Number of VMs among which a limit is divided, if there are so many.
std::size_t limit_senders(double limit);

// What a limit leaves to one VM.
struct limit_share
{
    double rate = 0.0; // requests a second
    std::size_t rank = 0;

    bool operator==(const limit_share&) const = default;
};

// Share of this VM for requests to the endpoint; `vms` names all VMs, including `own`.
limit_share share_of_limit(double limit, std::string_view endpoint, std::string_view own,
                           const std::vector<std::string>& vms);

// The limit of one lifetime of an endpoint, and this VM's requests to it.
class send_limit
{
public:
    // The endpoint has named the limit at this moment, to this VM or to another one.
    void set(double limit, const limit_share& share, time_point now);
    void set_share(const limit_share& share) { share_ = share; }
    void clear() { limit_.reset(); }
    // Ends a limit that has not been named for limit_expiry; true if it has.
    bool expire(time_point now);

    std::optional<double> limit() const { return limit_; }
    time_point named_at() const { return named_at_; }
    const limit_share& share() const { return share_; }

    void on_sent(time_point now);
    bool may_send(time_point now) const { return next_send_at(now) <= now; }
    // When the next request may be sent; for a VM without a share, when another one may have room.
    time_point next_send_at(time_point now) const;
    // When the next call for a stage may be sent by the VM that batches them.
    time_point next_call_at(time_point now) const;
    // True once in limit_report_interval while the limit is named.
    bool take_report(time_point now);

private:
    time_point next_at(double rate, time_point now) const;

    std::optional<double> limit_;
    limit_share share_;
    time_point named_at_{};
    time_point reported_at_{};
    std::deque<time_point> sends_; // the last limit_burst_max
};

} // namespace zinnianotch
