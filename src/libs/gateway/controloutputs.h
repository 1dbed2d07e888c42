#pragma once

#include <gateway/dispatchevent.h>
#include <gateway/networkevent.h>

#include <functional>
#include <string>

namespace Gateway {

/// Where the control duty sends what it decides. Each returns false when the receiver's ring is full.
struct ControlOutputs {
    std::function<bool(NetworkEvent)> toNetwork;
    std::function<bool(DispatchEvent)> toDispatch;
    /// Takes the text of a record to append to the log.
    std::function<bool(std::string)> toLog;
};

} // namespace Gateway
