#include "daemon/serve_edge.h"

#include "coordination/edge.h"
#include "platform/codec.h"
#include "transport/log.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <system_error>

namespace zinnianotch
{

namespace
{

constexpr int exit_cannot_listen = 4;
// The file may change without a signal; a look costs one system call.
constexpr milliseconds settings_interval{1000};

fleet_limits make_limits(const serving_settings& serving)
{
    fleet_limits limits;
    limits.repeats = {serving.repeat_ratio, serving.repeat_slack, serving.repeat_window};
    limits.cold_over = serving.cold_over;
    limits.cold_slack = serving.cold_slack;
    return limits;
}

// Links above this speed no longer limit what a VM can gather.
constexpr double ample_link_mbps = 100.0;

double capacity_of(const serving_settings& serving)
{
    return serving.processor_share * std::min(1.0, serving.link_mbps / ample_link_mbps);
}

edge_options make_options(const settings& config)
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
    options.stop_grace = config.serving->stop_grace;
    options.max_connections = config.limits.max_connections;
    return options;
}

// Time of the file's last change and its size, to see a change without reading it.
std::pair<std::int64_t, std::int64_t> file_mark(const std::string& path)
{
    struct stat status
    {
    };
    if (::stat(path.c_str(), &status) != 0)
        return {0, 0};
    return {status.st_mtim.tv_sec * 1'000'000'000LL + status.st_mtim.tv_nsec, status.st_size};
}

// Adopts settings that can change while the process runs; addresses stay until the next start.
class settings_watch
{
public:
    settings_watch(boost::asio::io_context& io, std::string path, edge<platform::codec>& served)
        : timer_(io), path_(std::move(path)), served_(served), mark_(file_mark(path_))
    {
        wait();
    }

    void reload(const char* cause)
    {
        mark_ = file_mark(path_);
        const result<settings> config = load_settings(path_);
        if (!config || !config.value().serving)
        {
            const std::string detail = config ? "no section serving" : config.error().detail;
            log_event(log_level::error, "reload_failed", {{"cause", cause}, {"detail", detail}});
            return;
        }
        served_.set_limits(make_limits(*config.value().serving));
        log_event(log_level::info, "reloaded", {{"cause", cause}});
    }

private:
    void wait()
    {
        timer_.expires_after(settings_interval);
        timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error)
                    return;
                if (file_mark(path_) != mark_)
                    reload("file changed");
                wait();
            });
    }

    boost::asio::steady_timer timer_;
    std::string path_;
    edge<platform::codec>& served_;
    std::pair<std::int64_t, std::int64_t> mark_;
};

void wait_for_signals(boost::asio::signal_set& signals, edge<platform::codec>& served,
                      settings_watch& watch)
{
    signals.async_wait(
        [&](const boost::system::error_code& error, int number)
        {
            if (error)
                return;
            if (number == SIGHUP)
                watch.reload("signal");
            else
                served.begin_stop();
            wait_for_signals(signals, served, watch);
        });
}

} // namespace

int run_edge(const settings& config, const std::string& settings_path)
{
    (void)std::signal(SIGPIPE, SIG_IGN);
    if (config.serving->listen_metrics) // where the lines can be asked for
        set_request_log_limit(request_log_bytes);
    boost::asio::io_context io(1);
    edge<platform::codec> served(io, make_options(config));
    try
    {
        served.start();
    }
    catch (const std::system_error& error)
    {
        log_event(log_level::error, "cannot_listen", {{"detail", error.what()}});
        return exit_cannot_listen;
    }
    settings_watch watch(io, settings_path, served);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    wait_for_signals(signals, served, watch);
    log_event(log_level::info, "listening",
              {{"callers", to_string(config.listen_callers)},
               {"readiness", to_string(config.serving->listen_readiness)},
               {"store", to_string(config.serving->store)},
               {"version", ZINNIANOTCH_VERSION}});
    io.run();
    return 0;
}

} // namespace zinnianotch
