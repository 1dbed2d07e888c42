#pragma once

#include <standins/caller/activerequest.h>
#include <standins/caller/calleroptions.h>
#include <standins/caller/callersummary.h>
#include <standins/caller/connectionpool.h>
#include <standins/caller/plannedrequest.h>

#include <standins/journal/journalwriter.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace StandInCaller {

/// The stand-in callers: a schedule, the requests under way and the connections that carry them. Run by one
/// thread.
struct CallerClient {
    CallerClient(boost::asio::io_context& ioContext, CallerOptions clientOptions,
        std::vector<PlannedRequest> plannedRequests);

    boost::asio::io_context& context;
    CallerOptions options;
    Journal::JournalWriter journal;
    std::vector<PlannedRequest> plan;
    /// Start of every request's number; differs from run to run.
    std::string numberPrefix;
    std::size_t nextPlanned = 0;
    Utils::Instant startedAt;
    boost::asio::steady_timer scheduleTimer;
    std::map<RequestNumber, ActiveRequest> active;
    /// Timers of requests that wait to be repeated.
    std::map<RequestNumber, boost::asio::steady_timer> repeatTimers;
    ConnectionPool pool;
    CallerSummary summary;
};

/// Adds the entry VMs of the settings; the error of an address that can't be read.
boost::system::error_code addEntries(CallerClient& client);

/// Starts the schedule; the context runs until every request has come to its end.
void startSchedule(CallerClient& client);

} // namespace StandInCaller
