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

/// Takes the next work out and charges its caller.
void popNext(Lane& lane, Utils::Duration charge);

/// Takes a work out, wherever it stands.
void eraseFrom(Lane& lane, const std::string& caller, Requests::WorkId work);

/// Charges a caller that still has works queued.
void chargeCaller(Lane& lane, const std::string& caller, Utils::Duration charge);

/// The caller with the most works queued; the lane must not be empty.
const std::string& longestCaller(const Lane& lane);

} // namespace Dispatch::Internal
