#pragma once

#include "digest.h"
#include "instance.h"
#include "systemstate.h"

#include <memory>
#include <unordered_map>

namespace Explorer {

/// Stores one copy of each distinct VM.
struct VmTable {
    std::unordered_map<Digest, std::shared_ptr<const Vm>, DigestHash> byDigest;
};

/// Converts \a system into a canonical form that is equal for equivalent states: query ids and sequences are
/// renumbered, and times that are older than every waiting time become equal.
void canonicalise(const Instance& instance, SystemState& system, VmTable& table);

/// Distinguishes \a system, which must be canonical, from every other state.
Digest computeSystemDigest(const SystemState& system);

/// Advances the clocks by one tick; \a stalled is the index of the process whose clock misses it.
void advanceTick(SystemState& system, std::size_t stalled);

} // namespace Explorer
