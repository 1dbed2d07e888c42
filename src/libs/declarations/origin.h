#pragma once

#include <declarations/objectref.h>

#include <map>
#include <string>

namespace Declarations {

/// Where an object was declared.
struct Origin {
    std::string file;
    /// JSON pointer to the object within the file.
    std::string place;
    /// Whether its fields could be read; the fields of one that couldn't be are not checked further.
    bool sound = true;
};

/// Where each object of a set was declared.
using Origins = std::map<ObjectRef, Origin>;

} // namespace Declarations
