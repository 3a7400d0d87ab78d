// JSON encoding of a VM's status report, as read by `zinnianotch vm status` and by scripts.
#pragma once

#include "state/vm_report.h"

#include <string>

namespace zinnianotch
{

std::string encode_report(const vm_report& report);

} // namespace zinnianotch
