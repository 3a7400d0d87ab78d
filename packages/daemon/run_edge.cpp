#include "daemon/run_edge.h"

#include "coordination/edge.h"
#include "platform/codec.h"
#include "transport/event_loop.h"
#include "transport/log.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>

#include <sys/stat.h>

#include <algorithm>
#include <csignal>

namespace zinnianotch
{

namespace
{

constexpr int exit_cannot_listen = 4;
// Interval at which the settings file is checked for a change that no SIGHUP announced. A check
// costs one system call.
constexpr milliseconds settings_poll_interval{1000};

fleet_limits make_limits(const serving_settings& serving)
{
    fleet_limits limits;
    limits.retries = {serving.repeat_ratio, serving.repeat_slack, serving.repeat_window};
    limits.cold_over = serving.cold_over;
    limits.cold_slack = serving.cold_slack;
    limits.rollouts = serving.rollouts;
    return limits;
}

// Link speed from which on the link does not limit how many stage pieces a VM can batch; below it,
// the capacity falls in proportion.
constexpr double full_capacity_link_mbps = 100.0;

constexpr double bytes_per_s_and_mbps = 1e6 / 8;
constexpr double bytes_per_mib = 1024.0 * 1024.0;

// Capacity of this VM relative to other VMs, see vm_record.
double capacity_of(const serving_settings& serving)
{
    return serving.processor_share * std::min(1.0, serving.link_mbps / full_capacity_link_mbps);
}

edge_options make_edge_options(const settings& config)
{
    edge_options options;
    options.vm = config.vm;
    options.domain = config.failure_domain;
    options.callers = config.listen_callers;
    options.peers = config.listen_peers;
    options.readiness = config.serving->listen_readiness;
    if (config.serving->listen_metrics)
        options.metrics = *config.serving->listen_metrics;
    options.store = to_string(config.serving->store);
    for (const socket_address& seed : config.seeds)
        options.seeds.push_back(to_string(seed));
    options.limits = make_limits(*config.serving);
    options.capacity = capacity_of(*config.serving);
    options.link_speed = config.serving->link_mbps * bytes_per_s_and_mbps;
    options.memory_bytes = static_cast<std::uint64_t>(config.serving->memory_mb * bytes_per_mib);
    options.stop_grace = config.serving->stop_grace;
    options.max_connections = config.limits.max_connections;
    return options;
}

// Modification time in ns and size of the file, to detect a change without reading it; zeros when
// stat() fails.
std::pair<std::int64_t, std::int64_t> file_fingerprint(const std::string& path)
{
    struct stat status
    {
    };
    if (::stat(path.c_str(), &status) != 0)
        return {0, 0};
    return {status.st_mtim.tv_sec * 1'000'000'000LL + status.st_mtim.tv_nsec, status.st_size};
}

// Polls the settings file and applies the limits on retries, cold endpoints and roll-outs, which
// can change while the process runs. Other settings, such as addresses, need a restart.
class settings_watcher
{
public:
    settings_watcher(boost::asio::io_context& io, std::string path,
                     edge<platform::codec>& edge_instance)
        : timer_(io), path_(std::move(path)), edge_(edge_instance),
          fingerprint_(file_fingerprint(path_))
    {
        schedule_check();
    }

    // Keeps the settings in effect when the file is not valid. `cause` is logged.
    void reload(const char* cause)
    {
        fingerprint_ = file_fingerprint(path_);
        const result<settings> config = load_settings(path_);
        if (!config || !config.value().serving)
        {
            const std::string detail =
                config ? "section serving is missing" : config.error().detail;
            log_event(log_level::error, "reload_failed", {{"cause", cause}, {"detail", detail}});
            return;
        }
        edge_.set_limits(make_limits(*config.value().serving));
        log_event(log_level::info, "reloaded", {{"cause", cause}});
    }

private:
    void schedule_check()
    {
        timer_.expires_after(settings_poll_interval);
        timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error)
                    return;
                if (file_fingerprint(path_) != fingerprint_)
                    reload("file changed");
                schedule_check();
            });
    }

    boost::asio::steady_timer timer_;
    std::string path_;
    edge<platform::codec>& edge_;
    std::pair<std::int64_t, std::int64_t> fingerprint_;
};

void wait_for_signals(boost::asio::signal_set& signals, edge<platform::codec>& edge_instance,
                      settings_watcher& watcher)
{
    signals.async_wait(
        [&](const boost::system::error_code& error, int number)
        {
            if (error)
                return;
            if (number == SIGHUP)
                watcher.reload("signal");
            else
                edge_instance.begin_stop();
            wait_for_signals(signals, edge_instance, watcher);
        });
}

} // namespace

int run_edge(const settings& config, const std::string& settings_path)
{
    (void)std::signal(SIGPIPE, SIG_IGN);
    if (config.serving->listen_metrics) // the metrics listener serves the retained lines
        set_request_log_limit(request_log_bytes);
    boost::asio::io_context io(1);
    edge<platform::codec> edge_instance(io, make_edge_options(config));
    try
    {
        edge_instance.start();
    }
    catch (const boost::system::system_error& error)
    {
        log_event(log_level::error, "cannot_listen", {{"detail", error.what()}});
        return exit_cannot_listen;
    }
    settings_watcher watcher(io, settings_path, edge_instance);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    wait_for_signals(signals, edge_instance, watcher);
    log_event(log_level::info, "listening",
              {{"callers", to_string(config.listen_callers)},
               {"readiness", to_string(config.serving->listen_readiness)},
               {"store", to_string(config.serving->store)},
               {"version", ZINNIANOTCH_VERSION}});
    run_event_loop(io);
    return 0;
}

} // namespace zinnianotch
