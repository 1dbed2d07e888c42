#pragma once

#include <utils/time.h>

#include <chrono>

namespace Dispatch {

/// Service time that an upstream is believed to need before any was measured.
inline constexpr Utils::Duration initialServiceTime = std::chrono::milliseconds(10);
/// Weight of one measured service time is one part in this many.
inline constexpr int serviceTimeWeight = 8;
/// A mean service time is halved for each such time without a new measurement.
inline constexpr Utils::Duration serviceTimeHalfLife = std::chrono::seconds(1);
/// Time constant of the share of slots that a rank used lately.
inline constexpr Utils::Duration busyShareTimeConstant = std::chrono::seconds(1);
/// First wait after a refusal by an upstream; doubled for each further one.
inline constexpr Utils::Duration firstUpstreamBackoff = std::chrono::milliseconds(20);
/// Longest wait after a refusal by an upstream.
inline constexpr Utils::Duration maxUpstreamBackoff = std::chrono::seconds(2);
/// Completions after which a shedding upstream is first tried with one more work at a time.
inline constexpr unsigned firstRaiseAfter = 16;
/// Most completions before that.
inline constexpr unsigned maxRaiseAfter = 1024;
/// Completions that a cold upstream has to give one at a time.
inline constexpr unsigned coldCompletions = 4;
/// Time after a completion for which a report of shedding is not believed.
inline constexpr Utils::Duration reportLag = std::chrono::seconds(1);
/// When a caller should come back whose work found no owner or no usable upstream.
inline constexpr Utils::Duration unservedRetryAfter = std::chrono::milliseconds(500);
/// A rank counts as overloaded for this many of its targets after a work was refused because of the queue.
inline constexpr int overloadTargets = 2;
/// Work is let in while its answer is expected within its time limit divided by this.
inline constexpr int admissionDivisor = 4;
/// A queued work is given up when its time limit divided by this has gone by.
inline constexpr int giveUpDivisor = 2;
/// Part of its target for which an overloaded rank lets work in; the rest is for what is not as expected.
inline constexpr double overloadTargetShare = 0.4;
/// An overloaded rank lets in this many works to wait, however slow they are served.
inline constexpr double minQueuedTurns = 3;
/// Longest time for which an upstream's free slots wait for a work that has to run alone.
inline constexpr Utils::Duration isolationWait = std::chrono::milliseconds(100);
/// Time after such a wait was in vain in which there is no other.
inline constexpr Utils::Duration isolationBar = std::chrono::seconds(1);
/// A refused caller is told to come back within this many of its rank's default time limits.
inline constexpr int maxComeBackLimits = 10;
/// Shortest time that a caller is told to stay away.
inline constexpr Utils::Duration minRetryAfter = std::chrono::milliseconds(10);
/// Smallest share of the slots that a rank is believed to get.
inline constexpr double minCapacityShare = 0.01;

} // namespace Dispatch
