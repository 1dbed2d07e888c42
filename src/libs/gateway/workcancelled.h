#pragma once

#include <requests/work.h>
#include <utils/ids.h>

namespace Gateway {

/// Network to dispatch: the caller of a work has left.
struct WorkCancelled {
    Utils::PoolId pool;
    Requests::WorkId work;
};

} // namespace Gateway
