#pragma once

#include <declarations/configuration.h>

#include <string>

namespace Declarations {

/// The canonical text of \a configuration: one JSON document, the same for equal configurations, that
/// readConfiguration() reads back to an equal one. This text goes into the log.
std::string writeConfiguration(const Configuration& configuration);

} // namespace Declarations
