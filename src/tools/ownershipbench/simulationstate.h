#pragma once

#include "simulationresult.h"
#include "simulationsettings.h"

#include <agreement/poolassignment.h>
#include <ownership/fencerequest.h>
#include <ownership/granterstate.h>
#include <ownership/grantrequest.h>
#include <ownership/holderresponse.h>
#include <ownership/holderstate.h>
#include <ownership/peermessage.h>
#include <utils/time.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace OwnershipBench {

/// State of a process.
struct Process {
    Utils::Incarnation incarnation = 1;
    bool isTerminated = false;
    Utils::Instant frozenUntil {};
    Utils::Instant isolatedUntil {};
    /// When it was last seen to respond.
    Utils::Instant lastResponsiveAt = Utils::Instant::max();
};

/// A message in flight. While the receiver is frozen, delivery is delayed.
struct Delivery {
    std::string from;
    std::string to;
    Utils::Incarnation fromIncarnation = 0;
    Utils::Incarnation toIncarnation = 0;
    std::uint64_t queryId = 0;
    std::variant<Ownership::GrantRequest, Ownership::FenceRequest, Ownership::HolderResponse,
        Ownership::PeerMessage>
        body;
};

/// State of a simulation run.
struct SimulationState {
    SimulationSettings settings;
    std::mt19937_64 random;
    Utils::Instant now {};
    std::map<std::string, Process> processes;
    std::map<std::string, Ownership::GranterState> granters;
    std::map<std::string, Ownership::HolderState> holders;
    /// Offset of each upstream's clock from the simulation clock, in microseconds.
    std::map<std::string, std::int64_t> clockOffsets;
    std::vector<Agreement::PoolAssignment> log;
    std::map<std::string, std::size_t> readRecordCounts;
    std::vector<Utils::Instant> readableAt;
    Utils::Instant logDownUntil {};
    std::multimap<Utils::Instant, Delivery> messagesInFlight;
    std::string lastServingUpstream;
    bool wasEverServed = false;
    std::int64_t currentOrphanedMs = 0;
    SimulationResult result;
};

} // namespace OwnershipBench
