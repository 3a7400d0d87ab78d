// Detects that the process or its machine did not run for a while. What this VM knew before is then
// as old as the pause, whatever its timers say.
#pragma once

#include "state/time.h"

#include <optional>

namespace zinnianotch
{

// Shortest time between two updates that counts as a pause. Updates normally follow within some
// dozens of milliseconds; a busy VM may be late by a few hundred.
inline constexpr milliseconds pause_threshold{1000};

class pause_detector
{
public:
    // To be called often. `now` stands still while the machine is suspended, `boot_time` (time
    // since boot) does not. Returns the length of a pause since the last call.
    std::optional<milliseconds> update(time_point now, milliseconds boot_time);

private:
    std::optional<milliseconds> last_boot_time_;
    time_point last_{};
};

} // namespace zinnianotch
