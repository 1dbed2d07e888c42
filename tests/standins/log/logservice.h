#pragma once

#include <standins/log/logfaults.h>
#include <standins/log/logoptions.h>
#include <standins/log/logstream.h>
#include <standins/log/waitingrequest.h>
#include <standins/support/httphandler.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>

/// The stand-in for the platform's log service; see the interface page for its contract.
namespace StandInLog {

/// The streams and faults of one log service; belongs to the thread of its context.
struct LogService {
    explicit LogService(boost::asio::io_context& ioContext)
        : context(ioContext)
    {
    }

    boost::asio::io_context& context;
    LogOptions options;
    LogFaults faults;
    std::map<std::string, LogStream> streams;
    /// The requests that wait for a record or for the end of a delay.
    std::map<std::uint64_t, WaitingRequest> waiting;
    std::uint64_t lastWaiting = 0;
};

/// Answers the requests of the contract, and "/faults".
StandInSupport::HttpHandler handlerOf(LogService& service);

} // namespace StandInLog
