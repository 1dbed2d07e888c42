#pragma once

#include <gateway/leaverequested.h>
#include <gateway/logexpired.h>
#include <gateway/logread.h>
#include <gateway/vmslisted.h>

#include <variant>

namespace Gateway {

/// What other duties tell the control duty.
using ControlEvent = std::variant<LogRead, LogExpired, VmsListed, LeaveRequested>;

} // namespace Gateway
