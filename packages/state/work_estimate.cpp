#include "state/work_estimate.h"

#include "state/hash.h"

#include <algorithm>
#include <bit>

namespace zinnianotch
{

std::uint64_t endpoint_key(std::string_view id, std::int64_t started_at)
{
    return avalanche(fnv_1a(fnv_offset_basis, id) ^ static_cast<std::uint64_t>(started_at));
}

std::size_t output_lengths::class_of(const request_size& size)
{
    const auto bits = static_cast<std::size_t>(std::bit_width(size.output_hint));
    return std::min(bits, size_classes - 1);
}

void output_lengths::record(const std::string& route, const request_size& size, double tokens,
                            time_point now)
{
    if (routes_.size() >= output_length_routes && !routes_.contains(route))
        routes_.clear();
    size_class& entry = routes_[route][class_of(size)];
    if (now - entry.at > output_length_max_age)
        entry.answers = 0.0;
    entry.answers += 1.0;
    entry.mean += (tokens - entry.mean) * std::max(1.0 / entry.answers, output_length_weight);
    entry.at = now;
}

double output_lengths::expected(std::string_view route, const request_size& size,
                                time_point now) const
{
    const double told = size.output_hint != 0 ? size.output_hint : size.output_limit;
    const auto found = routes_.find(route);
    if (found == routes_.end())
        return told;
    const size_class& entry = found->second[class_of(size)];
    if (entry.answers == 0.0 || now - entry.at > output_length_max_age)
        return told;
    const double mean = (told * output_length_prior + entry.mean * entry.answers) /
                        (output_length_prior + entry.answers);
    return size.output_limit != 0 ? std::min<double>(mean, size.output_limit) : mean;
}

void cached_prompts::on_sent(std::uint64_t endpoint, const std::vector<prompt_part>& parts,
                             time_point now)
{
    for (const prompt_part& part : parts)
    {
        if (parts_.size() >= max_cached_parts && !parts_.contains(part.key))
            make_room(now);
        holders_list& list = parts_[part.key];
        holder* to = &list.front();
        for (holder& each : list)
        {
            if (each.endpoint == endpoint)
            {
                to = &each;
                break;
            }
            if (each.at < to->at)
                to = &each;
        }
        *to = {endpoint, now};
    }
}

std::vector<cached_prompt> cached_prompts::holders(const std::vector<prompt_part>& parts,
                                                   time_point now) const
{
    std::vector<cached_prompt> found;
    std::uint32_t before = 0;
    for (const prompt_part& part : parts)
    {
        const auto entry = parts_.find(part.key);
        if (entry == parts_.end())
            break;
        for (const holder& each : entry->second)
        {
            if (each.at == time_point{} || now - each.at > cached_part_max_age)
                continue;
            const auto known = std::find_if(found.begin(), found.end(),
                                            [&](const cached_prompt& cached)
                                            { return cached.endpoint == each.endpoint; });
            if (known != found.end() && known->tokens == before)
                known->tokens += part.tokens;
            else if (known == found.end() && before == 0)
                found.push_back({each.endpoint, part.tokens});
        }
        before += part.tokens;
    }
    return found;
}

// Drops what has expired, and the older half if that is not enough.
void cached_prompts::make_room(time_point now)
{
    const auto last_used = [](const holders_list& list)
    {
        time_point last{};
        for (const holder& each : list)
            last = std::max(last, each.at);
        return last;
    };
    std::erase_if(parts_, [&](const auto& entry)
                  { return now - last_used(entry.second) > cached_part_max_age; });
    if (parts_.size() < max_cached_parts)
        return;
    std::vector<time_point> times;
    times.reserve(parts_.size());
    for (const auto& [key, list] : parts_)
        times.push_back(last_used(list));
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const time_point limit = *middle;
    std::erase_if(parts_, [&](const auto& entry) { return last_used(entry.second) <= limit; });
}

} // namespace zinnianotch
