#pragma once

namespace Gateway {

/// This VM is to hand over its duties.
struct LeaveRequested { };

} // namespace Gateway
