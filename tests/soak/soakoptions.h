#pragma once

#include <cstdint>
#include <string>

namespace Soak {

/// Parameters of one run.
struct SoakOptions {
    std::uint64_t seed = 1;
    std::size_t vms = 5;
    std::size_t upstreams = 12;
    /// At most a third of the upstreams own keys, and no more than this.
    std::size_t maxKeyed = 1000;
    /// Length of the traffic.
    unsigned seconds = 24;
    unsigned requestsPerSecond = 60;
    /// Path of the daemon.
    std::string program;
    /// Folder for settings and logs.
    std::string folder;
    /// Only requests that crash upstreams and the faults named here, for experiments; all faults if empty.
    std::string onlyFault;
    /// Names of a LinkState and a PartitionSet: the only fault is one such partition.
    std::string cutState;
    std::string cutSet = "half";
    unsigned cutSeconds = 12;
};

} // namespace Soak
