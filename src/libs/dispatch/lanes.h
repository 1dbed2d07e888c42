#pragma once

#include <dispatch/lane.h>
#include <requests/work.h>
#include <utils/time.h>

#include <string>

/// Deficit round robin between the callers of one lane. A caller that comes in goes behind those that are
/// there, so that nobody is overtaken by more than one round; one that used more than its turns' service time
/// passes turns.
namespace Dispatch::Internal {

/// Queues the work behind its caller's others.
void pushBack(Lane& lane, const std::string& caller, Requests::WorkId work);

/// Queues the work before its caller's others, and gives its caller the next turn.
void pushFront(Lane& lane, const std::string& caller, Requests::WorkId work);

/// The work whose turn it is; the lane must not be empty. Callers in debt pass their turns, each worth \a
/// quantum.
Requests::WorkId nextOf(Lane& lane, Utils::Duration quantum);

/// Takes the work that \c nextOf gave out to be run, which uses its caller's turn.
void popNext(Lane& lane);

/// Takes a work out, wherever it stands.
void eraseFrom(Lane& lane, const std::string& caller, Requests::WorkId work);

/// A work of the caller runs no longer, after \a excess of service time over its turn; less than none is not
/// credited beyond paying off a debt.
void settleCaller(Lane& lane, const std::string& caller, Utils::Duration excess);

/// The caller with the most works queued; the lane must not be empty.
const std::string& longestCaller(const Lane& lane);

} // namespace Dispatch::Internal
