// zinnianotchd: the server process of one entry VM.
#include "coordination/node.h"
#include "daemon/api.h"
#include "daemon/api_request.h"
#include "daemon/run_edge.h"
#include "daemon/settings.h"
#include "state/drain_schedule.h"
#include "transport/http_server.h"
#include "transport/log.h"

#include <malloc.h>
#include <popt.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <system_error>
#include <thread>

namespace
{

using namespace zinnianotch;

constexpr int exit_usage = 2;
constexpr int exit_cannot_listen = 4;
constexpr milliseconds drain_poll_interval{20};
// Allocations of at least this size are mapped separately and return to the system when freed. By
// default, glibc raises the threshold whenever such a block is freed, up to 32 MB. Request bodies
// then fragmented the heap, which grew by 2 MB per 500 refused requests.
constexpr int mmap_threshold_bytes = 128 * 1024;

struct command_line
{
    std::string settings_path;
    bool check_only = false;
};

// Parses the command line. Exits the process for --help, --version and usage errors.
command_line parse_command_line(int argc, const char** argv)
{
    char* path = nullptr;
    int check = 0;
    int version = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &path, 0, "settings file (YAML)", "FILE"},
        {"check", 'c', POPT_ARG_NONE, &check, 0, "check the settings file and exit", nullptr},
        {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("zinnianotchd", argc, argv, options, 0), &poptFreeContext);
    const int parse_status = poptGetNextOpt(context.get());
    if (parse_status < -1)
    {
        (void)std::fprintf(stderr, "zinnianotchd: %s: %s\n",
                           poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                           poptStrerror(parse_status));
        std::exit(exit_usage);
    }
    if (version != 0)
    {
        (void)std::printf("zinnianotchd %s\n", ZINNIANOTCH_VERSION);
        std::exit(0);
    }
    if (path == nullptr)
    {
        (void)std::fprintf(stderr, "zinnianotchd: --settings FILE is required\n");
        std::exit(exit_usage);
    }
    const std::unique_ptr<char, decltype(&std::free)> owned(path, &std::free);
    return {path, check != 0};
}

node_options make_node_options(const settings& config)
{
    node_options options;
    options.vm = config.vm;
    options.domain = config.failure_domain;
    options.peers.address = config.listen_peers.host;
    options.peers.port = config.listen_peers.port;
    options.peers.workers = config.limits.workers;
    options.peers.queue_length = config.limits.queue_length;
    for (const socket_address& seed : config.seeds)
        options.seeds.push_back(to_string(seed));
    options.table_url = config.table_url;
    options.vm_list_url = config.vm_list_url;
    options.routing = config.routing;
    return options;
}

http_server_options make_server_options(const settings& config)
{
    http_server_options options;
    options.address = config.listen_callers.host;
    options.port = config.listen_callers.port;
    options.header_limit = config.limits.header_bytes;
    options.body_limit = config.limits.body_bytes;
    options.max_connections = config.limits.max_connections;
    options.workers = config.limits.workers;
    options.queue_length = config.limits.queue_length;
    return options;
}

// Completes the requests in progress and refuses new ones as drain_schedule says. A second signal
// ends the balancer grace period only.
void drain(http_server& server, api& handler, node& vm, const sigset_t& signals,
           const settings& config, time_point signal_at)
{
    const timespec interval = {0, std::chrono::nanoseconds(drain_poll_interval).count()};
    drain_schedule schedule(signal_at, config.balancer_grace, config.stop_accept);
    drain_phase phase = drain_phase::accepting;
    while (phase != drain_phase::ended)
    {
        if (sigtimedwait(&signals, nullptr, &interval) > 0)
        {
            log_event(log_level::warning, "second_signal", {{"effect", "balancer grace skipped"}});
            schedule.skip_grace(steady_clock::now());
        }
        const drain_load load{server.in_flight(), handler.accepted(), vm.in_flight()};
        const drain_phase before = phase;
        phase = schedule.update(load, steady_clock::now());
        if (phase == before)
            continue;
        log_event(log_level::info, "drain_phase",
                  {{"phase", std::string(to_string(phase))},
                   {"requests", std::to_string(load.requests)},
                   {"accepted", std::to_string(load.accepted)},
                   {"calls", std::to_string(load.calls)}});
        if (phase == drain_phase::refusing)
            handler.refuse_requests();
        if (phase == drain_phase::closing)
            server.stop_accepting();
    }
}

int run_node(const settings& config)
{
    // All threads inherit the mask, so that the signals are received by sigwait and sigtimedwait in
    // this thread only.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);

    node vm(make_node_options(config));
    api handler(config, vm);
    http_server server(
        make_server_options(config),
        [&](const http_request& request, http_response& response)
        { handler.handle(request, response); },
        [&] { return handler.overloaded_body(); });
    handler.set_in_flight_callback([&] { return server.in_flight(); });
    try
    {
        vm.start();
        server.start();
    }
    catch (const std::system_error& error)
    {
        log_event(log_level::error, "cannot_listen", {{"detail", error.what()}});
        return exit_cannot_listen;
    }
    const std::string host = config.listen_callers.host;
    log_event(log_level::info, "listening",
              {{"callers", host + ":" + std::to_string(server.port())},
               {"peers", config.listen_peers.host + ":" + std::to_string(vm.peer_port())},
               {"version", ZINNIANOTCH_VERSION}});

    int signal = 0;
    sigwait(&signals, &signal);
    const time_point signal_at = steady_clock::now();
    log_event(log_level::info, "draining", {{"signal", std::to_string(signal)}});
    vm.begin_drain();
    server.begin_drain();
    drain(server, handler, vm, signals, config, signal_at);
    server.stop();
    // The records of orders get no more time than the requests themselves may take.
    vm.stop(signal_at + config.balancer_grace + config.stop_accept + max_deadline);
    log_event(log_level::info, "stopped", {});
    return 0;
}

} // namespace

int main(int argc, const char** argv)
{
    const command_line arguments = parse_command_line(argc, argv);
    const result<settings> config = load_settings(arguments.settings_path);
    if (!config)
    {
        (void)std::fprintf(stderr, "%s\n", config.error().detail.c_str());
        return exit_usage;
    }
    if (arguments.check_only)
    {
        (void)std::printf("%s: valid\n", arguments.settings_path.c_str());
        return 0;
    }
    (void)mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    configure_log(config.value().min_log_level, config.value().vm, log_stream::standard_output,
                  server_log_lines_per_second);
    if (config.value().serving)
        return run_edge(config.value(), arguments.settings_path);
    return run_node(config.value());
}
