#pragma once

#include <declarations/change.h>

#include <boost/json/array.hpp>

#include <ostream>
#include <vector>

namespace Commands::Internal {

/// Writes \a changes, one a line.
void writeChanges(std::ostream& stream, const std::vector<Declarations::Change>& changes);

/// The JSON list of \a changes.
boost::json::array changesToJson(const std::vector<Declarations::Change>& changes);

} // namespace Commands::Internal
