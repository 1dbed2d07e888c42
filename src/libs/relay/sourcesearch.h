#pragma once

#include <utils/time.h>

#include <cstdint>

/// How a VM without a source gets records.
///
/// Load pattern: hundreds of VMs start together, or lose the leader or the store together. If all read the
/// store, their calls exceed its limits, and the complete topics that they read saturate the link between
/// regions: responses come after the timeout of the call, are read again, and nobody recovers. So a few VMs
/// read the store, and the others look for a source for longer than these need to become one.
namespace Relay {

struct SearchSituation {
    /// The fleet has more VMs than the leader serves itself.
    bool isLargeFleet = false;
    bool storeIsRemote = false;
    /// The leader has named this VM to the others as one that reads the store.
    bool isStoreReader = false;
    /// Different for each VM; spreads their reads.
    std::uint64_t seed = 0;
    /// Until this VM has to read the store, as a change may be due that it does not know.
    Utils::Duration timeLeft = Utils::Duration::max();
};

/// How long to look for a source before the store is read.
Utils::Duration sourceSearchTimeout(const SearchSituation& situation);

/// The same for a VM that has just started and knows who leads.
Utils::Duration startupSourceSearchTimeout(const SearchSituation& situation);

/// Time between two reads of the store while it fails; \a usual for VMs that read it for others.
Utils::Duration storeRetryInterval(const SearchSituation& situation, Utils::Duration usual);

/// How long a VM leaves it to others to read the store and to become the leader when the whole system starts
/// for the first time. \a acquisitionJitter, from 0 to 1, is that of the acquisition of the leader lease.
Utils::Duration firstStartDelay(double acquisitionJitter);

} // namespace Relay
