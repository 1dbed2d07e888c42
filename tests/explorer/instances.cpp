#include "instances.h"

#include <utility>

namespace Explorer {

namespace {

using Ownership::Guard;

const RecordPlan movedToThirdVm { 2, 1, 1, 0 };
const RecordPlan movedToThirdUpstream { 2, 1, 2, 1 };
const RecordPlan swappedVms { 1, 0, 0, 1 };

Instance makeInstance(std::string name, unsigned horizon)
{
    Instance instance;
    instance.name = std::move(name);
    instance.horizon = horizon;
    instance.maxLateMessages = 0;
    return instance;
}

Instance withLate(Instance instance, unsigned late)
{
    instance.maxLateMessages = late;
    return instance;
}

Instance withTimes(Instance instance, unsigned lease, unsigned proofWindow)
{
    instance.lease = lease;
    instance.proofWindow = proofWindow;
    return instance;
}

Instance withRestarts(Instance instance, unsigned restarts)
{
    instance.maxRestarts = restarts;
    return instance;
}

/// The log gets a second record.
Instance withRecord(Instance instance, RecordPlan plan)
{
    instance.records.push_back(plan);
    return instance;
}

/// The log has a second record, which only the VMs that it names read, and there is no takeover.
Instance withUnreadRecord(Instance instance, RecordPlan plan)
{
    instance.records.push_back(plan);
    instance.allowTakeover = false;
    instance.onlyNamedVmsRead = true;
    return instance;
}

Instance withUpstreamRestart(Instance instance)
{
    instance.maxRestarts = 1;
    instance.allowVmRestarts = false;
    return instance;
}

Instance withLateAnswers(Instance instance)
{
    instance.maxLateMessages = 1;
    instance.allowLateGrants = false;
    return instance;
}

/// Only grants are late, and there is no takeover.
Instance withLateGrants(Instance instance)
{
    instance.maxLateMessages = 1;
    instance.allowLateResponses = false;
    instance.allowTakeover = false;
    return instance;
}

/// Two more records follow, and the log may drop previous assignments that are retired.
Instance withRetirement(Instance instance)
{
    instance.records.push_back(movedToThirdVm);
    instance.records.push_back(RecordPlan { 0, 1, 0, 1 });
    instance.allowRetirement = true;
    instance.allowTakeover = false;
    instance.areRecordsAppendedAtStart = false;
    return instance;
}

Instance withHandover(Instance instance)
{
    instance.allowHandover = true;
    return instance;
}

/// One clock may miss a tick, and waiting times allow for that.
Instance withDrift(Instance instance)
{
    instance.maxStalls = 1;
    instance.driftPerMille = 500;
    return instance;
}

Instance withoutGrantChecks(Instance instance)
{
    instance.checksGrants = false;
    return instance;
}

Instance withoutGuard(Guard guard, Instance instance)
{
    instance.name = Utils::enumName(Ownership::guardNames, guard);
    instance.waivedGuards = { guard };
    return instance;
}

Instance withHolderFault(HolderFault fault, Instance instance)
{
    instance.name = Utils::enumName(holderFaultNames, fault);
    instance.holderFault = fault;
    return instance;
}

} // namespace

std::vector<Instance> safeInstances()
{
    std::vector<Instance> instances;
    instances.push_back(makeInstance("takeover", 5));
    instances.push_back(withLate(makeInstance("takeover_late", 2), 1));
    instances.push_back(withRestarts(makeInstance("takeover_restart", 3), 1));
    instances.push_back(withRecord(makeInstance("record", 1), movedToThirdVm));
    instances.push_back(withRecord(makeInstance("record_swapped", 2), swappedVms));
    instances.push_back(withUnreadRecord(makeInstance("record_unread", 3), movedToThirdVm));
    instances.push_back(withUpstreamRestart(
        withUnreadRecord(makeInstance("record_third_upstream", 1), movedToThirdUpstream)));
    instances.push_back(withRetirement(withTimes(makeInstance("settled", 1), 1, 0)));
    instances.push_back(withHandover(makeInstance("hand_over", 4)));
    instances.push_back(withDrift(makeInstance("drift", 3)));
    instances.push_back(withoutGrantChecks(makeInstance("unchecked", 7)));
    instances.push_back(withLateGrants(makeInstance("late_grants", 7)));
    return instances;
}

std::vector<Instance> weakenedInstances()
{
    std::vector<Instance> instances;
    const Instance takeover = makeInstance("", 4);
    const Instance late = withLate(takeover, 1);
    Instance actingSuccessor = withUnreadRecord(takeover, movedToThirdVm);
    actingSuccessor.allowTakeover = true;
    actingSuccessor.initialReaders = { 1 };
    instances.push_back(withoutGuard(Guard::AttestedGrant, takeover));
    instances.push_back(withoutGuard(Guard::ProofFromAsk, withLateAnswers(withTimes(takeover, 1, 0))));
    instances.push_back(withoutGuard(Guard::HolderIsNoAttestor, takeover));
    instances.push_back(withoutGuard(Guard::NamedUpstreamAttests,
        withUpstreamRestart(withUnreadRecord(withTimes(takeover, 1, 0), movedToThirdUpstream))));
    instances.push_back(withoutGuard(Guard::GrantNamedStart, withRestarts(takeover, 2)));
    instances.push_back(withoutGuard(Guard::NamedVmStart, withRestarts(takeover, 1)));
    instances.push_back(withoutGuard(Guard::HigherLevelEndsAttesting, takeover));
    instances.push_back(withoutGuard(Guard::SettleEarlier, takeover));
    instances.push_back(withoutGuard(Guard::WaitNamedLease, late));
    instances.push_back(withoutGuard(Guard::WaitOwnGrants, takeover));
    instances.push_back(withoutGuard(Guard::CountUnanswered, late));
    instances.push_back(withoutGuard(Guard::EveryAttestor, takeover));
    instances.push_back(withoutGuard(Guard::WaitProofWindow, takeover));
    instances.push_back(withoutGuard(Guard::EveryEarlierGranter, actingSuccessor));
    instances.push_back(withoutGuard(Guard::WaitStoppedGrants, withUnreadRecord(takeover, movedToThirdVm)));
    instances.push_back(withoutGuard(Guard::WaitInFlight, withoutGrantChecks(takeover)));
    instances.push_back(withoutGuard(Guard::StretchByDrift, withDrift(takeover)));
    instances.push_back(
        withHolderFault(HolderFault::IgnoresSequence, withLateGrants(withTimes(takeover, 3, 0))));
    instances.push_back(withHolderFault(HolderFault::IgnoresIncarnation, withRestarts(late, 1)));
    instances.push_back(withHolderFault(HolderFault::IgnoresLevel, takeover));
    instances.push_back(withHolderFault(HolderFault::CountsFromReceipt, withLateGrants(takeover)));
    return instances;
}

std::vector<Instance> allInstances()
{
    std::vector<Instance> instances = safeInstances();
    const std::vector<Instance> weakened = weakenedInstances();
    instances.insert(instances.end(), weakened.begin(), weakened.end());
    return instances;
}

} // namespace Explorer
