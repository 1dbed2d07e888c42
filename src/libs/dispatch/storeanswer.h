#pragma once

#include <requests/work.h>

namespace Dispatch {

/// Keep the whole answer of the work for repeats until \c DropAnswer.
struct StoreAnswer {
    Requests::WorkId work;

    bool operator==(const StoreAnswer&) const = default;
};

} // namespace Dispatch
