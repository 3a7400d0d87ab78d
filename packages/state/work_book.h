// What this VM has learned of the work of requests and of the speed of endpoints, by service, and
// what it tells the other VMs of it.
#pragma once

#include "state/endpoint_pace.h"
#include "state/placement.h"
#include "state/time.h"
#include "state/work_estimate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinnianotch
{

// Time after the last report of a pace until a service is placed by requests and slots again.
inline constexpr milliseconds pace_report_expiry{60'000};
// Interval at which a VM sends its observations. One VM alone sees a request to each of 90
// endpoints every half minute; together 60 VMs see two a second.
inline constexpr milliseconds pace_share_interval{1000};
// Bounds on what one VM sends at a time; further observations are dropped.
inline constexpr std::size_t max_pace_samples = 256;
inline constexpr std::size_t max_pace_reports = 512;

enum class pace_sample_kind : std::uint8_t
{
    factor, // of the time for known work, see endpoint_pace::on_sample
    wait    // in ms, see endpoint_pace::on_wait
};

struct pace_sample
{
    std::uint64_t endpoint = 0; // see endpoint_key
    pace_sample_kind kind = pace_sample_kind::factor;
    float value = 0.0F;
};

// The limit that an endpoint has named to the VM; nothing: it names none any more.
struct limit_report
{
    std::uint64_t endpoint = 0; // see endpoint_key
    std::optional<double> limit;

    bool operator==(const limit_report&) const = default;
};

// Observations of one VM in one interval.
struct pace_report
{
    std::uint64_t origin = 0;
    std::uint32_t sequence = 0;
    std::vector<pace_sample> samples;
    std::vector<limit_report> limits;
};

// Reports for the VMs whose links this one accepted, and for those that it made links to. Reports
// that came over a link that this VM made go to the former only, see report_receivers.
struct outgoing_pace
{
    std::vector<pace_report> to_accepted;
    std::vector<pace_report> to_made;
};

// Spreads the observations of all VMs over the links between them.
class pace_exchange
{
public:
    // `origin` differs for each process.
    explicit pace_exchange(std::uint64_t origin) : origin_(origin) {}

    void add(const pace_sample& sample);
    // Replaces what was added for the endpoint in this interval.
    void add_limit(const limit_report& report);
    // True if the report is news. It is passed on with the next ones that are taken.
    bool on_report(const pace_report& report, bool from_accepted, time_point now);
    // The reports to send now; empty until the interval is over.
    outgoing_pace take(time_point now);

private:
    struct origin_state
    {
        std::uint32_t sequence = 0;
        time_point at{};
    };

    std::uint64_t origin_;
    std::uint32_t sequence_ = 0;
    time_point sent_at_{};
    std::vector<pace_sample> own_;
    std::vector<limit_report> own_limits_;
    outgoing_pace waiting_;
    std::unordered_map<std::uint64_t, origin_state> heard_; // by origin
};

class work_book
{
public:
    explicit work_book(std::uint64_t origin) : exchange_(origin) {}

    // An endpoint of the service has reported its pace.
    void on_pace_reported(const std::string& service, time_point now);
    // True while endpoints of the service report their pace, which puts the estimates in force.
    bool is_observed(std::string_view service, time_point now) const;
    // True if requests of the route are placed by expected time.
    bool is_timed(std::string_view service, std::string_view route, bool has_prompt,
                  time_point now) const;
    request_work estimate(std::string_view service, std::string_view route,
                          const request_size& size, milliseconds goal_left, time_point now) const;
    work_rates& rates(const std::string& service) { return services_[service].rates; }

    output_lengths lengths;
    cached_prompts prompts;
    pace_exchange& exchange() { return exchange_; }

private:
    struct service_work
    {
        work_rates rates;
        time_point reported_at{};
    };

    std::map<std::string, service_work, std::less<>> services_;
    pace_exchange exchange_;
};

} // namespace zinnianotch
