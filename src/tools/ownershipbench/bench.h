#pragma once

#include "benchresult.h"
#include "benchsettings.h"

/// Runs the granters and holders of one pool in virtual time, with fakes for the network, the log and the
/// leader.
namespace OwnershipBench {

/// Plays \a settings to their end.
Result run(const Settings& settings);

} // namespace OwnershipBench
