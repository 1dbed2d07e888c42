#pragma once

#include <utils/time.h>

#include <functional>

namespace GrantTest {

struct SimulatedEvent {
    Utils::Instant at;
    std::function<void()> run;
};

} // namespace GrantTest
