#pragma once

#include <dispatch/requestkey.h>

#include <compare>
#include <cstdint>

namespace Dispatch {

/// What a crash is counted against: a request id, or a content digest under any id.
struct PoisonKey {
    /// Empty request id when the key is a digest.
    RequestKey request;
    /// Zero when the key is a request id.
    std::uint64_t contentDigest = 0;

    auto operator<=>(const PoisonKey&) const = default;
};

} // namespace Dispatch
