// The configuration in force on this VM, kept in step with the platform's table and the peers.
#pragma once

#include "coordination/table.h"
#include "state/configuration.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace zinnianotch
{

using configuration_ptr = std::shared_ptr<const configuration>;

// How a change of the configuration ended.
struct config_change
{
    std::uint64_t version = 0; // the accepted version, or the one that won the race
    bool conflict = false;
};

class config_store
{
public:
    explicit config_store(table_client& table) : table_(table) {}

    // The configuration in force; never null, version 0 and empty before the first was adopted.
    configuration_ptr current() const;
    std::uint64_t version() const;

    // The text of the row value in force, for peers that ask for it.
    std::string document() const;

    // Adopts the row value when its version is higher than the one in force; a document that does
    // not parse is refused and logged, the version in force stays. True when it was adopted.
    bool adopt(std::uint64_t version, const json& row_value);

    // Adopts all versions that the table holds after the one in force. False when the table did
    // not answer.
    bool poll(milliseconds timeout);

    // Inserts version `expected + 1`. A lost answer is settled by reading the row until
    // `deadline`; may_have_run when it is still unknown then.
    result<config_change> change(std::uint64_t expected, const configuration_row& row,
                                 time_point deadline);

    // Rows of the last `limit` versions, the newest first.
    result<std::vector<table_row>> history(std::size_t limit, milliseconds timeout);

private:
    result<config_change> settle(std::uint64_t version, const configuration_row& row,
                                 time_point deadline);

    table_client& table_;
    mutable std::mutex mutex_;
    configuration_ptr current_ = std::make_shared<const configuration>();
    std::string document_;
};

} // namespace zinnianotch
