// Stand-ins for the platform's transactional table and VM list.
#include "standin.h"

#include <map>
#include <sstream>

namespace standins
{

namespace
{

using web::json::value;

constexpr const char* rows_path = "/rows";
constexpr std::size_t default_list_limit = 1000;

struct row
{
    std::uint64_t version = 0;
    std::string text; // JSON as received, since parsing could lose the precision of numbers
};

std::string etag(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

class table : public standin
{
public:
    using standin::standin;

private:
    void handle(session& client, const faults& injected) override
    {
        if (!client.wait(milliseconds(injected.delay_ms), [this] { return is_down(); }))
        {
            client.close();
            return;
        }
        if (sample_bernoulli(injected.fail_percent))
        {
            client.respond(503, R"({"error":"unavailable"})");
            return;
        }
        const std::string path = client.path();
        const std::string prefix = std::string(rows_path) + '/';
        if (path == rows_path && client.method() == "GET")
            list(client);
        else if (path.starts_with(prefix) && client.method() == "GET")
            get(client, path.substr(prefix.size()));
        else if (path.starts_with(prefix) && client.method() == "PUT")
            put(client, path.substr(prefix.size()), injected);
        else
            client.respond(404, R"({"error":"no such resource"})");
    }

    void list(session& client)
    {
        const std::string prefix = client.query("prefix");
        const std::string after = client.query("after");
        const std::string limit_text = client.query("limit");
        const std::size_t limit = limit_text.empty() ? default_list_limit : std::stoul(limit_text);
        std::ostringstream body;
        body << R"({"rows":[)";
        {
            const std::lock_guard lock(mutex);
            std::size_t count = 0;
            auto it = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
            for (; it != rows_.end() && it->first.starts_with(prefix) && count < limit; ++it)
            {
                body << (count++ == 0 ? "" : ",") << R"({"key":)" << value(it->first).serialize()
                     << R"(,"version":)" << it->second.version << R"(,"value":)" << it->second.text
                     << '}';
            }
        }
        body << "]}";
        client.respond(200, body.str());
    }

    void get(session& client, const std::string& key)
    {
        row found;
        {
            const std::lock_guard lock(mutex);
            const auto it = rows_.find(key);
            if (it != rows_.end())
                found = it->second;
        }
        if (found.version == 0)
            client.respond(404, R"({"error":"no such row"})");
        else
            client.respond(200, found.text, {{"ETag", etag(found.version)}});
    }

    void put(session& client, const std::string& key, const faults& injected)
    {
        (void)value::parse(client.body()); // throws on malformed JSON
        const std::string if_match = client.header(boost::beast::http::field::if_match);
        const bool if_absent = client.header(boost::beast::http::field::if_none_match) == "*";
        std::uint64_t version = 0;
        {
            const std::lock_guard lock(mutex);
            const auto it = rows_.find(key);
            const bool exists = it != rows_.end();
            const bool conflict =
                (if_absent && exists) ||
                (!if_match.empty() && (!exists || etag(it->second.version) != if_match));
            if (conflict)
                ++conflicts_;
            else
            {
                row& written = rows_[key];
                written.text = client.body();
                version = ++written.version;
                ++writes_;
            }
        }
        if (sample_bernoulli(injected.lose_answers_percent))
            client.close();
        else if (version == 0)
            client.respond(412, R"({"error":"condition failed"})");
        else
            client.respond(version == 1 ? 201 : 200,
                           R"({"version":)" + std::to_string(version) + '}',
                           {{"ETag", etag(version)}});
    }

    void add_counters(value& counters) override
    {
        counters["rows"] = value::number(static_cast<std::uint64_t>(rows_.size()));
        counters["writes"] = value::number(writes_);
        counters["conflicts"] = value::number(conflicts_);
    }

    std::map<std::string, row> rows_;
    std::uint64_t writes_ = 0;
    std::uint64_t conflicts_ = 0;
};

// Lists VMs and endpoints by name. POST /control {"vms":{"NAME":"live"|"leaving"|null}} adds or
// changes entries; null removes an entry.
class vm_list : public standin
{
public:
    explicit vm_list(const options& opts) : standin(opts)
    {
        std::istringstream names(opts.vms);
        for (std::string name; std::getline(names, name, ',');)
            states_[name] = "live";
    }

private:
    void handle(session& client, const faults& injected) override
    {
        if (!client.wait(milliseconds(injected.delay_ms), [this] { return is_down(); }))
        {
            client.close();
            return;
        }
        if (sample_bernoulli(injected.fail_percent))
        {
            client.respond(503, R"({"error":"unavailable"})");
            return;
        }
        if (client.path() != "/vms")
        {
            client.respond(404, R"({"error":"no such resource"})");
            return;
        }
        auto vms = value::array();
        {
            const std::lock_guard lock(mutex);
            for (const auto& [name, state] : states_)
            {
                auto& entry = vms[vms.size()];
                entry["name"] = value(name);
                entry["state"] = value(state);
            }
        }
        auto body = value::object();
        body["vms"] = vms;
        client.respond(200, body.serialize());
    }

    void apply_control(const value& change) override
    {
        if (!change.has_field("vms"))
            return;
        for (const auto& [name, state] : change.at("vms").as_object())
        {
            if (state.is_null())
                states_.erase(name);
            else
                states_[name] = state.as_string();
        }
    }

    std::map<std::string, std::string> states_;
};

} // namespace

std::unique_ptr<standin> make_table(const options& opts)
{
    return std::make_unique<table>(opts);
}

std::unique_ptr<standin> make_vm_list(const options& opts)
{
    return std::make_unique<vm_list>(opts);
}

} // namespace standins
