#include <edge/relay.h>
#include <edge/reports.h>

namespace Edge {

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Busy keys change within seconds, and the leader plans about as often.
constexpr Utils::Duration reportInterval = std::chrono::milliseconds(500);

} // namespace Internal

void startReports(Node& node)
{
    node.reportTimer.expires_after(Internal::reportInterval);
    node.reportTimer.async_wait([&node](const Internal::ErrorCode& error) {
        if (error)
            return;
        reportLoad(node);
        startReports(node);
    });
}

} // namespace Edge
