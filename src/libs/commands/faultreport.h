#pragma once

#include <commands/console.h>
#include <commands/outputformat.h>
#include <declarations/fault.h>

#include <boost/json/array.hpp>

#include <vector>

namespace Commands::Internal {

/// Writes \a faults, one a line with file, place, object and code, or as a JSON document.
void writeFaults(Console& console, OutputFormat format, const std::vector<Declarations::Fault>& faults);

/// The JSON list of \a faults.
boost::json::array faultsToJson(const std::vector<Declarations::Fault>& faults);

} // namespace Commands::Internal
