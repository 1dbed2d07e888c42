#pragma once

#include <requests/work.h>
#include <utils/ids.h>

namespace Dispatch {

/// Send the work to the upstream now.
struct StartWork {
    Requests::WorkId work;
    Utils::UpstreamId upstream;

    bool operator==(const StartWork&) const = default;
};

} // namespace Dispatch
