#pragma once

#include <dispatch/servicetime.h>
#include <dispatch/upstreamstate.h>
#include <utils/time.h>

#include <cstddef>

/// Measured service times.
namespace Dispatch::Internal {

/// Takes a measured service time into the mean.
void learn(ServiceTime& service, Utils::Duration measured, Utils::Instant now);

/// Takes the time that a work has gone without an answer; raises the mean only.
void learnAtLeast(ServiceTime& service, Utils::Duration measured, Utils::Instant now);

/// Expected service time of a rank on an upstream: the rank's own mean, else that of the other ranks there,
/// else \c initialServiceTime. A mean that has not been confirmed lately shrinks, so that a slow spell is not
/// believed for ever by a rank that it keeps from being served.
Utils::Duration expectedService(const UpstreamState& upstream, std::size_t rank, Utils::Instant now);

} // namespace Dispatch::Internal
