#pragma once

#include <requests/work.h>
#include <utils/ids.h>

namespace Dispatch {

/// Ask the upstream to stop the work. Its result still has to be reported.
struct CancelWork {
    Requests::WorkId work;
    Utils::UpstreamId upstream;

    bool operator==(const CancelWork&) const = default;
};

} // namespace Dispatch
