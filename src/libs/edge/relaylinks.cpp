#include <edge/relaysource.h>
#include <edge/relaylinks.h>
#include <edge/displacement.h>
#include <edge/relaymember.h>
#include <logging/log.h>
#include <relay/framecodec.h>
#include <relay/relayerror.h>

#include <boost/asio/write.hpp>
#include <boost/leaf.hpp>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using ErrorCode = boost::system::error_code;

/// A VM that does not take what it is sent is dropped at this point, and reads the store itself.
constexpr std::size_t mostOutboxBytes = std::size_t(8) << 20;

bool isOpen(const Node& node, const RelayLink& link)
{
    return node.relaying.members.contains(link.id)
        || (node.relaying.toLeader && node.relaying.toLeader->id == link.id);
}

void writeFirst(Node& node, const LinkPtr& link)
{
    boost::asio::async_write(link->socket, boost::asio::buffer(link->outbox.front()),
        [&node, link](const ErrorCode& error, std::size_t) {
            if (!isOpen(node, *link))
                return;
            if (error) {
                loseLink(node, link, "write");
                return;
            }
            link->outboxBytes -= link->outbox.front().size();
            link->outbox.pop_front();
            if (!link->outbox.empty())
                writeFirst(node, link);
        });
}

void sendFrame(Node& node, const LinkPtr& link, std::string frame)
{
    link->outboxBytes += frame.size();
    if (link->outboxBytes > mostOutboxBytes) {
        loseLink(node, link, "full");
        return;
    }
    link->outbox.push_back(std::move(frame));
    if (link->outbox.size() == 1)
        writeFirst(node, link);
}

void takeFrame(Node& node, const LinkPtr& link, const Relay::Frame& frame)
{
    if (const Relay::Subscription* subscription = std::get_if<Relay::Subscription>(&frame))
        takeSubscription(node, link, *subscription);
    else if (const Relay::Update* update = std::get_if<Relay::Update>(&frame))
        takeUpdate(node, link, *update);
    else if (const Relay::LoadFrame* load = std::get_if<Relay::LoadFrame>(&frame))
        takeLoad(node, load->report);
    else if (const Relay::LossFrame* loss = std::get_if<Relay::LossFrame>(&frame))
        takeDisplaced(node, loss->upstream, loss->offset);
}

/// Takes all whole frames that have come; false if one makes no sense.
bool takeFrames(Node& node, const LinkPtr& link)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            while (isOpen(node, *link)) {
                BOOST_LEAF_AUTO(frame, Relay::takeFrame(link->received));
                if (!frame)
                    break;
                takeFrame(node, link, *frame);
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

void readFrames(Node& node, const LinkPtr& link)
{
    link->socket.async_read_some(
        boost::asio::buffer(link->chunk), [&node, link](const ErrorCode& error, std::size_t size) {
            if (!isOpen(node, *link))
                return;
            if (error) {
                loseLink(node, link, "read");
                return;
            }
            link->received.append(link->chunk.data(), size);
            if (!takeFrames(node, link))
                loseLink(node, link, "frame");
            else if (isOpen(node, *link))
                readFrames(node, link);
        });
}

void loseLink(Node& node, const LinkPtr& link, const char* why)
{
    ErrorCode ignored;
    link->socket.close(ignored);
    const bool wasToLeader = node.relaying.toLeader && node.relaying.toLeader->id == link->id;
    if (wasToLeader) {
        node.relaying.toLeader.reset();
        noteSourceLost(node);
    }
    node.relaying.members.erase(link->id);
    Logging::write(Logging::Level::Info, "link_lost",
        { { "to_leader", wasToLeader }, { "vm", link->vm.value }, { "why", why } });
}

} // namespace Internal

} // namespace Edge
