#pragma once

#include <balancing/admissioncontext.h>
#include <balancing/admissiondecision.h>

namespace Balancing {

/// Whether a request is sent now or turned away at once.
///
/// Load pattern: a flood beyond what the upstreams can serve. A request whose answer would come after its
/// target takes the place of one that could be on time; while its caller has time to come back it is turned
/// away with the time at which there should be room. One that can't be answered at all is turned away in any
/// case.
AdmissionDecision admit(const AdmissionContext& facts);

} // namespace Balancing
