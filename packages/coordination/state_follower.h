// Follows one table of the store: reads it whole, then its changes, and starts over when history is
// gone. Tells when the store is lost and regained.
#pragma once

#include "coordination/serving_call.h"
#include "transport/upstream.h"

#include <functional>
#include <memory>
#include <string>

namespace zinnianotch
{

// How a table is followed. Calls to the store cost, and one change may come after another.
struct follow_pace
{
    // The store answers a call for changes after this time at the latest, with none if there are
    // none. It bounds how long a connection that went silent goes unnoticed.
    milliseconds wait{0};
    // Between an answer with changes and the next call; changes meanwhile come together.
    milliseconds pause{0};
};

// Changes of the desired state are in force within 2 s, those of endpoints too.
inline constexpr follow_pace desired_pace{milliseconds(3000), milliseconds(50)};
inline constexpr follow_pace endpoints_pace{milliseconds(3000), milliseconds(600)};
// The list of VMs only divides limits and chooses who gathers.
inline constexpr follow_pace vms_pace{milliseconds(12000), milliseconds(1500)};
inline constexpr milliseconds follow_slack{600}; // beyond the wait until the call counts as lost
inline constexpr milliseconds list_timeout{1500};
inline constexpr milliseconds retry_pause{200};
inline constexpr milliseconds retry_pause_most{1000};

template <typename Codec>
class state_follower : private upstream_listener
{
public:
    // Called with the records of a page. With `whole`, the table has just been read completely and
    // records that were not among its pages are gone.
    using apply = std::function<void(const std::vector<state_record>&, bool whole)>;

    state_follower(boost::asio::io_context& io, std::string address, state_table table,
                   const follow_pace& pace, apply on_records);
    ~state_follower() override;

    state_follower(const state_follower&) = delete;
    state_follower& operator=(const state_follower&) = delete;

    void start(time_point now);
    // Sends the next call when it is due and gives up one that takes too long.
    void tick(time_point now);

    // True once the table has been read and while calls are answered.
    bool in_touch() const { return loaded_ && failures_ == 0; }
    bool loaded() const { return loaded_; }
    std::uint64_t revision() const { return revision_; }
    // When the store answered again after it had been lost; the epoch if it never was.
    time_point regained_at() const { return regained_at_; }
    // When the store last answered a call; the epoch if it never did.
    time_point answered_at() const { return answered_at_; }
    // The table is known as of this revision from elsewhere; changes are followed from there.
    void adopt(std::uint64_t revision);

private:
    bool owns(const message_head&) override { return true; }
    void on_head(message_head& head, body_framing framing,
                 std::optional<std::uint64_t> length) override;
    void on_body(std::string bytes) override { body_ += bytes; }
    void on_end() override;
    void on_failure(upstream_failure failure) override;

    void send(time_point now);
    void on_page(const record_page& page, time_point now);
    void lost(const std::string& why, time_point now);

    upstream_pool pool_;
    std::string address_;
    state_table table_;
    follow_pace pace_;
    apply on_records_;
    std::shared_ptr<upstream_connection> connection_;
    bool in_flight_ = false;
    bool started_ = false;
    bool loaded_ = false;
    bool listing_ = true;
    std::vector<state_record> listed_;
    std::uint64_t list_revision_ = 0;
    std::uint64_t revision_ = 0;
    std::uint32_t failures_ = 0;
    time_point due_{};
    time_point expires_{};
    time_point regained_at_{};
    time_point answered_at_{};
    int status_ = 0;
    std::string body_;
};

} // namespace zinnianotch
