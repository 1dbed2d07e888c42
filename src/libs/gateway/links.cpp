#include <gateway/links.h>

#include <gateway/gatewayconstants.h>
#include <gateway/heldworks.h>
#include <logging/log.h>
#include <wire/peercodec.h>
#include <wire/wireconstants.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <concepts>
#include <optional>

namespace Gateway {

namespace Internal {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using asio::ip::tcp;

constexpr std::size_t readChunkBytes = 64U << 10U;

void countWireError(NetworkState& state, Wire::WireError error)
{
    state.metrics.wireErrors.add(error);
    state.metrics.counters.add(Counter::LinkFramesMalformed);
}

/// The next whole frame at the front of \a buffer; nothing if more bytes are needed. Throws nothing.
leaf::result<std::optional<Wire::PeerMessage>> takeFrame(std::string& buffer)
{
    if (buffer.size() < Wire::frameLengthBytes)
        return std::optional<Wire::PeerMessage>();
    BOOST_LEAF_AUTO(
        length, Wire::decodeFrameLength(std::string_view(buffer).substr(0, Wire::frameLengthBytes)));
    if (buffer.size() < Wire::frameLengthBytes + length)
        return std::optional<Wire::PeerMessage>();
    // FlatBuffers wants its bytes aligned, and the front of a string's own buffer is.
    const std::string frame = buffer.substr(Wire::frameLengthBytes, length);
    buffer.erase(0, Wire::frameLengthBytes + length);
    BOOST_LEAF_AUTO(message, Wire::decodePeerMessage(frame));
    return std::optional<Wire::PeerMessage>(std::move(message));
}

void handleFrom(NetworkState&, PeerLink& link, const Wire::Hello& hello)
{
    link.vm = hello.vm;
    Logging::write(Logging::Level::Debug, "link_hello", { { "vm", hello.vm.value } });
}

void handleFrom(NetworkState& state, PeerLink& link, Wire::WorkRequest& work)
{
    const std::uint64_t request = work.request;
    holdWork(state, { link.id, request }, std::move(work));
}

void handleFrom(NetworkState& state, PeerLink& link, const Wire::AnswerCredit& credit)
{
    creditWork(state, { link.id, credit.request }, credit.bytes);
}

void handleFrom(NetworkState& state, PeerLink& link, const Wire::WorkCancel& cancel)
{
    cancelWork(state, { link.id, cancel.request });
}

void handleFrom(NetworkState& state, PeerLink& link, const Wire::LinkProbe& probe)
{
    if (!probe.answer)
        sendOnLink(state, link, Wire::LinkProbe { probe.number, true });
}

template <typename Part>
requires std::constructible_from<AnswerPart, Part>
void handleFrom(NetworkState& state, PeerLink& link, Part& part)
{
    const auto found = state.pending.find(part.request);
    const bool expected = found != state.pending.end() && found->second.link == link.id;
    if (expected)
        found->second.pipe->push(std::move(part));
}

bool handleBuffered(NetworkState& state, PeerLink& link, std::string& buffer)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            while (link.phase == LinkPhase::Open) {
                BOOST_LEAF_AUTO(message, takeFrame(buffer));
                if (!message)
                    return true;
                std::visit([&](auto& content) { handleFrom(state, link, content); }, *message);
            }
            return false;
        },
        [&](Wire::WireError error) {
            countWireError(state, error);
            return false;
        },
        []() { return false; });
}

asio::awaitable<void> readLink(NetworkState& state, std::shared_ptr<PeerLink> link)
{
    std::string buffer;
    std::string chunk(readChunkBytes, '\0');
    boost::system::error_code error;
    while (link->phase == LinkPhase::Open) {
        const std::size_t read = co_await link->socket.async_read_some(
            asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        link->lastHeard = Utils::monotonicNow();
        buffer.append(chunk, 0, read);
        if (!handleBuffered(state, *link, buffer))
            break;
    }
    closeLink(state, link->id);
}

asio::awaitable<void> writeLink(NetworkState& state, std::shared_ptr<PeerLink> link)
{
    boost::system::error_code error;
    while (link->phase == LinkPhase::Open) {
        if (link->outbox.empty()) {
            link->outboxReady.expires_after(linkProbeEvery);
            co_await link->outboxReady.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        const std::deque<std::string> frames = std::move(link->outbox);
        link->outbox.clear();
        std::vector<asio::const_buffer> buffers;
        buffers.reserve(frames.size());
        for (const std::string& frame : frames)
            buffers.push_back(asio::buffer(frame));
        const std::size_t written = co_await asio::async_write(
            link->socket, buffers, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        link->outboxBytes -= written;
    }
    closeLink(state, link->id);
}

asio::awaitable<void> probeLink(NetworkState& state, std::shared_ptr<PeerLink> link)
{
    asio::steady_timer timer(state.context);
    std::uint64_t number = 0;
    while (link->phase == LinkPhase::Open) {
        if (Utils::monotonicNow() - link->lastHeard > linkSilence) {
            state.metrics.counters.add(Counter::LinksSilent);
            closeLink(state, link->id);
            co_return;
        }
        sendOnLink(state, *link, Wire::LinkProbe { ++number, false });
        boost::system::error_code error;
        timer.expires_after(linkProbeEvery);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void runLink(NetworkState& state, const std::shared_ptr<PeerLink>& link)
{
    boost::system::error_code ignored;
    link->socket.set_option(tcp::no_delay(true), ignored);
    link->phase = LinkPhase::Open;
    link->lastHeard = Utils::monotonicNow();
    state.metrics.counters.add(Counter::LinksOpened);
    asio::co_spawn(state.context, readLink(state, link), asio::detached);
    asio::co_spawn(state.context, writeLink(state, link), asio::detached);
    asio::co_spawn(state.context, probeLink(state, link), asio::detached);
}

asio::awaitable<void> openLink(NetworkState& state, std::shared_ptr<PeerLink> link, tcp::endpoint endpoint)
{
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer timer(state.context);
    timer.expires_after(connectTimeout);
    boost::system::error_code connectError;
    boost::system::error_code timerError;
    const std::variant<std::monostate, std::monostate> first = co_await (
        link->socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, connectError))
        || timer.async_wait(asio::redirect_error(asio::use_awaitable, timerError)));
    if (link->phase != LinkPhase::Connecting)
        co_return;
    if (first.index() == 1 || connectError) {
        closeLink(state, link->id);
        co_return;
    }
    runLink(state, link);
}

std::shared_ptr<PeerLink> addLink(NetworkState& state, tcp::socket socket)
{
    const LinkId id { ++state.lastLink };
    std::shared_ptr<PeerLink> link = std::make_shared<PeerLink>(id, std::move(socket));
    state.links[id] = link;
    return link;
}

/// Ends what waits for a link: attempts sent on it, and works that came over it.
void endWaiting(NetworkState& state, const PeerLink& link, bool wasOpen)
{
    const Requests::Reason reason
        = wasOpen ? Requests::Reason::DispatcherLost : Requests::Reason::DispatcherUnreachable;
    for (std::pair<const std::uint64_t, PendingAttempt>& entry : state.pending) {
        if (entry.second.link == link.id)
            entry.second.pipe->push(Wire::WorkRefused { entry.first, reason, defaultRetryAfter });
    }
    abandonWorks(state, link.id);
}

} // namespace Internal

boost::asio::awaitable<void> acceptLinks(NetworkState& state)
{
    namespace asio = boost::asio;
    using asio::ip::tcp;
    tcp::acceptor acceptor(state.context,
        tcp::endpoint(asio::ip::make_address(state.settings.address), state.settings.peerPort));
    while (true) {
        boost::system::error_code error;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (!error)
            Internal::runLink(state, Internal::addLink(state, std::move(socket)));
    }
}

std::shared_ptr<PeerLink> linkTo(NetworkState& state, const Utils::VmId& vm)
{
    const auto known = state.outgoing.find(vm);
    if (known != state.outgoing.end())
        return state.links.at(known->second);
    const auto place = state.routing->vms.find(vm);
    if (place == state.routing->vms.end())
        return nullptr;
    std::shared_ptr<PeerLink> link = Internal::addLink(state, boost::asio::ip::tcp::socket(state.context));
    link->vm = vm;
    link->outgoing = true;
    state.outgoing[vm] = link->id;
    sendOnLink(state, *link, Wire::Hello { state.settings.name, state.incarnation });
    const boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::make_address(place->second.peer.address), place->second.peer.port);
    boost::asio::co_spawn(state.context, Internal::openLink(state, link, endpoint), boost::asio::detached);
    return link;
}

void sendOnLink(NetworkState& state, PeerLink& link, const Wire::PeerMessage& message)
{
    if (link.phase == LinkPhase::Closed)
        return;
    std::string frame = Wire::encodePeerMessage(message);
    if (link.outboxBytes + frame.size() > maxLinkQueueBytes) {
        closeLink(state, link.id);
        return;
    }
    link.outboxBytes += frame.size();
    link.outbox.push_back(std::move(frame));
    link.outboxReady.cancel();
}

void closeLink(NetworkState& state, const LinkId& id)
{
    const auto found = state.links.find(id);
    if (found == state.links.end())
        return;
    const std::shared_ptr<PeerLink> link = found->second;
    state.links.erase(found);
    const bool wasOpen = link->phase == LinkPhase::Open;
    link->phase = LinkPhase::Closed;
    if (link->outgoing)
        state.outgoing.erase(link->vm);
    boost::system::error_code ignored;
    link->socket.close(ignored);
    link->outboxReady.cancel();
    state.metrics.counters.add(Counter::LinksLost);
    Internal::endWaiting(state, *link, wasOpen);
}

} // namespace Gateway
