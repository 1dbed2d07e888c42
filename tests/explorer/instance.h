#pragma once

#include "holderfault.h"
#include "recordplan.h"

#include <ownership/guard.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Explorer {

/// A small system that is explored exhaustively, and the bounds on its faults. Times are in ticks.
struct Instance {
    std::string name;
    unsigned lease = 2;
    unsigned proofWindow = 1;
    unsigned suspectAfter = 1;
    unsigned driftPerMille = 0;
    unsigned maxInFlight = 2;
    /// VMs that have read the first record before the exploration starts; their messages have arrived.
    std::vector<std::size_t> initialReaders { 1, 0 };
    /// Number of ticks that are explored.
    unsigned horizon = 6;
    /// Maximum number of process restarts.
    unsigned maxRestarts = 0;
    /// Maximum number of messages that may be late at the same time. Late messages do not use up this limit.
    unsigned maxLateMessages = 1;
    /// Whether requests other than grants may be late, too.
    bool allowLateRequests = false;
    /// Maximum number of late messages that are duplicated.
    unsigned maxDuplicates = 0;
    /// Maximum number of ticks that the clock of one process misses.
    unsigned maxStalls = 0;
    /// Whether the upstreams check grants.
    bool checksGrants = true;
    /// Whether the successor may suspect the dispatcher.
    bool allowTakeover = true;
    /// Whether VMs and upstreams may restart.
    bool allowVmRestarts = true;
    bool allowUpstreamRestarts = true;
    /// Whether all records are in the log from the start; otherwise each may be appended at any time.
    bool areRecordsAppendedAtStart = true;
    /// Whether a later record is read only by the VMs that it names.
    bool onlyNamedVmsRead = false;
    /// Whether grants and responses may be late.
    bool allowLateGrants = true;
    bool allowLateResponses = true;
    /// Whether a granter may stop as planned.
    bool allowHandover = false;
    /// Whether the log may drop previous assignments that are retired.
    bool allowRetirement = false;
    /// The first record is in force at the start; the others may be appended at any time, in order.
    std::vector<RecordPlan> records = std::vector<RecordPlan>(1);
    std::set<Ownership::Guard> waivedGuards {};
    HolderFault holderFault = HolderFault::None;
};

} // namespace Explorer
