#pragma once

#include <membership/vmhealth.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

/// Who watches whom, and who counts as alive. The platform's VM list says which VMs there may be; only a VM's
/// own answers make it alive.
namespace Membership {

/// Whether \a health was heard from within \a silence.
bool isAlive(const VmHealth& health, Utils::Instant now, Utils::Duration silence);

/// The VMs in the order in which they stand for \a subject, by rendezvous hash: each VM computes the same
/// order, and one that comes or goes moves nobody else.
std::vector<Utils::VmId> rendezvousOrder(const std::set<Utils::VmId>& vms, const std::string& subject);

/// The VMs that \a self sends heartbeats to: all \a partners, and of the others at most \a limit, so that the
/// cost does not grow with the number of VMs.
std::set<Utils::VmId> heartbeatTargets(const std::set<Utils::VmId>& vms,
    const std::set<Utils::VmId>& partners, const Utils::VmId& self, std::size_t limit);

/// The VMs besides dispatcher and successor that watch a pool, and propose for it when both are lost: the
/// first few in rendezvous order of all that are listed, alive or not, so that every VM names the same ones.
std::vector<Utils::VmId> watchersOf(const std::set<Utils::VmId>& vms, const Utils::PoolId& pool,
    const Utils::VmId& dispatcher, const Utils::VmId& successor);

} // namespace Membership
