#pragma once

#include <gateway/controlstate.h>
#include <ownership/action.h>
#include <ownership/holderresponse.h>
#include <ownership/peermessage.h>

/// Drives the granters of the pools that this VM has to do with.
namespace Gateway {

/// Installs every assignment that has changed in the agreed state.
void installAssignments(ControlState& state);

void noteHolderAnswer(ControlState& state, const Utils::PoolId& pool, const Utils::UpstreamId& upstream,
    std::uint64_t ask, const Ownership::HolderResponse& answer);

void notePeerMessage(
    ControlState& state, const Agreement::VmStart& from, const Ownership::PeerMessage& message);

/// Ticks granters whose time has come, takes over where the dispatcher is suspected, and tells the dispatch
/// duty what has changed.
void tickGranters(ControlState& state);

/// Stops granting everywhere and hands over to the successors.
void stopGranters(ControlState& state);

} // namespace Gateway
