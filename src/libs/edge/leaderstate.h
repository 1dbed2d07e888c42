#pragma once

#include <granting/granter.h>
#include <granting/keyload.h>
#include <granting/leadership.h>
#include <granting/loadreport.h>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>

namespace Edge {

/// State of this VM as the leader, which grants keys, or as a standby.
struct LeaderState {
    explicit LeaderState(boost::asio::io_context& context)
        : timer(context)
    {
    }

    Granting::Leadership leadership;
    /// When this process began to take part in the leader election.
    Utils::Instant electionStartedAt {};
    /// One for each keyed service while this VM is the leader.
    std::map<Utils::ServiceId, Granting::Granter> granters;
    std::map<Utils::ServiceId, Granting::KeyLoad> keyLoads;
    /// End offset of the assignment topic, as last read or written in this term.
    std::optional<Utils::Offset> assignmentTopicEnd;
    /// A conditional write of this term has succeeded, which shows that the records read before were the
    /// newest.
    bool hasWrittenInTerm = false;
    /// The assignments are being read from the store.
    bool readInProgress = false;
    bool writeInProgress = false;
    /// When assignments may be written again after the store has not acknowledged a write.
    Utils::Instant writeNotBefore {};
    /// The outcome of a write is unknown, so the assignments must be read again.
    bool rereadNeeded = false;
    Utils::Instant plannedAt {};
    /// Era of the store in which this VM, by a write of its own, knows all assignments that may be in force.
    std::optional<std::uint64_t> settledEra;
    /// When this VM began to act as the leader of the term.
    Utils::Instant termStartedAt {};
    /// No keys are planned or granted before, as unknown grants may be in force.
    Utils::Instant grantsNotBefore {};
    /// When an upstream was last added to the directory.
    Utils::Instant upstreamAddedAt {};
    /// The last term whose start was logged.
    std::optional<Utils::Offset> loggedTerm;
    /// Requests by key since the last load report.
    std::map<Utils::ServiceId, Granting::ServiceKeyCounts> requestCounts;
    boost::asio::steady_timer timer;
};

} // namespace Edge
