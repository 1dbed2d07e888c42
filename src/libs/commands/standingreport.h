#pragma once

#include <commands/vmstanding.h>

#include <boost/json/array.hpp>

#include <ostream>
#include <vector>

namespace Commands::Internal {

/// Writes \a standing in a line; \a end is the offset after the newest record, \a inForce the
/// configuration's.
void writeStanding(
    std::ostream& stream, const VmStanding& standing, Utils::Offset end, Utils::Offset inForce);

/// The JSON list of \a standings.
boost::json::array standingsToJson(const std::vector<VmStanding>& standings, Utils::Offset inForce);

} // namespace Commands::Internal
