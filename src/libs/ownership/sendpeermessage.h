#pragma once

#include <agreement/vmstart.h>
#include <ownership/peermessage.h>

namespace Ownership {

/// Send a message to a VM, whichever start of it is there now.
struct SendPeerMessage {
    Agreement::VmStart to;
    PeerMessage message;

    bool operator==(const SendPeerMessage&) const = default;
};

} // namespace Ownership
