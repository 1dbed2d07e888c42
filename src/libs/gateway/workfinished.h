#pragma once

#include <dispatch/workresult.h>
#include <requests/work.h>
#include <utils/ids.h>

namespace Gateway {

/// Network to dispatch: a started work has ended.
struct WorkFinished {
    Utils::PoolId pool;
    Requests::WorkId work;
    Dispatch::WorkResult result;
};

} // namespace Gateway
