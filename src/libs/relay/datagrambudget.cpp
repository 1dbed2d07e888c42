#include <relay/datagrambudget.h>

#include <algorithm>
#include <chrono>

namespace Relay {

namespace Internal {

/// A VM may spend as much on control in the long run.
constexpr double bytesPerSecond = 8000;
/// Enough for a few reports to all members of a small fleet.
constexpr double maxBurstBytes = 24000;

} // namespace Internal

bool tryConsume(DatagramBudget& budget, std::size_t bytes, Utils::Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - budget.updatedAt).count();
    budget.bytes
        = std::min(budget.bytes + std::max(elapsed, 0.0) * Internal::bytesPerSecond, Internal::maxBurstBytes);
    budget.updatedAt = std::max(budget.updatedAt, now);
    const double cost = static_cast<double>(bytes);
    if (budget.bytes < cost)
        return false;
    budget.bytes -= cost;
    return true;
}

} // namespace Relay
