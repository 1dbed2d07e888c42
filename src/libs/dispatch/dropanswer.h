#pragma once

#include <requests/work.h>

namespace Dispatch {

/// Forget the stored answer of the work.
struct DropAnswer {
    Requests::WorkId work;

    bool operator==(const DropAnswer&) const = default;
};

} // namespace Dispatch
