#pragma once

#include <edge/node.h>

#include <memory>

/// Bounds the memory of request bodies while they are read and until their requests have ended.
namespace Edge {

/// Asks for memory for the body that follows the header which \a caller has sent. If it is admitted, the
/// memory is reserved for the caller.
Balancing::IntakeDecision requestBodyIntake(Node& node, CallerConnection& caller);

/// Makes room for the next part of a body whose length is not known. Returns false if there is no memory.
bool extendBodyIntake(Node& node, CallerConnection& caller);

/// Returns the memory of a body that is not read on, or the place of one that waits.
void releaseBodyIntake(Node& node, CallerConnection& caller);

/// Returns the memory of the body of a request that has ended.
void releaseRequestBody(Node& node, Exchange& exchange);

} // namespace Edge
