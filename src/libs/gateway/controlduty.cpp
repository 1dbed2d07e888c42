#include <gateway/controlduty.h>

#include <agreement/follow.h>
#include <declarations/configurationreader.h>
#include <gateway/datagrams.h>
#include <gateway/gatewayconstants.h>
#include <gateway/granters.h>
#include <gateway/proposals.h>
#include <gateway/statusreport.h>
#include <logging/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Gateway {

namespace Internal {

namespace asio = boost::asio;

constexpr Utils::Duration statusEvery = std::chrono::milliseconds(200);
/// How long a leaving VM waits for others to be agreed in its place before it hands over without the log.
constexpr Utils::Duration handOverLimit = std::chrono::seconds(4);

std::optional<Declarations::Configuration> parseConfiguration(std::string_view text)
{
    Declarations::ReadResult result = Declarations::readConfiguration({ { "log", std::string(text) } });
    return std::move(result.configuration);
}

bool namesStart(const ControlState& state)
{
    for (const std::pair<const Utils::PoolId, Agreement::PoolAssignment>& entry :
        state.reader.state.agreed.assignments) {
        if (entry.second.dispatcher == state.self || entry.second.successor == state.self)
            return true;
    }
    return false;
}

} // namespace Internal

ControlDuty::ControlDuty(const DaemonSettings& settings, Utils::Incarnation incarnation,
    GatewayMetrics& metrics, StatusBoard& board, ControlOutputs outputs)
    : state(settings, incarnation, metrics, std::move(outputs))
    , board(board)
    , mailbox(this->state.context,
          [this](const ControlEvent& event) {
              std::visit([this](const auto& content) { this->handle(content); }, event);
          })
    , timer(this->state.context)
{
}

ControlDuty::~ControlDuty() { this->stop(); }

void ControlDuty::start()
{
    using boost::asio::ip::udp;
    this->state.socket.open(udp::v4());
    this->state.socket.bind(udp::endpoint(
        boost::asio::ip::make_address(this->state.settings.address), this->state.settings.peerPort));
    boost::asio::co_spawn(this->state.context, receiveDatagrams(this->state), boost::asio::detached);
    this->scheduleTick();
    this->thread = std::thread([this] { this->state.context.run(); });
}

void ControlDuty::stop()
{
    this->state.context.stop();
    if (this->thread.joinable())
        this->thread.join();
}

bool ControlDuty::push(ControlEvent event) { return this->mailbox.push(std::move(event)); }

bool ControlDuty::onDuty() const { return this->state.onDuty; }

void ControlDuty::handle(const LogRead& event)
{
    const std::vector<Agreement::JudgedRecord> judged = Agreement::foldRecords(
        this->state.reader, event.first, event.records, Internal::parseConfiguration);
    for (const Agreement::JudgedRecord& record : judged) {
        this->state.metrics.verdicts.add(record.verdict);
        Logging::write(Logging::Level::Debug, "log_record",
            { { "offset", record.offset },
                { "verdict", Utils::enumName(Agreement::verdictNames, record.verdict) } });
    }
    for (const Agreement::LogRecord& record : event.records) {
        this->state.newestRecordMs = std::max(this->state.newestRecordMs, record.timeMs);
        if (this->state.oldestNeededMs == 0 || record.offset == this->state.reader.state.agreed.checkpoint)
            this->state.oldestNeededMs = record.timeMs;
    }
    if (!judged.empty())
        this->applyState();
}

void ControlDuty::handle(const LogExpired& event) { Agreement::noteFirst(this->state.reader, event.first); }

void ControlDuty::handle(const VmsListed& event)
{
    std::map<Utils::VmId, LogService::VmEntry> vms;
    for (const LogService::VmEntry& entry : event.entries)
        vms[entry.vm] = entry;
    if (vms == this->state.vms)
        return;
    this->state.vms = std::move(vms);
    this->publishRouting();
}

void ControlDuty::handle(const LeaveRequested&)
{
    this->state.leaving = true;
    this->leaveBy = Utils::monotonicNow() + Internal::handOverLimit;
    this->state.nextHeartbeat = {};
}

/// Brings everything in line with the agreed state.
void ControlDuty::applyState()
{
    const Agreement::LogState& agreed = this->state.reader.state;
    if (agreed.configuration && agreed.agreed.configurationOffset != this->state.configurationOffset) {
        this->state.configuration = std::make_shared<Declarations::Configuration>(*agreed.configuration);
        this->state.configurationOffset = agreed.agreed.configurationOffset;
        Logging::write(Logging::Level::Info, "configuration_in_force",
            { { "offset", this->state.configurationOffset } });
        if (!this->state.outputs.toDispatch(ConfigurationChanged { this->state.configuration }))
            this->state.metrics.counters.add(Counter::RingFull);
    }
    installAssignments(this->state);
    this->state.onDuty = Internal::namesStart(this->state);
    this->publishRouting();
}

void ControlDuty::publishRouting()
{
    const std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
    table->configuration = this->state.configuration;
    table->configurationOffset = this->state.configurationOffset;
    for (const std::pair<const Utils::PoolId, Agreement::PoolAssignment>& entry :
        this->state.reader.state.agreed.assignments)
        table->pools[entry.first]
            = { entry.second.token, entry.second.dispatcher.vm, entry.second.successor.vm };
    for (const std::pair<const Utils::VmId, LogService::VmEntry>& entry : this->state.vms) {
        table->vms[entry.first] = { { entry.second.address, entry.second.peerPort }, entry.second.region,
            entry.second.zone, entry.second.state == LogService::VmState::Leaving };
    }
    if (!this->state.outputs.toNetwork(RoutingChanged(table)))
        this->state.metrics.counters.add(Counter::RingFull);
}

void ControlDuty::tick()
{
    tickGranters(this->state);
    const Utils::Instant now = Utils::monotonicNow();
    if (now >= this->nextReview) {
        this->nextReview = now + reviewEvery;
        sendHeartbeats(this->state);
        pollUpstreams(this->state);
        proposeDue(this->state);
    }
    if (now >= this->leaveBy) {
        this->leaveBy = Utils::Instant::max();
        stopGranters(this->state);
        this->state.onDuty = false;
    }
    if (now < this->nextStatus)
        return;
    this->nextStatus = now + Internal::statusEvery;
    const bool ready = this->state.configuration != nullptr && !this->state.leaving
        && this->state.reader.state.agreed.assignments.size() >= this->state.configuration->pools.size();
    this->board.post(writeStatus(this->state), ready);
}

void ControlDuty::scheduleTick()
{
    this->timer.expires_after(controlTickEvery);
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        this->tick();
        this->scheduleTick();
    });
}

} // namespace Gateway
