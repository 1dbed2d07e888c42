#pragma once

namespace Dispatch {

/// What is known of a remembered request.
enum class RequestPhase {
    /// Accepted; it may be running.
    Active,
    /// It ran and its answer was received whole.
    Ran,
    /// It may have run; its answer was lost.
    Lost,
};

} // namespace Dispatch
