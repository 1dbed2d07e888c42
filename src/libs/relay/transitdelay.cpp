#include <relay/transitdelay.h>

#include <algorithm>

namespace Relay {

Utils::Duration recordTransit(TransitClock& clock, Utils::Instant sentAt, Utils::Instant receivedAt)
{
    const Utils::Duration difference = receivedAt - sentAt;
    clock.smallestDifference = std::min(clock.smallestDifference.value_or(difference), difference);
    return difference - *clock.smallestDifference;
}

} // namespace Relay
