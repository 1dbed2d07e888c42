#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Soak {

/// How an upstream that a request has crashed comes back.
enum class ReturnKind {
    SameId,
    /// As another upstream of its service at the same address; the former entry lapses later.
    OtherId,
    /// An upstream of another service takes its address, and one of its own service another address.
    OtherService,
};

inline constexpr std::array<Utils::EnumName<ReturnKind>, 3> returnKindNames { {
    { ReturnKind::SameId, "same_id" },
    { ReturnKind::OtherId, "other_id" },
    { ReturnKind::OtherService, "other_service" },
} };

} // namespace Soak
