#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <map>
#include <optional>

namespace Ownership {

/// What a granter knows about one VM start that its record, or an earlier one, names.
struct PeerView {
    /// Latest asking that it attested to.
    std::optional<Utils::Instant> lastAttestedQueryAt;
    /// When it was known to grant and attest nothing below the granter's level.
    std::optional<Utils::Instant> stoppedAt;
    /// Whether that was known from another start of the VM.
    bool wasRestarted = false;
    /// Latest end of what it granted, for each upstream that it named.
    std::map<Utils::UpstreamId, Utils::Instant> grantedUntil;
    Utils::Instant nextStopRequestAt {};
    Utils::Instant nextAttestRequestAt {};

    bool operator==(const PeerView&) const = default;
};

} // namespace Ownership
