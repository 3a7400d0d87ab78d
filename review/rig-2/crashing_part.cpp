// A part of a prompt under which engines crash.
//   crashing_part RECORD unbegun   the engines crash when they would begin to answer; each also has
//                                  other requests that it has not begun to answer
//   crashing_part RECORD long      the engines crash after the head of the answer; the prompts have
//                                  20 parts, of which the 18th crashes them
#include "engine.h"

#include <random>

using namespace rig;

namespace
{

constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t play_ms = 70'000;
constexpr std::int64_t guilty_interval_ms = 2500; // between requests with the part
constexpr double sound_per_s = 120.0;
constexpr int documents = 4000;
constexpr const char* guilty_part = "badbadba";

// How the requests of a run look.
struct shape
{
    std::int64_t first_byte_ms = 1000;
    int documents_per_prompt = 1;
    bool crashes_after_head = false;
};

} // namespace

int main(int, char** argv)
{
    record out(argv[1]);
    const shape look = std::string(argv[2]) == "long" ? shape{250, 17, true} : shape{};
    fleet system;
    const char* const zones[] = {"ne-a", "ne-b", "ne-c"};
    for (int i = 0; i < 6; ++i)
        system.add_vm("front-" + std::to_string(i), zones[i % 3]);

    std::mutex mutex;
    std::vector<std::int64_t> crashes;
    std::vector<std::pair<std::int64_t, std::string>> arrivals; // of requests with the part
    const auto decide = [&](engine& self, const message& request)
    {
        engine_answer how;
        how.first_byte_ms = look.first_byte_ms;
        how.events = 5;
        how.event_ms = 60;
        if (request.field("prompt-prefix").find(guilty_part) == std::string::npos)
            return how;
        how.crashes = has_trouble() && !look.crashes_after_head;
        how.crashes_after_head = has_trouble() && look.crashes_after_head;
        const std::lock_guard lock(mutex);
        arrivals.emplace_back(now_ms(), request.field("attempt-id"));
        out.line("engine " + self.id() + " gets " + request.field("attempt-id") + " with the part");
        if (has_trouble())
            std::thread(
                [&, id = self.id()]
                {
                    sleep_ms(look.first_byte_ms);
                    const std::lock_guard inner(mutex);
                    crashes.push_back(now_ms());
                    out.line("engine " + id + " crashes");
                })
                .detach();
        return how;
    };
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 9; ++i)
    {
        engines.push_back(std::make_unique<engine>(
            system.table, engine_settings{"i-" + std::to_string(i), "pool", zones[i % 3], 64, 0},
            decide));
        engines.back()->begin();
    }
    system.table.put(
        "op", "config",
        R"({"version":3,"routes":[{"name":"r","host":"a.example","prefix":"/p/","kind":"streaming",)"
        R"("timeout_ms":6000,"slo_ms":1800,"priority":1,"service":"pool","attempts":1,"stages":[],)"
        R"("allow_anonymous":false,"sticky":true,"resumable":false,"gap_slo_ms":300}],"services":[)"
        R"({"name":"pool","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,)"
        R"("warmup_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_tokens":475968,"stride":5}}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"],"priority":1}]})");
    if (!system.start())
    {
        out.line("the VMs did not start" + system.last_words());
        system.finish(2);
    }

    std::mt19937_64 random(static_cast<std::uint64_t>(::getpid()));
    std::atomic<int> served = 0;
    std::atomic<int> failed = 0;
    work clients;
    const auto send = [&](bool is_guilty)
    {
        const std::string attempt = hex(random());
        std::string prompt = "5c1e07a2:800,";
        for (int i = is_guilty ? 1 : 0; i < look.documents_per_prompt; ++i)
            prompt += hex(random() % documents).substr(8) + ":40,";
        if (is_guilty)
            prompt += std::string(guilty_part) + ":40,";
        const std::string last = hex(random()).substr(0, 8);
        const address to = system.vms[random() % system.vms.size()]->front();
        clients.start(
            [&, attempt, last, prompt, is_guilty, to]
            {
                const message answer =
                    call(to,
                         "POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + attempt +
                             "\r\nModel: m\r\nToken-Count: 1900,25\r\nPrompt-Prefix: " + prompt +
                             last + ":300\r\nDeadline-Ms: 6000\r\nAuthorization: Bearer k1\r\n",
                         "prompt " + last, 8000);
                const bool whole = answer.status == 200 && answer.complete;
                if (is_guilty)
                    out.line("client has " + std::to_string(answer.status) + " for " + attempt +
                             " with the part");
                else
                    ++(whole ? served : failed);
                if (!is_guilty && !whole)
                    out.line("client has " + std::to_string(answer.status) +
                             (answer.complete ? "" : " (broken off)") + " for " + attempt);
            });
    };
    const std::int64_t begin = now_ms();
    std::int64_t next_sound = begin;
    std::int64_t next_guilty = begin + 4000;
    while (now_ms() < begin + play_ms)
    {
        if (now_ms() >= next_sound)
        {
            send(false);
            next_sound += static_cast<std::int64_t>(1000.0 / sound_per_s);
        }
        if (now_ms() >= next_guilty)
        {
            send(true);
            next_guilty += guilty_interval_ms;
        }
        sleep_until_ms(std::min(next_sound, next_guilty));
    }
    clients.wait();

    const std::lock_guard lock(mutex);
    std::sort(crashes.begin(), crashes.end());
    int late = 0;
    if (crashes.size() >= 5)
    {
        const std::int64_t from = crashes[4] + contact_ms;
        out.line("fifth crash at " + std::to_string(crashes[4]) + ", counted from " +
                 std::to_string(from));
        for (const auto& [at, attempt] : arrivals)
            late += at > from ? 1 : 0;
    }
    out.line("crashes " + std::to_string(crashes.size()) + ", arrivals with the part " +
             std::to_string(arrivals.size()) + ", counted " + std::to_string(late) +
             " (3 are allowed); sound requests served " + std::to_string(served) + ", failed " +
             std::to_string(failed));
    system.finish(late > 3 ? 1 : 0);
}
