// Sends each stage to the VM that gathers the pieces of its service, this one or another, and
// gathers for the other VMs.
//
// One VM gathers all pieces of a service: a call costs a fixed time whatever it holds, and VMs that
// each send what they have collapse the pool. The VM is the first in a rendezvous order of the
// listed VMs that can be reached; VMs that disagree for a moment only send smaller calls.
#pragma once

#include "coordination/stage_gatherer.h"
#include "transport/vm_link.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace zinnianotch
{

// VMs in the order of a service to which a connection is kept: the gathering one and its successor.
inline constexpr std::size_t kept_links = 2;
// Links beside these, so that a VM that the store turns away can ask others for the state.
inline constexpr std::size_t state_links = 2;

// Pieces that one VM gathers.
struct gathered_queue
{
    std::string name;
    std::string domain; // failure domain of its endpoints when it is a shard; else empty

    bool operator==(const gathered_queue&) const = default;
};

// A VM beside the endpoints of a shard gathers for it unless it is weaker by this factor.
inline constexpr double beside_factor = 50.0;

template <typename Codec>
class stage_router
{
public:
    using on_answer = std::function<void(const state_answer&)>;

    stage_router(boost::asio::io_context& io, std::string own_vm, stage_gatherer<Codec>& local,
                 metrics& counters, on_answer answer);
    ~stage_router();

    stage_router(const stage_router&) = delete;
    stage_router& operator=(const stage_router&) = delete;

    void set_vms(const std::map<std::string, vm_record>& vms);
    // Addresses to ask for the state while no VM is known.
    void set_seeds(std::vector<std::string> addresses);
    // Queues that are gathered: services, or shards of services.
    void set_queues(const std::vector<gathered_queue>& queues);

    std::uint64_t submit(const stage_request& request, stage_done done, time_point now);
    void cancel(std::uint64_t job);
    void release(const std::string& queue, const std::vector<std::string>& handles);

    // A message of another VM about stages.
    void on_message(const std::shared_ptr<vm_channel>& from, vm_message&& message);
    void on_closed(const std::shared_ptr<vm_channel>& from);

    // Asks one of the VMs that can be reached; false when there is none.
    bool ask_state(const state_query& query);

    void tick(time_point now);
    std::size_t jobs_of_others() const;
    std::size_t links_up() const;
    bool gathers(const std::string& queue) { return gatherer_of(queue) == own_vm_; }

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
        stage_done done;
        time_point submitted{};
    };

    // Name of the VM that gathers the queue now; the own name when it is this one.
    const std::string& gatherer_of(const std::string& queue);
    void keep_link(const std::string& name, const std::string& address);
    void update_links();
    void on_link_message(const std::string& vm, vm_message&& message);
    void on_link_changed(const std::string& vm, bool up);
    void on_done(const std::string& vm, const done_message& message);
    // Hands a job to the VM that gathers for its service now, under the id that its owner knows.
    void hand_over(std::uint64_t id, remote_job job, time_point now);
    void submit_for(const std::shared_ptr<vm_channel>& from, const submit_message& message);

    boost::asio::io_context& io_;
    std::string own_vm_;
    stage_gatherer<Codec>& local_;
    metrics& counters_;
    on_answer answer_;
    std::map<std::string, vm_record> vms_;
    std::vector<std::string> seeds_;
    std::vector<gathered_queue> queues_;
    std::map<std::string, std::vector<std::string>> orders_; // by queue
    std::map<std::string, link_entry> links_;
    std::map<std::uint64_t, remote_job> remote_;
    std::map<std::uint64_t, std::uint64_t> own_; // jobs at the own gatherer
    std::map<vm_channel*, std::map<std::uint64_t, std::uint64_t>> for_others_;
    std::map<std::string, std::string> logged_; // gatherer of a queue as last logged
    std::uint64_t next_job_ = 0;
    std::size_t next_asked_ = 0;
};

} // namespace zinnianotch
