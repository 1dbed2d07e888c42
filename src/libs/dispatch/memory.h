#pragma once

#include <declarations/idempotencypolicy.h>
#include <dispatch/action.h>
#include <dispatch/dispatchcaps.h>
#include <dispatch/requestmemory.h>
#include <dispatch/workresult.h>
#include <requests/work.h>
#include <utils/time.h>

#include <optional>
#include <vector>

/// At most once: which non-idempotent requests may have run.
namespace Dispatch::Internal {

/// The key of a work's request.
RequestKey keyOf(const Requests::Work& work);

/// What a repeat of a remembered request gets; nothing if its id is not remembered.
std::optional<Action> answerRepeat(const RequestMemory& memory, const Requests::Work& work);

/// Remembers an accepted work's request. The caller has made sure that there is room.
void rememberActive(RequestMemory& memory, const Requests::Work& work);

/// Forgets a request that was truly not run.
void forgetActive(RequestMemory& memory, const Requests::Work& work);

/// The request ran and its answer is known. Adds \c StoreAnswer if it is to be kept for repeats.
void rememberRan(RequestMemory& memory, const Requests::Work& work, const WorkResult& result,
    const DispatchCaps& caps, Utils::Instant expires, std::vector<Action>& actions);

/// The request may have run and its answer is lost.
void rememberLost(RequestMemory& memory, const Requests::Work& work, Utils::Instant expires);

/// Forgets what has expired by \a now.
void expireMemory(RequestMemory& memory, Utils::Instant now, std::vector<Action>& actions);

} // namespace Dispatch::Internal
