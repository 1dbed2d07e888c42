#pragma once

#include <utils/ids.h>

namespace Gateway {

/// Who dispatches for a pool.
struct PoolRoute {
    Utils::Offset token = 0;
    Utils::VmId dispatcher;
    Utils::VmId successor;

    bool operator==(const PoolRoute&) const = default;
};

} // namespace Gateway
