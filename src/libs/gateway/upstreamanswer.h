#pragma once

#include <requests/reason.h>

#include <string_view>

namespace Gateway {

/// The reason that an upstream's Not-Run header stands for; StaleToken for words that are not in the
/// contract.
Requests::Reason reasonOfNotRun(std::string_view word);

} // namespace Gateway
