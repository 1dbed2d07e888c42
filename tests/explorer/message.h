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

/// A message in flight between a VM and an upstream, or between two VMs.
struct Message {
    /// The VM that sent the query (also in an upstream's response) or the peer message, and its incarnation.
    std::size_t vm = 0;
    Utils::Incarnation vmIncarnation = 0;
    /// Index of the upstream, or of the receiving VM.
    std::size_t counterpart = 0;
    std::uint64_t queryId = 0;
    std::variant<Ownership::GrantRequest, Ownership::FenceRequest, Ownership::HolderResponse,
        Ownership::PeerMessage>
        body;

    bool operator==(const Message&) const = default;
};

} // namespace Explorer
