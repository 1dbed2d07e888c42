#pragma once

#include <string>

namespace Declarations {

/// One document of a set, read from a file or from the log.
struct Document {
    /// Name that faults give; a path for files.
    std::string file;
    /// JSON text.
    std::string text;
};

} // namespace Declarations
