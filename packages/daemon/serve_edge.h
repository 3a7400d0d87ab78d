// Runs the event-driven serving path in this process until a stop signal.
#pragma once

#include "daemon/settings.h"

#include <string>

namespace zinnianotch
{

// Serves until SIGTERM or SIGINT; returns the exit code of the process. The settings file is read
// again on SIGHUP and when it has changed.
int run_edge(const settings& config, const std::string& settings_path);

} // namespace zinnianotch
