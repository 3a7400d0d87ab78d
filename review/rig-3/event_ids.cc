// The ids of the events of a stream increase by two. Each stream is asked for on a channel on which
// another request was answered before.
#include "rig.hpp"

using namespace rig;

namespace
{

constexpr int streams = 12;
constexpr int events = 6;
constexpr std::int64_t event_ms = 40;
constexpr int allowed_closes = 3;

const char* const config =
    R"({"version":1,"routes":[{"name":"digest","host":"h.example","prefix":"/digest/",)"
    R"("kind":"streaming","timeout_ms":6000,"slo_ms":1000,"priority":1,"service":"pool",)"
    R"("attempts":2,"allow_anonymous":true,"sticky":true,"resumable":false,"gap_slo_ms":300},)"
    R"({"name":"read","host":"h.example","prefix":"/read/","kind":"idempotent",)"
    R"("timeout_ms":2000,"slo_ms":300,"priority":1,"service":"circulation","attempts":2,)"
    R"("allow_anonymous":true}],"services":[{"name":"circulation","health_path":"/health",)"
    R"("max_conns":110,"warmup_s":0.0,"cold_per_s":0.0},{"name":"pool","health_path":"/health","max_conns":370,"warmup_s":0.0,)"
    R"("cold_per_s":0.0,"engine":{"slots":64,"kv_tokens":475968,"stride":5,)"
    R"("models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";

} // namespace

int main(int argc, char** argv)
{
    script own(argc, argv);
    store table;
    const int step = own.trouble ? 2 : 1;
    std::vector<std::unique_ptr<server>> engines;
    const std::vector<std::string> zones{"za", "zb", "zc"};
    for (int i = 0; i < 3; ++i)
    {
        engines.push_back(std::make_unique<server>(
            [step](channel& client, const message& request)
            {
                const std::string attempt = request.field("Attempt-Id");
                bool is_open = client.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                                            "\r\nResponse-Seal: s." + attempt +
                                            "\r\nContent-Type: text/event-stream\r\n"
                                            "Transfer-Encoding: chunked\r\n\r\n");
                int sent = 0;
                for (; sent < events && is_open; ++sent)
                {
                    const std::string text =
                        "id: " + std::to_string((sent + 1) * step) + "\ndata: t\n\n";
                    char size[16];
                    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                    is_open = !client.peer_closed() && client.write(size + text + "\r\n");
                    sleep_ms(event_ms);
                }
                RECORD("engine has sent %d of %d events of %s", sent, events, attempt.c_str());
                return is_open && client.write("0\r\n\r\n");
            }));
        table.put("servers", "i-" + std::to_string(i),
                  server_entry("pool", engines.back()->address(),
                               zones[static_cast<std::size_t>(i)], 64));
    }
    server plain(
        [](channel& client, const message& request)
        {
            const std::string attempt = request.field("Attempt-Id");
            return client.write(response_text(
                200, "Attempt-Id: " + attempt + "\r\nResponse-Seal: s." + attempt + "\r\n", "ok"));
        });
    table.put("servers", "i-c", server_entry("circulation", plain.address(), "za", 8));
    table.put("op", "config", config);
    own.start_vms(zones, table.address());
    int closed = 0;
    int whole = 0;
    for (int n = 0; n < streams; ++n)
    {
        const std::string attempt = attempt_id();
        channel client;
        if (!client.connect(own.vm_of(n).port()))
            cannot_run("no connection to a VM");
        (void)client.write("GET /read/" + std::to_string(n) +
                           " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt_id() +
                           "\r\nDeadline-Ms: 4000\r\n\r\n");
        if (read_message(client, 5000, true).status() != 200)
            cannot_run("a plain request is not answered");
        (void)client.write("POST /digest/" + std::to_string(n) +
                           " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt +
                           "\r\nModel: m\r\nToken-Count: 500,40\r\nPrompt-Prefix: a1:250,c" +
                           std::to_string(n) +
                           ":250\r\nDeadline-Ms: 6000\r\nContent-Length: 2\r\n\r\nhi");
        const message answer = read_message(client, 7000, true);
        whole += answer.complete && answer.status() == 200 ? 1 : 0;
        closed += answer.closed ? 1 : 0;
        RECORD("stream %s at %s: %s", attempt.c_str(), own.vm_of(n).name().c_str(),
               answer.complete ? "whole"
                               : (answer.reset ? "reset by the VM" : "closed or not answered"));
    }
    finish(closed > allowed_closes,
           std::to_string(closed) + " of " + std::to_string(streams) +
               " streams of sound engines were broken off by the VM (3 are allowed); whole " +
               std::to_string(whole));
}
