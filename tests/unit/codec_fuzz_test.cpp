// Fuzz test of the decoders for input from callers, the platform's table and endpoints: random
// bytes and mutated documents, both from seeds.
#include "protocol/codec.h"
#include "seeds.h"

#include <criterion/criterion.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

using namespace zinnianotch;
using zinnianotch::testing::random_source;
using zinnianotch::testing::replayed_seed;

namespace
{

constexpr std::uint64_t input_count = 60'000;
constexpr std::size_t max_random_bytes = 400;
// Time limit for decoding one input. Far above the measured maximum and below every time that the
// design document promises, so that only a decoder with excessive running time fails.
constexpr std::chrono::seconds time_limit{5};

const std::array<std::string, 8> samples = {
    R"({"defaults":{"cold_limit":2,"warm_limit":16,"retry_percent":20,"stage_timeout_ms":2000,)"
    R"("service_timeout_ms":2000},"pipelines":[{"name":"p","team":"t","deadline_ms":5000,)"
    R"("stages":[{"name":"s","kind":"generation","pool":"x","max_tokens":64}]}],)"
    R"("pools":[{"name":"x","endpoints":[{"id":"e","domain":"d","url":"http://127.0.0.1:1",)"
    R"("leaving":false}]}],"services":[{"name":"v","pool":"x","operations":[{"name":"o",)"
    R"("idempotent":false}]}],"accounts":[{"name":"a","team":"t","priority":0}],)"
    R"("domains":[{"id":"d","out":false}],"exceptions":[{"id":"ex-1","target":"pool:x",)"
    R"("setting":"warm_limit","value":8,"reason":"r","author":"n"}]})",
    R"({"token":"t","author":"n","reason":"r","changes":["a","b"],"document":{"pools":[]}})",
    R"({"state":"ran","token":"t","digest":"d","status":201,"answer":"{\"loan\":17}"})",
    R"({"state":"started","token":"t","digest":"d"})",
    R"({"version":3,"token":"t","members":[{"vm":"vm-a1","incarnation":"7",)"
    R"("address":"127.0.0.1:1"}],"former":[]})",
    R"({"incarnation":"17","phase":"warm","running":3,"capacity":16,"leaving":false})",
    R"({"error":{"reason":"busy","verdict":"not_run","message":"\ud83d\udc1d \u0000","n":-1.5e300}})",
    R"([null,true,false,0,-1,1e999,18446744073709551615,18446744073709551616,"\ud800"])"};

const std::array<std::string, 12> fragments = {"{",       "}",     "[", "]",        "\"",   "\\u",
                                               "\\ud800", "1e999", "-", "\xff\xfe", "null", "\":"};

std::string random_bytes(random_source& random)
{
    std::string out(random.below(max_random_bytes), '\0');
    for (char& byte : out)
        byte = static_cast<char>(random.below(256));
    return out;
}

// A sample with one to six random mutations: a byte replaced, a range erased, a fragment inserted,
// a range duplicated, a long run of one character inserted, or the text truncated.
std::string mutated(random_source& random)
{
    std::string text = samples[random.below(samples.size())];
    const std::uint64_t changes = 1 + random.below(6);
    for (std::uint64_t i = 0; i < changes; ++i)
    {
        const std::size_t at = random.below(text.size() + 1);
        switch (random.below(6))
        {
        case 0:
            if (at < text.size())
                text[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(at, random.below(20));
            break;
        case 2:
            text.insert(at, fragments[random.below(fragments.size())]);
            break;
        case 3:
            text.insert(at, text.substr(at, random.below(60)));
            break;
        case 4:
            text.insert(at, std::string(random.below(3000), random.chance(0.5) ? '[' : '9'));
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

// True if the outcome is a value, or a failure that can be reported to a caller: verdict not_run,
// with a named reason.
template <typename T>
bool is_value_or_not_run(const result<T>& outcome)
{
    return outcome ||
           (outcome.error().outcome == verdict::not_run && !to_string(outcome.error().why).empty());
}

// Runs all decoders on one text. Returns the name of the first one without a valid outcome, or an
// empty string, and counts in `accepted` the texts that are valid JSON.
std::string run_decoders(const std::string& text, std::uint64_t& accepted)
{
    try
    {
        if (!is_value_or_not_run(parse_load_report(text)))
            return "parse_load_report";
        const result<json> value = parse_json(text);
        if (!is_value_or_not_run(value))
            return "parse_json";
        if (!value)
            return {};
        ++accepted;
        if (!is_value_or_not_run(parse_configuration(value.value())))
            return "parse_configuration";
        if (!is_value_or_not_run(parse_configuration_row(value.value())))
            return "parse_configuration_row";
        const result<order_record> order = parse_order(value.value());
        if (!is_value_or_not_run(order))
            return "parse_order";
        // An accepted record must be unchanged after it is written and read again.
        if (order)
        {
            const result<order_record> again = parse_order(write_order(order.value()));
            if (!again || again.value().answer != order.value().answer ||
                again.value().state != order.value().state)
                return "write_order";
        }
        if (!is_value_or_not_run(parse_view(value.value())))
            return "parse_view";
    }
    catch (const std::exception& error)
    {
        return std::string("exception ") + error.what();
    }
    return {};
}

} // namespace

// Guards against external input that crashes or blocks the process, or throws an exception.
Test(codec_fuzz, random_and_mutated_input_yields_value_or_not_run)
{
    std::uint64_t accepted = 0;
    std::chrono::steady_clock::duration slowest{};
    std::uint64_t first = 1;
    std::uint64_t last = input_count;
    if (const auto seed = replayed_seed())
        first = last = *seed;
    for (std::uint64_t seed = first; seed <= last; ++seed)
    {
        random_source random(seed);
        const std::string text = random.chance(0.25) ? random_bytes(random) : mutated(random);
        const auto start = std::chrono::steady_clock::now();
        const std::string failed_decoder = run_decoders(text, accepted);
        const auto elapsed = std::chrono::steady_clock::now() - start;
        slowest = std::max(slowest, elapsed);
        cr_assert(failed_decoder.empty(), "seed %lu: %s", seed, failed_decoder.c_str());
        cr_assert(elapsed < time_limit, "seed %lu took too long", seed);
    }
    (void)std::fprintf(
        stderr, "codec fuzz: %lu inputs, %lu of them JSON, slowest %ld us\n", last - first + 1,
        accepted,
        static_cast<long>(std::chrono::duration_cast<std::chrono::microseconds>(slowest).count()));
    if (first != last)
        cr_assert_gt(accepted, input_count / 100);
}

// Guards against stack overflow and superlinear running time on the largest bodies that callers may
// send.
Test(codec_fuzz, largest_hostile_bodies_are_decoded_in_bounded_time)
{
    constexpr std::size_t largest = 1024 * 1024; // limits.body_bytes
    const auto repeated = [](const std::string& part, std::size_t size)
    {
        std::string out;
        while (out.size() + part.size() <= size)
            out += part;
        return out;
    };
    const std::vector<std::string> bodies = {std::string(largest, '['),
                                             repeated("{\"a\":", largest),
                                             '[' + repeated("0,", largest - 3) + "0]",
                                             '[' + repeated("{},", largest - 3) + "0]",
                                             '"' + std::string(largest - 2, 'x') + '"',
                                             '"' + repeated("\\u0000", largest - 2) + '"',
                                             std::string(largest, '9'),
                                             "0." + std::string(largest - 2, '1'),
                                             "1e" + std::string(largest - 2, '9'),
                                             std::string(largest, ' '),
                                             '{' + repeated("\"a\":1,", largest - 8) + "\"a\":1}",
                                             R"({"pools":[)" + repeated("{},", largest - 20) +
                                                 "{}]}"};
    for (std::size_t i = 0; i < bodies.size(); ++i)
    {
        std::uint64_t accepted = 0;
        const auto start = std::chrono::steady_clock::now();
        const std::string failed_decoder = run_decoders(bodies[i], accepted);
        const auto elapsed = std::chrono::steady_clock::now() - start;
        cr_assert(failed_decoder.empty(), "body %zu: %s", i, failed_decoder.c_str());
        cr_assert(elapsed < time_limit, "body %zu took too long", i);
    }
}
