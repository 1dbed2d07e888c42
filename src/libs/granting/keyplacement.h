#pragma once

#include <routing/keyspan.h>
#include <utils/ids.h>

namespace Granting {

/// A span of keys with the upstream that a plan assigns it to.
struct KeyPlacement {
    Routing::KeySpan span;
    Utils::UpstreamId holder;
    /// The holder has the keys. Others are changing hands: they can't be served meanwhile, nor can those of a
    /// settled span that grows by them.
    bool isSettled = true;

    bool operator==(const KeyPlacement&) const = default;
};

} // namespace Granting
