// Requests under which endpoints crash, as edge::exchange records and holds them.
#pragma once

#include "coordination/edge_exchange.h"
#include "transport/request_digest.h"

namespace zinnianotch
{

// Computed at most once: the body may have megabytes.
template <typename Codec>
const std::string& edge<Codec>::exchange::digest()
{
    if (digest_.empty())
        digest_ =
            request_digest({call_.method, call_.host, call_.target,
                            account_ != nullptr ? account_->name : std::string(), call_.body});
    return digest_;
}

// Time until the request may be tried if endpoints crash under it; nothing if they do not.
template <typename Codec>
std::optional<milliseconds> edge<Codec>::exchange::find_request_hold(time_point now)
{
    if (!owner_.crashing_requests_.concerns(route_->name))
        return std::nullopt;
    return owner_.crashing_requests_.held(digest(), now);
}

// Refuses the request if endpoints crash under it and this VM may not probe it now.
template <typename Codec>
bool edge<Codec>::exchange::is_request_held(time_point now)
{
    const auto retry_after = find_request_hold(now);
    if (!retry_after || owner_.crashing_requests_.may_probe(digest(), owner_.options_.vm,
                                                            owner_.endpoints_.vms(), now))
        return false;
    refuse(reason::crashing_request, "request " + digest(), *retry_after, now);
    return true;
}

// Notes that a held request is sent now.
template <typename Codec>
void edge<Codec>::exchange::record_request_probe(time_point now)
{
    if (!find_request_hold(now))
        return;
    owner_.counters_.count("request_probes_total");
    log_event(
        log_level::info, "request_probe",
        {{"request", call_.attempt}, {"digest", digest()}, {"endpoint", endpoint_->record.id}});
    owner_.crashing_requests_.on_probe(digest(), now);
    owner_.send_crash_reports(now);
}

// Notes that the connection broke while the endpoint had the request. The report is sent with
// those of the other requests that broke with it.
template <typename Codec>
void edge<Codec>::exchange::record_request_break(time_point now)
{
    owner_.crashing_requests_.on_crash({endpoint_->record.id, endpoint_->record.started_at},
                                       endpoint_->record.domain, digest(), route_->name, now);
}

// Notes that an endpoint has run the request without a crash.
template <typename Codec>
void edge<Codec>::exchange::record_answer(time_point now)
{
    const bool has_run = status_ < 500 && status_ != 400;
    const bool is_cheap = call_.body.size() <= eager_digest_limit;
    if (has_run && (is_cheap || owner_.crashing_requests_.concerns(route_->name)))
        owner_.crashing_requests_.on_answered(digest(), now);
}

template <typename Codec>
void edge<Codec>::log_held_requests(time_point now)
{
    const std::vector<held_request_report> held = crashing_requests_.held_requests(now);
    std::set<std::string> digests;
    for (const held_request_report& each : held)
    {
        digests.insert(each.digest);
        if (logged_held_requests_.contains(each.digest))
            continue;
        counters_.count("requests_held_total");
        log_event(log_level::warning, "request_held",
                  {{"digest", each.digest},
                   {"route", each.route},
                   {"crashes", std::to_string(each.crashes)}});
    }
    for (const std::string& digest : logged_held_requests_)
    {
        if (!digests.contains(digest))
            log_event(log_level::info, "request_released", {{"digest", digest}});
    }
    logged_held_requests_ = std::move(digests);
}

} // namespace zinnianotch
