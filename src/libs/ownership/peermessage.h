#pragma once

#include <ownership/attestanswer.h>
#include <ownership/attestrequest.h>
#include <ownership/stopanswer.h>
#include <ownership/stoprequest.h>

#include <variant>

namespace Ownership {

/// What two VMs say to one another about a pool.
using PeerMessage = std::variant<AttestRequest, AttestAnswer, StopRequest, StopAnswer>;

} // namespace Ownership
