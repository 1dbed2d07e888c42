#include <gateway/networkduty.h>

#include <gateway/callers.h>
#include <gateway/heldworks.h>
#include <gateway/linkmeter.h>
#include <gateway/links.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace Gateway {

namespace Internal {

void handleNetworkEvent(NetworkState& state, const RoutingChanged& routing) { state.routing = routing; }

template <typename Action> void handleNetworkEvent(NetworkState& state, const Action& action)
{
    carryOut(state, action);
}

} // namespace Internal

NetworkDuty::NetworkDuty(const DaemonSettings& settings, Utils::Incarnation incarnation,
    GatewayMetrics& metrics, std::function<bool(DispatchEvent)> toDispatch)
    : state(settings, incarnation, metrics, std::move(toDispatch))
    , mailbox(this->state.context, [this](const NetworkEvent& event) { this->handle(event); })
{
}

NetworkDuty::~NetworkDuty() { this->stop(); }

void NetworkDuty::start()
{
    boost::asio::co_spawn(this->state.context, acceptCallers(this->state), boost::asio::detached);
    boost::asio::co_spawn(this->state.context, acceptLinks(this->state), boost::asio::detached);
    this->thread = std::thread([this] { this->state.context.run(); });
}

void NetworkDuty::stop()
{
    this->state.context.stop();
    if (this->thread.joinable())
        this->thread.join();
}

bool NetworkDuty::push(NetworkEvent event) { return this->mailbox.push(std::move(event)); }

void NetworkDuty::drain()
{
    boost::asio::post(this->state.context, [this] { this->state.draining = true; });
}

std::uint64_t NetworkDuty::inHand() const { return this->state.requestsInHand + this->state.worksInHand; }

void NetworkDuty::handle(const NetworkEvent& event)
{
    std::visit([this](const auto& content) { Internal::handleNetworkEvent(this->state, content); }, event);
}

} // namespace Gateway
