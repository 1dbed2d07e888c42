#include <gateway/daemon.h>

#include <gateway/gatewayconstants.h>
#include <logging/log.h>

#include <thread>

namespace Gateway {

namespace Internal {

constexpr Utils::Duration pollEvery = std::chrono::milliseconds(20);
constexpr Utils::Duration handOverLimit = std::chrono::seconds(6);
/// How long a drained instance still tells callers to go elsewhere, so that the balancer notices.
constexpr Utils::Duration lingerAfterDrain = std::chrono::milliseconds(300);

template <typename Condition> bool awaitCondition(Utils::Duration limit, const Condition& condition)
{
    const Utils::Instant until = Utils::monotonicNow() + limit;
    while (!condition()) {
        if (Utils::monotonicNow() >= until)
            return false;
        std::this_thread::sleep_for(pollEvery);
    }
    return true;
}

} // namespace Internal

Daemon::Daemon(const DaemonSettings& settings, Utils::Incarnation incarnation)
    : settings(settings)
    , network(this->settings, incarnation, this->metrics,
          [this](DispatchEvent event) { return this->dispatch.push(std::move(event)); })
    , dispatch(this->metrics, [this](NetworkEvent event) { return this->network.push(std::move(event)); })
    , control(this->settings, incarnation, this->metrics, this->board,
          { [this](NetworkEvent event) { return this->network.push(std::move(event)); },
              [this](DispatchEvent event) { return this->dispatch.push(std::move(event)); },
              [this](std::string text) { return this->log.append(std::move(text)); } })
    , log(this->settings, this->metrics,
          [this](ControlEvent event) { return this->control.push(std::move(event)); })
    , vmList(this->settings, this->metrics,
          [this](ControlEvent event) { return this->control.push(std::move(event)); })
    , admin(this->settings, this->metrics, this->board)
{
}

void Daemon::start()
{
    this->dispatch.start();
    this->network.start();
    this->control.start();
    this->log.start();
    this->vmList.start();
    this->admin.start();
    Logging::write(Logging::Level::Info, "started",
        { { "name", this->settings.name.value }, { "address", this->settings.address },
            { "caller_port", this->settings.callerPort }, { "peer_port", this->settings.peerPort },
            { "admin_port", this->settings.adminPort } });
}

bool Daemon::shutDown()
{
    Logging::write(Logging::Level::Info, "leaving", {});
    const bool handedOver = this->awaitHandOver();
    const bool drained = this->awaitDrained();
    Logging::write(
        Logging::Level::Info, "stopped", { { "handed_over", handedOver }, { "drained", drained } });
    this->vmList.stop();
    this->log.stop();
    this->control.stop();
    this->dispatch.stop();
    this->network.stop();
    this->admin.stop();
    return drained;
}

/// Callers are served as before until others have this VM's duties.
bool Daemon::awaitHandOver()
{
    if (!this->control.push(LeaveRequested {}))
        return false;
    return Internal::awaitCondition(Internal::handOverLimit, [this] { return !this->control.onDuty(); });
}

bool Daemon::awaitDrained()
{
    this->network.drain();
    const bool told = this->dispatch.push(DrainRequested {});
    const bool drained = Internal::awaitCondition(drainLimit, [this] { return this->network.inHand() == 0; });
    std::this_thread::sleep_for(Internal::lingerAfterDrain);
    return told && drained;
}

} // namespace Gateway
