#pragma once

#include <ostream>

namespace Commands {

/// Where a command writes: results to \c out, complaints to \c error.
struct Console {
    std::ostream& out;
    std::ostream& error;
};

} // namespace Commands
