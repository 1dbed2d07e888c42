#pragma once

#include "digest.h"
#include "instance.h"
#include "systemstate.h"

#include <memory>
#include <unordered_map>

namespace Explorer {

/// Keeps one copy of each distinct VM.
struct VmTable {
    std::unordered_map<Digest, std::shared_ptr<const Vm>, DigestHash> byDigest;
};

/// Brings \a world into a form that is the same for worlds that behave the same: asks and sequences are
/// numbered anew, and times past every wait become one.
void canonicalise(const Instance& instance, SystemState& world, VmTable& table);

/// Tells \a world, which is canonical, from every other one.
Digest computeSystemDigest(const SystemState& world);

/// Lets one tick pass; \a stalled is the index of the process whose clock misses it.
void advanceTick(SystemState& world, std::size_t stalled);

} // namespace Explorer
