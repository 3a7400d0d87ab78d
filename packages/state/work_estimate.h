// Estimates the work of a request before it is sent: prompt tokens to read, tokens to make, memory.
#pragma once

#include "state/time.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinnianotch
{

// A part of a prompt. Its key covers the parts before it as well, because a cached part is only
// reused behind the same ones.
struct prompt_part
{
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;
};

// What a caller tells about the size of its request; 0 where it tells nothing.
struct request_size
{
    std::vector<prompt_part> parts; // the last belongs to the request or its session only
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_limit = 0; // in tokens
    std::uint32_t output_hint = 0;  // in tokens; right at the median, often far off
};

// Tokens that an endpoint has cached of a prompt, as far as this VM knows.
struct cached_prompt
{
    std::uint64_t endpoint = 0; // see endpoint_key
    std::uint32_t tokens = 0;
};

// Identifies a lifetime of an endpoint.
std::uint64_t endpoint_key(std::string_view id, std::int64_t started_at);

// Expected work of one request.
struct request_work
{
    double prompt_tokens = 0.0;
    double shared_tokens = 0.0; // of them in parts that other requests have as well
    double output_tokens = 0.0;
    double plain_ms = 0.0; // of a request without a prompt, at an average endpoint
    milliseconds goal_left{0};
    std::vector<cached_prompt> cached;

    bool has_prompt() const { return prompt_tokens > 0.0; }
    // Tokens that the request takes in the memory of its endpoint when it ends.
    double memory_tokens() const { return prompt_tokens + output_tokens; }
    // An engine rejects what is larger than its memory, whatever the caller tells.
    void limit_to(double memory)
    {
        prompt_tokens = std::min(prompt_tokens, memory);
        shared_tokens = std::min(shared_tokens, prompt_tokens);
        output_tokens = std::min(output_tokens, memory - prompt_tokens);
    }
};

// Weight of the newest answer in the lengths of a size class, which cover about twenty.
inline constexpr double output_length_weight = 0.05;
// Answers after which the observed length of a class counts as much as the caller's hint.
inline constexpr double output_length_prior = 4.0;
// Lengths that have not been updated for this long no longer correct hints.
inline constexpr milliseconds output_length_max_age{120'000};
// Routes whose lengths are kept; a configuration that changes often must not add up.
inline constexpr std::size_t output_length_routes = 256;

// Lengths of the answers of each route, by the power of two that the caller's hint is in.
class output_lengths
{
public:
    void record(const std::string& route, const request_size& size, double tokens, time_point now);
    // Expected tokens of the answer.
    double expected(std::string_view route, const request_size& size, time_point now) const;

private:
    static constexpr std::size_t size_classes = 18;
    struct size_class
    {
        double mean = 0.0;
        double answers = 0.0;
        time_point at{};
    };
    static std::size_t class_of(const request_size& size);

    std::map<std::string, std::array<size_class, size_classes>, std::less<>> routes_;
};

// Time after which a part is taken as evicted; an engine's cache turns over within some seconds.
inline constexpr milliseconds cached_part_max_age{10'000};
inline constexpr std::size_t cached_part_holders = 4;
inline constexpr std::size_t max_cached_parts = 4096;

// Parts of prompts that this VM has sent to endpoints lately.
class cached_prompts
{
public:
    void on_sent(std::uint64_t endpoint, const std::vector<prompt_part>& parts, time_point now);
    // Endpoints that hold the first parts of the prompt, with the tokens that they hold.
    std::vector<cached_prompt> holders(const std::vector<prompt_part>& parts, time_point now) const;
    std::size_t size() const { return parts_.size(); }

private:
    struct holder
    {
        std::uint64_t endpoint = 0;
        time_point at{};
    };
    using holders_list = std::array<holder, cached_part_holders>;

    void make_room(time_point now);

    std::unordered_map<std::uint64_t, holders_list> parts_;
};

} // namespace zinnianotch
