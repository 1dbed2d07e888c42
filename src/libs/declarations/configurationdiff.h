#pragma once

#include <declarations/change.h>
#include <declarations/configuration.h>

#include <vector>

namespace Declarations {

/// What changes from \a before to \a after, ordered by kind, name and field. An upstream counts as an object
/// of its own, with the field "/pool" for the pool that it is in.
std::vector<Change> diffConfigurations(const Configuration& before, const Configuration& after);

} // namespace Declarations
