#pragma once

#include <dispatch/lane.h>
#include <requests/work.h>
#include <utils/time.h>

#include <string>

/// Fair queueing between the callers of one lane: the caller that has had least service time is served next.
namespace Dispatch::Internal {

/// Queues the work behind its caller's others.
void pushBack(Lane& lane, const std::string& caller, Requests::WorkId work);

/// Queues the work before its caller's others.
void pushFront(Lane& lane, const std::string& caller, Requests::WorkId work);

/// The work to be served next; the lane must not be empty.
Requests::WorkId nextOf(const Lane& lane);

/// Takes the next work out to be run, and charges its caller.
void popNext(Lane& lane, Utils::Duration time);

/// Takes a work out, wherever it stands.
void eraseFrom(Lane& lane, const std::string& caller, Requests::WorkId work);

/// A work of the caller runs no longer; corrects what it was charged.
void settleCaller(Lane& lane, const std::string& caller, Utils::Duration correction);

/// The caller with the most works queued; the lane must not be empty.
const std::string& longestCaller(const Lane& lane);

} // namespace Dispatch::Internal
