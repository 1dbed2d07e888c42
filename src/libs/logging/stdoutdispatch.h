#pragma once

#include <easylogging++.h>

namespace Logging::Internal {

/// Writes finished lines to standard output, and leaves out what would block.
class StdoutDispatch : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) override;
};

} // namespace Logging::Internal
