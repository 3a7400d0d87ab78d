// Client of the platform's transactional table, which has versioned rows and conditional writes.
#pragma once

#include "protocol/codec.h"
#include "state/orders.h"
#include "state/time.h"
#include "transport/http_client.h"

#include <optional>
#include <string>
#include <vector>

namespace zinnianotch
{

struct table_row
{
    std::string key;
    std::string version; // ETag; used as the condition of a later write
    json value;
};

class table_client
{
public:
    explicit table_client(const std::string& base_url) : client_(base_url) {}

    // Returns the row, or nullopt if it does not exist. Fails with store_unavailable.
    result<std::optional<table_row>> get(const std::string& key, milliseconds timeout);

    // Returns up to `limit` rows whose key starts with `prefix` and sorts after `after`, in key
    // order.
    result<std::vector<table_row>> list(const std::string& prefix, const std::string& after,
                                        std::size_t limit, milliseconds timeout);

    // Writes the row if it does not exist.
    write_outcome insert(const std::string& key, const json& value, milliseconds timeout);

    // Writes the row if its version is still `version`.
    write_outcome replace(const std::string& key, const std::string& version, const json& value,
                          milliseconds timeout);

private:
    write_outcome put(const std::string& key, const std::string& condition,
                      const std::string& condition_value, const json& value, milliseconds timeout);

    http_client client_;
};

} // namespace zinnianotch
