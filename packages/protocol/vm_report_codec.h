// JSON text of a VM's report, for `zinnianotch vm status` and for scripts.
#pragma once

#include "state/vm_report.h"

#include <string>

namespace zinnianotch
{

std::string encode_report(const vm_report& report);

} // namespace zinnianotch
