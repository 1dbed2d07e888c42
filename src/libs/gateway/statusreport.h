#pragma once

#include <gateway/controlstate.h>

#include <string>

namespace Gateway {

/// Where this instance stands, as JSON text.
std::string writeStatus(const ControlState& state);

} // namespace Gateway
