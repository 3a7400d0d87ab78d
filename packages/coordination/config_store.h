// The configuration in effect on this VM, kept up to date from the platform's table and from peers.
#pragma once

#include "coordination/table_client.h"
#include "state/configuration.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace zinnianotch
{

using configuration_ptr = std::shared_ptr<const configuration>;

// Result of an attempt to change the configuration.
struct config_change
{
    std::uint64_t version = 0; // the version written; on conflict, that of the competing change
    bool conflict = false;
};

class config_store
{
public:
    explicit config_store(table_client& table) : table_(table) {}

    // The configuration in effect. Never null; empty with version 0 until the first one is adopted.
    configuration_ptr current() const;
    std::uint64_t version() const;

    // Serialized row value of the configuration in effect, for peers that request it.
    std::string document() const;

    // Adopts the row value if its version is higher than the one in effect. A document that does
    // not parse is rejected and logged, and the version in effect is kept. True if it was adopted.
    bool adopt(std::uint64_t version, const json& row_value);

    // Adopts all versions in the table that are higher than the one in effect. False if the table
    // did not answer.
    bool poll(milliseconds timeout);

    // Inserts version `expected + 1`. If the answer to the write is lost, reads the row back until
    // `deadline` to determine the outcome; fails with may_have_run if it is still unknown then.
    result<config_change> change(std::uint64_t expected, const configuration_row& row,
                                 time_point deadline);

    // Rows of the last `limit` versions, newest first.
    result<std::vector<table_row>> history(std::size_t limit, milliseconds timeout);

private:
    result<config_change> resolve_outcome(std::uint64_t version, const configuration_row& row,
                                          time_point deadline);

    table_client& table_;
    mutable std::mutex mutex_;
    configuration_ptr current_ = std::make_shared<const configuration>();
    std::string document_;
};

} // namespace zinnianotch
