#include <routing/callerlimithistory.h>

#include <algorithm>

namespace Routing {

void recordLimits(CallerLimitHistory& history, const CallerLimits& limits, Utils::Instant now)
{
    std::erase_if(history.former, [now](const CallerLimitHistory::Former& former) {
        return now - former.replacedAt > formerLimitsRetention;
    });
    if (history.current && *history.current != limits)
        history.former.push_back({ *history.current, now });
    history.current = limits;
}

std::optional<CallerLimits> widestLimits(const CallerLimitHistory& history, Utils::Instant now)
{
    std::optional<CallerLimits> widest = history.current;
    for (const CallerLimitHistory::Former& former : history.former) {
        if (now - former.replacedAt > formerLimitsRetention)
            continue;
        widest->maxHeaderBytes = std::max(widest->maxHeaderBytes, former.limits.maxHeaderBytes);
        widest->maxBodyBytes = std::max(widest->maxBodyBytes, former.limits.maxBodyBytes);
        widest->headerTimeout = std::max(widest->headerTimeout, former.limits.headerTimeout);
        widest->idleTimeout = std::max(widest->idleTimeout, former.limits.idleTimeout);
    }
    return widest;
}

} // namespace Routing
