#include <edge/beliefupdates.h>
#include <edge/displacement.h>
#include <edge/leading.h>
#include <edge/relay.h>
#include <logging/log.h>

namespace Edge {

void noteDisplaced(Node& node, const Utils::UpstreamId& upstream, const Utils::UpstreamId& other)
{
    const auto found = node.beliefs.directory.entries.find(upstream);
    if (found == node.beliefs.directory.entries.end() || found->second.gone)
        return;
    const Utils::Offset offset = found->second.offset;
    Logging::write(Logging::Level::Warning, "upstream_displaced",
        { { "upstream", upstream.value }, { "by", other.value }, { "offset", offset } });
    reportLoss(node, upstream, offset);
    takeDisplaced(node, upstream, offset);
}

void takeDisplaced(Node& node, const Utils::UpstreamId& upstream, Utils::Offset offset)
{
    const auto found = node.beliefs.directory.entries.find(upstream);
    const bool outdated = found == node.beliefs.directory.entries.end() || found->second.gone
        || found->second.offset > offset;
    if (outdated)
        return;
    found->second.ended = true;
    takeLoss(node, upstream, offset);
    noteUpstreamEnded(node, upstream);
    flushRelay(node);
}

} // namespace Edge
