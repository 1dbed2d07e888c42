#include <gateway/vmlistduty.h>

#include <gateway/gatewayconstants.h>
#include <logging/log.h>
#include <logservice/platformerror.h>
#include <logservice/vmlistclient.h>

#include <boost/leaf.hpp>

namespace Gateway {

VmListDuty::VmListDuty(
    const DaemonSettings& settings, GatewayMetrics& metrics, std::function<bool(ControlEvent)> toControl)
    : endpoint(settings.vmList)
    , metrics(metrics)
    , toControl(std::move(toControl))
{
}

VmListDuty::~VmListDuty() { this->stop(); }

void VmListDuty::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void VmListDuty::stop()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void VmListDuty::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        lock.unlock();
        this->readOnce();
        lock.lock();
        this->wake.wait_for(lock, vmListEvery, [this] { return this->stopping; });
    }
}

void VmListDuty::readOnce()
{
    namespace leaf = boost::leaf;
    this->metrics.counters.add(Counter::VmListReads);
    leaf::try_handle_all(
        [this]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(entries,
                LogService::listVms({ this->endpoint.address, this->endpoint.port }, platformTimeout));
            if (!this->toControl(VmsListed { std::move(entries) }))
                this->metrics.counters.add(Counter::RingFull);
            return {};
        },
        [this](LogService::PlatformError error) {
            this->metrics.counters.add(Counter::VmListReadsFailed);
            Logging::write(Logging::Level::Debug, "vm_list_read_failed",
                { { "error", Utils::enumName(LogService::platformErrorNames, error) } });
        },
        [this]() { this->metrics.counters.add(Counter::VmListReadsFailed); });
}

} // namespace Gateway
