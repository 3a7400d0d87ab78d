// Followed state of edge: applies the tables of the store, and exchanges them with other VMs.
#pragma once

#include "coordination/edge.h"
#include "transport/log.h"

namespace zinnianotch
{

template <typename Codec>
void edge<Codec>::log_bad_record(state_table table, const state_record& record)
{
    const auto [logged, is_first] =
        logged_bad_records_.try_emplace({table, record.name}, record.revision);
    if (!is_first && std::exchange(logged->second, record.revision) == record.revision)
        return;
    counters_.count("bad_records_total");
    log_event(log_level::warning, "bad_record",
              {{"table", std::string(to_string(table))},
               {"name", record.name},
               {"revision", std::to_string(record.revision)}});
}

template <typename Codec>
void edge<Codec>::on_desired(const std::vector<state_record>& records, bool is_snapshot)
{
    const time_point now = steady_clock::now();
    std::set<std::string> out;
    std::set<std::string> ordered;
    for (const state_record& record : records)
    {
        const auto change = Codec::decode_desired(record);
        if (!change)
        {
            log_bad_record(state_table::desired, record);
            continue;
        }
        if (const auto* domain = std::get_if<domain_out>(&*change))
        {
            endpoints_.set_domain_out(domain->domain, !record.deleted);
            out.insert(domain->domain);
            continue;
        }
        if (const auto* order = std::get_if<rollout_order>(&*change))
        {
            ordered.insert(order->service);
            if (rollouts_ && !record.deleted)
                rollouts_->on_order(*order, now);
            else if (rollouts_)
                rollouts_->on_order_withdrawn(order->service, now);
            continue;
        }
        const auto* next = std::get_if<serving_state>(&*change);
        // A page may hold an older version than the one in effect; versions must only increase.
        if (next == nullptr || (state_ && next->version <= state_->version))
            continue;
        state_ = std::make_shared<const serving_state>(*next);
        state_since_ = now;
        std::erase_if(response_times_,
                      [&](const auto& entry) { return !has_route(*state_, entry.first); });
        std::erase_if(route_first_byte_times_,
                      [&](const auto& entry) { return !has_route(*state_, entry.first); });
        contended_services_ = find_contended_services(*state_);
        const client_limits& limits = state_->limits;
        callers_->set_limits(
            {limits.header_bytes, limits.body_bytes, limits.header_timeout, limits.idle_timeout});
        log_event(log_level::info, "desired_state",
                  {{"version", std::to_string(state_->version)},
                   {"revision", std::to_string(record.revision)},
                   {"routes", std::to_string(state_->routes.size())},
                   {"services", std::to_string(state_->services.size())},
                   {"accounts", std::to_string(state_->accounts.size())}});
    }
    if (is_snapshot)
        endpoints_.retain_domains_out(out);
    if (is_snapshot && rollouts_)
        rollouts_->retain_orders(ordered, now);
    refresh_stages();
}

template <typename Codec>
void edge<Codec>::apply_endpoint(const state_record& record, bool is_snapshot, time_point now)
{
    if (record.deleted)
        return drop_endpoint(record.name, now);
    lapsed_endpoints_.erase(record.name);
    const auto endpoint = Codec::decode_endpoint(record);
    if (!endpoint || !parse_socket_address(endpoint->address))
    {
        log_bad_record(state_table::endpoints, record);
        return endpoints_.remove(record.name, now);
    }
    const service_spec* const service = state_ ? find_service(*state_, endpoint->service) : nullptr;
    endpoints_.apply(*endpoint, service, !is_snapshot, now);
}

template <typename Codec>
void edge<Codec>::on_endpoints(const std::vector<state_record>& records, bool is_snapshot)
{
    const time_point now = steady_clock::now();
    std::set<std::string> ids;
    for (const state_record& record : records)
    {
        ids.insert(record.name);
        apply_endpoint(record, is_snapshot, now);
    }
    if (is_snapshot)
    {
        for (const std::string& id : endpoints_.missing_from(ids))
            drop_endpoint(id, now);
    }
    refresh_stages();
}

// An endpoint has said with a response that it is leaving, wants a pause, or how much it takes.
template <typename Codec>
void edge<Codec>::on_endpoint_notice(known_endpoint& endpoint, const endpoint_answer& answer,
                                     time_point sent_at, time_point now)
{
    if (endpoints_.on_limit(endpoint, answer, sent_at, now))
    {
        counters_.count("endpoint_limit_reports_total");
        work_.exchange().add_limit({endpoint.key, endpoint.limit.limit()});
        stage_batcher_.throttle_endpoint(endpoint.record, endpoint.limit.next_call_at(now));
    }
    const bool ends_use = endpoints_.on_notice(endpoint, answer, now);
    if (answer.retry_after)
        stage_batcher_.pause_endpoint(endpoint.record, now + *answer.retry_after);
    if (!ends_use)
        return;
    counters_.count("endpoints_leaving_total");
    // Not within the callback of a stage call, whose queue it changes.
    boost::asio::post(io_, [this] { refresh_stages(); });
}

template <typename Codec>
void edge<Codec>::update_endpoints_outage(time_point now)
{
    // After a pause, nothing tells whether the store was away meanwhile.
    if (paused_until_)
        return;
    constexpr state_table table = state_table::endpoints;
    const std::uint64_t era = replica(table).position().era;
    const bool is_current = follower(table).in_sync() || sources_.is_covered(table, era, now);
    endpoints_outage_.update(is_current, sources_.in_sync_since(table, era, now), now);
}

template <typename Codec>
bool edge<Codec>::may_have_lapsed(time_point now) const
{
    return now < endpoints_outage_.ended_at(now) + lapse_grace;
}

// Removes an endpoint whose entry is gone, unless the entry may have lapsed: then it is removed
// when it has not returned in time, or as soon as another VM has told that the store was not away.
template <typename Codec>
void edge<Codec>::drop_endpoint(const std::string& id, time_point now)
{
    if (!may_have_lapsed(now))
        return endpoints_.remove(id, now);
    const time_point outage_end = endpoints_outage_.ended_at(now);
    if (lapsed_endpoints_.emplace(id, outage_end + lapse_grace).second)
        log_event(
            log_level::info, "endpoint_lapsed",
            {{"endpoint", id},
             {"since_outage_ms", edge_detail::milliseconds_text(
                                     std::chrono::duration_cast<milliseconds>(now - outage_end))}});
}

template <typename Codec>
void edge<Codec>::remove_lapsed_endpoints(time_point now)
{
    const bool may_return = may_have_lapsed(now);
    const auto due = std::erase_if(lapsed_endpoints_,
                                   [&](const auto& entry)
                                   {
                                       if (may_return && now < entry.second)
                                           return false;
                                       endpoints_.remove(entry.first, now);
                                       return true;
                                   });
    if (due > 0)
        refresh_stages();
}

template <typename Codec>
void edge<Codec>::on_vms(const std::vector<state_record>& records, bool is_snapshot)
{
    const time_point now = steady_clock::now();
    if (is_snapshot)
        known_vms_.clear();
    std::set<std::string> decided;
    bool has_vms = is_snapshot;
    for (const state_record& record : records)
    {
        if (Codec::is_rollout(record))
        {
            if (const auto rollout = Codec::decode_rollout(record))
                decided.insert(rollout->service);
            apply_rollout_record(record, now);
            continue;
        }
        has_vms = true;
        const auto vm = record.deleted ? std::nullopt : Codec::decode_vm(record);
        const bool is_usable = vm && parse_socket_address(vm->address);
        if (!is_usable && !record.deleted)
            log_bad_record(state_table::vms, record);
        if (is_usable)
            known_vms_[record.name] = *vm;
        else
            known_vms_.erase(record.name);
    }
    if (is_snapshot && rollouts_)
        rollouts_->retain_records(decided, replica(state_table::vms).position(), now);
    if (!decided.empty())
        refresh_stages();
    if (!has_vms)
        return;
    std::vector<std::string> names;
    for (const auto& [name, vm] : known_vms_)
        names.push_back(name);
    endpoints_.set_vms(names);
    stage_router_.set_vms(known_vms_);
    choose_relays();
}

// Determines the VMs that this one takes the state from: the relays of its failure domain and some
// of another one.
template <typename Codec>
void edge<Codec>::choose_relays()
{
    std::map<std::string, std::vector<weighted_name>> by_domain;
    for (const auto& [name, vm] : known_vms_)
    {
        if (name != options_.vm)
            by_domain[vm.domain].push_back({name, vm.capacity});
    }
    by_domain[options_.domain].push_back({options_.vm, options_.capacity});
    std::vector<std::string> peers;
    std::vector<std::string> remote;
    for (const auto& [domain, vms] : by_domain)
    {
        const std::vector<std::string> relays = state_relays(domain, vms);
        auto& list = domain == options_.domain ? peers : remote;
        list.insert(list.end(), relays.begin(), relays.end());
    }
    is_relay_ = std::find(peers.begin(), peers.end(), options_.vm) != peers.end();
    has_followers_ = is_relay_ && by_domain[options_.domain].size() > peers.size();
    std::erase(peers, options_.vm);
    remote = rendezvous_order("state/" + options_.vm, remote);
    remote.resize(std::min(remote.size(), remote_relays));
    peers.insert(peers.end(), remote.begin(), remote.end());
    state_peers_ = std::move(peers);
    update_state_peers();
    const milliseconds wait = has_followers_ ? relay_long_poll_wait : desired_timing.long_poll_wait;
    desired_follower_->set_long_poll_wait(wait);
    endpoints_follower_->set_long_poll_wait(wait);
}

template <typename Codec>
state_follower<Codec>& edge<Codec>::follower(state_table table)
{
    switch (table)
    {
    case state_table::desired:
        return *desired_follower_;
    case state_table::endpoints:
        return *endpoints_follower_;
    case state_table::vms:
        break;
    }
    return *vms_follower_;
}

template <typename Codec>
typename edge<Codec>::replica_type& edge<Codec>::replica(state_table table)
{
    return replicas_[static_cast<std::size_t>(table)];
}

// Takes over what the store or another VM has returned; false if it is no news.
template <typename Codec>
bool edge<Codec>::apply_update(state_table table, const table_update& update)
{
    const time_point now = steady_clock::now();
    replica_type& copy = replica(table);
    const store_position before = copy.position();
    const bool was_loaded = copy.loaded();
    const auto effect = copy.apply(update, now);
    if (!effect)
        return false;
    if (was_loaded && copy.position().era > before.era)
    {
        counters_.count("store_restorations_total");
        log_event(log_level::warning, "store_restored",
                  {{"table", std::string(to_string(table))},
                   {"era", std::to_string(copy.position().era)},
                   {"revision", std::to_string(copy.position().revision)},
                   {"before", std::to_string(before.revision)},
                   {"held", std::to_string(copy.held(now).size())}});
    }
    apply_effect(table, *effect);
    return true;
}

template <typename Codec>
void edge<Codec>::apply_effect(state_table table, const table_effect& effect)
{
    for (const state_record& record : effect.records)
    {
        if (record.deleted)
            logged_bad_records_.erase({table, record.name});
    }
    if (effect.is_snapshot)
        std::erase_if(logged_bad_records_,
                      [&](const auto& entry) {
                          return entry.first.first == table &&
                                 !replica(table).records().contains(entry.first.second);
                      });
    if (effect.is_snapshot || !effect.records.empty())
        apply_table(table, effect.records, effect.is_snapshot);
}

template <typename Codec>
void edge<Codec>::expire_held_records(time_point now)
{
    for (const state_table table : all_state_tables)
    {
        if (const auto effect = replica(table).expire(now))
            apply_effect(table, *effect);
    }
}

template <typename Codec>
void edge<Codec>::apply_table(state_table table, const std::vector<state_record>& records,
                              bool is_snapshot)
{
    switch (table)
    {
    case state_table::desired:
        return on_desired(records, is_snapshot);
    case state_table::endpoints:
        return on_endpoints(records, is_snapshot);
    case state_table::vms:
        return on_vms(records, is_snapshot);
    }
}

template <typename Codec>
void edge<Codec>::answer_query(const std::shared_ptr<vm_channel>& from, const state_query& query)
{
    if (query.held)
        return from->send(held_of(query.table, steady_clock::now()));
    const replica_type& copy = replica(query.table);
    state_answer answer;
    answer.table = query.table;
    answer.loaded = copy.loaded();
    answer.update = copy.changes_since(query.position);
    const time_point now = steady_clock::now();
    if (const time_point outage_end = endpoints_outage_.ended_at(now); outage_end != time_point{})
        answer.regained_ago = edge_detail::since(outage_end, now);
    from->send(answer);
}

template <typename Codec>
void edge<Codec>::on_peer_state(const std::string& vm, const vm_message& message)
{
    if (const auto* answer = std::get_if<state_answer>(&message))
        return on_state_answer(vm, *answer);
    if (const auto* notice = std::get_if<state_notice>(&message))
        return on_state_notice(vm, *notice);
    if (const auto* held = std::get_if<held_records>(&message))
        return on_held_records(*held);
    if (const auto* report = std::get_if<crash_report>(&message))
        return on_crash_report(*report, report_receivers::accepted_links);
    if (const auto* paces = std::get_if<pace_reports>(&message))
        return on_pace_reports(*paces, false);
    if (const auto* verdict = std::get_if<rollout_verdict>(&message))
        return on_rollout_verdict(*verdict);
    if (std::holds_alternative<leaving_message>(message))
        sources_.remove(vm);
}

template <typename Codec>
void edge<Codec>::on_state_notice(const std::string& vm, const state_notice& notice)
{
    const time_point now = steady_clock::now();
    sources_.on_notice(vm, notice.copies, now);
    query_newer_copies(now);
}

// Asks VMs that know more than this one for what it lacks, and notes what they confirm.
template <typename Codec>
void edge<Codec>::query_newer_copies(time_point now)
{
    for (const state_table table : all_state_tables)
    {
        const table_copy own = copy_of(table, now);
        replica(table).confirm(sources_.confirmed_position(table, own, now));
        if (const auto vm = sources_.next_query(table, own, now))
            stage_router_.query_state(*vm, {table, own.position});
        else if (const auto other = sources_.next_held_difference(table, own))
        {
            if (other->asks)
            {
                ++held_queries_;
                stage_router_.query_state(other->vm, {table, own.position, true});
            }
            if (own.held_digest != 0)
                stage_router_.send(other->vm, held_of(table, now));
        }
    }
}

// Applies the records of another VM if they are newer than the local copy.
template <typename Codec>
void edge<Codec>::on_state_answer(const std::string& vm, const state_answer& answer)
{
    sources_.on_answer(answer.table);
    const store_position before = replica(answer.table).position();
    if (!answer.loaded)
        return;
    if (answer.table == state_table::endpoints && answer.regained_ago &&
        !replica(answer.table).loaded())
        endpoints_outage_.on_first_copy(steady_clock::now() - *answer.regained_ago);
    if (!apply_update(answer.table, answer.update))
        return;
    const store_position& position = answer.update.position;
    if (answer.update.is_snapshot || !answer.update.records.empty())
        log_event(log_level::info, "state_from_vm",
                  {{"table", std::string(to_string(answer.table))},
                   {"vm", vm},
                   {"era", std::to_string(position.era)},
                   {"revision", std::to_string(position.revision)},
                   {"before", std::to_string(before.revision)},
                   {"records", std::to_string(answer.update.records.size())},
                   {"snapshot", answer.update.is_snapshot ? "true" : "false"}});
    if (follower(answer.table).is_reading())
        follower(answer.table).follow_from(position);
    query_newer_copies(steady_clock::now());
}

template <typename Codec>
held_records edge<Codec>::held_of(state_table table, time_point now)
{
    return {table, replica(table).position().era, replica(table).held(now)};
}

template <typename Codec>
void edge<Codec>::on_held_records(const held_records& held)
{
    held_queries_ -= held_queries_ > 0 ? 1 : 0;
    const auto effect = replica(held.table).adopt(held.era, held.records, steady_clock::now());
    if (!effect)
        return;
    log_event(log_level::info, "held_records_adopted",
              {{"table", std::string(to_string(held.table))},
               {"era", std::to_string(held.era)},
               {"records", std::to_string(effect->records.size())}});
    apply_effect(held.table, *effect);
}

template <typename Codec>
table_copy edge<Codec>::copy_of(state_table table, time_point now)
{
    const replica_type& own = replica(table);
    const state_follower<Codec>& from = follower(table);
    const bool is_in_sync = from.in_sync_at(now);
    return {own.loaded(),
            is_in_sync,
            own.position(),
            own.digest(),
            own.held_digest(),
            is_in_sync ? edge_detail::since(from.in_sync_since(), now) : milliseconds(0)};
}

template <typename Codec>
table_copies edge<Codec>::copies(time_point now)
{
    table_copies all;
    for (const state_table table : all_state_tables)
        all[static_cast<std::size_t>(table)] = copy_of(table, now);
    return all;
}

template <typename Codec>
bool edge<Codec>::is_current(state_table table, time_point now)
{
    return follower(table).in_sync_at(now) ||
           sources_.is_covered(table, replica(table).position().era, now);
}

template <typename Codec>
void edge<Codec>::check_held_records_known(time_point now)
{
    if (knows_held_records_ || !state_ || !replica(state_table::vms).loaded())
        return;
    if (!held_records_deadline_)
        held_records_deadline_ = now + held_records_timeout;
    const std::uint64_t era = replica(state_table::desired).position().era;
    const bool is_alone =
        known_vms_.empty() || (known_vms_.size() == 1 && known_vms_.contains(options_.vm));
    const bool is_compared = sources_.is_covered(state_table::desired, era, now) &&
                             sources_.is_covered(state_table::endpoints, era, now) &&
                             held_queries_ == 0;
    knows_held_records_ = era == 0 || is_alone || is_compared || now >= *held_records_deadline_;
}

template <typename Codec>
bool edge<Codec>::reads_any_table() const
{
    return std::any_of(reading_.begin(), reading_.end(),
                       [](const table_reading& table) { return table.reads(); });
}

// Announces this VM's copies to the VMs connected to it, at once after a change. A VM that does not
// read the store announces nothing: its copies are no newer than those of its own sources.
template <typename Codec>
void edge<Codec>::send_notices(time_point now)
{
    if (!reads_any_table() || stop_)
        return;
    const table_copies own = copies(now);
    bool changed = false;
    for (std::size_t i = 0; i < own.size(); ++i)
        changed = changed || own[i].digest != noticed_copies_[i].digest ||
                  own[i].in_sync != noticed_copies_[i].in_sync ||
                  own[i].position.era != noticed_copies_[i].position.era ||
                  own[i].held_digest != noticed_copies_[i].held_digest;
    if (!changed && now - noticed_at_ < notice_interval)
        return;
    noticed_copies_ = own;
    noticed_at_ = now;
    peers_->broadcast(state_notice{own});
}

// Starts or stops reading each table from the store.
template <typename Codec>
void edge<Codec>::update_reading(time_point now)
{
    const bool waits_for_relays = !is_relay_ && sources_.has_recent_notice(now);
    for (const state_table table : all_state_tables)
    {
        follower(table).set_retry_delays(waits_for_relays ? retry_delays_of_many : retry_delays{});
        table_reading& reading = reading_[static_cast<std::size_t>(table)];
        const store_position position = replica(table).position();
        const bool is_covered = sources_.is_covered(table, position.era, now);
        const bool reads = reading.update(is_relay_, is_covered, now);
        state_follower<Codec>& own = follower(table);
        if (reads && !own.is_reading())
            own.resume(position, now);
        else if (!reads && own.is_reading())
            own.pause();
        log_state_source(table, now);
    }
}

template <typename Codec>
void edge<Codec>::log_state_source(state_table table, time_point now)
{
    std::string source = "none";
    std::string confirmed_by = "store";
    milliseconds age{0};
    if (follower(table).in_sync_at(now))
        source = "store";
    else if (const auto origin = sources_.newest(table, now))
    {
        source = "vms";
        confirmed_by = origin->vm;
        age = origin->age;
    }
    if (table == state_table::desired && source != "none")
    {
        state_confirmed_by_ = confirmed_by;
        state_confirmed_at_ = now - age;
    }
    std::string& logged = logged_sources_[static_cast<std::size_t>(table)];
    if (source == logged)
        return;
    counters_.count("state_source_changes_total");
    log_event(source == "none" ? log_level::warning : log_level::info, "state_source",
              {{"table", std::string(to_string(table))},
               {"source", source},
               {"before", logged.empty() ? "none" : logged},
               {"relay", is_relay_ ? "true" : "false"},
               {"revision", std::to_string(replica(table).position().revision)}});
    logged = source;
}

template <typename Codec>
void edge<Codec>::log_denial(const std::string& request, std::string_view missing, time_point now)
{
    const auto age = [now](time_point at)
    {
        if (at == time_point{})
            return std::string("-");
        return edge_detail::milliseconds_text(std::chrono::duration_cast<milliseconds>(now - at));
    };
    log_event(log_level::info, "denied",
              {{"request", request},
               {"missing", std::string(missing)},
               {"version", std::to_string(state_->version)},
               {"version_ms", age(state_since_)},
               {"revision", std::to_string(replica(state_table::desired).position().revision)},
               {"confirmed_by", state_confirmed_by_.empty() ? "-" : state_confirmed_by_},
               {"confirmed_ms", age(state_confirmed_at_)},
               {"links", std::to_string(stage_router_.links_up())}});
}

// Asks any VM for changes to the tables that neither the store nor a VM in touch with it provides.
template <typename Codec>
void edge<Codec>::query_peers(time_point now)
{
    if (now - peers_queried_at_ < peer_query_interval)
        return;
    peers_queried_at_ = now;
    for (const state_table table : all_state_tables)
    {
        if (!is_current(table, now))
            stage_router_.query_state({table, replica(table).position()});
    }
}

} // namespace zinnianotch
