#pragma once

#include <soak/world.h>

/// Callers that send requests ahead of the responses to earlier ones on the same connection.
namespace Soak {

/// Sends \a count idempotent requests to the VM with the index \a vm on a new connection, all at once, and
/// checks that the responses come in their order.
void sendAhead(World& world, std::size_t vm, std::size_t count);

} // namespace Soak
