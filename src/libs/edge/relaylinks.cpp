#include <edge/backlog.h>
#include <edge/relaysource.h>
#include <edge/crashreports.h>
#include <edge/relaylinks.h>
#include <edge/clock.h>
#include <edge/relaysubscriber.h>
#include <edge/relaytree.h>
#include <logging/log.h>
#include <relay/framecodec.h>
#include <relay/relayerror.h>

#include <boost/asio/write.hpp>
#include <boost/leaf.hpp>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Limit of the send queue of a link; a slow subscriber is disconnected at this point and reads the store
/// itself.
constexpr std::size_t maxSendQueueBytes = std::size_t(8) << 20;

/// Limit of what a subscriber sends in one frame: subscriptions and reports, no records.
constexpr std::size_t maxSubscriberFrameBytes = std::size_t(2) << 20;

bool isOpen(const Node& node, const RelayLink& link)
{
    return node.relay.subscribers.contains(link.id)
        || (node.relay.sourceLink && node.relay.sourceLink->id == link.id)
        || (node.relay.probeLink && node.relay.probeLink->id == link.id);
}

void writeNextFrame(Node& node, const LinkPtr& link)
{
    boost::asio::async_write(link->socket, boost::asio::buffer(*link->sendQueue.front().frame),
        [&node, link](const ErrorCode& error, std::size_t) {
            if (!isOpen(node, *link))
                return;
            if (error) {
                closeLink(node, link, "write");
                return;
            }
            link->sendQueueBytes -= link->sendQueue.front().frame->size();
            recordFrameDelay(node, now() - link->sendQueue.front().queuedAt);
            link->sendQueue.pop_front();
            if (!link->sendQueue.empty())
                writeNextFrame(node, link);
        });
}

void sendFrame(Node& node, const LinkPtr& link, RelayFrame frame)
{
    link->sendQueueBytes += frame->size();
    if (link->sendQueueBytes > maxSendQueueBytes) {
        closeLink(node, link, "full");
        return;
    }
    node.backlog.queuedBytes += frame->size();
    link->sendQueue.push_back({ std::move(frame), now() });
    if (link->sendQueue.size() == 1)
        writeNextFrame(node, link);
}

void sendFrame(Node& node, const LinkPtr& link, std::string frame)
{
    sendFrame(node, link, std::make_shared<const std::string>(std::move(frame)));
}

void handleFrame(Node& node, const LinkPtr& link, const Relay::Frame& frame)
{
    if (const Relay::Subscription* subscription = std::get_if<Relay::Subscription>(&frame))
        handleSubscription(node, link, *subscription);
    else if (const Relay::Update* update = std::get_if<Relay::Update>(&frame))
        handleUpdate(node, link, *update);
    else if (const Relay::LoadFrame* loadReport = std::get_if<Relay::LoadFrame>(&frame))
        handleLoadReport(node, link, *loadReport);
    else if (const Relay::TerminationFrame* termination = std::get_if<Relay::TerminationFrame>(&frame))
        handleRelayedTermination(node, *termination);
    else if (const Relay::CrashReportFrame* reports = std::get_if<Relay::CrashReportFrame>(&frame))
        handleCrashReports(node, *reports, false);
}

/// Handles all frames that have been received completely. Returns false if one is malformed.
bool handleFrames(Node& node, const LinkPtr& link)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            while (isOpen(node, *link)) {
                BOOST_LEAF_AUTO(frame, Relay::extractFrame(link->received));
                if (!frame)
                    break;
                handleFrame(node, link, *frame);
            }
            return true;
        },
        [&](Relay::RelayError error) {
            Logging::write(Logging::Level::Error, "relay_frame_unusable",
                { { "vm", link->vm.value }, { "error", Utils::enumName(Relay::relayErrorNames, error) } });
            return false;
        },
        []() { return false; });
}

/// Whether a frame of a subscriber, or of what connects like one, is longer than any that it has to send.
bool exceedsFrameLimit(const Node& node, const LinkPtr& link)
{
    const bool isSource = node.relay.sourceLink == link || node.relay.probeLink == link;
    return !isSource && link->received.size() > maxSubscriberFrameBytes;
}

void readFrames(Node& node, const LinkPtr& link)
{
    link->socket.async_read_some(
        boost::asio::buffer(link->readBuffer), [&node, link](const ErrorCode& error, std::size_t size) {
            if (!isOpen(node, *link))
                return;
            if (error) {
                closeLink(node, link, "read");
                return;
            }
            // A first update takes long on a saturated link; to subscribe again would not be faster.
            if (node.relay.sourceLink == link)
                node.relay.lastReceivedAt = now();
            link->received.append(link->readBuffer.data(), size);
            if (!handleFrames(node, link))
                closeLink(node, link, "frame");
            else if (isOpen(node, *link) && exceedsFrameLimit(node, link))
                closeLink(node, link, "frame_too_long");
            else if (isOpen(node, *link))
                readFrames(node, link);
        });
}

void closeLink(Node& node, const LinkPtr& link, std::string_view reason)
{
    ErrorCode ignored;
    link->socket.close(ignored);
    const bool wasSourceLink = node.relay.sourceLink && node.relay.sourceLink->id == link->id;
    if (wasSourceLink) {
        node.relay.sourceLink.reset();
        recordRelayLost(node, *link, reason == silentReason);
        resendCrashReports(node);
        handleSourceDisconnected(node, *link);
    }
    if (node.relay.probeLink && node.relay.probeLink->id == link->id)
        node.relay.probeLink.reset();
    if (node.relay.subscribers.erase(link->id) > 0 && link->subscribed)
        node.relay.relayedMembersChanged = true;
    Logging::write(Logging::Level::Info, "link_lost",
        { { "to_leader", wasSourceLink }, { "vm", link->vm.value }, { "why", reason } });
}

} // namespace Internal

} // namespace Edge
