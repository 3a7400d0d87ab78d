// Encoding and decoding of the platform's protocols.
#include "platform/codec.h"

#include "state/number_range.h"

#include "seeds.h"

#include <cpprest/asyncrt_utils.h>
#include <cpprest/json.h>

#include <criterion/criterion.h>

using namespace zinnianotch;
using platform::codec;
using zinnianotch::testing::random_source;

namespace
{

message_head request_head(std::vector<header_field> fields)
{
    message_head head;
    head.method = "POST";
    head.target = "/a/b?c=d";
    head.fields = std::move(fields);
    return head;
}

state_record record(const std::string& value)
{
    return {"i-1", value, 7, false};
}

constexpr const char* good_entry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":64,"state":"ready",)"
    R"("cold_ms":1200,"born":1781000000000,"sequence":4})";

} // namespace

// Guards against header fields that are decoded wrongly or ignored.
Test(platform_codec, decode_call_reads_fields)
{
    message_head head = request_head({{"Host", "h"},
                                      {"attempt-id", "9c41"},
                                      {"Deadline-Ms", "900"},
                                      {"Authorization", "Bearer k"},
                                      {"Last-Event-Id", "12"},
                                      {"Pieces", "2,0,7"},
                                      {"Piece-Key", "p"},
                                      {"Prompt-Prefix", "aa:800,bb:410,cc:250"}});
    const client_call call = codec::decode_call(head, "body");
    cr_assert(call.attempt == "9c41" && call.host == "h" && call.key == "k");
    cr_assert(call.time_left == milliseconds(900));
    cr_assert(call.resume_after == 12);
    const std::vector<std::uint32_t> pieces = {2, 0, 7};
    cr_assert(call.pieces == pieces);
    cr_assert(call.piece_key == "p" && call.prompt_prefix == "bb");
    cr_assert(call.prompt_parts == std::vector<std::string>({"aa", "bb"}));
}

// Guards against changes to the request line or body, and against request smuggling through a
// second Content-Length or a Transfer-Encoding.
Test(platform_codec, encode_call_frames_the_body_once)
{
    message_head head = request_head({{"Host", "h"},
                                      {"Content-Length", "999"},
                                      {"Transfer-Encoding", "chunked"},
                                      {"Expect", "100-continue"}});
    const client_call call = codec::decode_call(head, "GET / HTTP/1.1\r\n\r\n");
    endpoint_call extra;
    extra.endpoint = "i-1";
    extra.time_left = milliseconds(40);
    const std::string text = codec::encode_call(call, extra);
    cr_assert(text.starts_with("POST /a/b?c=d HTTP/1.1\r\n"));
    cr_assert(text.ends_with("Content-Length: 18\r\n\r\nGET / HTTP/1.1\r\n\r\n"));
    cr_assert(text.find("999") == std::string::npos);
    cr_assert(text.find("chunked") == std::string::npos);
    cr_assert(text.find("Expect-Instance: i-1\r\n") != std::string::npos);
}

// Guards against treating a request as not run although the endpoint did not report that.
Test(platform_codec, decode_answer_not_run_only_if_reported)
{
    message_head head;
    head.status = 503;
    cr_assert_not(codec::decode_answer(head).not_run);
    head.fields = {{"Not-Executed", "1"}, {"Instance-Load", "3,1,8"}, {"Cold-Ms", "700"}};
    const endpoint_answer answer = codec::decode_answer(head);
    cr_assert(answer.not_run && answer.load && answer.load->waiting == 1);
    cr_assert(answer.cold_for == milliseconds(700));
    head = {};
    head.status = 421;
    cr_assert(codec::decode_answer(head).not_run);
}

// Guards against a limit that is overlooked or made up because of an odd value.
Test(platform_codec, decode_answer_limit_only_if_readable)
{
    const auto limit_of = [](int status, std::vector<zinnianotch::header_field> fields)
    {
        message_head head;
        head.status = status;
        head.fields = std::move(fields);
        return codec::decode_answer(head).limit;
    };
    for (const int status : {200, 409, 429, 500, 503})
        cr_assert(limit_of(status, {{"server-limit", "1.3"}}) == 1.3);
    cr_assert(limit_of(200, {{"Server-Limit", "0"}}) == 0.0);
    cr_assert(limit_of(200, {{"Server-Limit", "7"}, {"Server-Limit", "2.5"}}) == 2.5);
    for (const char* const text : {"", "-1", "1e999", "nan", "inf", "1,3", "many", "1 per s"})
        cr_assert_not(limit_of(200, {{"Server-Limit", text}}), "%s", text);
    cr_assert_not(limit_of(200, {}));
}

// Guards against an endpoint that is avoided for good, or not at all, because of an odd value.
Test(platform_codec, decode_answer_leaving_and_pause_only_if_readable)
{
    message_head head;
    head.status = 503;
    head.fields = {{"Server-Leaving", "1"}, {"Retry-After", "1.25"}};
    cr_assert(codec::decode_answer(head).leaving);
    cr_assert(codec::decode_answer(head).retry_after == milliseconds(1250));
    head.status = 429;
    cr_assert_not(codec::decode_answer(head).retry_after.has_value());
    head.status = 503;
    head.fields = {{"Server-Leaving", "0"}, {"Retry-After", "1e300"}};
    cr_assert_not(codec::decode_answer(head).leaving);
    cr_assert(codec::decode_answer(head).retry_after == milliseconds(3'600'000));
    for (const std::string text : {"", "0", "-1", "nan", "soon", "Fri, 04 Dec 2026"})
    {
        head.fields = {{"Retry-After", text}};
        cr_assert_not(codec::decode_answer(head).retry_after.has_value(), "'%s'", text.c_str());
    }
}

// Guards against an endpoint that seems idle because its load cannot be read.
Test(platform_codec, decode_answer_unreadable_load_is_ignored)
{
    for (const std::string load : {"", "3", "3,1", "x,1,8", "3,,8", "-3,1,8", "3,1,8,x", "3,1,8,-5",
                                   "3,1,8,0", "3,1,8,nan", "3,1,8,1e9", "3,1,8,100,7"})
    {
        message_head head;
        head.status = 200;
        head.fields = {{"Instance-Load", load}};
        cr_assert_not(codec::decode_answer(head).load.has_value(), "'%s'", load.c_str());
    }
}

// Guards against a report that is dropped because it says how long work takes, or whose pace is
// taken from a service that tells none.
Test(platform_codec, decode_answer_load_with_and_without_pace)
{
    message_head head;
    head.status = 200;
    head.fields = {{"Instance-Load", "3,1,8"}};
    const auto plain = codec::decode_answer(head).load;
    cr_assert(plain && plain->slots == 8 && !plain->pace.has_value());
    head.fields = {{"Instance-Load", "3, 1, 8, 250"}};
    const auto paced = codec::decode_answer(head).load;
    cr_assert(paced && paced->running == 3 && paced->waiting == 1 && paced->slots == 8);
    cr_assert(paced->pace == 2.5);
}

// Guards against sizes that are misread or that a caller's odd numbers make huge.
Test(platform_codec, decode_call_reads_sizes)
{
    const auto decoded = [](std::vector<header_field> fields)
    {
        message_head head = request_head(std::move(fields));
        return codec::decode_call(head, "").size;
    };
    const request_size size = decoded({{"Prompt-Prefix", "aa:800,bb:410,cc:250"},
                                       {"Token-Count", "1460,80"},
                                       {"Length-Hint", "35"}});
    cr_assert(size.parts.size() == 3 && size.parts[1].tokens == 410);
    cr_assert(size.prompt_tokens == 1460 && size.output_limit == 80 && size.output_hint == 35);
    // A part behind other parts is another one.
    cr_assert(decoded({{"Prompt-Prefix", "bb:410"}}).parts[0].key != size.parts[1].key);
    cr_assert(decoded({{"Prompt-Prefix", "aa:800,dd:1"}}).parts[0].key == size.parts[0].key);
    for (const std::string text : {"aa", "aa:x", "aa:-1", "aa:1,,bb:2", "aa:99999999999"})
        cr_assert(decoded({{"Prompt-Prefix", text}}).parts.empty(), "'%s'", text.c_str());
    for (const std::string text : {"", "12", "12,x", "-1,2", "1,2,3", "4294967295,1"})
        cr_assert_eq(decoded({{"Token-Count", text}}).prompt_tokens, 0U, "'%s'", text.c_str());
    for (const std::string text : {"", "x", "-1", "1e9", "4294967295"})
        cr_assert_eq(decoded({{"Length-Hint", text}}).output_hint, 0U, "'%s'", text.c_str());
}

// Guards against results assigned to the wrong pieces when the response has another number of
// items.
Test(platform_codec, decode_pieces_wrong_count_is_rejected)
{
    const std::string body = R"({"items":[{"handle":"10.0.0.1:80/a"},{"reason":"gone"}]})";
    const auto results = codec::decode_pieces(body, 2);
    cr_assert(results.has_value());
    cr_assert(std::get<std::string>((*results)[0]) == "10.0.0.1:80/a");
    cr_assert(std::get<piece_failure>((*results)[1]) == piece_failure::input_gone);
    cr_assert_not(codec::decode_pieces(body, 3).has_value());
    cr_assert_not(codec::decode_pieces("{", 2).has_value());
    cr_assert_not(codec::decode_pieces(R"({"items":[{},{}]})", 2).has_value());
    cr_assert(codec::producer_address("10.0.0.1:80/a") == "10.0.0.1:80");
}

// Guards against an exception that leaves the pieces of a call waiting until their deadline: half
// of a surrogate pair, base64 or text that is no JSON, and nesting without end.
Test(platform_codec, decode_malformed_text_never_throws)
{
    const std::vector<std::string> texts = {R"("\ud800")",
                                            R"("\udc00\ud800")",
                                            R"("\ud800x")",
                                            "\"\xff\xfe\"",
                                            R"("\u00")",
                                            "1e999",
                                            "-",
                                            std::string(100000, '[')};
    for (const std::string& text : texts)
    {
        const std::string pieces = R"({"items":[{"handle":)" + text + "}]}";
        const std::string page = R"({"ver":1,"rows":[{"key":"a","ver":1,"value":)" + text + "}]}";
        std::string entry = R"({"state":"ready","zone":"z","service":"s","address":)" + text;
        entry += R"(,"cold_ms":)" + text + "}";
        cr_assert_no_throw((void)codec::decode_pieces(pieces, 1), std::exception, "%s",
                           pieces.substr(0, 80).c_str());
        cr_assert_no_throw((void)codec::decode_page(page), std::exception);
        cr_assert_no_throw((void)codec::decode_endpoint(record(entry)), std::exception);
        cr_assert_no_throw((void)codec::decode_vm(record(entry)), std::exception);
    }
}

// Guards against using malformed entries, which other writers may store, as endpoints.
Test(platform_codec, decode_endpoint_malformed_entries_are_rejected)
{
    const auto good = codec::decode_endpoint(record(good_entry));
    cr_assert(good && good->started_at == 1781000000000 && good->cold_for == milliseconds(1200));
    for (const std::string& bad :
         {std::string("[]"), std::string("{}"), std::string("\xff\xfe"),
          std::string(R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"warm"})"),
          std::string(R"({"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready"})"),
          std::string(
              R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","born":"x"})"),
          std::string(
              R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","born":1.5})")})
        cr_assert_not(codec::decode_endpoint(record(bad)).has_value(), "%s", bad.c_str());
}

// Guards against exceptions that end the process when the store holds corrupt bytes.
Test(platform_codec, decode_mutated_entries_never_throw)
{
    const std::string page = R"({"rows":[{"key":"a","value":"e30=","ver":3}],"ver":9})";
    for (std::uint64_t seed = 1; seed <= 4000; ++seed)
    {
        random_source random(seed);
        std::string entry = good_entry;
        std::string rows = page;
        for (std::uint64_t i = 0; i <= random.below(5); ++i)
        {
            entry[random.below(entry.size())] = static_cast<char>(random.below(256));
            rows[random.below(rows.size())] = static_cast<char>(random.below(256));
        }
        (void)codec::decode_endpoint(record(entry));
        (void)codec::decode_vm(record(entry));
        state_record desired = record(entry);
        desired.name = "config";
        (void)codec::decode_desired(desired);
        desired.name = "rollout/a";
        (void)codec::decode_desired(desired);
        (void)codec::decode_rollout(desired);
        (void)codec::decode_page(rows);
    }
}

// Guards against fields of the desired state that are lost or get wrong units, and against
// rejecting the whole state because of the type of one field, such as 200.0 for an integer.
Test(platform_codec, decode_desired_reads_routes_services_and_keys)
{
    state_record row = record(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"streaming",)"
        R"("timeout_ms":6000,"slo_ms":1000,"priority":1,"attempts":2,"resumable":true,)"
        R"("backends":[{"service":"s","weight":90},{"service":"t","weight":10}],)"
        R"("stages":[{"service":"e","after":[],"bytes":1500000}]}],)"
        R"("services":[{"name":"e","pieces":{"batch":8,"call_ms":200.0,"item_ms":21.0,"room_mb":18.0}}],)"
        R"("limits":{"idle_timeout_ms":9000},"tenants":[{"name":"a","api_keys":["k1","k2"],"priority":1}]})");
    row.name = "config";
    const auto change = codec::decode_desired(row);
    cr_assert(change.has_value());
    const auto& state = std::get<serving_state>(*change);
    cr_assert(state.version == 7 && state.routes.size() == 1);
    cr_assert(state.routes[0].services.size() == 2 && is_repeatable(state.routes[0]));
    cr_assert(state.services.at("e").batch->result_memory_bytes == 18'000'000);
    cr_assert(find_account(state, "k2")->priority == 1);
    cr_assert(state.limits.idle_timeout == milliseconds(9000));
}

// Guards against a revision that no store gives out, after which every change is old news.
Test(platform_codec, decode_page_odd_revision_is_rejected)
{
    for (const std::string ver :
         {"1e999", "1e300", "-1e300", "9223372036854775808", "9223372036854775807",
          "18446744073709551616", "9007199254740992", "-1", "1.5", "\"7\"", "null"})
        cr_assert_not(codec::decode_page(R"({"rows":[],"ver":)" + ver + "}").has_value(), "%s",
                      ver.c_str());
    cr_assert(codec::decode_page(R"({"rows":[],"ver":)" + std::string(400, '9') + "}") ==
              std::nullopt);
    const auto page = codec::decode_page(R"({"rows":[],"ver":9007199254740991})");
    cr_assert(page && page->revision == 9007199254740991);
}

// Guards against one odd row that hides the others of its page, or that is used.
Test(platform_codec, decode_page_odd_row_has_no_value)
{
    for (const std::string odd :
         {R"("ver":1e300,"value":"e30=")", R"("ver":9223372036854775808,"value":"e30=")",
          R"("ver":2.5,"value":"e30=")", R"("ver":-4,"value":"e30=")", R"("value":"e30=")",
          R"("ver":3,"value":"e30")", R"("ver":3,"value":"?*#!")", R"("ver":3,"value":7)"})
    {
        const auto page = codec::decode_page(
            R"({"ver":9,"rows":[{"key":"a","ver":1,"value":"e30="},{"key":"b",)" + odd +
            R"(},{"key":"c","ver":4,"value":"e30="}]})");
        cr_assert(page && page->revision == 9, "%s", odd.c_str());
        cr_assert(page->records.size() == 3 && page->records[2].value == "{}", "%s", odd.c_str());
        cr_assert(page->records[1].name == "b" && page->records[1].value.empty(), "%s",
                  odd.c_str());
        cr_assert(page->records[1].revision <= 9, "%s", odd.c_str());
    }
}

// Guards against a version of the desired state that is above all later ones.
Test(platform_codec, decode_desired_odd_version_is_rejected)
{
    for (const std::string version : {"1e999", "1e300", "9223372036854775808", "-1", "2.5"})
    {
        state_record row = record(R"({"version":)" + version + "}");
        row.name = "config";
        cr_assert_not(codec::decode_desired(row).has_value(), "%s", version.c_str());
    }
}

// Guards against an era that no store gives out, after which every response is of an older one.
Test(platform_codec, decode_era_odd_text_is_rejected)
{
    message_head head;
    cr_assert(codec::decode_era(head) == 0);
    head.fields = {{"Store-Era", "12"}};
    cr_assert(codec::decode_era(head) == 12);
    for (const std::string text : {"", "-1", "x", "12x", "1e3", "9007199254740992",
                                   "18446744073709551615", "99999999999999999999"})
    {
        head.fields = {{"Store-Era", text}};
        const std::optional<std::uint64_t> era = codec::decode_era(head);
        cr_assert_not(era.has_value(), "'%s'", text.c_str());
    }
}

// Guards against numbers of an endpoint that no endpoint has: it would be preferred, be cold for
// ever, or seem older than it is.
Test(platform_codec, decode_endpoint_odd_number_is_rejected)
{
    const std::string head = R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready")";
    const std::vector<std::string> huge = {"1e999",
                                           "-1e999",
                                           "1e300",
                                           "-1e300",
                                           "18446744073709551616",
                                           "9223372036854775808",
                                           "-9223372036854775808",
                                           "9007199254740992",
                                           std::string(400, '9')};
    for (const std::string field : {"slots", "cold_ms", "born"})
    {
        std::vector<std::string> odd = huge;
        odd.insert(odd.end(), {"\"8\"", "null", "[]"});
        for (const std::string& number : odd)
        {
            std::string text = head;
            text.append(",\"").append(field).append("\":").append(number).append("}");
            cr_assert_not(codec::decode_endpoint(record(text)), "%s %s", field.c_str(),
                          number.substr(0, 30).c_str());
        }
    }
    cr_assert_not(codec::decode_endpoint(record(head + R"(,"slots":4294967296})")));
    cr_assert_not(codec::decode_endpoint(record(head + R"(,"slots":4294967295})")));
    cr_assert_not(codec::decode_endpoint(record(head + R"(,"slots":-1})")));
    const auto late = codec::decode_endpoint(record(head + R"(,"cold_ms":-250.5,"slots":8.0})"));
    cr_assert(late && late->cold_for == milliseconds(0) && late->slots == 8);
}

// Guards against a VM that gets all work, or none, because of its capacity.
Test(platform_codec, decode_vm_odd_capacity_is_rejected)
{
    for (const std::string capacity : {"1e999", "-1e999", "1e300", "18446744073709551616",
                                       "1000001", "0", "-1", "\"4\"", "null"})
        cr_assert_not(
            codec::decode_vm(record(R"({"address":"10.0.0.1:80","capacity":)" + capacity + "}")),
            "%s", capacity.c_str());
    cr_assert(codec::decode_vm(record(R"({"address":"10.0.0.1:80","capacity":0.5})")));
    cr_assert(codec::decode_vm(record(R"({"address":"10.0.0.1:80"})"))->capacity == 1.0);
}

// Guards against a desired state with numbers that the operator cannot have meant.
Test(platform_codec, decode_desired_odd_number_is_rejected)
{
    for (const std::string number :
         {"1e999", "1e300", "18446744073709551616", "9223372036854775808"})
    {
        const std::vector<std::string> parts = {
            R"("routes":[{"priority":)" + number + "}]",
            R"("routes":[{"attempts":)" + number + "}]",
            R"("routes":[{"timeout_ms":)" + number + "}]",
            R"("routes":[{"slo_ms":)" + number + "}]",
            R"("routes":[{"backends":[{"service":"s","weight":)" + number + "}]}]",
            R"("routes":[{"stages":[{"after":[)" + number + "]}]}]",
            R"("routes":[{"stages":[{"bytes":)" + number + "}]}]",
            R"("services":[{"max_conns":)" + number + "}]",
            R"("services":[{"warmup_s":)" + number + "}]",
            R"("services":[{"cold_per_s":)" + number + "}]",
            R"("services":[{"engine":{"slots":)" + number + "}}]",
            R"("services":[{"pieces":{"batch":)" + number + "}}]",
            R"("services":[{"pieces":{"slots":)" + number + "}}]",
            R"("services":[{"pieces":{"call_ms":)" + number + "}}]",
            R"("services":[{"pieces":{"item_ms":)" + number + "}}]",
            R"("services":[{"pieces":{"room_mb":)" + number + "}}]",
            R"("services":[{"pieces":{"handle_s":)" + number + "}}]",
            R"("tenants":[{"priority":)" + number + "}]",
            R"("limits":{"max_header_bytes":)" + number + "}",
            R"("limits":{"max_body_bytes":)" + number + "}",
            R"("limits":{"header_timeout_ms":)" + number + "}",
            R"("limits":{"idle_timeout_ms":)" + number + "}"};
        for (const std::string& part : parts)
        {
            state_record row = record(R"({"version":7,)" + part + "}");
            row.name = "config";
            cr_assert_not(codec::decode_desired(row), "%s", part.c_str());
        }
    }
    state_record row = record(
        R"({"version":7,"routes":[{"attempts":-1,"timeout_ms":-5}],"services":[{"warmup_s":-1}]})");
    row.name = "config";
    const auto state = codec::decode_desired(row);
    cr_assert(state && std::get<serving_state>(*state).routes[0].attempts == 1);
    cr_assert(std::get<serving_state>(*state).routes[0].timeout == milliseconds(5000));
}

// Guards against numbers in a request that overflow its deadline, or are read in part.
Test(platform_codec, decode_call_odd_numbers)
{
    const auto decoded = [](const std::string& name, const std::string& text)
    {
        message_head head = request_head({{name, text}});
        return codec::decode_call(head, "");
    };
    for (const std::string text : {"", "x", "12x", "9e", "nan", "inf", "-inf", "1e999", "0x10"})
        cr_assert_not(decoded("Deadline-Ms", text).time_left, "'%s'", text.c_str());
    for (const std::string text : {"9223372036854775807", "99999999999999999999", "1e300"})
        cr_assert(decoded("Deadline-Ms", text).time_left == milliseconds(duration_range.max),
                  "'%s'", text.c_str());
    cr_assert(decoded("Deadline-Ms", "-9223372036854775808").time_left == milliseconds(0));
    cr_assert(decoded("Deadline-Ms", " 900.5 ").time_left == milliseconds(900));
    for (const std::string text : {"", "x", "12x", "-1", "1e3", "18446744073709551616"})
        cr_assert_not(decoded("Last-Event-Id", text).resume_after, "'%s'", text.c_str());
    for (const std::string text :
         {"4294967295", "4294967296", "99999999999999999999", "10001", "2,-1", "2,x", "2,,3", "3x"})
        cr_assert_not(decoded("Pieces", text).has_valid_pieces, "'%s'", text.c_str());
    const client_call call = decoded("Pieces", "10000, 0 ,7");
    cr_assert(call.has_valid_pieces);
    cr_assert(call.pieces == std::vector<std::uint32_t>({10000, 0, 7}));
}

// Guards against numbers of an endpoint that make it cold, paused or preferred for ever.
Test(platform_codec, decode_answer_odd_numbers_are_ignored)
{
    const auto decoded = [](const std::string& name, const std::string& text)
    {
        message_head head;
        head.status = 503;
        head.fields = {{name, text}};
        return codec::decode_answer(head);
    };
    for (const std::string text :
         {"", "12x", "-1", "nan", "inf", "1e999", "9223372036854775807", "99999999999999999999"})
        cr_assert_not(decoded("Cold-Ms", text).cold_for, "'%s'", text.c_str());
    for (const std::string text :
         {"3,1,4294967295", "4294967295,1,8", "3,1,8x", "3,1e1,8", "3,1,8,inf"})
        cr_assert_not(decoded("Instance-Load", text).load, "'%s'", text.c_str());
    for (const std::string text : {"5x", "inf", "infinity", "1e999", "1;2"})
        cr_assert_not(decoded("Retry-After", text).retry_after, "'%s'", text.c_str());
    cr_assert(decoded("Cold-Ms", "700.0 ").cold_for == milliseconds(700));
    cr_assert(decoded("Instance-Load", "3, 1, 8 ").load->slots == 8);
}

// Guards against orders of the operators that are not followed, or followed for another service.
Test(platform_codec, decode_desired_rollout_order)
{
    state_record row = record(R"({"service":"reading","to":"v2","rollout_s":12.5})");
    row.name = "rollout/reading";
    const auto change = codec::decode_desired(row);
    cr_assert(change && std::holds_alternative<rollout_order>(*change));
    const auto& order = std::get<rollout_order>(*change);
    cr_assert(order.service == "reading" && order.version == "v2" && order.revision == 7);
    cr_assert(order.duration == milliseconds(12500));
    row.deleted = true;
    row.value.clear();
    const auto deleted = codec::decode_desired(row);
    cr_assert(deleted && std::get<rollout_order>(*deleted).service == "reading");
    cr_assert(std::get<rollout_order>(*deleted).version.empty());
}

// Guards against an order that the operator cannot have meant.
Test(platform_codec, decode_desired_odd_rollout_order_is_rejected)
{
    for (const std::string odd :
         {R"({"service":"reading","to":"v2"})", R"({"service":"reading","rollout_s":9})",
          R"({"service":"loans","to":"v2","rollout_s":9})", R"({"to":"","rollout_s":9})",
          R"({"service":4,"to":"v2","rollout_s":9})", R"({"to":2,"rollout_s":9})",
          R"({"to":"v2","rollout_s":"9"})", R"({"to":"v2","rollout_s":0})",
          R"({"to":"v2","rollout_s":-1})", R"({"to":"v2","rollout_s":1e300})",
          R"({"to":"v2","rollout_s":1e999})", "[]", "", "\xff"})
    {
        state_record row = record(odd);
        row.name = "rollout/reading";
        cr_assert_not(codec::decode_desired(row).has_value(), "%s", odd.c_str());
    }
}

// Guards against a decision that is lost in the store, or that replaces one it was not based on.
Test(platform_codec, rollout_decision_and_status_are_written_under_its_revision)
{
    rollout_record rollout;
    rollout.service = "reading";
    rollout.version = "v2";
    rollout.old_version = "v1";
    rollout.order = 71;
    rollout.phase = rollout_phase::rolled_back;
    rollout.step = 2;
    rollout.shares = {0.02, 0.1, {{"loans", 0.25}, {"desk", 0.0}}};
    rollout.age = milliseconds(4100);
    rollout.why = "failures on \"loans\"";
    rollout.revision = 93;
    const std::string text = codec::encode_rollout_put("10.0.0.1:80", rollout);
    const auto body = web::json::value::parse(text.substr(text.find("\r\n\r\n") + 4));
    const auto& expected = body.at("expect_rev").at(0);
    const auto& decision = body.at("puts").at(0);
    const auto& status = body.at("puts").at(1);
    cr_assert(body.at("expect_rev").size() == 1 && body.at("puts").size() == 2);
    cr_assert(expected.at("ver").as_number().to_uint64() == 93);
    for (const char* const field : {"table", "part", "key"})
        cr_assert(expected.at(field) == decision.at(field), "%s", field);
    cr_assert(decision.at("table").as_string() == "vms");
    cr_assert(decision.at("key").as_string() == "rollout/reading");
    cr_assert(status.at("table").as_string() == "status");
    cr_assert(status.at("key").as_string() == "rollout/reading");
    const auto decode = [](const web::json::value& row)
    {
        const auto bytes = utility::conversions::from_base64(row.at("value").as_string());
        return std::string(bytes.begin(), bytes.end());
    };
    const auto written = web::json::value::parse(decode(status));
    cr_assert(written.at("state").as_string() == "rolled_back");
    cr_assert(written.at("to").as_string() == "v2");

    const state_record row{"rollout/reading", decode(decision), 94, false};
    cr_assert(codec::is_rollout(row));
    const auto read = codec::decode_rollout(row);
    cr_assert(read && read->service == "reading" && read->version == "v2" && read->order == 71);
    cr_assert(read->phase == rollout_phase::rolled_back && read->step == 2);
    cr_assert(read->age == milliseconds(4100) && read->why == rollout.why && read->revision == 94);
    cr_assert(read->shares == rollout.shares && read->old_version == "v1");
    cr_assert_not(codec::decode_vm(row).has_value());
}

// Guards against corrupt decisions that are followed.
Test(platform_codec, decode_rollout_odd_decision_is_rejected)
{
    const std::string good = R"({"version":"v2","order":71,"phase":"ramp","step":2,"age_ms":100,)"
                             R"("why":"","shares":{"usual":0.5,"bound":0.25,"routes":[]}})";
    state_record row{"rollout/reading", good, 94, false};
    cr_assert(codec::decode_rollout(row).has_value());
    const auto replaced = [&](const std::string& from, const std::string& to)
    {
        std::string text = good;
        return text.replace(text.find(from), from.size(), to);
    };
    for (const std::string& odd :
         {replaced("71", "-1"), replaced("ramp", "later"), replaced(":2,", ":2.5,"),
          replaced("100", "1e300"), replaced("\"v2\"", "2"), replaced("0.5", "1.5"),
          replaced("0.5", "1e999"), replaced("0.25", "-1"), replaced("[]", "[{}]"),
          replaced("[]", "7"), replaced("shares", "share"), std::string("[]"), std::string()})
    {
        row.value = odd;
        cr_assert_not(codec::decode_rollout(row).has_value(), "%s", odd.c_str());
    }
}

// Guards against taking a refused write for one that was done, or for one whose condition failed.
Test(platform_codec, decode_write_by_status)
{
    message_head head;
    const auto decode = [&](int status)
    {
        head.status = status;
        return codec::decode_write(head);
    };
    cr_assert(decode(200) == write_outcome::written && decode(412) == write_outcome::conflict);
    for (const int status : {0, 201, 400, 403, 429, 500, 503})
        cr_assert(decode(status) == write_outcome::unknown, "%d", status);
}

// Guards against the version of an endpoint that is lost or guessed.
Test(platform_codec, decode_endpoint_version)
{
    const std::string head = R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready")";
    cr_assert(codec::decode_endpoint(record(head + R"(,"version":"v2"})"))->version == "v2");
    cr_assert(codec::decode_endpoint(record(head + "}"))->version.empty());
    for (const char* const odd : {"2", "null", "[]", "{}"})
    {
        std::string text = head + ",\"version\":";
        text.append(odd).append("}");
        cr_assert_not(codec::decode_endpoint(record(text)), "%s", odd);
    }
}
