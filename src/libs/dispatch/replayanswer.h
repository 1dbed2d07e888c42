#pragma once

#include <requests/work.h>
#include <utils/ids.h>

namespace Dispatch {

/// Answer the work with the answer that was stored when \c original ran.
struct ReplayAnswer {
    Requests::WorkId work;
    Utils::RequestId requestId;
    /// The work that ran under this request id.
    Requests::WorkId original;

    bool operator==(const ReplayAnswer&) const = default;
};

} // namespace Dispatch
