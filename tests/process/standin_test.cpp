// Tests of the stand-ins and the fault proxy: the other process tests rely on the faults that they
// inject and on their counters.
#include "../standins/token_text.h"
#include "fixture.h"

#include <criterion/criterion.h>

#include <future>

using namespace fixture;

namespace
{

http_result put(const standin& table, const std::string& key, const std::string& value,
                const header_map& condition)
{
    return send_http(table.port(), "PUT", "/rows/" + key, value, condition);
}

const header_map if_absent = {{"If-None-Match", "*"}};

} // namespace

// Guards against a table that accepts the conditional writes of two concurrent writers.
Test(standin_table, put_condition_fails_conflict)
{
    const standin table("table");
    cr_assert(put(table, "config/0000000001", "{\"n\":1}", if_absent).status == 201);
    cr_assert(put(table, "config/0000000001", "{\"n\":2}", if_absent).status == 412);
    const auto first = send_http(table.port(), "GET", "/rows/config%2F0000000001");
    cr_assert(first.status == 200);
    const header_map if_first = {{"If-Match", first.headers.at("etag")}};
    cr_assert(put(table, "config/0000000001", "{\"n\":3}", if_first).status == 200);
    cr_assert(put(table, "config/0000000001", "{\"n\":4}", if_first).status == 412);
    cr_assert(put(table, "config/0000000009", "{}", if_first).status == 412);
    cr_assert(send_http(table.port(), "GET", "/rows/config/0000000001").body == "{\"n\":3}");
    cr_assert(table.count("conflicts") == 3);
}

// Guards against a listing that includes keys without the prefix, is unordered or exceeds its
// limit.
Test(standin_table, list_prefix_pages_in_key_order)
{
    const standin table("table");
    for (const char* key : {"view/b", "config/3", "config/1", "config/2", "order/a/1"})
        cr_assert(put(table, key, "{}", if_absent).status == 201);
    const auto page = [&](const std::string& after)
    {
        std::string keys;
        const auto list =
            send_http(table.port(), "GET", "/rows?prefix=config/&after=" + after + "&limit=2")
                .json();
        for (const auto& row : list.at("rows").as_array())
            keys += row.at("key").as_string() + ' ';
        return keys;
    };
    cr_assert(page("") == "config/1 config/2 ");
    cr_assert(page("config%2F2") == "config/3 ");
    cr_assert(page("config/3").empty());
}

// Guards against a lost response that also loses the write, which would hide faults in recovery.
Test(standin_table, put_response_lost_takes_effect)
{
    const standin table("table");
    table.control("{\"lose_answers_percent\":100}");
    cr_assert(put(table, "order/a/1", "{\"n\":1}", if_absent).status == 0);
    cr_assert(send_http(table.port(), "GET", "/rows/order/a/1").body == "{\"n\":1}");
}

// Guards against overruns of a cold endpoint that are not counted, and work that cannot be
// cancelled.
Test(standin_endpoint, cold_overrun_refused_and_counted)
{
    const standin stage("stage",
                        {"--cold-ms", "-1", "--cold-capacity", "1", "--work-ms", "600000"});
    const auto run = [&](const char* attempt)
    {
        return send_http(stage.port(), "POST", "/run",
                         std::string("{\"attempt\":\"") + attempt + "\"}");
    };
    auto first = std::async(std::launch::async, run, "first");
    cr_assert(eventually([&] { return stage.count("running") == 1; }));
    cr_assert(run("second").status == 503);
    cr_assert(send_http(stage.port(), "POST", "/cancel", "{\"attempt\":\"first\"}").status == 200);
    cr_assert(first.get().status == 0);
    const auto counters = stage.counters();
    cr_assert(counters.at("overruns").as_integer() == 1);
    cr_assert(counters.at("peak_running_while_cold").as_integer() == 2);
    cr_assert(counters.at("starts").as_integer() == 1);
    cr_assert(counters.at("cancelled").as_integer() == 1);
}

// Guards against a swapped response that still has the correct attempt or output.
Test(standin_endpoint, swap_attempts_answers_for_other_request)
{
    const standin stage("stage", {"--stage", "encoder"});
    const auto run = [&](const char* body)
    { return send_http(stage.port(), "POST", "/run", body).json(); };
    const auto correct = run(R"({"attempt":"r1","input":"x"})");
    cr_assert(correct.at("attempt").as_string() == "r1");
    cr_assert(correct.at("output").as_string() == "encoder(x)");
    stage.control("{\"swap_attempts\":true}");
    const auto swapped = run(R"({"attempt":"r2","input":"y"})");
    cr_assert(swapped.at("attempt").as_string() == "r1");
    cr_assert(swapped.at("output").as_string() == "encoder(x)");
}

// Guards against tokens that depend on anything but input and index: tests could not check the
// content of a resumed stream.
Test(standin_engine, stream_cut_resume_continues_with_next_token)
{
    const standin engine("engine");
    engine.control("{\"cut_after_tokens\":3}");
    auto cut = http_stream(engine.port(), "/generate",
                           R"({"attempt":"r1","input":"quilt","max_tokens":8})");
    cr_assert(!cut.complete);
    cr_assert(cut.lines.size() == 3);
    engine.control("{\"cut_after_tokens\":0}");
    const auto rest =
        http_stream(engine.port(), "/generate",
                    R"({"attempt":"r1","input":"quilt","max_tokens":8,"resume_from":3})");
    cr_assert(rest.complete);
    cr_assert(rest.lines.size() == 6);
    cut.lines.insert(cut.lines.end(), rest.lines.begin(), rest.lines.end());
    for (std::uint64_t index = 0; index < 8; ++index)
    {
        const auto line = web::json::value::parse(cut.lines[index]);
        cr_assert(line.at("index").as_number().to_uint64() == index);
        cr_assert(line.at("text").as_string() == standins::token_text("quilt", index));
    }
    cr_assert(web::json::value::parse(cut.lines[8]).at("tokens").as_integer() == 8);
}

// Guards against an engine that continues to generate after its client has disconnected.
Test(standin_engine, stream_client_disconnects_is_cancelled)
{
    const standin engine("engine");
    const auto abandoned = http_stream(engine.port(), "/generate",
                                       R"({"attempt":"r1","input":"quilt","max_tokens":1000000})",
                                       {}, [](std::string_view) { return false; });
    cr_assert(!abandoned.complete);
    cr_assert(eventually([&] { return engine.count("cancelled") == 1; }));
    cr_assert(engine.count("running") == 0);
}

// Guards against a freeze that closes the connection, or that also affects new connections.
Test(fault_proxy, freeze_established_silences_existing_connections_only)
{
    const standin list("vm_list", {"--vms", "vm-a1"});
    const fault_proxy proxy(list.port());
    zinnianotch::http_client client("http://127.0.0.1:" + std::to_string(proxy.port()));
    zinnianotch::client_request request;
    request.path = "/vms";
    cr_assert(client.send(request, default_timeout).has_value());
    cr_assert(proxy.command("freeze_established").at("frozen").as_integer() == 1);
    const auto silent = client.send(request, milliseconds{300});
    cr_assert(!silent);
    cr_assert(silent.error().why == zinnianotch::reason::silent_connection);
    cr_assert(list.count("requests") == 1, "the frozen connection must not forward requests");
    cr_assert(send_http(proxy.port(), "GET", "/vms").status == 200);
}

// Guards against a fault that drops the request together with its response.
Test(fault_proxy, drop_answers_request_takes_effect)
{
    const standin service("service");
    const fault_proxy proxy(service.port());
    proxy.command("drop_answers");
    auto lost =
        std::async(std::launch::async,
                   [&] { return send_http(proxy.port(), "POST", "/place", "{\"order\":\"o1\"}"); });
    cr_assert(eventually([&] { return service.count("starts") == 1; }));
    cr_assert(eventually([&] { return service.count("running") == 0; }));
    proxy.command("cut");
    cr_assert(lost.get().status == 0);
    proxy.command("pass");
    const auto answered = send_http(proxy.port(), "POST", "/place", "{\"order\":\"o1\"}");
    cr_assert(answered.json().at("run").as_integer() == 2);
}

// Guards against child processes that ignore signals and outlive their test, or report a wrong exit
// code.
Test(child_process, signals_stop_resume_exit_code)
{
    standin list("vm_list");
    list.stop();
    cr_assert(send_http(list.port(), "GET", "/vms", {}, {}, milliseconds{300}).status == 0);
    list.resume();
    cr_assert(send_http(list.port(), "GET", "/vms").status == 200);
    list.signal(SIGTERM);
    cr_assert(list.wait_exit() == 0);
    standin other("vm_list");
    other.kill();
    cr_assert(other.wait_exit() == 128 + SIGKILL);
}

// Guards against a restart that keeps the incarnation or changes the port.
Test(standin_endpoint, restart_same_port_new_incarnation)
{
    standin engine("engine");
    const auto load = [&] { return send_http(engine.port(), "GET", "/load").json(); };
    const auto before = load();
    engine.restart({"--cold-ms", "-1"});
    const auto after = load();
    cr_assert(before.at("incarnation").as_string() != after.at("incarnation").as_string());
    cr_assert(before.at("phase").as_string() == "warm");
    cr_assert(after.at("phase").as_string() == "cold");
}

// Guards against an incomplete fixture: every pool and endpoint must be configured and reachable.
Test(deployment, without_vms_configuration_reachable)
{
    deployment_options options;
    options.proxies = true;
    options.start_vms = false;
    const deployment cluster(options);
    const auto row =
        send_http(cluster.table_proxies.at("dom-b").port(), "GET", "/rows/config/0000000001");
    const auto document = row.json().at("document");
    cr_assert(document.at("pools").size() == 5);
    cr_assert(cluster.endpoints.size() == 10);
    for (const auto& pool : document.at("pools").as_array())
        for (const auto& endpoint : pool.at("endpoints").as_array())
        {
            const auto url = endpoint.at("url").as_string();
            const auto port = static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
            cr_assert(send_http(port, "GET", "/load").status == 200);
        }
}
