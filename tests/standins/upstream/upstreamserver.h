#pragma once

#include <standins/upstream/clocksample.h>
#include <standins/upstream/connectionid.h>
#include <standins/upstream/faultsettings.h>
#include <standins/upstream/health.h>
#include <standins/upstream/session.h>
#include <standins/upstream/upstreamoptions.h>

#include <standins/journal/journalwriter.h>
#include <standins/journal/upstreamrow.h>

#include <ownership/holder.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace StandInUpstream {

/// The stand-in upstream: all its state, run by one thread.
struct UpstreamServer {
    UpstreamServer(boost::asio::io_context& ioContext, UpstreamOptions serverOptions);

    boost::asio::io_context& context;
    UpstreamOptions options;
    Journal::JournalWriter journal;
    FaultSettings faults;
    Ownership::HolderState holder;
    /// What the holder's clock shows above the machine's monotonic one, in microseconds.
    std::int64_t clockOffset = 0;
    std::chrono::steady_clock::time_point startedAt;
    std::mt19937_64 random;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer leaseTimer;
    boost::asio::steady_timer stopTimer;
    std::map<ConnectionId, Session> sessions;
    ConnectionId lastConnection;
    /// Connections that run work, by the system's id of the request.
    std::map<std::string, ConnectionId> running;
    HealthHistory health;
    bool stopping = false;
};

/// The holder's clock in microseconds.
std::int64_t holderClock(const UpstreamServer& server);

/// The holder's clock and the wall clock at the same moment.
ClockSample sampleClocks(const UpstreamServer& server);

/// A row of the journal with the upstream's part filled in.
Journal::UpstreamRow newRow(const UpstreamServer& server, Journal::UpstreamEvent event);

void record(UpstreamServer& server, const Journal::UpstreamRow& row);

} // namespace StandInUpstream
