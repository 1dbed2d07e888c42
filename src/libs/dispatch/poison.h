#pragma once

#include <declarations/idempotencypolicy.h>
#include <dispatch/dispatchcaps.h>
#include <dispatch/poisontable.h>
#include <requests/work.h>
#include <utils/time.h>

/// Poison: requests that upstreams crash under. A crash counts against every work that ran there, by request
/// id and by content digest. A work with a count runs next alone on its upstream, so that a second crash is
/// its own; a clean run clears the count.
namespace Dispatch::Internal {

/// For how long the work's request is still held back; zero if it isn't.
Utils::Duration heldFor(const PoisonTable& table, const Requests::Work& work, Utils::Instant now);

/// Whether the work has to run alone.
bool isSuspect(const PoisonTable& table, const Requests::Work& work, Utils::Instant now);

/// Counts a crash against the work; returns for how long its request is now held back. Only a work that ran
/// \a alone is held back: with a neighbour, either may have been the cause.
Utils::Duration countCrash(PoisonTable& table, const Requests::Work& work, bool alone,
    const Declarations::IdempotencyPolicy& policy, const DispatchCaps& caps, Utils::Instant now);

/// The work's request ran without a crash.
void clearSuspicion(PoisonTable& table, const Requests::Work& work);

/// Forgets what has expired by \a now.
void expirePoison(PoisonTable& table, Utils::Instant now);

} // namespace Dispatch::Internal
