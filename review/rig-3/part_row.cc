// A row of another part of the table op has the key of the desired state.
#include "rig.hpp"

using namespace rig;

namespace
{

constexpr std::int64_t settle_ms = 4000; // config_ms is 2000

std::string config(int version, const std::string& order_service, const std::string& key)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"order","host":"h.example","prefix":"/order/",)"
           R"("kind":"non_idempotent","timeout_ms":2000,"slo_ms":300,"priority":1,"service":")" +
           order_service +
           R"(","attempts":1,"allow_anonymous":false}],"services":[)"
           R"({"name":"circulation","health_path":"/health","max_conns":110,"warmup_s":0.0,)"
           R"("cold_per_s":0.0},{"name":"rehearsal","health_path":"/health","max_conns":110,)"
           R"("warmup_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"library","api_keys":[")" +
           key + R"("]}]})";
}

} // namespace

int main(int argc, char** argv)
{
    script own(argc, argv);
    store table;
    std::atomic<int> run_by_rehearsal{0};
    const auto make = [&](const char* service, bool is_rehearsal)
    {
        return std::make_unique<server>(
            [&, service, is_rehearsal](channel& client, const message& request)
            {
                const std::string attempt = request.field("Attempt-Id");
                RECORD("engine of %s runs %s %s, tenant %s", service, attempt.c_str(),
                       request.target().c_str(), request.field("Tenant").c_str());
                run_by_rehearsal += is_rehearsal ? 1 : 0;
                return client.write(response_text(
                    200, "Attempt-Id: " + attempt + "\r\nResponse-Seal: s." + attempt + "\r\n",
                    service));
            });
    };
    const auto circulation = make("circulation", false);
    const auto rehearsal = make("rehearsal", true);
    table.put("servers", "i-c1", server_entry("circulation", circulation->address(), "za", 6));
    table.put("servers", "i-r1", server_entry("rehearsal", rehearsal->address(), "za", 6));
    table.put("op", "config", config(3, "circulation", "k-library-1"));
    own.start_vms({"za", "zb", "zc"}, table.address());

    const auto order = [&](const vm& at, const std::string& key)
    {
        const std::string attempt = attempt_id();
        channel client;
        if (!client.connect(at.port()))
            cannot_run("no connection to a VM");
        (void)client.write("POST /order/kit-17 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " +
                           attempt + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer " + key +
                           "\r\nContent-Length: 2\r\n\r\n{}");
        const message answer = read_message(client, 5000, true);
        RECORD("order %s with key %s at %s: %d", attempt.c_str(), key.c_str(), at.name().c_str(),
               answer.status());
        return answer.status();
    };

    int served = 0;
    for (const auto& each : own.vms)
        served += order(*each, "k-library-1") == 200 ? 1 : 0;
    if (served != 3)
        cannot_run("orders are not served");
    if (own.trouble)
    {
        // Prepared for another day, in a part of its own: never in force.
        table.put("op", "config", config(20, "rehearsal", "k-library-1"), "prepared");
        RECORD("row written: table op, part prepared, key config, version 20");
    }
    sleep_ms(settle_ms);
    for (int round = 0; round < 5; ++round)
    {
        for (const auto& each : own.vms)
            (void)order(*each, "k-library-1");
    }
    table.put("op", "config", config(7, "circulation", "k-library-2"));
    RECORD("row written: table op, part empty, key config, version 7, with another key");
    sleep_ms(settle_ms);
    int refused_new_key = 0;
    int served_old_key = 0;
    for (const auto& each : own.vms)
    {
        refused_new_key += order(*each, "k-library-2") == 401 ? 1 : 0;
        served_old_key += order(*each, "k-library-1") == 200 ? 1 : 0;
    }
    finish(run_by_rehearsal > 0 || refused_new_key > 0 || served_old_key > 0,
           std::to_string(run_by_rehearsal.load()) +
               " orders were run by a service to which no desired state sends them; 4 s after "
               "version 7, VMs that refuse its key: " +
               std::to_string(refused_new_key) +
               ", that accept the withdrawn one: " + std::to_string(served_old_key));
}
