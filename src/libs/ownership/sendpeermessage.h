#pragma once

#include <agreement/vmstart.h>
#include <ownership/peermessage.h>

namespace Ownership {

/// Sends a message to a VM, to whichever incarnation of it is running.
struct SendPeerMessage {
    Agreement::VmStart to;
    PeerMessage message;

    bool operator==(const SendPeerMessage&) const = default;
};

} // namespace Ownership
