#include <balancing/lifespan.h>

#include <algorithm>

namespace Balancing {

void extendLife(LifeSpan& span, Utils::Instant connectedAt, Utils::Instant sentAt)
{
    if (connectedAt > span.until + minRestartTime) {
        span = { connectedAt, sentAt };
        return;
    }
    // A connection that is older than the span may be to an earlier process only if nothing overlaps.
    if (sentAt + minRestartTime < span.from)
        return;
    span.from = std::min(span.from, connectedAt);
    span.until = std::max(span.until, sentAt);
}

bool livedThrough(const LifeSpan& span, Utils::Instant sentAt, Utils::Instant noticedAt)
{
    return span.until > noticedAt && span.from <= sentAt + minRestartTime;
}

} // namespace Balancing
