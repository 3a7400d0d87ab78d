// All VMs are stopped as planned (SIGTERM) while the only engine of a service is cold.
#include "engine.h"

#include <random>

using namespace rig;

namespace
{

constexpr double cold_per_s = 10.0;
constexpr double cold_over = 1.5;
constexpr double cold_slack = 5.0;
constexpr int bound = static_cast<int>(cold_per_s * cold_over + cold_slack);
// The engine crashes at a rate well above cold_per_s.
constexpr int crash_above = 4 * static_cast<int>(cold_per_s);
constexpr std::int64_t warm_up_ms = 8000;
constexpr double requests_per_s = 80.0;

} // namespace

int main(int, char** argv)
{
    record out(argv[1]);
    fleet system;
    const char* const zones[] = {"ne-a", "ne-b", "ne-c"};
    for (int i = 0; i < 6; ++i)
        system.add_vm("front-" + std::to_string(i), zones[i % 3]);

    std::mutex mutex;
    std::map<std::string, std::int64_t> sent;                         // by attempt
    std::vector<std::pair<std::int64_t, std::int64_t>> cold_arrivals; // when sent, when arrived
    const auto count_window = [&](std::int64_t from)
    {
        return std::count_if(cold_arrivals.begin(), cold_arrivals.end(),
                             [&](const auto& each)
                             { return each.first >= from && each.second < from + 1000; });
    };
    std::atomic<bool> has_crashed = false;
    const auto decide = [&](engine& self, const message& request)
    {
        engine_answer how;
        how.first_byte_ms = 30;
        const std::lock_guard lock(mutex);
        const std::int64_t now = now_ms();
        const bool is_cold = self.settings().cold_ms > 0 && self.age_ms() < warm_up_ms;
        if (!is_cold)
            return how;
        cold_arrivals.emplace_back(sent[request.field("attempt-id")], now);
        out.line("cold engine gets " + request.field("attempt-id"));
        if (count_window(now - 999) > crash_above)
        {
            has_crashed = true;
            how.first_byte_ms = 0;
            how.crashes = true;
            out.line("cold engine crashes");
        }
        return how;
    };
    engine first(system.table, {"i-first", "orders", "ne-a", 64, 0}, decide);
    first.begin();
    system.table.put(
        "op", "config",
        R"({"version":3,"routes":[{"name":"r","host":"a.example","prefix":"/o/",)"
        R"("kind":"non_idempotent","timeout_ms":4000,"slo_ms":300,"priority":1,)"
        R"("service":"orders","attempts":2,"stages":[],"allow_anonymous":false,"sticky":false,)"
        R"("resumable":false}],"services":[{"name":"orders","health_path":"/health",)"
        R"("max_conns":370,"protocol":"h1","tls":false,"warmup_s":8.0,"cold_per_s":10.0}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"],"priority":1}]})");
    if (!system.start())
    {
        out.line("the VMs did not start" + system.last_words());
        system.finish(2);
    }

    std::mt19937_64 random(static_cast<std::uint64_t>(::getpid()));
    std::map<int, int> answers; // by status; 0 without an answer
    work clients;
    const auto send = [&]
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
                             "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer "
                             "k1\r\n",
                         "order", 6000);
                const std::lock_guard lock(mutex);
                ++answers[answer.status];
                if (answer.status != 200 && answer.status != 503)
                    out.line("client has " + std::to_string(answer.status) + " for " + attempt);
            });
    };
    const std::int64_t begin = now_ms();
    std::int64_t next = begin;
    const auto play_until = [&](std::int64_t until)
    {
        while (now_ms() < until)
        {
            send();
            next += static_cast<std::int64_t>(1000.0 / requests_per_s);
            sleep_until_ms(next);
        }
    };
    play_until(begin + 2000);
    // The engine is replaced by a new one, which is cold.
    engine second(system.table, {"i-second", "orders", "ne-b", 64, warm_up_ms}, decide);
    second.begin();
    first.set_draining();
    out.line("a cold engine takes over");
    play_until(begin + 4000);
    if (has_trouble())
    {
        out.line("SIGTERM to all VMs");
        for (const auto& each : system.vms)
            each->signal(SIGTERM);
    }
    play_until(begin + 8000);
    clients.wait();

    const std::lock_guard lock(mutex);
    std::int64_t most = 0;
    std::int64_t at = 0;
    for (const auto& [sent_at, arrived_at] : cold_arrivals)
    {
        const std::int64_t count = count_window(sent_at);
        if (count > most)
        {
            most = count;
            at = sent_at;
        }
    }
    std::string text;
    for (const auto& [status, count] : answers)
        text += " " + std::to_string(status) + ":" + std::to_string(count);
    out.line("most requests in one second at the cold engine: " + std::to_string(most) + " from " +
             std::to_string(at) + " (" + std::to_string(bound) + " are allowed); engine crashed: " +
             (has_crashed ? "yes" : "no") + "; answers by status" + text);
    system.finish(most > bound ? 1 : 0);
}
