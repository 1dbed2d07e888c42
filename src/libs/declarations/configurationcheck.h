#pragma once

#include <declarations/configuration.h>
#include <declarations/fault.h>
#include <declarations/origin.h>

#include <vector>

namespace Declarations {

/// Checks the objects of \a configuration against one another.
/// \param origins where each object was declared, for the faults' file and place; objects that are not in it
/// get neither.
std::vector<Fault> checkConfiguration(const Configuration& configuration, const Origins& origins = {});

} // namespace Declarations
