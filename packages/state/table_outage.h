// When a table of the store could be read again after an outage, as far as one VM can tell.
//
// Entries of endpoints lapse while their writers cannot reach the store, so an entry that is
// missing shortly after an outage may return. A VM that has lost its own connection learns from the
// others whether the store was away at all: one that has read the table without interruption knows
// better.
#pragma once

#include "state/time.h"

#include <algorithm>
#include <optional>

namespace zinnianotch
{

class table_outage
{
public:
    // To be called often. `is_current`: the table is kept up to date, by this VM or by another one.
    // `read_since`: the time since which another VM has read it without interruption; nothing if
    // none reads it.
    void update(bool is_current, std::optional<time_point> read_since, time_point now)
    {
        if (!is_current)
        {
            is_lost_ = was_current_;
            return;
        }
        was_current_ = true;
        if (is_lost_)
            ended_at_ = now;
        is_lost_ = false;
        if (read_since)
            ended_at_ = std::min(ended_at_, *read_since);
    }

    // This VM takes its first copy from one to which the last outage ended at this time.
    void on_first_copy(time_point ended_at) { ended_at_ = ended_at; }

    // End of the last outage: `now` during one, the epoch if there was none.
    time_point ended_at(time_point now) const { return is_lost_ ? now : ended_at_; }

private:
    bool was_current_ = false;
    bool is_lost_ = false;
    time_point ended_at_{};
};

} // namespace zinnianotch
