#pragma once

#include <utils/time.h>

namespace Relay {

/// How the reads of one topic of the store have gone.
struct TopicReads {
    /// When the topic was first read, or read again after a pause.
    Utils::Instant startedAt {};
    /// When a read last succeeded.
    Utils::Instant respondedAt {};
    /// How long the store may delay its response to a read until there is a new record.
    Utils::Duration longPollTimeout {};
    /// Additional time for a topic that is expensive to read: between two reads, and for large records.
    Utils::Duration extraTime {};
};

} // namespace Relay
