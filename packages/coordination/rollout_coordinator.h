// Part of this VM in the roll-outs of all services: follows the orders and the decisions, counts
// answers, exchanges reports and verdicts with other VMs and chooses the decision to write.
// docs/design/rollouts.md describes the protocol. All I/O is up to the owner.
#pragma once

#include "coordination/endpoint_directory.h"
#include "coordination/serving_call.h"
#include "state/rollout_gate.h"
#include "state/rollout_judge.h"
#include "state/rollout_samples.h"
#include "state/store_position.h"
#include "transport/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Time after which a VM whose link does not come up counts as unreachable.
inline constexpr milliseconds judge_link_patience{1500};
// A version under suspicion keeps its share for this time while the decision to try it at other
// endpoints cannot be written.
inline constexpr milliseconds unwritten_rotation_patience{1000};
// Time until a call to the store is repeated after one that was refused or had no answer.
inline constexpr milliseconds rollout_call_interval{300};

// An attempt that is counted, see rollout_samples; `order` is 0 if it is not.
struct rollout_ticket
{
    std::string service;
    std::uint64_t order = 0;
    std::uint64_t number = 0;
};

struct rollout_attempt_kind
{
    bool is_retry = false;     // the request has been sent before
    bool is_repeatable = true; // the request may run more than once
};

// A call to the store: writes `put`, or reads the decision on the service.
struct rollout_call
{
    std::string service;
    std::optional<rollout_record> put;
};

// State of one roll-out, for operators.
struct rollout_status
{
    std::string service;
    std::string version;
    rollout_phase phase = rollout_phase::canary;
    milliseconds age{0};
};

class rollout_coordinator
{
public:
    // True if a VM can be reached now.
    using reachability = std::function<bool(const std::string& vm)>;

    // `lifetime` is random.
    rollout_coordinator(std::string vm, std::uint64_t lifetime, const rollout_limits& limits,
                        endpoint_directory& endpoints, metrics& counters);
    ~rollout_coordinator();

    rollout_coordinator(const rollout_coordinator&) = delete;
    rollout_coordinator& operator=(const rollout_coordinator&) = delete;

    const rollout_limits& limits() const { return limits_; }

    // Followed state.

    void on_order(const rollout_order& order, time_point now);
    void on_order_withdrawn(const std::string& service, time_point now);
    // Withdraws the orders of all other services.
    void retain_orders(const std::set<std::string>& services, time_point now);
    // The orders in the store are known, so a missing one was withdrawn.
    void set_orders_known() { are_orders_known_ = true; }
    // The decision in the store at this position, or nothing if there is none. `held` is a later
    // one that the store has lost.
    void on_record(const std::string& service, const std::optional<rollout_record>& stored,
                   const std::optional<rollout_record>& held, store_position position,
                   time_point now);
    // The same for all services of which `services` has no decision.
    void retain_records(const std::set<std::string>& services, store_position position,
                        time_point now);
    void on_store_contact(time_point now);
    // After a pause, what was known of the store is read again before a decision is written.
    void on_pause();
    // Follows changes of the endpoints and bars those that no request may use. True if that has
    // changed for any of them.
    bool refresh(time_point now);

    // Attempts.

    // Null if the service has no endpoints and no order.
    const rollout_gate* gate(std::string_view service) const;
    // Pool for an attempt, which counts as sent; see rollout_gate.
    rollout_pool choose(std::string_view service, std::string_view route, bool is_retry,
                        time_point now);
    rollout_ticket on_sent(std::string_view service, const known_endpoint& endpoint,
                           const std::string& route, rollout_attempt_kind kind, time_point now);
    void on_first_byte(const rollout_ticket& ticket, time_point now);
    void on_ended(const rollout_ticket& ticket, bool has_failed, time_point now);

    // Other VMs.

    // VMs that judge a running roll-out, to which links are kept.
    std::set<std::string> wanted_links(const reachability& is_up, time_point now);
    struct addressed_report
    {
        std::string vm;
        rollout_report report;
    };
    // Reports that are due.
    std::vector<addressed_report> take_reports(const reachability& is_up, time_point now);
    // Reports sent to the VM before may be lost.
    void on_link_up(const std::string& vm);
    // The answer to a report of another VM.
    std::optional<rollout_verdict> on_report(const rollout_report& report, time_point now);
    void on_verdict(const rollout_verdict& verdict, time_point now);

    // The store.

    // To be called every 100 ms.
    void judge(const reachability& is_up, time_point now);
    // The call that is due now; one of on_written, on_read and on_call_failed must follow.
    std::optional<rollout_call> next_call(time_point now);
    void on_written(const rollout_call& call, write_outcome outcome, time_point now);
    void on_read(const std::string& service, const std::optional<rollout_record>& stored,
                 store_position position, time_point now);
    void on_call_failed(const std::string& service, time_point now);

    bool has_running(time_point now) const;
    // True while a listed endpoint may not be used by any request.
    bool bars_endpoints() const;
    std::vector<rollout_status> status(time_point now) const;

private:
    struct service_state
    {
        service_state(const std::string& service, const rollout_limits& limits, std::uint64_t seed)
            : gate(service, limits, seed), judge(limits)
        {
        }

        rollout_gate gate;
        rollout_judge judge;
        std::unique_ptr<rollout_samples> samples; // of the current order
        std::optional<rollout_record> stored;
        std::optional<rollout_record> held;
        std::optional<store_position> stored_at; // set once the decision in the store is known
        std::optional<rollout_record> proposal;  // decision to write
        // The judge has wanted to try the version at other endpoints since then.
        std::optional<time_point> rotation_since;
        bool needs_read = false;
        bool wants_links = false; // to the VMs that judge, though no roll-out is running
        time_point call_at{};     // no call before
        time_point reported_at{}; // last report
        std::optional<rollout_phase> reported_phase;
        std::vector<std::string> judges; // all VMs, in their order
        std::optional<rollout_phase> logged_phase;
        std::optional<rollout_record> logged_proposal;
    };

    service_state& state_of(std::string_view service);
    service_state* find(std::string_view service);
    void replace_order(service_state& state, const std::optional<rollout_order>& order,
                       time_point now);
    void follow_endpoints(time_point now);
    void follow(service_state& state, const std::optional<rollout_record>& stored,
                store_position position, time_point now);
    bool may_judge(const std::string& vm, const reachability& is_up, time_point now) const;
    std::vector<std::string> judges_of(const service_state& state, const reachability& is_up,
                                       time_point now) const;
    std::optional<std::size_t> own_rank(const service_state& state, const reachability& is_up,
                                        time_point now) const;
    std::optional<rollout_verdict> verdict_of(const service_state& state, time_point now) const;
    rollout_situation situation(const std::string& service, std::size_t rank) const;
    rollout_samples* samples_of(const rollout_ticket& ticket);
    void log_phase(const std::string& service, service_state& state, time_point now);
    void log_proposal(service_state& state, const rollout_record& proposal);

    std::string vm_;
    std::uint64_t lifetime_;
    rollout_limits limits_;
    endpoint_directory& endpoints_;
    metrics& counters_;
    std::map<std::string, service_state, std::less<>> services_;
    bool are_orders_known_ = false;
    std::vector<std::string> vms_;                   // for which the judges were computed
    std::uint64_t endpoint_changes_ = 0;             // that the gates have followed
    std::map<std::string, time_point> wanted_since_; // by VM to which a link is wanted
};

} // namespace zinnianotch
