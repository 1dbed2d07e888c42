#pragma once

#include <memory>
#include <string>

namespace Edge {

/// An encoded frame; the links on which it is sent share it.
using RelayFrame = std::shared_ptr<const std::string>;

} // namespace Edge
