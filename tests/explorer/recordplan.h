#pragma once

#include <cstddef>

namespace Explorer {

/// An assignment record that can be appended to the log of an instance, by indexes of VMs and upstreams.
struct RecordPlan {
    std::size_t dispatcher = 0;
    std::size_t successor = 1;
    std::size_t owner = 0;
    std::size_t standby = 1;
};

} // namespace Explorer
