#include <logging/linebudget.h>

#include <algorithm>

namespace Logging {

bool takeLine(LineBudget& budget, Utils::Instant now)
{
    const double seconds = std::chrono::duration<double>(now - budget.refilledAt).count();
    budget.lines = std::min(burstOfLines, budget.lines + seconds * linesPerSecond);
    budget.refilledAt = now;
    if (budget.lines < 1) {
        ++budget.dropped;
        return false;
    }
    budget.lines -= 1;
    return true;
}

} // namespace Logging
