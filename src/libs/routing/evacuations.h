#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace Routing {

/// The newest record of the operator on an availability zone.
struct Evacuation {
    /// Offset of the record; a record with a lower one changes nothing.
    Utils::Offset offset = 0;
    bool isInForce = false;
    /// Earliest time at which it can have come in force: this VM knew until then that it was not.
    Utils::Instant since {};
    /// When this VM learned that it had ended; not set if none has ended since this VM started.
    Utils::Instant endedAt {};
};

/// Availability zones to which the operator wants no requests to be sent, and those for which that has ended.
struct Evacuations {
    std::map<Utils::ZoneId, Evacuation> byZone;
};

/// Puts the evacuation of \a zone in force, unless a later record is known. Returns whether it was not
/// before. \param confirmedAt when this VM last knew that there was none.
bool startEvacuation(
    Evacuations& evacuations, const Utils::ZoneId& zone, Utils::Offset offset, Utils::Instant confirmedAt);

/// Ends the evacuation of \a zone, unless a later record is known. Returns whether it was in force.
bool endEvacuation(
    Evacuations& evacuations, const Utils::ZoneId& zone, Utils::Offset offset, Utils::Instant now);

/// Finds the zones whose evacuation has ended, as a complete list of those in force after the record at
/// \a offset lacks them.
std::vector<Utils::ZoneId> findEndedEvacuations(
    const Evacuations& evacuations, const std::set<Utils::ZoneId>& inForce, Utils::Offset offset);

/// Returns the evacuation of \a zone; null if none is in force.
const Evacuation* findEvacuation(const Evacuations& evacuations, const Utils::ZoneId& zone);

std::size_t countEvacuated(const Evacuations& evacuations);

} // namespace Routing
