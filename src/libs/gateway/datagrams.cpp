#include <gateway/datagrams.h>

#include <gateway/gatewayconstants.h>
#include <gateway/granters.h>
#include <gateway/watching.h>
#include <membership/health.h>
#include <wire/controlcodec.h>
#include <wire/wireconstants.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <set>

namespace Gateway {

namespace Internal {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using asio::ip::udp;

constexpr std::size_t maxSampledVms = 8;

void handleBody(ControlState& state, const Agreement::VmStart& from, const Wire::Heartbeat& beat)
{
    if (!beat.answer) {
        sendDatagram(state, from.vm,
            { state.self,
                Wire::Heartbeat { beat.sequence, true, state.reader.state.agreed.applied, state.leaving } });
        return;
    }
    Membership::VmHealth& health = state.health[from.vm];
    health.incarnation = from.incarnation;
    health.lastHeard = Utils::monotonicNow();
    health.applied = beat.applied;
    health.leaving = beat.leaving;
}

void handleBody(ControlState& state, const Agreement::VmStart& from, const Ownership::PeerMessage& message)
{
    notePeerMessage(state, from, message);
}

void handleDatagram(ControlState& state, std::string_view bytes)
{
    state.metrics.counters.add(Counter::DatagramsReceived);
    const std::optional<Wire::ControlMessage> message = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Wire::ControlMessage>> {
            BOOST_LEAF_AUTO(decoded, Wire::decodeControlMessage(bytes));
            return std::optional<Wire::ControlMessage>(std::move(decoded));
        },
        [&](Wire::WireError error) {
            state.metrics.wireErrors.add(error);
            state.metrics.counters.add(Counter::DatagramsMalformed);
            return std::optional<Wire::ControlMessage>();
        },
        []() { return std::optional<Wire::ControlMessage>(); });
    if (message)
        std::visit([&](const auto& body) { handleBody(state, message->from, body); }, message->body);
}

} // namespace Internal

void sendDatagram(ControlState& state, const Utils::VmId& vm, const Wire::ControlMessage& message)
{
    const auto place = state.vms.find(vm);
    if (place == state.vms.end())
        return;
    const std::string bytes = Wire::encodeControlMessage(message);
    const boost::asio::ip::udp::endpoint endpoint(
        boost::asio::ip::make_address(place->second.address), place->second.peerPort);
    boost::system::error_code ignored;
    state.socket.send_to(boost::asio::buffer(bytes), endpoint, 0, ignored);
    state.metrics.counters.add(Counter::DatagramsSent);
    state.metrics.counters.add(Counter::DatagramBytesSent, bytes.size());
}

boost::asio::awaitable<void> receiveDatagrams(ControlState& state)
{
    // FlatBuffers reads its numbers in place.
    alignas(std::uint64_t) std::array<char, Wire::maxDatagramBytes + 1> buffer {};
    while (state.socket.is_open()) {
        boost::system::error_code error;
        boost::asio::ip::udp::endpoint sender;
        const std::size_t size = co_await state.socket.async_receive_from(boost::asio::buffer(buffer), sender,
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (!error)
            Internal::handleDatagram(state, std::string_view(buffer.data(), size));
    }
}

void sendHeartbeats(ControlState& state)
{
    const Utils::Instant now = Utils::monotonicNow();
    if (now < state.nextHeartbeat)
        return;
    state.nextHeartbeat = now + heartbeatEvery;
    const std::set<Utils::VmId> targets = Membership::heartbeatTargets(
        listedVms(state), partnersOf(state), state.self.vm, Internal::maxSampledVms);
    for (const Utils::VmId& vm : targets)
        sendDatagram(state, vm,
            { state.self,
                Wire::Heartbeat {
                    ++state.lastHeartbeat, false, state.reader.state.agreed.applied, state.leaving } });
}

} // namespace Gateway
