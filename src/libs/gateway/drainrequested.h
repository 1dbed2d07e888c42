#pragma once

namespace Gateway {

/// This VM stops: no new work is taken.
struct DrainRequested { };

} // namespace Gateway
