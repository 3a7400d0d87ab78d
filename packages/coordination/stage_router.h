// Routes each stage to the VM that batches the pieces of its queue, this one or another, and
// accepts stages from other VMs for the queues that this VM batches.
//
// One VM batches all pieces of a queue: each call has a fixed cost regardless of its size, and the
// pool collapses when every VM sends small calls of its own. The batching VM is the first reachable
// one in a rendezvous order of the listed VMs. While VMs disagree about it, calls are only smaller.
// The log event `stage_gatherer` and the field `gathers` of the VM status name this role.
#pragma once

#include "coordination/stage_batcher.h"
#include "transport/log.h"
#include "transport/vm_link.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace zinnianotch
{

// Number of VMs in the rendezvous order of a queue to which a link is kept: the batching VM and its
// successor.
inline constexpr std::size_t links_per_queue = 2;

// A queue of pieces, of a service or of one of its shards, that one VM batches.
struct routed_queue
{
    std::string name;
    std::string domain; // failure domain of its endpoints for a shard, else empty

    bool operator==(const routed_queue&) const = default;
};

// Rendezvous weight factor of a VM in the failure domain of a shard's endpoints: a VM in that
// domain is preferred unless its capacity is lower by this factor.
inline constexpr double same_domain_weight = 50.0;

template <typename Codec>
class stage_router
{
public:
    // Called with each state_answer and state_notice that the VM sends, and with a leaving_message
    // when it shuts down or its link is lost.
    using state_handler = std::function<void(const std::string& vm, const vm_message&)>;

    stage_router(boost::asio::io_context& io, std::string own_vm, stage_batcher<Codec>& batcher,
                 metrics& counters, state_handler on_state);
    ~stage_router();

    stage_router(const stage_router&) = delete;
    stage_router& operator=(const stage_router&) = delete;

    void set_vms(const std::map<std::string, vm_record>& vms);
    // Addresses of VMs that are queried for the state while no VM is known.
    void set_seeds(std::vector<std::string> addresses);
    // Queued messages are counted there, on the links made from now on.
    void set_memory(std::shared_ptr<memory_account> account) { memory_ = std::move(account); }
    // All queues: services, or shards of services.
    void set_queues(const std::vector<routed_queue>& queues);

    std::uint64_t submit(const stage_request& request, stage_callback done, time_point now);
    void cancel(std::uint64_t job);
    void release(const std::string& queue, const std::vector<std::string>& handles);

    // Handles a message about stages from another VM.
    void on_message(const std::shared_ptr<vm_channel>& from, vm_message&& message);
    void on_closed(const std::shared_ptr<vm_channel>& from, const link_history& history);

    // VMs to keep a link to for the state of the store.
    void set_state_peers(std::vector<std::string> names);
    // Called with each VM whose link comes up.
    std::function<void(const std::string& vm)> on_link_up;
    // Called with each VM whose link is lost, and when bytes were last received on it.
    std::function<void(const std::string& vm, time_point received_at)> on_link_down;
    // True if the link to the VM is up and the VM is not shutting down.
    bool is_linked(const std::string& vm) const;
    // Sends the message to the VM, if its link is up.
    void send(const std::string& vm, const vm_message& message);
    // Sends the message to all VMs with a link that is up.
    void broadcast(const vm_message& message);
    // Sends the query to the VM, if it is reachable.
    void query_state(const std::string& vm, const state_query& query);
    // Sends the query to one of the reachable VMs, in turn; false when there is none.
    bool query_state(const state_query& query);

    // From now on, jobs of other VMs that have not begun go back to them; those that have begun are
    // completed.
    void begin_stop();

    void tick(time_point now);
    std::size_t peer_job_count() const;
    std::size_t links_up() const;
    bool is_batcher_of(const std::string& queue) { return batcher_of(queue) == own_vm_; }

private:
    struct link_entry
    {
        std::unique_ptr<vm_link> link;
        std::string address;
        bool leaving = false;
    };

    struct remote_job
    {
        std::string vm;
        stage_request request;
        stage_callback done;
        time_point submitted{};
    };

    // Name of the VM that batches the queue now, which may be this one.
    const std::string& batcher_of(const std::string& queue);
    void ensure_link(const std::string& name, const std::string& address);
    void update_links();
    // By value: a change of the VM list may destroy the link that the message comes from.
    void on_link_message(std::string vm, vm_message&& message);
    void handle_link_up(const std::string& vm);
    void handle_link_down(const std::string& vm, const link_history& history);
    void log_link_end(log_level level, std::string_view event, std::string_view peer,
                      const link_history& history);
    void on_done(const std::string& vm, const done_message& message);
    // Sends a job to the VM that batches its queue now, and keeps the id that `submit` returned.
    void route_job(std::uint64_t id, remote_job job, time_point now);
    // Routes the job again after the VM that batched it has given it up.
    void reroute(std::uint64_t id, time_point now);
    void on_returned(const std::string& vm, std::uint64_t job);
    // Gives the jobs of other VMs that have not begun back to them.
    void return_waiting_jobs();
    void submit_for_peer(const std::shared_ptr<vm_channel>& from, const submit_message& message);

    boost::asio::io_context& io_;
    std::string own_vm_;
    stage_batcher<Codec>& batcher_;
    metrics& counters_;
    state_handler on_state_;
    std::shared_ptr<memory_account> memory_;
    std::map<std::string, vm_record> vms_;
    std::vector<std::string> seeds_;
    std::vector<std::string> state_peers_;
    std::vector<routed_queue> queues_;
    std::map<std::string, std::vector<std::string>> batcher_orders_; // by queue
    std::map<std::string, link_entry> links_;
    std::map<std::uint64_t, remote_job> remote_jobs_;
    std::map<std::uint64_t, std::uint64_t> local_jobs_; // id at the own batcher, by id
    // Id at the own batcher, by channel and by the id that the peer assigned.
    std::map<vm_channel*, std::map<std::uint64_t, std::uint64_t>> peer_jobs_;
    std::map<std::string, std::string> logged_batchers_; // batching VM by queue, as last logged
    std::uint64_t next_job_ = 0;
    std::size_t next_state_peer_ = 0;
    bool stopping_ = false;
};

} // namespace zinnianotch
