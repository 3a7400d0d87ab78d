// Definitions of stage_router, for the source that instantiates it.
#pragma once

#include "coordination/stage_gatherer_impl.h"
#include "coordination/stage_router.h"
#include "state/shares.h"

#include <algorithm>

namespace zinnianotch
{

template <typename Codec>
stage_router<Codec>::stage_router(boost::asio::io_context& io, std::string own_vm,
                                  stage_gatherer<Codec>& local, metrics& counters, on_answer answer)
    : io_(io), own_vm_(std::move(own_vm)), local_(local), counters_(counters),
      answer_(std::move(answer))
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
void stage_router<Codec>::set_queues(const std::vector<gathered_queue>& queues)
{
    if (queues == queues_)
        return;
    queues_ = queues;
    update_links();
}

template <typename Codec>
void stage_router<Codec>::keep_link(const std::string& name, const std::string& address)
{
    link_entry& entry = links_[name];
    if (entry.link && entry.address == address)
        return;
    const auto peer = parse_endpoint(address);
    if (!peer)
        return;
    entry.address = address;
    entry.leaving = false;
    entry.link = std::make_unique<vm_link>(
        io_, *peer,
        [this, name](vm_message&& message) { on_link_message(name, std::move(message)); },
        [this, name](bool up) { on_link_changed(name, up); });
}

// Keeps links to the first VMs in the order of each service and to a few more; the others go,
// unless jobs are under way on them.
template <typename Codec>
void stage_router<Codec>::update_links()
{
    std::vector<std::string> names;
    for (const auto& [name, vm] : vms_)
        names.push_back(name);
    std::map<std::string, std::string> wanted;
    const auto want_first = [&](const std::vector<std::string>& order, std::size_t count)
    {
        for (const std::string& name : order)
        {
            if (count == 0 || name == own_vm_)
                break;
            wanted[name] = vms_[name].address;
            --count;
        }
    };
    orders_.clear();
    for (const gathered_queue& queue : queues_)
    {
        std::vector<weighted_name> weighted;
        for (const auto& [name, vm] : vms_)
        {
            const bool beside = queue.domain.empty() || vm.domain == queue.domain;
            weighted.push_back({name, vm.capacity * (beside ? beside_factor : 1.0)});
        }
        orders_[queue.name] = rendezvous_order("stage/" + queue.name, weighted);
        want_first(orders_[queue.name], kept_links);
    }
    std::vector<std::string> others = rendezvous_order("state/" + own_vm_, names);
    std::erase(others, own_vm_);
    want_first(others, state_links);
    if (wanted.empty())
    {
        for (const std::string& address : seeds_)
            wanted["seed " + address] = address;
    }
    std::set<std::string> busy;
    for (const auto& [id, job] : remote_)
        busy.insert(job.vm);
    std::erase_if(links_, [&](const auto& entry)
                  { return !wanted.contains(entry.first) && !busy.contains(entry.first); });
    for (const auto& [name, address] : wanted)
        keep_link(name, address);
}

template <typename Codec>
const std::string& stage_router<Codec>::gatherer_of(const std::string& queue)
{
    const auto order = orders_.find(queue);
    if (order == orders_.end())
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
std::uint64_t stage_router<Codec>::submit(const stage_request& request, stage_done done,
                                          time_point now)
{
    const std::uint64_t id = ++next_job_;
    const std::string queue = queue_name(request.service, request.shard);
    const std::string& vm = gatherer_of(queue);
    if (std::string& logged = logged_[queue]; logged != vm)
    {
        log_event(log_level::info, "stage_gatherer",
                  {{"queue", queue}, {"vm", vm}, {"before", logged}});
        logged = vm;
    }
    hand_over(id, {vm, request, std::move(done), now}, now);
    return id;
}

template <typename Codec>
void stage_router<Codec>::cancel(std::uint64_t job)
{
    if (const auto found = own_.find(job); found != own_.end())
    {
        const std::uint64_t local = found->second;
        own_.erase(found);
        return local_.cancel(local);
    }
    const auto found = remote_.find(job);
    if (found == remote_.end())
        return;
    if (const auto entry = links_.find(found->second.vm); entry != links_.end())
        entry->second.link->send(cancel_message{job});
    remote_.erase(found);
}

template <typename Codec>
void stage_router<Codec>::release(const std::string& queue, const std::vector<std::string>& handles)
{
    if (handles.empty())
        return;
    const std::string& vm = gatherer_of(queue);
    if (vm == own_vm_)
        return local_.release(handles);
    links_[vm].link->send(release_message{handles});
}

template <typename Codec>
void stage_router<Codec>::on_link_message(const std::string& vm, vm_message&& message)
{
    if (const auto* done = std::get_if<done_message>(&message))
        return on_done(vm, *done);
    if (std::holds_alternative<leaving_message>(message))
    {
        links_[vm].leaving = true;
        return;
    }
    if (const auto* answer = std::get_if<state_answer>(&message))
        answer_(*answer);
}

template <typename Codec>
void stage_router<Codec>::on_done(const std::string& vm, const done_message& message)
{
    const auto found = remote_.find(message.job);
    if (found == remote_.end() || found->second.vm != vm)
    {
        if (message.outcome.handles.empty())
            return;
        // Cancelled on the way: the results are of no use.
        if (const auto entry = links_.find(vm); entry != links_.end())
            entry->second.link->send(release_message{message.outcome.handles});
        return;
    }
    const stage_done done = std::move(found->second.done);
    remote_.erase(found);
    done(message.outcome);
}

// A VM that gathered for this one is gone: what it had goes to the next one. Its calls may still
// run; a piece that is made twice costs time of an endpoint, but no request.
template <typename Codec>
void stage_router<Codec>::on_link_changed(const std::string& vm, bool up)
{
    const time_point now = steady_clock::now();
    log_event(up ? log_level::info : log_level::warning, up ? "vm_regained" : "vm_lost",
              {{"peer", vm}});
    const auto entry = links_.find(vm);
    if (entry != links_.end())
        entry->second.leaving = false;
    if (up)
        return;
    std::vector<std::uint64_t> ids;
    for (const auto& [id, job] : remote_)
    {
        if (job.vm == vm)
            ids.push_back(id);
    }
    for (const std::uint64_t id : ids)
    {
        const auto found = remote_.find(id);
        if (found == remote_.end())
            continue; // its request has ended with another of its stages
        remote_job job = std::move(found->second);
        remote_.erase(found);
        const auto spent = std::chrono::duration_cast<milliseconds>(now - job.submitted);
        job.request.goal_left -= spent;
        job.request.deadline_left -= spent;
        counters_.count("stage_jobs_moved_total");
        hand_over(id, std::move(job), now);
    }
}

template <typename Codec>
void stage_router<Codec>::hand_over(std::uint64_t id, remote_job job, time_point now)
{
    const std::string& vm = gatherer_of(queue_name(job.request.service, job.request.shard));
    if (vm != own_vm_)
    {
        job.vm = vm;
        job.submitted = now;
        links_[vm].link->send(submit_message{id, job.request});
        remote_[id] = std::move(job);
        return;
    }
    own_[id] = 0;
    const std::uint64_t local = local_.submit(
        job.request,
        [this, id, done = std::move(job.done)](const stage_outcome& outcome)
        {
            own_.erase(id);
            done(outcome);
        },
        now);
    if (const auto found = own_.find(id); found != own_.end())
        found->second = local;
}

template <typename Codec>
void stage_router<Codec>::submit_for(const std::shared_ptr<vm_channel>& from,
                                     const submit_message& message)
{
    const std::weak_ptr<vm_channel> weak = from;
    vm_channel* const key = from.get();
    for_others_[key][message.job] = 0;
    const std::uint64_t local = local_.submit(
        message.request,
        [this, weak, key, job = message.job](const stage_outcome& outcome)
        {
            const auto alive = weak.lock();
            const auto jobs = for_others_.find(key);
            if (!alive || jobs == for_others_.end() || jobs->second.erase(job) == 0)
                return local_.release(outcome.handles);
            alive->send(done_message{job, outcome});
        },
        steady_clock::now());
    const auto jobs = for_others_.find(key);
    if (jobs == for_others_.end())
        return;
    if (const auto found = jobs->second.find(message.job); found != jobs->second.end())
        found->second = local;
}

template <typename Codec>
void stage_router<Codec>::on_message(const std::shared_ptr<vm_channel>& from, vm_message&& message)
{
    if (const auto* submitted = std::get_if<submit_message>(&message))
        return submit_for(from, *submitted);
    if (const auto* released = std::get_if<release_message>(&message))
        return local_.release(released->handles);
    const auto* cancelled = std::get_if<cancel_message>(&message);
    if (cancelled == nullptr)
        return;
    const auto jobs = for_others_.find(from.get());
    if (jobs == for_others_.end())
        return;
    const auto found = jobs->second.find(cancelled->job);
    if (found == jobs->second.end())
        return;
    const std::uint64_t local = found->second;
    jobs->second.erase(found);
    local_.cancel(local);
}

template <typename Codec>
void stage_router<Codec>::on_closed(const std::shared_ptr<vm_channel>& from)
{
    const auto jobs = for_others_.find(from.get());
    if (jobs == for_others_.end())
        return;
    const auto all = std::move(jobs->second);
    for_others_.erase(jobs);
    for (const auto& [job, local] : all)
        local_.cancel(local);
}

template <typename Codec>
bool stage_router<Codec>::ask_state(const state_query& query)
{
    std::vector<vm_link*> up;
    for (const auto& [name, entry] : links_)
    {
        if (entry.link->is_up())
            up.push_back(entry.link.get());
    }
    if (up.empty())
        return false;
    up[next_asked_++ % up.size()]->send(query);
    return true;
}

template <typename Codec>
void stage_router<Codec>::tick(time_point now)
{
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
std::size_t stage_router<Codec>::jobs_of_others() const
{
    std::size_t count = 0;
    for (const auto& [channel, jobs] : for_others_)
        count += jobs.size();
    return count;
}

} // namespace zinnianotch
