#pragma once

namespace Soak {

/// How the token of a grant compares with the tokens by which its keys were held before.
enum class TokenOrder {
    Rising,
    /// Not above one of a former process of the same upstream.
    NotAboveFormerProcess,
    /// Not above one of another upstream.
    NotAboveOther,
};

} // namespace Soak
