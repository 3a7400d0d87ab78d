// The endpoints known to this VM, with the health it has observed of each and the limits on sending
// to them.
#pragma once

#include "coordination/serving_call.h"
#include "state/domain_reachability.h"
#include "state/placement.h"
#include "state/rollout_gate.h"
#include "state/send_limit.h"
#include "state/serving.h"
#include "state/shares.h"
#include "state/timed_placement.h"
#include "transport/upstream.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinnianotch
{

// Limits that hold for all VMs together, set by the operators of an installation.
struct fleet_limits
{
    service_retry_limits retries;
    double cold_over = 1.5;                 // a cold endpoint may get cold_rate times this ...
    double cold_slack = 5;                  // ... plus this many requests per second
    std::optional<rollout_limits> rollouts; // without them, roll-outs have no effect
};

// One lifetime of an endpoint; a record with another start, address or service begins a new one.
// Stays alive as long as an exchange uses it.
struct known_endpoint
{
    known_endpoint(boost::asio::io_context& io, endpoint_record initial_record,
                   const boost::asio::ip::tcp::endpoint& peer);

    endpoint_record record;
    std::uint64_t key; // see endpoint_key
    endpoint_health health;
    endpoint_pace pace;
    endpoint_backlog backlog;
    window_counter cold_sends{cold_window};
    send_limit limit;
    upstream_pool pool;
    bool removed = false;   // no longer listed; gets no new requests
    bool replaced = false;  // removed because a new lifetime has its id
    bool leaving = false;   // has said so with a response; gets no new requests either
    bool is_barred = false; // a roll-out keeps all requests from it
    std::optional<time_point> announced_at; // has first said that it leaves, in any way
    std::optional<time_point> withdrawn_at; // removed, but not replaced
    // Exchanges that its end may have cut off, and the last of them.
    std::uint64_t broken_exchanges = 0;
    time_point broken_at{};

    void on_exchange_broken(time_point now)
    {
        ++broken_exchanges;
        broken_at = now;
    }
};

using endpoint_ptr = std::shared_ptr<known_endpoint>;

struct placement_request
{
    std::string_view service;
    std::string_view affinity;
    std::string_view preferred_domain;
    bool stay_in_preferred = false;
    const std::set<std::string>* excluded_ids = nullptr; // of endpoints; null for none
    const std::set<std::string>* only_ids = nullptr;     // the only endpoints allowed; null for all
    // For a placement by expected time; null for one by requests and slots.
    const request_work* work = nullptr;
    const work_rates* rates = nullptr;
    double memory_tokens = 0.0;         // that the request takes in total; 0: any endpoint has room
    double memory_per_request = 0.0;    // average of the service; 0: unknown
    const rollout_gate* gate = nullptr; // allows those of `pool` only; null without roll-outs
    rollout_pool pool = rollout_pool::unrestricted;

    bool allows(const std::string& id, time_point now) const
    {
        return (excluded_ids == nullptr || !excluded_ids->contains(id)) &&
               (only_ids == nullptr || only_ids->contains(id)) &&
               (gate == nullptr || gate->may_use(pool, id, now));
    }
};

class endpoint_directory
{
public:
    endpoint_directory(boost::asio::io_context& io, std::string own_vm, std::string own_domain,
                       const fleet_limits& limits);

    void set_limits(const fleet_limits& limits) { limits_ = limits; }
    void set_vms(std::vector<std::string> vms);
    std::size_t vm_count() const { return vms_.size(); }
    const std::vector<std::string>& vms() const { return vms_; }

    // Adds or updates an endpoint. With `assume_just_started`, an unknown lifetime counts as just
    // begun, hence cold; otherwise only its record decides whether it is cold.
    void apply(const endpoint_record& record, const service_spec* service, bool assume_just_started,
               time_point now);
    void remove(const std::string& id, time_point now);
    // Ids of the endpoints that are not in `ids`.
    std::vector<std::string> missing_from(const std::set<std::string>& ids) const;

    void set_domain_out(const std::string& domain, bool out);
    // Returns all failure domains that are not in `domains` to service.
    void retain_domains_out(const std::set<std::string>& domains);
    bool is_domain_out(std::string_view domain) const;

    // Chooses an endpoint and counts the request as sent to it; null when none is available.
    // `choice` receives why it was chosen.
    endpoint_ptr acquire(const placement_request& request, const service_spec* service,
                         time_point now, timed_choice* choice = nullptr);
    // Failure domain of the endpoint that requests with this affinity go to while it is not loaded
    // above the others; empty when the service has no warm endpoint. `by_time`: requests are placed
    // by expected time.
    std::string home_domain(std::string_view service, std::string_view affinity, bool by_time,
                            time_point now) const;
    // Earliest time at which `acquire` may find an endpoint; nullopt when no listed endpoint is
    // usable for the request.
    std::optional<time_point> next_available_at(const placement_request& request,
                                                time_point now) const;
    // Number of endpoints that are listed, usable and cold, to explain in the log why `acquire`
    // found none.
    std::string describe_availability(std::string_view service, time_point now) const;

    // Endpoints of a service that may get new requests.
    std::vector<endpoint_ptr> serving(std::string_view service) const;
    // All listed endpoints by service, of which there may be none.
    const std::map<std::string, std::vector<endpoint_ptr>, std::less<>>& by_service() const
    {
        return by_service_;
    }
    // Increases with each change of the listed endpoints.
    std::uint64_t changes() const { return changes_; }
    // Ends all effects of roll-outs.
    void admit_all();
    bool is_serving(std::string_view id) const;
    endpoint_ptr find(std::string_view id) const;
    endpoint_ptr find_address(std::string_view address) const;
    // All endpoints by their endpoint_key.
    std::unordered_map<std::uint64_t, endpoint_ptr> by_key() const;
    std::size_t size() const { return endpoints_.size(); }

    // Counts the first arrival of a request or stage at a service, which adds to its retry budget.
    void count_new_request(const std::string& service, time_point now);
    // True if the retry budget of the service is not exhausted.
    bool may_retry(const std::string& service, time_point now);
    // Takes one retry from the retry budget of the service; false when the budget is exhausted.
    bool try_acquire_retry(const std::string& service, time_point now);
    // The same for a stage: its slack is shared by the VMs that batch it, not by the whole fleet.
    bool try_acquire_stage_retry(const std::string& service, time_point now);

    // `failure` of an attempt to connect.
    void on_unreachable(known_endpoint& endpoint, const service_spec* service,
                        upstream_failure failure, time_point now);
    // Something has arrived from the endpoint.
    void on_reached(const known_endpoint& endpoint);
    // False if attempts to connect to several endpoints of the domain have timed out since one was
    // reached there. The VM's own domain always counts as reachable.
    bool is_reachable(std::string_view domain) const;
    std::size_t unreachable_domains() const { return reachability_->unreachable(); }
    // Opens a connection to an endpoint of each unreachable domain that is due for it.
    void probe_domains(time_point now);
    // Notes what an endpoint has said of itself with a response. It holds for its lifetime, listed
    // or not. True if the endpoint is no longer usable.
    bool on_notice(known_endpoint& endpoint, const endpoint_answer& answer, time_point now);
    // Notes the limit that the endpoint has named with a response, or has not, to a request that
    // was sent at `sent_at`. True if other VMs are to be told of it.
    bool on_limit(known_endpoint& endpoint, const endpoint_answer& answer, time_point sent_at,
                  time_point now);
    // Another VM was told of the limit; nothing: of none.
    void on_limit_report(known_endpoint& endpoint, std::optional<double> limit, time_point now);
    void sweep(time_point now);
    std::uint64_t opened_connections() const;
    std::vector<endpoint_report> report(time_point now) const;
    std::vector<std::string> domains_out() const;

private:
    std::optional<timed_choice> choose(const std::vector<placement_candidate>& candidates,
                                       const std::vector<endpoint_ptr>& endpoints,
                                       const placement_request& request,
                                       const placement_query& query, const service_spec* service,
                                       time_point now) const;
    bool is_usable(const known_endpoint& endpoint) const;
    endpoint_ptr choose_probe(std::string_view domain);
    static bool has_memory(const known_endpoint& endpoint, const placement_request& request,
                           const service_spec* service, time_point now);
    bool within_cold_share(known_endpoint& endpoint, const service_spec* service, time_point now);
    static bool within_limit(const known_endpoint& endpoint, const service_spec* service,
                             time_point now);
    void set_limit(known_endpoint& endpoint, double limit, time_point now);
    void end_limit(known_endpoint& endpoint, std::string_view why);
    std::uint32_t connection_share(const service_spec* service) const;

    boost::asio::io_context& io_;
    std::string own_vm_;
    std::string own_domain_;
    fleet_limits limits_;
    std::vector<std::string> vms_;
    std::map<std::string, endpoint_ptr, std::less<>> endpoints_;
    std::map<std::string, std::vector<endpoint_ptr>, std::less<>> by_service_;
    std::set<std::string, std::less<>> domains_out_;
    // Shared with the callbacks of probes.
    std::shared_ptr<domain_reachability> reachability_ = std::make_shared<domain_reachability>();
    std::string last_probed_; // id of an endpoint
    std::map<std::string, service_retry_budget> budgets_;
    struct lifetime_notice
    {
        std::int64_t started_at = 0;
        std::string address;
        bool leaving = false;
        time_point paused_until{};
        std::optional<double> limit;
        time_point limit_named_at{};
        time_point noted_at{};
    };
    lifetime_notice& notice_of(const endpoint_record& record, time_point now);
    std::map<std::string, lifetime_notice> notices_; // by id
    std::uint64_t tie_breaker_ = 0;
    std::uint64_t changes_ = 1;
    std::uint64_t opened_by_removed_ = 0; // connections opened by removed endpoints
};

} // namespace zinnianotch
