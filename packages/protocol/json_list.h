// JSON encoding of lists and of counts by name.
#pragma once

#include <cpprest/json.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinnianotch
{

// An array with `write_item(item)` for each item.
template <typename Item, typename WriteItem>
web::json::value write_list(const std::vector<Item>& items, WriteItem write_item)
{
    web::json::value list = web::json::value::array(items.size());
    for (std::size_t i = 0; i < items.size(); ++i)
        list[i] = write_item(items[i]);
    return list;
}

// An object with one number per name.
inline web::json::value write_counts(const std::map<std::string, std::uint64_t>& counts)
{
    web::json::value object = web::json::value::object();
    for (const auto& [name, count] : counts)
        object[name] = web::json::value::number(count);
    return object;
}

} // namespace zinnianotch
