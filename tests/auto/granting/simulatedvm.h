#pragma once

#include <granting/granter.h>
#include <granting/leadership.h>

#include <optional>

namespace GrantTest {

struct SimulatedVm {
    Granting::Leadership leadership;
    std::optional<Granting::Granter> granter;
    std::optional<Utils::Offset> recordEnd;
    bool hasWrittenRecord = false;
    bool isWritingRecord = false;
    Utils::Instant pausedUntil {};
};

} // namespace GrantTest
