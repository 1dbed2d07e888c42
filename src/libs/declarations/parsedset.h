#pragma once

#include <declarations/configuration.h>
#include <declarations/fault.h>
#include <declarations/origin.h>

#include <vector>

namespace Declarations {

/// A set of documents after reading its fields, before its objects are checked against one another.
struct ParsedSet {
    /// What could be read; incomplete when there are faults.
    Configuration configuration;
    Origins origins;
    std::vector<Fault> faults;
    /// Whether every document was JSON of the expected shape. If not, objects may be missing, and
    /// references to them mean nothing.
    bool complete = true;
};

} // namespace Declarations
