// Speed of an endpoint, learned from what it did with known work, and the work that it still has.
#pragma once

#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Weight of the assumption that an endpoint is as fast as the others, in samples.
inline constexpr double pace_prior = 1.0;
// Time in which a sample loses half of its weight, so that an endpoint whose machine has changed is
// known again soon.
inline constexpr milliseconds pace_half_life{30'000};
// Part of the last sample's difference that is expected to hold on, and for how long: a machine
// that others slow down stays slow for about half a second.
inline constexpr double recent_pace_share = 0.3;
inline constexpr milliseconds recent_pace_time{700};
// The same for the pace that an endpoint reports, which is older than it seems: it was measured
// before the response was on its way.
inline constexpr double reported_pace_share = 0.5;
inline constexpr milliseconds reported_pace_time{300};
// Weights of an own and of a shared observation of the wait at an endpoint, and the time in which
// the wait returns to the average: queues drain, and other VMs leave a slow endpoint as well.
inline constexpr double own_wait_weight = 0.7;
inline constexpr double shared_wait_weight = 0.4;
inline constexpr milliseconds wait_time{1500};
// Bounds on one sample as a factor; a response that waited for something else tells nothing more.
inline constexpr double pace_sample_max = 4.0;
// Bounds on the factor by which an endpoint is taken as slower or faster than the average.
inline constexpr double slowness_max = 6.0;

// How much longer an endpoint takes for the same work than the average one of its service. Averages
// are kept as logarithms, so that twice as fast and twice as slow cancel out.
class endpoint_pace
{
public:
    // The endpoint took `factor` times the expected time.
    void on_sample(double factor, double weight, time_point now);
    // The same, as another VM has seen it at some earlier time.
    void on_shared_sample(double factor, double weight, time_point now);
    // A request waited this long before its own work began.
    void on_wait(double ms, double weight, time_point now);
    // The endpoint reports that work takes `factor` times the usual time at the moment.
    void on_report(double factor, time_point now);

    // Expected factor now; 1 where nothing is known.
    double slowness(time_point now) const;
    // Expected wait for work of other VMs, if it is `average_ms` at the average endpoint.
    double wait_ms(double average_ms, time_point now) const;
    // Lasting part of the slowness.
    double lasting_slowness(time_point now) const;

private:
    double lasting_log(time_point now) const;
    void add(double log_factor, double weight, time_point now);

    double sum_ = 0.0;
    double weight_ = 0.0;
    time_point at_{};
    double recent_ = 0.0; // difference of the last own sample from the average before it
    time_point recent_at_{};
    double reported_ = 0.0;
    time_point reported_at_{};
    double wait_ms_ = 0.0;
    time_point waited_at_{};
};

// Time of a request's stay at an endpoint that this VM has sent it to.
struct backlog_item
{
    std::uint64_t id = 0;
    double unread = 0.0; // prompt tokens
    double memory = 0.0; // tokens
    time_point sent_at{};
    double expected_ms = 0.0; // to the first byte
    bool begun = false;       // the response has begun
};

// This VM's requests at one endpoint, with what is left of their work.
class endpoint_backlog
{
public:
    void add(const backlog_item& item);
    void on_begun(std::uint64_t id);
    void remove(std::uint64_t id);

    double unread() const { return unread_; }
    double memory() const { return memory_; }
    std::size_t size() const { return items_.size(); }
    // Largest ratio of the time that a request has waited for its first byte to the expected time;
    // 0 if none waits.
    double overdue(time_point now) const;

private:
    backlog_item* find(std::uint64_t id);

    std::vector<backlog_item> items_;
    double unread_ = 0.0;
    double memory_ = 0.0;
};

// What an engine holds, as far as a VM knows.
struct memory_use
{
    double own_tokens = 0.0;         // of this VM's requests
    double others = 0.0;             // requests of other VMs by the engine's last report
    double tokens_per_request = 0.0; // of these
};

// True if a request of this size fits beside what an engine with this memory holds. A request alone
// always fits: it is the engine that rejects one that is too large.
bool fits_memory(const memory_use& held, double request_tokens, double memory_tokens);

// Weight of the newest observation in the averages of a service, which cover about fifty.
inline constexpr double work_rate_weight = 0.02;
// Weight of a response that took longer than expected, relative to that of a faster one: it has
// also waited for the work of other VMs.
inline constexpr double late_sample_weight = 0.1;
// Observations from which on the averages of a service are used.
inline constexpr double min_work_samples = 8.0;

// Average times of the endpoints of one service for known work.
class work_rates
{
public:
    // A response began `elapsed_ms` after its request was sent, with `tokens` to read before it.
    // The time is that of an endpoint of average speed.
    void on_first_byte(double tokens, double elapsed_ms);
    // Observed waits for work of other VMs, at any endpoint.
    void on_wait(double ms);
    // `tokens` tokens came within `elapsed_ms`.
    void on_tokens(double tokens, double elapsed_ms);
    // A request without a prompt took `elapsed_ms`.
    void on_plain(const std::string& route, double elapsed_ms);
    // A request with a prompt has ended `total_ms` after it was sent and took `memory` tokens.
    void on_end(double total_ms, double memory);

    bool knows_first_byte() const { return samples_ >= min_work_samples; }
    bool knows_plain(std::string_view route) const;
    double first_byte_ms(double tokens) const { return base_ms_ + token_read_ms_ * tokens; }
    double wait_ms() const { return wait_ms_; }
    double token_read_ms() const { return token_read_ms_; }
    double token_made_ms() const { return token_made_ms_; }
    double plain_ms(std::string_view route) const;
    double total_ms() const { return total_ms_; }
    // Average over the requests that have ended.
    double memory_per_request() const { return memory_; }

private:
    struct plain_time
    {
        double mean_ms = 0.0;
        double samples = 0.0;
    };

    // Weighted moments for the regression of the time on the tokens.
    double samples_ = 0.0;
    double mean_tokens_ = 0.0;
    double mean_ms_ = 0.0;
    double variance_ = 0.0;
    double covariance_ = 0.0;
    double base_ms_ = 0.0;
    double token_read_ms_ = 0.0;
    double token_made_ms_ = 0.0;
    double token_samples_ = 0.0;
    double waits_ = 0.0;
    double wait_ms_ = 0.0;
    double ended_ = 0.0;
    double total_ms_ = 0.0;
    double memory_ = 0.0;
    std::map<std::string, plain_time, std::less<>> plain_; // by route
};

} // namespace zinnianotch
