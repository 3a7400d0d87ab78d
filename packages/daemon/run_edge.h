// Runs the event-driven request path, see coordination/edge.h, in this process.
#pragma once

#include "daemon/settings.h"

#include <string>

namespace zinnianotch
{

// Serves until a graceful shutdown, started by SIGTERM or SIGINT, has ended. Returns the exit code
// of the process: 0, or 4 when an address cannot be bound. `config.serving` must be set. Reloads
// the settings file on SIGHUP and when the file has changed.
int run_edge(const settings& config, const std::string& settings_path);

} // namespace zinnianotch
