#pragma once

#include <dispatch/upstreamstate.h>
#include <utils/time.h>

/// What completions and refusals say of an upstream's readiness.
namespace Dispatch::Internal {

/// The upstream completed a work: it is neither shedding nor, after enough of them, cold.
void noteCompletion(UpstreamState& upstream, Utils::Instant now);

/// The upstream refused a work: it gets none for a backoff that doubles with each refusal, and at least for
/// \a retryAfter; then one at a time until one is completed.
void noteRefusal(UpstreamState& upstream, Utils::Duration retryAfter, Utils::Instant now);

/// The upstream refused a work to shed load. While it runs others it is held to as many at a time; that is
/// raised by one after a number of completions that doubles with each refusal. When it runs none it is left
/// alone for a backoff.
void noteShedding(UpstreamState& upstream, Utils::Duration retryAfter, Utils::Instant now);

} // namespace Dispatch::Internal
