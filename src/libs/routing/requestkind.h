#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Routing {

/// Whether a request may be retried after it may have run. \c Download is idempotent and has large responses.
enum class RequestKind {
    Safe,
    Unsafe,
    Download,
};

inline constexpr std::array<Utils::EnumName<RequestKind>, 3> requestKindNames { {
    { RequestKind::Safe, "safe" },
    { RequestKind::Unsafe, "unsafe" },
    { RequestKind::Download, "download" },
} };

/// Whether a request of \a kind may run more than once.
constexpr bool isIdempotent(RequestKind kind) { return kind != RequestKind::Unsafe; }

} // namespace Routing
