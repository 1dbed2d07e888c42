#pragma once

#include <agreement/assignmentrecord.h>
#include <membership/proposalinput.h>

#include <optional>

/// When a pool needs a new assignment, who proposes it and what it says. The fold decides which proposal
/// wins; this only keeps VMs from racing.
namespace Membership {

/// Whether this VM is the one to propose: the first alive of the pool's dispatcher, its successor, and the
/// others in rendezvous order.
bool isProposer(const ProposalInput& input);

/// The assignment that the pool should have, without its header; nothing when it has it, or none is possible.
/// A pool that is no longer declared is closed.
std::optional<Agreement::AssignmentRecord> proposeAssignment(const ProposalInput& input);

} // namespace Membership
