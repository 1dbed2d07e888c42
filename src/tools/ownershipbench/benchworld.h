#pragma once

#include "benchresult.h"
#include "benchsettings.h"

#include <agreement/poolassignment.h>
#include <ownership/fencerequest.h>
#include <ownership/granterstate.h>
#include <ownership/grantrequest.h>
#include <ownership/holderanswer.h>
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

/// What a process is like now.
struct Process {
    Utils::Incarnation incarnation = 1;
    bool lost = false;
    Utils::Instant frozenUntil {};
    Utils::Instant isolatedUntil {};
    /// When it was last seen to answer.
    Utils::Instant lostAt = Utils::Instant::max();
};

/// A message on its way. It waits at a frozen receiver.
struct Delivery {
    std::string from;
    std::string to;
    Utils::Incarnation fromStart = 0;
    Utils::Incarnation toStart = 0;
    std::uint64_t askId = 0;
    std::variant<Ownership::GrantRequest, Ownership::FenceRequest, Ownership::HolderAnswer,
        Ownership::PeerMessage>
        body;
};

/// The state of a run.
struct World {
    Settings settings;
    std::mt19937_64 random;
    Utils::Instant now {};
    std::map<std::string, Process> processes;
    std::map<std::string, Ownership::GranterState> granters;
    std::map<std::string, Ownership::HolderState> holders;
    /// Offset of each upstream's clock from the run's, in microseconds.
    std::map<std::string, std::int64_t> clockOffsets;
    std::vector<Agreement::PoolAssignment> log;
    std::map<std::string, std::size_t> read;
    std::vector<Utils::Instant> readableAt;
    Utils::Instant logDownUntil {};
    std::multimap<Utils::Instant, Delivery> network;
    std::string served;
    bool everServed = false;
    std::int64_t unservedMs = 0;
    Result result;
};

} // namespace OwnershipBench
