#pragma once

#include <ownership/fencerequest.h>
#include <ownership/grantrequest.h>
#include <ownership/holderresponse.h>
#include <ownership/peermessage.h>
#include <utils/ids.h>

#include <cstddef>
#include <cstdint>
#include <variant>

namespace Explorer {

/// A message under way: between a VM and an upstream, or between two VMs.
struct Message {
    /// The VM that asks (also for an upstream's answer), or that sends to a peer, and its start.
    std::size_t vm = 0;
    Utils::Incarnation vmIncarnation = 0;
    /// Index of the upstream, or of the VM that receives.
    std::size_t counterpart = 0;
    std::uint64_t queryId = 0;
    std::variant<Ownership::GrantRequest, Ownership::FenceRequest, Ownership::HolderResponse,
        Ownership::PeerMessage>
        body;

    bool operator==(const Message&) const = default;
};

} // namespace Explorer
