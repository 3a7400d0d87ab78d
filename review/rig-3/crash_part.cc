// Requests with one part of their prompt crash each engine that begins to write an answer on it:
// the process ends 78 ms after the head, when three events are out.
#include "rig.hpp"

using namespace rig;

namespace
{

constexpr const char* crashing_part = "badc0de1";
constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t engine_down_ms = 2500;
constexpr std::int64_t play_ms = 40'000;
constexpr std::int64_t crashing_interval_ms = 900;
constexpr int shared_parts = 4;
constexpr int stream_events = 8;
constexpr int events_before_crash = 3;
constexpr std::int64_t event_ms = 26;
constexpr int allowed_arrivals = 3;

const char* const config =
    R"({"version":1,"routes":[{"name":"digest","host":"h.example","prefix":"/digest/",)"
    R"("kind":"streaming","timeout_ms":6000,"slo_ms":1000,"priority":1,"service":"pool",)"
    R"("attempts":1,"allow_anonymous":false,"sticky":true,"resumable":false,"gap_slo_ms":300}],)"
    R"("services":[{"name":"pool","health_path":"/health","max_conns":370,"protocol":"h1",)"
    R"("tls":false,"warmup_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_tokens":475968,)"
    R"("kv_bytes":35136,"stride":5,"models":[{"name":"m"}]}}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"tenants":[{"name":"library","api_keys":["k-library-1"]}]})";

struct engine
{
    std::string id;
    std::unique_ptr<server> listener;
    std::atomic<std::int64_t> down_at{-1}; // -1: up
    std::int64_t born = 1;
};

} // namespace

int main(int argc, char** argv)
{
    script own(argc, argv);
    store table;
    std::mutex mutex;
    std::vector<std::int64_t> crashes;
    std::vector<std::int64_t> arrivals; // of requests with the crashing part
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 6; ++i)
    {
        engines.push_back(std::make_unique<engine>());
        engine& each = *engines.back();
        each.id = "i-" + std::to_string(i);
        each.listener = std::make_unique<server>(
            [&](channel& client, const message& request)
            {
                const std::string attempt = request.field("Attempt-Id");
                const bool has_part =
                    request.field("Prompt-Prefix").find(crashing_part) != std::string::npos;
                const bool crashes_now = has_part && own.trouble;
                if (has_part)
                {
                    const std::lock_guard lock(mutex);
                    arrivals.push_back(now_ms());
                    if (each.down_at >= 0)
                        return false;
                    if (crashes_now)
                    {
                        each.down_at = now_ms();
                        crashes.push_back(now_ms());
                        RECORD("engine %s begins to answer %s and crashes (crash %zu)",
                               each.id.c_str(), attempt.c_str(), crashes.size());
                    }
                }
                if (!client.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                                  "\r\nResponse-Seal: s." + attempt +
                                  "\r\nContent-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"))
                    return false;
                for (int event = 1; event <= (crashes_now ? events_before_crash : stream_events);
                     ++event)
                {
                    const std::string text = "id: " + std::to_string(event) + "\ndata: t\n\n";
                    char size[16];
                    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                    if (!client.write(size + text + "\r\n"))
                        return false;
                    sleep_ms(event_ms);
                }
                if (crashes_now)
                {
                    std::thread([&each] { each.listener->stop(); }).detach();
                    sleep_ms(200);
                    return false;
                }
                return client.write("0\r\n\r\n");
            });
    }
    const std::vector<std::string> zones{"za", "zb", "zc"};
    const auto list = [&](std::size_t i)
    {
        const engine& each = *engines[i];
        table.put(
            "servers", each.id,
            server_entry("pool", each.listener->address(), zones[i % 3], 64, "ready", each.born));
    };
    for (std::size_t i = 0; i < engines.size(); ++i)
        list(i);
    table.put("op", "config", config);
    own.start_vms(zones, table.address());

    std::atomic<int> refused{0};
    std::atomic<int> sound_sent{0};
    std::atomic<int> sound_answered{0};
    std::atomic<int> sound_cut{0};
    const auto send = [&](int n, bool has_crashing_part)
    {
        std::string prefix;
        for (int p = 0; p < shared_parts; ++p)
        {
            char part[32];
            if (p == shared_parts - 1 && has_crashing_part)
                std::snprintf(part, sizeof part, "%s:40,", crashing_part);
            else if (p == shared_parts - 1)
                std::snprintf(part, sizeof part, "900d%04x:40,", static_cast<unsigned>(n % 40));
            else
                std::snprintf(part, sizeof part, "%08x:40,",
                              0xa0000000U + static_cast<unsigned>(p));
            prefix += part;
        }
        char last[32];
        std::snprintf(last, sizeof last, "%08x:120", 0xc0000000U + static_cast<unsigned>(n));
        prefix += last;
        const std::string attempt = attempt_id();
        channel client;
        if (!client.connect(own.vm_of(n).port()))
            return;
        const std::string body = "prompt " + std::to_string(n);
        (void)client.write("POST /digest/" + std::to_string(n) +
                           " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt +
                           "\r\nModel: m\r\nToken-Count: 1080,50\r\nPrompt-Prefix: " + prefix +
                           "\r\nDeadline-Ms: 6000\r\nAuthorization: Bearer k-library-1\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
        const message answer = read_message(client, 7000, true);
        if (has_crashing_part)
        {
            refused += answer.status() == 503 ? 1 : 0;
            RECORD("request %s with the crashing part at %s: %s", attempt.c_str(),
                   own.vm_of(n).name().c_str(),
                   answer.complete ? std::to_string(answer.status()).c_str() : "no whole answer");
            return;
        }
        ++sound_sent;
        sound_answered += answer.complete && answer.status() == 200 ? 1 : 0;
        sound_cut += answer.complete ? 0 : 1;
    };

    const std::int64_t began = now_ms();
    int n = 0;
    std::int64_t next_crashing = began + 1000;
    while (now_ms() < began + play_ms)
    {
        std::thread(send, ++n, false).detach();
        if (now_ms() >= next_crashing)
        {
            next_crashing += crashing_interval_ms;
            std::thread(send, ++n, true).detach();
        }
        for (std::size_t i = 0; i < engines.size(); ++i)
        {
            engine& each = *engines[i];
            if (each.down_at < 0 || now_ms() < each.down_at + engine_down_ms)
                continue;
            each.listener->start_again();
            each.born += now_ms();
            list(i);
            RECORD("engine %s is back", each.id.c_str());
            each.down_at = -1;
        }
        sleep_ms(50);
    }
    sleep_ms(3000);

    const std::lock_guard lock(mutex);
    int late = 0;
    if (crashes.size() >= 5)
    {
        for (const std::int64_t at : arrivals)
            late += at > crashes[4] + contact_ms ? 1 : 0;
    }
    RECORD("crashes %zu, arrivals with the part %zu, refused with 503 %d; sound requests %d, of "
           "them answered %d, cut off %d",
           crashes.size(), arrivals.size(), refused.load(), sound_sent.load(),
           sound_answered.load(), sound_cut.load());
    finish(late > allowed_arrivals,
           std::to_string(late) +
               " requests with the crashing part reached engines later than "
               "contact_ms after the fifth crash (3 are allowed); crashes " +
               std::to_string(crashes.size()) + ", sound requests cut off " +
               std::to_string(sound_cut.load()));
}
