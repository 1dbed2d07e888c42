#pragma once

#include <mutex>
#include <string>

namespace Gateway {

/// Where the control duty posts what the admin port shows. Any thread may use it.
class StatusBoard {
public:
    void post(std::string text, bool ready);

    /// The status as JSON text.
    std::string text() const;

    /// Whether the instance can serve callers.
    bool ready() const;

private:
    mutable std::mutex mutex;
    std::string statusText = "{}";
    bool isReady = false;
};

} // namespace Gateway
