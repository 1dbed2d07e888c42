#pragma once

namespace Edge {

/// What is being read from a caller's connection.
enum class CallerReadState {
    /// Nothing until earlier requests have been answered.
    Paused,
    Header,
    Body,
    /// Nothing any more: no request follows, or it counts as not read.
    Ended,
};

} // namespace Edge
