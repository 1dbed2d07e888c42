#pragma once

#include <utils/time.h>

namespace Dispatch {

/// Crashes counted against one key.
struct PoisonRecord {
    unsigned crashes = 0;
    /// Whether requests with the key are held back until \c expires.
    bool held = false;
    Utils::Instant expires {};
};

} // namespace Dispatch
