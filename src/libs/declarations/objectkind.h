#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Declarations {

/// The kinds of declared objects, as the field \c kind names them.
enum class ObjectKind {
    /// No object: the fault concerns a document or the whole set.
    None,
    Region,
    AvailabilityZone,
    RegionLink,
    Rank,
    Policy,
    UpstreamPool,
    /// An entry of the \c upstreams list of a pool; not a kind of its own in a document.
    Upstream,
    Service,
    KeyRange,
};

inline constexpr std::array<Utils::EnumName<ObjectKind>, 10> objectKindNames { {
    { ObjectKind::None, "none" },
    { ObjectKind::Region, "Region" },
    { ObjectKind::AvailabilityZone, "AvailabilityZone" },
    { ObjectKind::RegionLink, "RegionLink" },
    { ObjectKind::Rank, "Rank" },
    { ObjectKind::Policy, "Policy" },
    { ObjectKind::UpstreamPool, "UpstreamPool" },
    { ObjectKind::Upstream, "Upstream" },
    { ObjectKind::Service, "Service" },
    { ObjectKind::KeyRange, "KeyRange" },
} };

} // namespace Declarations
