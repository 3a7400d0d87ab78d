// A route has moved from one service to another by weights, and the engines of the new service are
// lost.
#include "engine.h"

#include <random>

using namespace rig;

namespace
{

constexpr std::int64_t config_ms = 2000;
constexpr double requests_per_s = 20.0;

std::string configuration(int version, const std::string& backends)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r","host":"a.example","prefix":"/o/","kind":"non_idempotent",)"
           R"("timeout_ms":4000,"slo_ms":300,"priority":1,"backends":[)" +
           backends +
           R"(],"attempts":2,"stages":[],"allow_anonymous":false,"sticky":false,)"
           R"("resumable":false}],"services":[{"name":"old","health_path":"/health",)"
           R"("max_conns":110,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0},)"
           R"({"name":"new","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,)"
           R"("warmup_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"t","api_keys":["k1"],"priority":1}]})";
}

} // namespace

int main(int, char** argv)
{
    record out(argv[1]);
    fleet system;
    const char* const zones[] = {"ne-a", "ne-b", "ne-c"};
    for (int i = 0; i < 3; ++i)
        system.add_vm("front-" + std::to_string(i), zones[i % 3]);

    std::mutex mutex;
    std::map<std::string, std::int64_t> sent; // by attempt
    std::map<std::string, int> runs;          // by service
    int counted = 0;
    std::int64_t count_from = INT64_MAX;
    const auto decide = [&](engine& self, const message& request)
    {
        engine_answer how;
        const std::string attempt = request.field("attempt-id");
        const std::lock_guard lock(mutex);
        ++runs[self.settings().service];
        if (self.settings().service == "old" && sent[attempt] > count_from)
        {
            ++counted;
            out.line("the old service runs " + attempt + ", sent at " +
                     std::to_string(sent[attempt]));
        }
        return how;
    };
    std::vector<std::unique_ptr<engine>> engines;
    for (const char* const service : {"old", "new"})
    {
        for (int i = 0; i < 2; ++i)
        {
            engines.push_back(std::make_unique<engine>(
                system.table,
                engine_settings{std::string("i-") + service + std::to_string(i), service,
                                zones[i % 3], 6, 0},
                decide));
            engines.back()->begin();
        }
    }
    system.table.put("op", "config", configuration(3, R"({"service":"old","weight":100})"));
    if (!system.start())
    {
        out.line("the VMs did not start" + system.last_words());
        system.finish(2);
    }

    std::mt19937_64 random(static_cast<std::uint64_t>(::getpid()));
    std::map<int, int> answers; // by status; 0 without an answer
    work clients;
    std::int64_t next = now_ms();
    const auto play_for = [&](std::int64_t ms)
    {
        const std::int64_t until = now_ms() + ms;
        while (now_ms() < until)
        {
            const std::string attempt = hex(random());
            const address to = system.vms[random() % system.vms.size()]->front();
            clients.start(
                [&, attempt, to]
                {
                    {
                        const std::lock_guard lock(mutex);
                        sent[attempt] = now_ms();
                    }
                    const message answer =
                        call(to,
                             "POST /o/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + attempt +
                                 "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer k1\r\n",
                             "order", 6000);
                    const std::lock_guard lock(mutex);
                    ++answers[answer.status];
                });
            next += static_cast<std::int64_t>(1000.0 / requests_per_s);
            sleep_until_ms(next);
        }
    };
    play_for(2000);
    system.table.put("op", "config",
                     configuration(7, R"({"service":"old","weight":50},)"
                                      R"({"service":"new","weight":50})"));
    out.line("version 7: 50 to 50");
    play_for(3000);
    system.table.put("op", "config",
                     configuration(9, R"({"service":"old","weight":0},)"
                                      R"({"service":"new","weight":100})"));
    {
        const std::lock_guard lock(mutex);
        count_from = now_ms() + config_ms;
    }
    out.line("version 9: 0 to 100, counted from " + std::to_string(count_from));
    play_for(5000);
    if (has_trouble())
    {
        out.line("the engines of the new service are lost");
        for (const auto& each : engines)
        {
            if (each->settings().service == "new")
                each->crash();
        }
        play_for(3 * 1200);
        // Removed after three check-in intervals of silence.
        for (const auto& each : engines)
        {
            if (each->settings().service == "new")
                each->leave();
        }
        out.line("their entries are removed");
    }
    play_for(6000);
    clients.wait();

    const std::lock_guard lock(mutex);
    std::string text;
    for (const auto& [status, count] : answers)
        text += " " + std::to_string(status) + ":" + std::to_string(count);
    out.line(
        "orders that the old service ran although sent later than config_ms after version 9: " +
        std::to_string(counted) + "; runs old " + std::to_string(runs["old"]) + ", new " +
        std::to_string(runs["new"]) + "; answers by status" + text);
    system.finish(counted > 0 ? 1 : 0);
}
