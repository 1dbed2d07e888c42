#pragma once

#include <agreement/logreader.h>
#include <agreement/vmstart.h>
#include <gateway/controloutputs.h>
#include <gateway/daemonsettings.h>
#include <gateway/gatewaymetrics.h>
#include <gateway/upstreamconnections.h>
#include <gateway/upstreamhealth.h>
#include <membership/vmhealth.h>
#include <ownership/granterstate.h>
#include <logservice/vmentry.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <vector>

namespace Gateway {

/// Everything that the control duty keeps. Used on its thread only, but for the flags.
struct ControlState {
    ControlState(const DaemonSettings& settings, Utils::Incarnation incarnation, GatewayMetrics& metrics,
        ControlOutputs outputs)
        : settings(settings)
        , self { settings.name, incarnation }
        , metrics(metrics)
        , outputs(std::move(outputs))
        , socket(this->context)
    {
    }

    const DaemonSettings settings;
    const Agreement::VmStart self;
    GatewayMetrics& metrics;
    ControlOutputs outputs;
    boost::asio::io_context context { 1 };
    boost::asio::ip::udp::socket socket;

    Agreement::LogReader reader;
    /// The configuration in force, shared with the other duties.
    std::shared_ptr<const Declarations::Configuration> configuration;
    Utils::Offset configurationOffset = 0;
    std::map<Utils::PoolId, Ownership::GranterState> granters;
    std::map<Utils::VmId, LogService::VmEntry> vms;
    std::map<Utils::VmId, Membership::VmHealth> health;
    std::map<Utils::UpstreamId, UpstreamHealth> upstreams;
    std::map<Utils::UpstreamId, IdleConnections> idle;
    std::map<Utils::PoolId, Utils::Instant> lastProposal;
    /// Pools whose serving has changed since it was last sent to the dispatch duty.
    std::map<Utils::PoolId, bool> servingDirty;
    std::uint64_t lastHeartbeat = 0;
    Utils::Instant nextHeartbeat {};
    /// Sequence of this start's records in the log.
    std::uint64_t lastRecord = 0;
    /// When the log's newest and oldest needed records were written, on its clock.
    std::int64_t newestRecordMs = 0;
    std::int64_t oldestNeededMs = 0;
    bool leaving = false;
    /// Whether any pool's agreed assignment names this start.
    std::atomic<bool> onDuty = false;
    std::atomic<bool> ready = false;
};

} // namespace Gateway
