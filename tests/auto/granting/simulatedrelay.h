#pragma once

#include "simulation.h"

namespace GrantTest {

/// Whether \a assignment is newer than the VM's own, which it then replaces.
void rememberAssignment(Simulation& simulation, unsigned vm, const Granting::KeyAssignment& assignment);

/// Remembers the assignment that the leader \a vm has written, and relays it.
void relayAssignment(Simulation& simulation, unsigned vm, const Granting::KeyAssignment& assignment);

/// Opens and closes the link of \a vm to the leader, and sends heartbeats to the VM linked to it.
void tickRelay(Simulation& simulation, unsigned vm);

/// Closes the link that another VM has to \a vm, and the link of \a vm.
void closeLinks(Simulation& simulation, unsigned vm);

/// Closes the link that another VM has to \a vm.
void disconnectSubscriber(Simulation& simulation, unsigned vm);

} // namespace GrantTest
