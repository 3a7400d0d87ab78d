// Decides which version of a service a request goes to during a roll-out, and which endpoints may
// be used at all. One object per service and VM.
//
// The shares hold for each VM's own requests, so they hold for all VMs together whatever each of
// them knows of the roll-out's progress.
#pragma once

#include "state/rollout.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Permission to use the new version lapses without a verdict for this time if the store is not
// heard of either.
inline constexpr milliseconds rollout_lease{1500};
// The same while the store is heard of: this VM's answers reach no judge.
inline constexpr milliseconds rollout_verdict_max_age{3000};
// An endpoint of a version that the service has not had gets no request for this time, since the
// order may arrive after the endpoint.
inline constexpr milliseconds unknown_version_hold{2500};

// Endpoints of the service that an attempt may use.
enum class rollout_pool
{
    unrestricted, // no roll-out
    old_version,
    candidate,
    replaced, // versions of earlier orders that may have been completed
    none
};

std::string_view to_string(rollout_pool value);

// An endpoint of the service as far as roll-outs are concerned.
struct rollout_endpoint
{
    std::string id;
    std::string domain;
    std::string version;
    std::int64_t started_at = 0; // see endpoint_record
};

class rollout_gate
{
public:
    // `seed` differs between VMs and lifetimes.
    rollout_gate(std::string service, const rollout_limits& limits, std::uint64_t seed);

    // Replaces the endpoints, including those that are draining or not ready.
    void set_endpoints(const std::vector<rollout_endpoint>& endpoints, time_point now);
    // Replaces the order by the one in the store, or nothing if there is none.
    void set_order(const std::optional<rollout_order>& order, time_point now);
    // The decision in the store. It may arrive before its order, and an older one may come back.
    void on_record(const rollout_record& record, time_point now);
    void on_verdict(const rollout_verdict& verdict, time_point now);
    // The store has answered, so this VM's copy of its tables was current at this time.
    void on_store_contact(time_point now);

    // Pool for an attempt of a request, which counts as sent. `is_retry` is true if the request has
    // been sent before; it then stays away from the new version before `full`.
    rollout_pool choose(std::string_view route, bool is_retry, time_point now);
    // Pool to use instead if no endpoint of `pool` can take the attempt; `none` if there is none.
    rollout_pool fallback(rollout_pool pool, time_point now) const;
    // Pool for an attempt if no endpoint of `pool` can be reached at all; `none` if there is none.
    rollout_pool last_resort(rollout_pool pool) const;
    // The pool of an earlier choice, in the present phase.
    rollout_pool adjusted(rollout_pool pool, time_point now) const;
    // True if an attempt with this pool may use the endpoint. An unknown endpoint may not be used.
    bool may_use(rollout_pool pool, std::string_view endpoint, time_point now) const;

    // True if the endpoint has the version that the current order moves to.
    bool is_candidate(std::string_view endpoint) const;
    // True while an order exists whose phase is not final: samples are taken and reported.
    bool is_running(time_point now) const;
    // Phase that this VM follows: nothing without an order.
    std::optional<rollout_phase> phase(time_point now) const;
    const std::optional<rollout_order>& order() const { return order_; }
    milliseconds order_age(time_point now) const { return age_.at(now); }
    std::size_t old_endpoints() const;
    std::size_t candidate_endpoints() const;

private:
    struct endpoint_state
    {
        rollout_endpoint endpoint;
        std::size_t place = 0; // among the new endpoints, in the order in which they take a share
    };

    struct decision
    {
        rollout_phase phase = rollout_phase::canary;
        std::uint32_t step = 0;
        const rollout_shares* shares = nullptr;
    };

    std::optional<decision> current(time_point now) const;
    bool has_permission(time_point now) const;
    bool is_held(const std::string& version, time_point now) const;
    bool is_canary(const endpoint_state& of, const decision& by) const;
    // Counts the request towards the new version's share; true if it is due to the new version.
    bool take_share(std::string_view route, const decision& by, time_point now);
    double sampling_point(std::uint64_t index) const;
    void close_order(bool is_replaced, time_point now);
    void settle_without_order(const rollout_record& record);
    void settle_replaced(const rollout_record& record);
    void learn_old_version(const std::string& version);
    void set_old_version(const std::string& version);
    void ban(const std::string& version);
    bool is_last_resort(const std::string& version) const;
    void on_completed();
    void trust_usable_versions(time_point now);
    void place_candidates();
    void learn_versions(time_point now);

    std::string service_;
    rollout_limits limits_;
    std::uint64_t seed_;
    std::optional<rollout_order> order_;
    rollout_age age_;
    std::optional<rollout_record> stored_;   // last one heard of, of any order
    std::optional<rollout_record> record_;   // furthest one of the order
    std::optional<rollout_verdict> verdict_; // furthest one of the order
    std::optional<rollout_record> settled_;  // furthest one that held without an order
    time_point verdict_at_{};                // last verdict or new record
    time_point store_at_{};
    std::map<std::string, endpoint_state, std::less<>> endpoints_;
    std::size_t old_count_ = 0; // endpoints of the old version while there is an order
    std::size_t candidate_count_ = 0;
    time_point learning_until_ = time_point::max(); // the first endpoints are still arriving
    std::map<std::string, time_point, std::less<>> versions_; // usable without an order from then
    std::set<std::string, std::less<>> trusted_;              // versions that have had all requests
    std::set<std::string, std::less<>> banned_;   // versions rolled back, withdrawn or replaced
    std::set<std::string, std::less<>> replaced_; // those of banned_ that may be completed
    double share_sum_ = 0.0;                      // of the requests since the order
    std::uint64_t sent_ = 0;                      // requests since the order
    std::uint64_t candidate_sent_ = 0;            // of these, due to the new version
};

} // namespace zinnianotch
