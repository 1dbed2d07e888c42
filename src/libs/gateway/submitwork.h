#pragma once

#include <requests/work.h>
#include <utils/ids.h>

namespace Gateway {

/// Network to dispatch: a work has arrived.
struct SubmitWork {
    Utils::PoolId pool;
    Requests::Work work;
};

} // namespace Gateway
