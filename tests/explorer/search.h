#pragma once

#include "instance.h"
#include "searchresult.h"

#include <cstddef>

namespace Explorer {

/// Visits every state of \a instance breadth-first, tick by tick, until a violation is found, the horizon is
/// reached, or \a maxStates states were visited.
SearchResult explore(const Instance& instance, std::size_t maxStates);

} // namespace Explorer
