#include "coordination/config_store.h"

#include "transport/log.h"

#include <algorithm>
#include <thread>

namespace zinnianotch
{

namespace
{

constexpr std::size_t rows_per_poll = 16;
constexpr milliseconds store_timeout{1000};
constexpr milliseconds min_timeout{50};
constexpr milliseconds retry_delay{50}; // the table may fail requests immediately

} // namespace

configuration_ptr config_store::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

std::uint64_t config_store::version() const
{
    return current()->version;
}

std::string config_store::document() const
{
    const std::lock_guard lock(mutex_);
    return document_;
}

bool config_store::adopt(std::uint64_t version, const json& row_value)
{
    if (version <= this->version())
        return false;
    result<configuration_row> row = parse_configuration_row(row_value);
    if (!row)
    {
        log_event(log_level::error, "config_rejected",
                  {{"version", std::to_string(version)}, {"detail", row.error().detail}});
        return false;
    }
    result<configuration> parsed = parse_configuration(row.value().document);
    if (!parsed)
    {
        log_event(log_level::error, "config_rejected",
                  {{"version", std::to_string(version)}, {"detail", parsed.error().detail}});
        return false;
    }
    auto config = std::make_shared<configuration>(std::move(parsed.value()));
    config->version = version;
    config->author = row.value().author;
    std::string text = row_value.serialize();
    {
        const std::lock_guard lock(mutex_);
        if (version <= current_->version)
            return false;
        current_ = std::move(config);
        document_ = std::move(text);
    }
    log_event(log_level::info, "config_adopted",
              {{"version", std::to_string(version)}, {"author", row.value().author}});
    return true;
}

bool config_store::poll(milliseconds timeout)
{
    for (;;)
    {
        result<std::vector<table_row>> rows =
            table_.list("config/", configuration_key(version()), rows_per_poll, timeout);
        if (!rows)
            return false;
        for (const table_row& row : rows.value())
            adopt(configuration_version(row.key), row.value);
        if (rows.value().size() < rows_per_poll)
            return true;
        // A rejected last row does not advance the version and would be listed again without end.
        if (configuration_version(rows.value().back().key) > version())
            return true;
    }
}

result<config_change> config_store::change(std::uint64_t expected, const configuration_row& row,
                                           time_point deadline)
{
    if (expected != version())
        poll(store_timeout);
    // All VMs would adopt a version that follows a gap, and skip the versions in between.
    if (expected != version())
        return config_change{version(), true};
    const std::uint64_t next = expected + 1;
    const json value = write_configuration_row(row);
    const write_outcome outcome = table_.insert(configuration_key(next), value, store_timeout);
    if (outcome == write_outcome::written)
    {
        adopt(next, value);
        return config_change{next, false};
    }
    return resolve_outcome(next, row, deadline);
}

// Reads the row back after a conflict or a lost answer. A conflict may be with this VM's earlier
// copy of the same write, if the request was sent twice.
result<config_change> config_store::resolve_outcome(std::uint64_t version,
                                                    const configuration_row& row,
                                                    time_point deadline)
{
    for (;;)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
        if (left <= min_timeout)
            return may_have_run(reason::store_unavailable,
                                "the table did not confirm whether the change was written");
        result<std::optional<table_row>> found =
            table_.get(configuration_key(version), std::min(left, store_timeout));
        if (!found)
        {
            std::this_thread::sleep_for(retry_delay);
            continue;
        }
        if (!found.value())
        {
            // The first write may still be in flight and take effect after this read, so the same
            // row is inserted again: only one of the two copies can succeed.
            const write_outcome outcome =
                table_.insert(configuration_key(version), write_configuration_row(row),
                              std::min(left, store_timeout));
            if (outcome != write_outcome::written)
            {
                std::this_thread::sleep_for(retry_delay);
                continue;
            }
            adopt(version, write_configuration_row(row));
            return config_change{version, false};
        }
        const table_row& stored = *found.value();
        adopt(version, stored.value);
        const bool is_own_write = string_field(stored.value, "token") == row.token;
        return config_change{version, !is_own_write};
    }
}

result<std::vector<table_row>> config_store::history(std::size_t limit, milliseconds timeout)
{
    const std::uint64_t last = version();
    const std::uint64_t first = last > limit ? last - limit : 0;
    result<std::vector<table_row>> rows =
        table_.list("config/", configuration_key(first), limit, timeout);
    if (rows)
        std::reverse(rows.value().begin(), rows.value().end());
    return rows;
}

} // namespace zinnianotch
