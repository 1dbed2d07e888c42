#include <edge/relay.h>
#include <edge/loadreporting.h>
#include <edge/relaysource.h>
#include <granting/planschedule.h>

namespace Edge {

namespace Internal {

using ErrorCode = boost::system::error_code;

Utils::Duration reportInterval(const Node& node)
{
    return subscribedLinks(node).empty() ? Granting::loadReportInterval : Granting::relayedLoadReportInterval;
}

} // namespace Internal

void startLoadReporting(Node& node)
{
    node.loadReportTimer.expires_after(Internal::reportInterval(node));
    node.loadReportTimer.async_wait([&node](const Internal::ErrorCode& error) {
        if (error)
            return;
        reportLoad(node);
        startLoadReporting(node);
    });
}

} // namespace Edge
