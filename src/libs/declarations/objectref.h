#pragma once

#include <declarations/objectkind.h>

#include <compare>
#include <string>

namespace Declarations {

/// Names one declared object. A region link has no name of its own and is called "<first>/<second>".
struct ObjectRef {
    ObjectKind kind = ObjectKind::None;
    std::string name;

    auto operator<=>(const ObjectRef&) const = default;
};

} // namespace Declarations
