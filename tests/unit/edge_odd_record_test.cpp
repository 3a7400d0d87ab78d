// Records and pages of the store with odd contents: numbers out of range, addresses that name no
// socket, bytes that cannot be read. Each is left out; all else goes on.
#include "serving_fixture.h"

#include "transport/log.h"

#include <criterion/criterion.h>

#include <set>

using namespace serving;
using web::json::value;
using zinnianotch::state_table;

namespace
{

// Five VMs in one failure domain: three relays, and two VMs that take the state from them.
struct odd_record_deployment : deployment
{
    static constexpr std::size_t vm_count = 5;
    fake_endpoint& plain_1 = add_endpoint("plain", "plain-1");
    std::uint64_t version = 1;

    void start()
    {
        configure(version);
        for (std::size_t i = 0; i < vm_count; ++i)
            add_vm();
        cr_assert(run_until([&] { return ready_with_relays(); }));
    }

    bool ready_with_relays()
    {
        std::size_t reading = 0;
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            if (!is_ready(i))
                return false;
            for (const state_table table : zinnianotch::all_state_tables)
                reading += vm(i).reads_store(table) ? 1 : 0;
        }
        return reading == zinnianotch::relays_per_domain * zinnianotch::state_table_count;
    }

    template <typename Condition>
    bool all_vms(Condition condition)
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            if (!condition(i))
                return false;
        }
        return true;
    }

    bool all_route_to(const std::string& endpoint)
    {
        return all_vms([&](std::size_t i) { return vm(i).routes_to(endpoint); });
    }

    // True if every VM learns of a later change of each table and answers requests.
    void check_all_follow(const std::string& when)
    {
        ++version;
        configure(version);
        const std::string id = "plain-v" + std::to_string(version);
        add_endpoint("plain", id);
        const std::string later_vm = "later-" + std::to_string(version);
        store.put_bytes("vms", later_vm,
                        R"({"domain":"dom-a","address":"127.0.0.1:9","capacity":0.001})");
        cr_assert(run_until(
                      [&] {
                          return all_vms([&](std::size_t i)
                                         { return vm(i).desired_version() == version; });
                      }),
                  "desired state, %s", when.c_str());
        cr_assert(run_until([&] { return all_route_to(id); }), "endpoints, %s", when.c_str());
        cr_assert(run_until(
                      [&] {
                          return all_vms([&](std::size_t i)
                                         { return known_vms(i).contains(later_vm); });
                      }),
                  "VMs, %s", when.c_str());
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            std::string attempt = when;
            attempt += std::to_string(i);
            attempt += later_vm;
            const auto answer = send_and_wait(i, request_text("GET", "/read/1", attempt));
            cr_assert(answer->done && answer->head.status == 200, "request, %s", when.c_str());
        }
        store.remove("vms", later_vm);
    }

    // Names of the VMs that a VM knows, by its status report.
    std::set<std::string> known_vms(std::size_t number)
    {
        std::set<std::string> names;
        const auto answer = get_from_metrics_port(number, "/vm/status");
        const value report = value::parse(answer->body);
        for (const value& name : report.at("vms").as_array())
            names.insert(name.as_string());
        return names;
    }

    std::string endpoint_entry(const std::string& fields) const
    {
        return R"({"service":"plain","zone":"dom-a","state":"ready",)" + fields + "}";
    }
};

} // namespace

// Guards against VMs that stop following a table once one page had an odd revision, and against
// relays that pass it on.
Test(edge_odd_record, page_revision_odd_all_vms_follow_later_changes)
{
    for (const std::string ver : {"1e300", "9223372036854775808", "9007199254740992", "-1", "2.5"})
    {
        odd_record_deployment harness;
        harness.start();
        const std::uint64_t calls = harness.store.calls;
        harness.store.page_version = value::parse(ver);
        ++harness.version;
        harness.configure(harness.version);
        harness.publish_endpoint("plain", harness.plain_1, "dom-a", "draining");
        cr_assert(harness.run_until([&] { return harness.store.calls > calls + 9; }));
        harness.store.page_version = value::null();
        harness.check_all_follow("page revision " + ver);
    }
}

// Guards against odd rows that stop a VM from following their table, hide other rows, or are used.
Test(edge_odd_record, odd_rows_in_all_tables_other_rows_count_and_each_is_logged_once)
{
    odd_record_deployment harness;
    harness.start();
    const std::string address = R"("address":")" + harness.plain_1.address() + "\"";
    const std::string deep(200'000, '[');
    const std::vector<std::string> odd_entries = {
        harness.endpoint_entry(address + R"(,"slots":1e999)"),
        harness.endpoint_entry(address + R"(,"slots":18446744073709551616)"),
        harness.endpoint_entry(address + R"(,"cold_ms":1e300)"),
        harness.endpoint_entry(address + R"(,"born":-1e300)"),
        harness.endpoint_entry(address + R"(,"cold_ms":)" + std::string(400, '9')),
        harness.endpoint_entry(address + R"(,"slots":)" + deep),
        harness.endpoint_entry(R"("address":"127.0.0.1:70000")"),
        harness.endpoint_entry(R"("address":"127.0.0.1:99999999999999999999")"),
        harness.endpoint_entry(R"("address":"127.0.0.1:-1")"),
        harness.endpoint_entry(R"("address":"127.0.0.1:0")"),
        harness.endpoint_entry(R"("address":"127.0.0.1")"),
        harness.endpoint_entry(R"("address":":8080")"),
        harness.endpoint_entry(R"("address":"999.1.1.1:8080")"),
        deep,
        "\xff\xfe"};
    const std::vector<std::string> odd_vms = {
        R"({"domain":"dom-a","address":"127.0.0.1:9","capacity":1e999})",
        R"({"domain":"dom-a","address":"127.0.0.1:9","capacity":1e300})",
        R"({"domain":"dom-a","address":"127.0.0.1:9","capacity":-1})", deep};
    for (std::size_t i = 0; i < odd_entries.size(); ++i)
        harness.store.put_bytes("servers", "odd-" + std::to_string(i), odd_entries[i]);
    for (std::size_t i = 0; i < odd_vms.size(); ++i)
        harness.store.put_bytes("vms", "odd-" + std::to_string(i), odd_vms[i]);
    harness.store.put_bytes("op", "config", R"({"version":1e300,"routes":[]})");
    harness.check_all_follow("first");
    harness.store.put_bytes("op", "config", deep);
    harness.check_all_follow("second");
    harness.store.discard_history(); // all tables are listed again
    harness.check_all_follow("third");
    const std::size_t odd_rows = odd_entries.size() + odd_vms.size() + 2; // two of the operator
    for (std::size_t vm = 0; vm < harness.vm_count; ++vm)
    {
        for (std::size_t i = 0; i < odd_entries.size(); ++i)
            cr_assert_not(harness.vm(vm).routes_to("odd-" + std::to_string(i)), "%s",
                          odd_entries[i].substr(0, 200).c_str());
        const std::string metrics = harness.get_from_metrics_port(vm, "/metrics")->body;
        const std::string counted = "bad_records_total " + std::to_string(odd_rows) + "\n";
        cr_assert(metrics.find(counted) != std::string::npos, "%s", metrics.c_str());
    }
}

// Guards against VMs that choose as relay or for batching a VM whose address names no socket.
Test(edge_odd_record, vm_address_odd_vm_is_not_known)
{
    odd_record_deployment harness;
    harness.start();
    const std::vector<std::string> odd_vms = {
        R"({"domain":"dom-a","address":"127.0.0.1:70000"})",
        R"({"domain":"dom-a","address":"127.0.0.1:99999999999999999999"})",
        R"({"domain":"dom-a","address":"127.0.0.1:-1"})",
        R"({"domain":"dom-a","address":"127.0.0.1:0"})",
        R"({"domain":"dom-a","address":"127.0.0.1"})",
        R"({"domain":"dom-a","address":":9"})",
        R"({"domain":"dom-a","address":"999.1.1.1:9"})"};
    for (std::size_t i = 0; i < odd_vms.size(); ++i)
        harness.store.put_bytes("vms", "odd-" + std::to_string(i), odd_vms[i]);
    harness.check_all_follow("odd addresses");
    for (std::size_t vm = 0; vm < harness.vm_count; ++vm)
    {
        for (const std::string& name : harness.known_vms(vm))
            cr_assert_not(name.starts_with("odd-"), "%s", name.c_str());
    }
}

// Guards against stages that are skipped because their number of pieces cannot be read.
Test(edge_odd_record, request_with_odd_pieces_is_refused_and_vm_goes_on)
{
    deployment harness;
    harness.add_endpoint("encoders", "encoder-1");
    harness.add_endpoint("engines", "engine-1").event_count = 1;
    harness.add_stage();
    harness.configure(1);
    const std::size_t vm = harness.add_vm();
    cr_assert(harness.run_until([&] { return harness.is_ready(vm); }));
    for (const std::string pieces : {"4294967295", "1000000000", "-1", "2x", "x"})
    {
        const auto answer = harness.send_and_wait(
            vm, request_text("POST", "/stream/1", "odd-" + pieces,
                             "Piece-Key: k\r\nPieces: " + pieces + "\r\n", "{}"));
        cr_assert(answer->done && answer->head.status == 400, "%s", pieces.c_str());
    }
    const auto answer = harness.send_and_wait(
        vm, request_text("POST", "/stream/1", "sound", "Piece-Key: k\r\nPieces: 2\r\n", "{}"));
    cr_assert(answer->done && answer->head.status == 200);
}
