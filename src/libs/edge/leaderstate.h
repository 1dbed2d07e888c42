#pragma once

#include <granting/granter.h>
#include <granting/keyload.h>
#include <granting/leadership.h>
#include <granting/loadreport.h>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>

namespace Edge {

/// What this VM does, or would do, as the one that grants keys.
struct LeaderState {
    explicit LeaderState(boost::asio::io_context& context)
        : timer(context)
    {
    }

    Granting::Leadership leadership;
    /// One for each keyed service while this VM leads.
    std::map<Utils::ServiceId, Granting::Granter> granters;
    std::map<Utils::ServiceId, Granting::KeyLoad> keyLoads;
    /// Where the topic of assignments ends, as last read or written in this term.
    std::optional<Utils::Offset> assignmentTopicEnd;
    /// A write of this term has succeeded, so that what it followed was the newest.
    bool hasWrittenInTerm = false;
    /// The records of the former leader are being read.
    bool readInProgress = false;
    bool writeInProgress = false;
    /// A write ended without a clear answer.
    bool rereadNeeded = false;
    Utils::Instant startedAt {};
    Utils::Instant plannedAt {};
    /// When an upstream was last added.
    Utils::Instant upstreamAddedAt {};
    /// The term that has been logged.
    std::optional<Utils::Offset> loggedTerm;
    /// Requests for keys since the last report.
    std::map<Utils::ServiceId, Granting::ServiceKeyCounts> requestCounts;
    boost::asio::steady_timer timer;
};

} // namespace Edge
