#pragma once

#include <utils/ids.h>

#include <compare>

namespace Agreement {

/// One start of a VM's process. A VM that has restarted is another one to the protocol: it has forgotten all
/// that it promised.
struct VmStart {
    Utils::VmId vm;
    Utils::Incarnation incarnation = 0;

    auto operator<=>(const VmStart&) const = default;
};

} // namespace Agreement
