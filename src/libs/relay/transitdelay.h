#pragma once

#include <utils/time.h>

#include <optional>

/// How long updates of a source wait on their way, although its clock is not that of the receiver.
namespace Relay {

struct TransitClock {
    /// The smallest difference so far between the receipt of an update, by the receiver's clock, and its
    /// sending, by the sender's.
    std::optional<Utils::Duration> smallestDifference;
};

/// The time for which an update that was sent at \a sentAt, by the sender's clock, was on its way beyond the
/// fastest one of the same sender. It includes the send queue of the sender and the link.
Utils::Duration recordTransit(TransitClock& clock, Utils::Instant sentAt, Utils::Instant receivedAt);

} // namespace Relay
