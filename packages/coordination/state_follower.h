// Follows one table of the store: lists all records, then polls for changes, and lists again when
// the store no longer keeps the changes since the last revision or has come back from an older
// copy. Logs when the store is lost and regained.
#pragma once

#include "coordination/serving_call.h"
#include "state/table_replica.h"
#include "transport/upstream.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace zinnianotch
{

// Timing of the calls that follow a table. Calls load the store, so changes that come shortly after
// one another are read together.
struct follow_timing
{
    // Maximum time the store holds a long poll before it answers without changes. It bounds how
    // long a silent connection goes undetected.
    milliseconds long_poll_wait{0};
    // Pause between a response with changes and the next poll; changes in between are read
    // together.
    milliseconds poll_pause{0};
};

// Changes of the desired state and of endpoints take effect within 2 s.
inline constexpr follow_timing desired_timing{milliseconds(3000), milliseconds(50)};
inline constexpr follow_timing endpoints_timing{milliseconds(3000), milliseconds(600)};
// The list of VMs tolerates more delay: it only divides limits and selects the batching VMs.
inline constexpr follow_timing vms_timing{milliseconds(12000), milliseconds(1500)};
// Long-poll wait of a relay: VMs that take the state from it must learn soon that it no longer
// reaches the store.
inline constexpr milliseconds relay_long_poll_wait{1000};
// Time beyond the long-poll wait after which a call times out.
inline constexpr milliseconds follow_timeout_slack{600};
inline constexpr milliseconds list_timeout{1500};
// A call whose response is arriving goes on, for this long at most beyond its timeout: given up, it
// would only be repeated from the first byte.
inline constexpr milliseconds response_max_extension{3000};
// Largest response of the store: a page of a table, or the changes of a table.
inline constexpr std::size_t store_response_limit = 16 * 1024 * 1024;
// Delay of the first retry of a failed call, which doubles with each further failure, and its
// limit.
struct retry_delays
{
    milliseconds first{200};
    milliseconds max{1000};

    bool operator==(const retry_delays&) const = default;
};
// For a VM that hears from its relays. They have lost the store as well, and hundreds of VMs would
// load a store that is about to recover; the relays find out first and cover the others. A VM that
// hears from none has to find out itself, within the time that a change may take.
inline constexpr retry_delays retry_delays_of_many{milliseconds(1600), milliseconds(4000)};

template <typename Codec>
class state_follower : private upstream_response_handler
{
public:
    // Called with the changes that a call has returned, of which there may be none.
    using update_handler = std::function<void(const table_update&)>;

    state_follower(boost::asio::io_context& io, std::string address, state_table table,
                   const follow_timing& timing, update_handler on_update);
    ~state_follower() override;

    state_follower(const state_follower&) = delete;
    state_follower& operator=(const state_follower&) = delete;

    void start(time_point now);
    // Sends the next call when it is due and cancels a call that has timed out.
    void tick(time_point now);

    // Stops reading after the call in progress, or continues from the given position.
    void pause() { reading_ = false; }
    void resume(const store_position& position, time_point now);
    // Makes a new call instead of the one in progress, whose response may have been sent before a
    // pause of this process. Not in sync until it succeeds.
    void call_again(time_point now);
    bool is_reading() const { return reading_; }
    void set_long_poll_wait(milliseconds wait) { timing_.long_poll_wait = wait; }
    // Also applies to the retry that is waited for.
    void set_retry_delays(const retry_delays& delays);

    // True while the table is read, has been loaded and the last call succeeded.
    bool in_sync() const { return reading_ && responded_ && loaded_ && failures_ == 0; }
    // As above, and the call in progress has not timed out: false when the process was paused for
    // longer than that.
    bool in_sync_at(time_point now) const;
    // With in_sync(): since when all calls have succeeded, in one era of the store.
    time_point in_sync_since() const { return in_sync_since_; }
    // When the store last answered a call; the epoch if it never did.
    time_point last_response_at() const { return last_response_at_; }
    // Skips the listing: the table was obtained elsewhere at this position, and changes are
    // followed from there.
    void follow_from(const store_position& position);

private:
    bool matches_request(const message_head&) override { return true; }
    void on_head(message_head& head, body_framing framing,
                 std::optional<std::uint64_t> length) override;
    void on_body(std::string bytes) override;
    void on_end() override;
    void on_failure(upstream_failure failure) override;

    void send(time_point now);
    void extend_call(time_point now);
    void on_page(record_page page, std::uint64_t era, time_point now);
    void list_again(time_point now);
    void on_call_failed(const std::string& why, time_point now);
    void schedule_retry();

    upstream_pool pool_;
    std::string address_;
    state_table table_;
    follow_timing timing_;
    update_handler on_update_;
    std::shared_ptr<upstream_connection> connection_;
    bool in_flight_ = false;
    bool started_ = false;
    bool reading_ = true;
    bool responded_ = false; // since reading began or was resumed
    bool loaded_ = false;
    bool listing_ = true;
    std::vector<state_record> listed_records_;
    store_position list_position_;
    store_position position_;
    store_position call_position_;              // of the call in progress
    bool call_lists_ = true;                    // as well
    std::optional<std::uint64_t> response_era_; // nullopt if it cannot be read
    std::uint32_t failures_ = 0;
    time_point failed_at_{};
    retry_delays retry_delays_;
    time_point next_call_at_{};
    time_point call_deadline_{};
    time_point last_call_deadline_{}; // of a call whose response is arriving
    time_point in_sync_since_{};
    time_point last_response_at_{};
    int status_ = 0;
    std::string body_;
};

} // namespace zinnianotch
