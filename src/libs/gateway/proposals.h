#pragma once

#include <gateway/controlstate.h>

/// Proposes assignments, settlements and checkpoints to the log.
namespace Gateway {

/// Asks upstreams of pools for which this VM proposes where they stand, when that is due.
void pollUpstreams(ControlState& state);

/// Appends what has become due.
void proposeDue(ControlState& state);

} // namespace Gateway
