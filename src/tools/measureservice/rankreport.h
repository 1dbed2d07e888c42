#pragma once

#include <requests/reason.h>
#include <utils/time.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Measure {

/// What became of the requests of one rank that arrived while measuring.
struct RankReport {
    std::uint64_t offered = 0;
    std::uint64_t done = 0;
    /// Done, but answered after the deadline.
    std::uint64_t late = 0;
    std::uint64_t unknown = 0;
    std::map<Requests::Reason, std::uint64_t> notRun;
    /// From arrival to answer, of the requests done.
    std::vector<Utils::Duration> latencies;
    /// From arrival to answer, of the requests not run.
    std::vector<Utils::Duration> refusals;
    /// Slot time that upstreams worked for the rank.
    Utils::Duration slotTime {};
    /// Slot time that the rank's works took, from the sending to the result.
    Utils::Duration takenTime {};
};

} // namespace Measure
