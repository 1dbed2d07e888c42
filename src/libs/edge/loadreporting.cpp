#include <edge/relay.h>
#include <edge/loadreporting.h>

namespace Edge {

namespace Internal {

using ErrorCode = boost::system::error_code;

/// The busiest keys change within seconds, and the leader plans about as often.
constexpr Utils::Duration loadReportInterval = std::chrono::milliseconds(500);

} // namespace Internal

void startLoadReporting(Node& node)
{
    node.loadReportTimer.expires_after(Internal::loadReportInterval);
    node.loadReportTimer.async_wait([&node](const Internal::ErrorCode& error) {
        if (error)
            return;
        reportLoad(node);
        startLoadReporting(node);
    });
}

} // namespace Edge
