#pragma once

#include <agreement/vmstart.h>
#include <ownership/peermessage.h>
#include <wire/heartbeat.h>

#include <variant>

namespace Wire {

/// One control datagram.
struct ControlMessage {
    /// The start that sends it.
    Agreement::VmStart from;
    std::variant<Heartbeat, Ownership::PeerMessage> body;
};

} // namespace Wire
