#pragma once

#include <declarations/changekind.h>
#include <declarations/objectkind.h>

#include <string>

namespace Declarations {

/// One difference between two configurations: an object that came or went, or one field of an object in both.
struct Change {
    ChangeKind change = ChangeKind::Changed;
    ObjectKind kind = ObjectKind::None;
    std::string object;
    /// JSON pointer of the field within the object, such as "/lease/lease_ms"; empty for a whole object.
    std::string field;
    /// JSON text of the value; empty where there is none.
    std::string oldValue;
    std::string newValue;

    bool operator==(const Change&) const = default;
};

} // namespace Declarations
