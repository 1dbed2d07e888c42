#pragma once

#include <standins/log/logfaults.h>
#include <standins/log/logoptions.h>
#include <standins/log/logstream.h>
#include <standins/support/httphandler.h>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <string>

/// The stand-in for the platform's log service; see the interface page for its contract.
namespace StandInLog {

/// The streams and faults of one log service; belongs to its context's thread.
struct LogService {
    LogOptions options;
    LogFaults faults;
    std::map<std::string, LogStream> streams;
    /// The timers of the waiting reads, by their number; each read keeps its own, and appends cancel all.
    std::map<std::uint64_t, boost::asio::steady_timer*> waiting;
    std::uint64_t lastWaiting = 0;
};

/// Answers the requests of the contract, and "/faults".
StandInSupport::HttpHandler handlerOf(LogService& service);

} // namespace StandInLog
