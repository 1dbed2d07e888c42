#pragma once

#include <routing/keyspan.h>
#include <utils/ids.h>

namespace Granting {

/// Which upstream is meant to hold a span of keys.
struct KeyPlacement {
    Routing::KeySpan span;
    Utils::UpstreamId holder;

    bool operator==(const KeyPlacement&) const = default;
};

} // namespace Granting
