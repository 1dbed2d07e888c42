#pragma once

#include <routing/keyspan.h>
#include <utils/ids.h>

namespace Granting {

/// A span of keys with the upstream that a plan assigns it to.
struct KeyPlacement {
    Routing::KeySpan span;
    Utils::UpstreamId holder;

    bool operator==(const KeyPlacement&) const = default;
};

} // namespace Granting
