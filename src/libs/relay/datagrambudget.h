#pragma once

#include <utils/time.h>

#include <cstddef>

/// What a VM without a relay source may send to other VMs in datagrams.
///
/// Load pattern: the VMs of a region lose their sources, and connections across the regions fail. Each VM has
/// something to report several times a second; sent to all members, that fills the link between the regions,
/// so that more connections fail and no source can be reached.
namespace Relay {

/// Members that a report is sent to at a time; each time others, and those with a source or subscribers pass
/// it on.
inline constexpr std::size_t maxDatagramTargets = 12;

/// Bytes that may be sent now, as of \c updatedAt.
struct DatagramBudget {
    double bytes = 0;
    Utils::Instant updatedAt {};
};

/// Takes \a bytes from \a budget. Returns false, and takes nothing, if it has less.
bool tryConsume(DatagramBudget& budget, std::size_t bytes, Utils::Instant now);

} // namespace Relay
