#pragma once

#include <declarations/change.h>
#include <declarations/fault.h>

#include <ostream>

namespace Declarations {

/// Prints a fault where a test shows one.
std::ostream& operator<<(std::ostream& stream, const Fault& fault);
/// Prints a change where a test shows one.
std::ostream& operator<<(std::ostream& stream, const Change& change);

} // namespace Declarations
