#pragma once

#include <utils/ids.h>

namespace Wire {

/// First message on a link: who speaks.
struct Hello {
    Utils::VmId vm;
    Utils::Incarnation incarnation = 0;

    bool operator==(const Hello&) const = default;
};

} // namespace Wire
