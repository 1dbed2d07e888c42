#pragma once

#include <edge/relayframe.h>
#include <utils/ids.h>
#include <utils/time.h>

namespace Edge {

/// What a new subscriber gets that has read the topics up to these offsets.
struct FirstUpdate {
    Utils::Offset configurations = 0;
    Utils::Offset reports = 0;
    Utils::Offset assignments = 0;
    RelayFrame frame;
    Utils::Instant encodedAt {};
};

} // namespace Edge
