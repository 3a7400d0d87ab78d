// Decides whether a VM reads the tables of the store itself or takes them from other VMs.
//
// With hundreds of VMs the store could not serve each of them. In each failure domain a few VMs,
// the relays, read the store. They announce the revision of their copies, and the others fetch the
// changes from them. A VM takes the state from all relays of its domain at once, so the loss of one
// delays nothing; it reads the store itself when none of them is in touch with the store.
#pragma once

#include "state/shares.h"
#include "state/stage_request.h"
#include "state/store_position.h"
#include "state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinnianotch
{

// VMs of a failure domain that read the store. A domain with no more VMs than this has no others.
inline constexpr std::size_t relays_per_domain = 3;
// Relays of other domains that a VM also takes the state from.
inline constexpr std::size_t remote_relays = 1;
// Interval at which a VM that reads the store announces its copies, and the time after which its
// last announcement no longer counts. The second is link_idle_timeout, after which a silent link is
// closed.
inline constexpr milliseconds notice_interval{400};
inline constexpr milliseconds notice_max_age{1000};
// Time after which a query without an answer may be sent to another VM.
inline constexpr milliseconds state_query_timeout{300};
// A VM stops reading a table that other VMs have covered for this long.
inline constexpr milliseconds covered_before_stop{500};
// A VM starts to read a table that no other VM has covered for the first time plus a part of the
// second that differs by VM, so that not all VMs turn to the store at the same moment.
inline constexpr milliseconds uncovered_before_start{100};
inline constexpr milliseconds uncovered_spread{400};

// Names of the VMs that read the store for a failure domain, in a rendezvous order weighted by
// their capacity. `vms` holds the VMs of the domain.
std::vector<std::string> state_relays(const std::string& domain,
                                      const std::vector<weighted_name>& vms);

// A VM's copy of a table.
struct table_copy
{
    bool loaded = false;
    bool in_sync = false;          // the copy is kept up to date from the store
    store_position position;       // the copy holds all changes up to this position
    std::uint64_t digest = 0;      // of all records; equal for copies with the same content
    std::uint64_t held_digest = 0; // of the records that are held; see table_replica
    milliseconds in_sync_for{0};   // without interruption; with `in_sync`
};

// One copy for each state_table.
using table_copies = std::array<table_copy, state_table_count>;

// Digest of one record. The digest of a table is the exclusive or of those of its records.
std::uint64_t record_digest(const state_record& record);

// What other VMs that read the store have announced about their copies.
class state_sources
{
public:
    void on_notice(const std::string& vm, const table_copies& copies, time_point now);
    // The VM can no longer be reached or is shutting down.
    void remove(const std::string& vm) { sources_.erase(vm); }

    // True while another VM keeps the table up to date from the store, in the era or a later one.
    bool is_covered(state_table table, std::uint64_t era, time_point now) const;
    // The time since which some other VM has kept the table up to date without interruption, in the
    // era or a later one; nothing if none does.
    std::optional<time_point> in_sync_since(state_table table, std::uint64_t era,
                                            time_point now) const;
    // VM to ask for the changes that it has and `own` lacks; nothing if there is none, or while a
    // query is in progress. Counts the query as sent.
    std::optional<std::string> next_query(state_table table, const table_copy& own, time_point now);
    // VM in the era of `own` that holds other records than this one does, and whether it has to be
    // asked for them; nothing if there is none that has not been returned for this content before.
    struct held_difference
    {
        std::string vm;
        bool asks = false; // it holds records
    };
    std::optional<held_difference> next_held_difference(state_table table, const table_copy& own);
    // The query for the table has been answered.
    void on_answer(state_table table);
    // Position up to which `own` is complete, which is newer than its own if another VM in sync
    // holds the same content in the same era.
    store_position confirmed_position(state_table table, const table_copy& own,
                                      time_point now) const;
    // True while a VM announces its copies, whether or not it reaches the store.
    bool has_recent_notice(time_point now) const;
    // Name and age of the newest announcement that covers the table.
    struct origin
    {
        std::string vm;
        milliseconds age{0};
    };
    std::optional<origin> newest(state_table table, time_point now) const;

private:
    struct source
    {
        table_copies copies;
        time_point received_at{};
        // Digest of its copy at the last query, by table: the same content is not queried again.
        std::array<std::optional<std::uint64_t>, state_table_count> queried_digest;
        // Combined digest of the held records of both VMs at the last difference, by table.
        std::array<std::uint64_t, state_table_count> compared_held{};
    };

    static bool covers(const source& from, state_table table, time_point now);

    std::map<std::string, source> sources_;
    std::array<time_point, state_table_count> queried_at_{};
};

// Whether a VM reads one table from the store itself.
class table_reading
{
public:
    // `spread` is this VM's part of uncovered_spread.
    explicit table_reading(milliseconds spread) : spread_(spread) {}

    // Returns true while the VM is to read the table. A VM starts out reading, so that a
    // deployment without relays behaves as one in which every VM is a relay.
    bool update(bool is_relay, bool is_covered, time_point now);
    bool reads() const { return reads_; }

private:
    milliseconds spread_;
    bool reads_ = true;
    bool covered_ = false;
    std::optional<time_point> changed_at_; // last change of covered_
};

} // namespace zinnianotch
