#pragma once

namespace Measure {

/// What is wrong with the first upstream of the pool.
enum class UpstreamFault {
    None,
    /// It takes five times as long.
    Slow,
    /// It takes one work at a time and refuses the rest.
    Shedding,
    /// It starts anew, and takes five times as long for its first hundred works.
    Cold,
};

} // namespace Measure
