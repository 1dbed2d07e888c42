#pragma once

#include <declarations/faultcode.h>
#include <declarations/objectkind.h>

#include <string>

namespace Declarations {

/// One thing that is wrong with a set of declarations.
struct Fault {
    FaultCode code = FaultCode::MalformedJson;
    /// Name of the document; empty when the fault concerns the whole set.
    std::string file;
    /// JSON pointer to what is wrong, such as "/objects/3/from".
    std::string place;
    /// The object that the fault concerns.
    ObjectKind kind = ObjectKind::None;
    std::string object;
    /// For the operator's eyes: the value found and what was expected.
    std::string detail;

    bool operator==(const Fault&) const = default;
};

} // namespace Declarations
