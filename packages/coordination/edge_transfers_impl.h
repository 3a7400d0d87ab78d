// Members of edge::exchange about the results that stages and endpoints read, included by the
// source that instantiates edge.
#pragma once

#include "coordination/edge_exchange.h"

namespace zinnianotch
{

// Bytes of the stages' results that one reader fetches, by the failure domain that holds them.
template <typename Codec>
std::map<std::string, std::uint64_t>
edge<Codec>::exchange::result_bytes_by_domain(const std::vector<std::uint32_t>& stages) const
{
    std::map<std::string, std::uint64_t> bytes;
    for (const std::uint32_t index : stages)
    {
        if (index >= stages_.size())
            continue;
        for (const std::string& handle : stages_[index].handles)
        {
            const endpoint_ptr producer =
                owner_.endpoints_.find_address(Codec::producer_address(handle));
            if (producer)
                bytes[producer->record.domain] += route_->stages[index].result_bytes;
        }
    }
    return bytes;
}

// Failure domain whose endpoints hold the most bytes of the stages' results; empty when the readers
// fetch less than large_results_bytes from it.
template <typename Codec>
std::string edge<Codec>::exchange::results_domain(const std::vector<std::uint32_t>& stages,
                                                  std::uint32_t readers) const
{
    const std::map<std::string, std::uint64_t> bytes = result_bytes_by_domain(stages);
    const auto most =
        std::max_element(bytes.begin(), bytes.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == bytes.end() || most->second * readers < large_results_bytes ? std::string()
                                                                               : most->first;
}

// Counts the bytes that readers in the domain fetch, and those that come from other domains.
template <typename Codec>
void edge<Codec>::exchange::count_result_bytes(const std::vector<std::uint32_t>& stages,
                                               const std::string& domain, std::uint64_t readers)
{
    std::uint64_t read = 0;
    std::uint64_t crossing = 0;
    for (const auto& [holder, bytes] : result_bytes_by_domain(stages))
    {
        read += bytes * readers;
        if (holder != domain)
            crossing += bytes * readers;
    }
    owner_.counters_.count("result_bytes_read_total", read);
    owner_.counters_.count("result_bytes_crossing_total", crossing);
}

// The same for a stage that is done.
template <typename Codec>
void edge<Codec>::exchange::count_stage_result_bytes(std::size_t index)
{
    const auto& after = route_->stages[index].after;
    if (after.empty())
        return;
    std::map<std::string, std::uint64_t> readers;
    for (const std::string& handle : stages_[index].handles)
    {
        const endpoint_ptr reader = owner_.endpoints_.find_address(Codec::producer_address(handle));
        if (reader)
            ++readers[reader->record.domain];
    }
    for (const auto& [domain, count] : readers)
        count_result_bytes(after, domain, count);
}

} // namespace zinnianotch
