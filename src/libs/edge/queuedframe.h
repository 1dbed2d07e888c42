#pragma once

#include <edge/relayframe.h>
#include <utils/time.h>

namespace Edge {

/// A frame in the send queue of a relay link.
struct QueuedFrame {
    RelayFrame frame;
    Utils::Instant queuedAt {};
};

} // namespace Edge
