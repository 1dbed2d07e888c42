#pragma once

#include <utils/time.h>

namespace Balancing {

/// A time through which one process of an upstream is known to have lived.
struct LifeSpan {
    Utils::Instant from {};
    Utils::Instant until {};
};

/// A process that terminates accepts no connection for at least this long.
inline constexpr Utils::Duration minRestartTime = std::chrono::milliseconds(300);

/// Extends \a span by a connection that was established at \a connectedAt and on which the upstream answered
/// a request sent at \a sentAt. Begins a new span if the upstream may have restarted in between.
void extendLife(LifeSpan& span, Utils::Instant connectedAt, Utils::Instant sentAt);

/// Whether the process that got a request sent at \a sentAt lived on after its connection was lost, which was
/// noticed at \a noticedAt. It may have ended long before that: the VM may have been frozen.
bool livedThrough(const LifeSpan& span, Utils::Instant sentAt, Utils::Instant noticedAt);

} // namespace Balancing
