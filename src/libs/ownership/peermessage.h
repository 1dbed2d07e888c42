#pragma once

#include <ownership/attestresponse.h>
#include <ownership/attestrequest.h>
#include <ownership/stopresponse.h>
#include <ownership/stoprequest.h>

#include <variant>

namespace Ownership {

/// Messages between two VMs about a pool.
using PeerMessage = std::variant<AttestRequest, AttestResponse, StopRequest, StopResponse>;

} // namespace Ownership
