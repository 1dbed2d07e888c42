#include <edge/clusterviewupdates.h>
#include <edge/addressreuse.h>
#include <edge/leaderelection.h>
#include <edge/relay.h>
#include <logging/log.h>

namespace Edge {

void recordAddressReuse(Node& node, const Utils::UpstreamId& upstream, const Routing::Endpoint& endpoint,
    const Utils::UpstreamId& other)
{
    const auto found = node.clusterView.directory.entries.find(upstream);
    if (found == node.clusterView.directory.entries.end() || found->second.isExpired
        || found->second.record.endpoint != endpoint)
        return;
    const Utils::Offset offset = found->second.offset;
    Logging::write(Logging::Level::Warning, "upstream_displaced",
        { { "upstream", upstream.value }, { "by", other.value }, { "offset", offset } });
    reportTermination(node, upstream, offset);
    handleTerminationReport(node, upstream, offset);
}

void handleTerminationReport(Node& node, const Utils::UpstreamId& upstream, Utils::Offset offset)
{
    const auto found = node.clusterView.directory.entries.find(upstream);
    const bool isOutdated = found == node.clusterView.directory.entries.end() || found->second.isExpired
        || found->second.offset > offset;
    if (isOutdated)
        return;
    found->second.isTerminated = true;
    applyUpstreamRemoval(node, upstream, offset);
    recordUpstreamTerminated(node, upstream);
    flushRelay(node);
}

} // namespace Edge
