#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace StandInVmList {

/// A change that does not show yet.
struct VmChange {
    std::chrono::steady_clock::time_point showsAt;
    std::string name;
    /// Nothing takes the VM off the list.
    std::optional<boost::json::object> entry;
};

} // namespace StandInVmList
