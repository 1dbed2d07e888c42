#pragma once

#include "simulation.h"

namespace GrantTest {

/// The position of \a offset in the era that \a vm knows.
Utils::Offset positionOf(const Simulation& simulation, unsigned vm, std::size_t offset);

/// Notes the era of a response of the store. Returns whether the response belongs to the era that was known
/// when its request was sent.
bool noteStoreEra(
    Simulation& simulation, unsigned vm, std::uint64_t era, std::optional<std::uint64_t> eraAtSend);

/// Notes the response to a read. Returns whether there is one.
bool noteStoreRead(Simulation& simulation, unsigned vm);

/// Plans a return of the store to a copy of now, sometimes twice, with other faults beside it.
void planStoreReturn(Simulation& simulation);

/// Ends the process of \a vm and starts it again without any memory.
void restartVm(Simulation& simulation, unsigned vm);

} // namespace GrantTest
