#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <map>
#include <optional>

namespace Ownership {

/// What a granter knows about one VM incarnation that its record, or a previous one, names.
struct PeerView {
    /// Send time of the newest request that the VM attested to.
    std::optional<Utils::Instant> lastAttestedQueryAt;
    /// When the VM was known to grant and attest nothing below the granter's level.
    std::optional<Utils::Instant> stoppedAt;
    /// Whether that was reported by another incarnation of the VM.
    bool wasRestarted = false;
    /// Latest expiry of the VM's grants, for each upstream that it reported.
    std::map<Utils::UpstreamId, Utils::Instant> grantedUntil;
    Utils::Instant nextStopRequestAt {};
    Utils::Instant nextAttestRequestAt {};

    bool operator==(const PeerView&) const = default;
};

} // namespace Ownership
