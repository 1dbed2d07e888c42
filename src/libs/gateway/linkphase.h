#pragma once

namespace Gateway {

/// How far a data link has come.
enum class LinkPhase {
    Connecting,
    Open,
    Closed,
};

} // namespace Gateway
