// Template definitions of stage_router; included by the source that instantiates it.
#pragma once

#include "coordination/stage_batcher_impl.h"
#include "coordination/stage_router.h"
#include "state/shares.h"

#include <algorithm>

namespace zinnianotch
{

template <typename Codec>
stage_router<Codec>::stage_router(boost::asio::io_context& io, std::string own_vm,
                                  stage_batcher<Codec>& batcher, metrics& counters,
                                  state_handler on_state)
    : io_(io), own_vm_(std::move(own_vm)), batcher_(batcher), counters_(counters),
      on_state_(std::move(on_state))
{
}

template <typename Codec>
stage_router<Codec>::~stage_router() = default;

template <typename Codec>
void stage_router<Codec>::set_vms(const std::map<std::string, vm_record>& vms)
{
    vms_ = vms;
    update_links();
}

template <typename Codec>
void stage_router<Codec>::set_seeds(std::vector<std::string> addresses)
{
    seeds_ = std::move(addresses);
    update_links();
}

template <typename Codec>
void stage_router<Codec>::set_state_peers(std::vector<std::string> names)
{
    state_peers_ = std::move(names);
    update_links();
}

template <typename Codec>
void stage_router<Codec>::set_queues(const std::vector<routed_queue>& queues)
{
    if (queues == queues_)
        return;
    queues_ = queues;
    update_links();
}

template <typename Codec>
void stage_router<Codec>::ensure_link(const std::string& name, const std::string& address)
{
    const auto peer = parse_socket_address(address);
    if (!peer)
        return;
    link_entry& entry = links_[name];
    if (entry.link && entry.address == address)
        return;
    const bool was_up = entry.link && entry.link->is_up();
    entry.address = address;
    entry.leaving = false;
    entry.link = std::make_unique<vm_link>(
        io_, *peer,
        [this, name](vm_message&& message) { on_link_message(name, std::move(message)); },
        [this, name] { handle_link_up(name); },
        [this, name](const link_history& history) { handle_link_down(name, history); });
    entry.link->set_memory(memory_);
    if (was_up)
        handle_link_down(name, {}); // a link that is replaced does not report its end
}

// Keeps links to the first VMs in the rendezvous order of each queue, and to those that the state
// is taken from. Closes the others unless jobs are in progress on them.
template <typename Codec>
void stage_router<Codec>::update_links()
{
    std::map<std::string, std::string> wanted;
    const auto add_wanted = [&](const std::vector<std::string>& order, std::size_t count)
    {
        for (const std::string& name : order)
        {
            if (count == 0 || name == own_vm_)
                break;
            wanted[name] = vms_[name].address;
            --count;
        }
    };
    batcher_orders_.clear();
    for (const routed_queue& queue : queues_)
    {
        std::vector<weighted_name> weighted;
        for (const auto& [name, vm] : vms_)
        {
            const bool same_domain = queue.domain.empty() || vm.domain == queue.domain;
            weighted.push_back({name, vm.capacity * (same_domain ? same_domain_weight : 1.0)});
        }
        batcher_orders_[queue.name] = rendezvous_order("stage/" + queue.name, weighted);
        add_wanted(batcher_orders_[queue.name], links_per_queue);
    }
    for (const std::string& name : state_peers_)
    {
        if (const auto vm = vms_.find(name); vm != vms_.end() && name != own_vm_)
            wanted[name] = vm->second.address;
    }
    if (wanted.empty())
    {
        for (const std::string& address : seeds_)
            wanted["seed " + address] = address;
    }
    std::set<std::string> busy;
    for (const auto& [id, job] : remote_jobs_)
        busy.insert(job.vm);
    std::erase_if(links_, [&](const auto& entry)
                  { return !wanted.contains(entry.first) && !busy.contains(entry.first); });
    for (const auto& [name, address] : wanted)
        ensure_link(name, address);
}

template <typename Codec>
const std::string& stage_router<Codec>::batcher_of(const std::string& queue)
{
    const auto order = batcher_orders_.find(queue);
    if (order == batcher_orders_.end())
        return own_vm_;
    for (const std::string& name : order->second)
    {
        if (name == own_vm_)
            return own_vm_;
        const auto found = links_.find(name);
        if (found != links_.end() && found->second.link->is_up() && !found->second.leaving)
            return name;
    }
    return own_vm_;
}

template <typename Codec>
std::uint64_t stage_router<Codec>::submit(const stage_request& request, stage_callback done,
                                          time_point now)
{
    const std::uint64_t id = ++next_job_;
    const std::string queue = queue_name(request.service, request.shard);
    const std::string& vm = batcher_of(queue);
    if (std::string& logged = logged_batchers_[queue]; logged != vm)
    {
        log_event(log_level::info, "stage_gatherer",
                  {{"queue", queue}, {"vm", vm}, {"before", logged}});
        logged = vm;
    }
    route_job(id, {vm, request, std::move(done), now}, now);
    return id;
}

template <typename Codec>
void stage_router<Codec>::cancel(std::uint64_t job)
{
    if (const auto found = local_jobs_.find(job); found != local_jobs_.end())
    {
        const std::uint64_t local_id = found->second;
        local_jobs_.erase(found);
        return batcher_.cancel(local_id);
    }
    const auto found = remote_jobs_.find(job);
    if (found == remote_jobs_.end())
        return;
    if (const auto entry = links_.find(found->second.vm); entry != links_.end())
        entry->second.link->send(cancel_message{job});
    remote_jobs_.erase(found);
}

template <typename Codec>
void stage_router<Codec>::release(const std::string& queue, const std::vector<std::string>& handles)
{
    if (handles.empty())
        return;
    const std::string& vm = batcher_of(queue);
    if (vm == own_vm_)
        return batcher_.release(handles);
    links_[vm].link->send(release_message{handles});
}

template <typename Codec>
void stage_router<Codec>::on_link_message(std::string vm, vm_message&& message)
{
    if (const auto* done = std::get_if<done_message>(&message))
        return on_done(vm, *done);
    if (const auto* returned = std::get_if<returned_message>(&message))
        return on_returned(vm, returned->job);
    if (std::holds_alternative<leaving_message>(message))
        links_[vm].leaving = true;
    on_state_(vm, message);
}

template <typename Codec>
void stage_router<Codec>::on_done(const std::string& vm, const done_message& message)
{
    const auto found = remote_jobs_.find(message.job);
    if (found == remote_jobs_.end() || found->second.vm != vm)
    {
        if (message.outcome.handles.empty())
            return;
        // The job was cancelled while its results were in transit; release them.
        if (const auto entry = links_.find(vm); entry != links_.end())
            entry->second.link->send(release_message{message.outcome.handles});
        return;
    }
    const stage_callback done = std::move(found->second.done);
    remote_jobs_.erase(found);
    done(message.outcome);
}

template <typename Codec>
void stage_router<Codec>::log_link_end(log_level level, std::string_view event,
                                       std::string_view peer, const link_history& history)
{
    const std::string why(to_string(history.end));
    counters_.count("vm_links_ended_" + why + "_total");
    counters_.count("vm_link_received_bytes_total", history.received_bytes);
    counters_.count("vm_link_sent_bytes_total", history.sent_bytes);
    log_event(level, event,
              {{"peer", std::string(peer)},
               {"why", why},
               {"lived_ms", std::to_string(history.lived.count())},
               {"silent_ms", std::to_string(history.silent.count())},
               {"received", std::to_string(history.received_bytes)},
               {"sent", std::to_string(history.sent_bytes)},
               {"queued", std::to_string(history.queued_bytes)}});
}

template <typename Codec>
void stage_router<Codec>::handle_link_up(const std::string& vm)
{
    log_event(log_level::info, "vm_regained", {{"peer", vm}});
    if (const auto entry = links_.find(vm); entry != links_.end())
        entry->second.leaving = false;
    if (on_link_up)
        on_link_up(vm);
}

// When the link to a batching VM is lost, its jobs are rerouted to the next VM. The lost VM's calls
// may still run: a piece that runs twice costs endpoint time but fails no request.
template <typename Codec>
void stage_router<Codec>::handle_link_down(const std::string& vm, const link_history& history)
{
    const time_point now = steady_clock::now();
    log_link_end(log_level::warning, "vm_lost", vm, history);
    if (const auto entry = links_.find(vm); entry != links_.end())
        entry->second.leaving = false;
    if (on_link_down)
        on_link_down(vm, now - history.silent);
    on_state_(vm, leaving_message{});
    std::vector<std::uint64_t> ids;
    for (const auto& [id, job] : remote_jobs_)
    {
        if (job.vm == vm)
            ids.push_back(id);
    }
    for (const std::uint64_t id : ids)
    {
        // Not there if another stage of its request has ended, and the request with it.
        if (remote_jobs_.contains(id))
            reroute(id, now);
    }
}

template <typename Codec>
void stage_router<Codec>::reroute(std::uint64_t id, time_point now)
{
    const auto found = remote_jobs_.find(id);
    remote_job job = std::move(found->second);
    remote_jobs_.erase(found);
    const auto spent = std::chrono::duration_cast<milliseconds>(now - job.submitted);
    job.request.goal_left -= spent;
    job.request.deadline_left -= spent;
    counters_.count("stage_jobs_moved_total");
    route_job(id, std::move(job), now);
}

template <typename Codec>
void stage_router<Codec>::on_returned(const std::string& vm, std::uint64_t job)
{
    links_[vm].leaving = true; // the job must not go there again
    const auto found = remote_jobs_.find(job);
    if (found != remote_jobs_.end() && found->second.vm == vm)
        reroute(job, steady_clock::now());
}

template <typename Codec>
void stage_router<Codec>::route_job(std::uint64_t id, remote_job job, time_point now)
{
    const std::string& vm = batcher_of(queue_name(job.request.service, job.request.shard));
    if (vm != own_vm_)
    {
        job.vm = vm;
        job.submitted = now;
        links_[vm].link->send(submit_message{id, job.request});
        remote_jobs_[id] = std::move(job);
        return;
    }
    local_jobs_[id] = 0;
    const std::uint64_t local_id = batcher_.submit(
        job.request,
        [this, id, done = std::move(job.done)](const stage_outcome& outcome)
        {
            // Cancelled while its outcome waited in the event loop.
            if (local_jobs_.erase(id) == 0)
                return batcher_.release(outcome.handles);
            done(outcome);
        },
        now);
    if (const auto found = local_jobs_.find(id); found != local_jobs_.end())
        found->second = local_id;
}

template <typename Codec>
void stage_router<Codec>::submit_for_peer(const std::shared_ptr<vm_channel>& from,
                                          const submit_message& message)
{
    if (stopping_)
        return from->send(returned_message{message.job});
    const std::weak_ptr<vm_channel> weak = from;
    vm_channel* const key = from.get();
    peer_jobs_[key][message.job] = 0;
    const std::uint64_t local_id = batcher_.submit(
        message.request,
        [this, weak, key, job = message.job](const stage_outcome& outcome)
        {
            const auto alive = weak.lock();
            const auto jobs = peer_jobs_.find(key);
            if (!alive || jobs == peer_jobs_.end() || jobs->second.erase(job) == 0)
                return batcher_.release(outcome.handles);
            alive->send(done_message{job, outcome});
        },
        steady_clock::now());
    const auto jobs = peer_jobs_.find(key);
    if (jobs == peer_jobs_.end())
        return;
    if (const auto found = jobs->second.find(message.job); found != jobs->second.end())
        found->second = local_id;
}

template <typename Codec>
void stage_router<Codec>::on_message(const std::shared_ptr<vm_channel>& from, vm_message&& message)
{
    if (const auto* submitted = std::get_if<submit_message>(&message))
        return submit_for_peer(from, *submitted);
    if (const auto* released = std::get_if<release_message>(&message))
        return batcher_.release(released->handles);
    const auto* cancelled = std::get_if<cancel_message>(&message);
    if (cancelled == nullptr)
        return;
    const auto jobs = peer_jobs_.find(from.get());
    if (jobs == peer_jobs_.end())
        return;
    const auto found = jobs->second.find(cancelled->job);
    if (found == jobs->second.end())
        return;
    const std::uint64_t local_id = found->second;
    jobs->second.erase(found);
    batcher_.cancel(local_id);
}

template <typename Codec>
void stage_router<Codec>::on_closed(const std::shared_ptr<vm_channel>& from,
                                    const link_history& history)
{
    // The connecting end reports the other ends of a link.
    if (history.end != link_end::peer_closed && history.end != link_end::local)
        log_link_end(log_level::info, "vm_link_closed", from->peer(), history);
    const auto jobs = peer_jobs_.find(from.get());
    if (jobs == peer_jobs_.end())
        return;
    const auto all = std::move(jobs->second);
    peer_jobs_.erase(jobs);
    for (const auto& [job, local_id] : all)
        batcher_.cancel(local_id);
}

template <typename Codec>
void stage_router<Codec>::query_state(const std::string& vm, const state_query& query)
{
    if (const auto found = links_.find(vm); found != links_.end())
        found->second.link->send(query);
}

template <typename Codec>
bool stage_router<Codec>::is_linked(const std::string& vm) const
{
    const auto found = links_.find(vm);
    return found != links_.end() && found->second.link->is_up() && !found->second.leaving;
}

template <typename Codec>
void stage_router<Codec>::send(const std::string& vm, const vm_message& message)
{
    if (const auto found = links_.find(vm); found != links_.end() && found->second.link->is_up())
        found->second.link->send(message);
}

template <typename Codec>
void stage_router<Codec>::broadcast(const vm_message& message)
{
    for (const auto& [name, entry] : links_)
    {
        if (entry.link->is_up())
            entry.link->send(message);
    }
}

template <typename Codec>
bool stage_router<Codec>::query_state(const state_query& query)
{
    std::vector<vm_link*> up;
    for (const auto& [name, entry] : links_)
    {
        if (entry.link->is_up())
            up.push_back(entry.link.get());
    }
    if (up.empty())
        return false;
    up[next_state_peer_++ % up.size()]->send(query);
    return true;
}

template <typename Codec>
void stage_router<Codec>::begin_stop()
{
    stopping_ = true;
    return_waiting_jobs();
}

template <typename Codec>
void stage_router<Codec>::return_waiting_jobs()
{
    // Sent after the loop: a failing connection changes peer_jobs_.
    std::vector<std::pair<std::shared_ptr<vm_channel>, std::uint64_t>> returned;
    for (auto& [channel, jobs] : peer_jobs_)
    {
        std::erase_if(jobs,
                      [&, owner = channel](const auto& entry)
                      {
                          if (!batcher_.cancel_if_waiting(entry.second))
                              return false;
                          returned.emplace_back(owner->shared_from_this(), entry.first);
                          return true;
                      });
    }
    for (const auto& [channel, job] : returned)
        channel->send(returned_message{job});
    counters_.count("stage_jobs_returned_total", returned.size());
}

template <typename Codec>
void stage_router<Codec>::tick(time_point now)
{
    if (stopping_)
        return_waiting_jobs();
    std::vector<vm_link*> links;
    for (const auto& [name, entry] : links_)
        links.push_back(entry.link.get());
    for (vm_link* link : links)
        link->tick(now);
}

template <typename Codec>
std::size_t stage_router<Codec>::links_up() const
{
    return static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(),
                                                  [](const auto& entry)
                                                  { return entry.second.link->is_up(); }));
}

template <typename Codec>
std::size_t stage_router<Codec>::peer_job_count() const
{
    std::size_t count = 0;
    for (const auto& [channel, jobs] : peer_jobs_)
        count += jobs.size();
    return count;
}

} // namespace zinnianotch
