#include "instances.h"

#include <utility>

namespace Explorer {

namespace {

using Ownership::Guard;

const RecordPlan movedToThirdVm { 2, 1, 1, 0 };
const RecordPlan movedToThirdUpstream { 2, 1, 2, 1 };
const RecordPlan swappedVms { 1, 0, 0, 1 };

Instance plain(std::string name, unsigned horizon)
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

/// The log gets a second record; its dispatcher is a third VM.
Instance withRecord(Instance instance, RecordPlan plan)
{
    instance.records.push_back(plan);
    return instance;
}

/// The log has a second record, which only the VMs that it names read, and nobody takes over.
Instance quietly(Instance instance, RecordPlan plan)
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

/// Only grants are late, and nobody takes over.
Instance withLateGrants(Instance instance)
{
    instance.maxLateMessages = 1;
    instance.allowLateResponses = false;
    instance.allowTakeover = false;
    return instance;
}

/// Two more records follow, and the log may learn that formers are settled.
Instance settling(Instance instance)
{
    instance.records.push_back(movedToThirdVm);
    instance.records.push_back(RecordPlan { 0, 1, 0, 1 });
    instance.allowRetirement = true;
    instance.allowTakeover = false;
    instance.areRecordsAppendedAtStart = false;
    return instance;
}

Instance handingOver(Instance instance)
{
    instance.allowHandover = true;
    return instance;
}

/// One clock may miss a tick, and waits allow for that.
Instance withDrift(Instance instance)
{
    instance.maxStalls = 1;
    instance.driftPerMille = 500;
    return instance;
}

Instance unchecked(Instance instance)
{
    instance.checksGrants = false;
    return instance;
}

Instance without(Guard guard, Instance instance)
{
    instance.name = Utils::enumName(Ownership::guardNames, guard);
    instance.waivedGuards = { guard };
    return instance;
}

Instance faulty(HolderFault fault, Instance instance)
{
    instance.name = Utils::enumName(holderFaultNames, fault);
    instance.holderFault = fault;
    return instance;
}

} // namespace

std::vector<Instance> safeInstances()
{
    std::vector<Instance> instances;
    instances.push_back(plain("takeover", 5));
    instances.push_back(withLate(plain("takeover_late", 2), 1));
    instances.push_back(withRestarts(plain("takeover_restart", 3), 1));
    instances.push_back(withRecord(plain("record", 1), movedToThirdVm));
    instances.push_back(withRecord(plain("record_swapped", 2), swappedVms));
    instances.push_back(quietly(plain("record_unread", 3), movedToThirdVm));
    instances.push_back(
        withUpstreamRestart(quietly(plain("record_third_upstream", 1), movedToThirdUpstream)));
    instances.push_back(settling(withTimes(plain("settled", 1), 1, 0)));
    instances.push_back(handingOver(plain("hand_over", 4)));
    instances.push_back(withDrift(plain("drift", 3)));
    instances.push_back(unchecked(plain("unchecked", 7)));
    instances.push_back(withLateGrants(plain("late_grants", 7)));
    return instances;
}

std::vector<Instance> weakenedInstances()
{
    std::vector<Instance> instances;
    const Instance takeover = plain("", 4);
    const Instance late = withLate(takeover, 1);
    Instance successorActs = quietly(takeover, movedToThirdVm);
    successorActs.allowTakeover = true;
    successorActs.initialReaders = { 1 };
    instances.push_back(without(Guard::AttestedGrant, takeover));
    instances.push_back(without(Guard::ProofFromAsk, withLateAnswers(withTimes(takeover, 1, 0))));
    instances.push_back(without(Guard::HolderIsNoAttestor, takeover));
    instances.push_back(without(Guard::NamedUpstreamAttests,
        withUpstreamRestart(quietly(withTimes(takeover, 1, 0), movedToThirdUpstream))));
    instances.push_back(without(Guard::GrantNamedStart, withRestarts(takeover, 2)));
    instances.push_back(without(Guard::NamedVmStart, withRestarts(takeover, 1)));
    instances.push_back(without(Guard::HigherLevelEndsAttesting, takeover));
    instances.push_back(without(Guard::SettleEarlier, takeover));
    instances.push_back(without(Guard::WaitNamedLease, late));
    instances.push_back(without(Guard::WaitOwnGrants, takeover));
    instances.push_back(without(Guard::CountUnanswered, late));
    instances.push_back(without(Guard::EveryAttestor, takeover));
    instances.push_back(without(Guard::WaitProofWindow, takeover));
    instances.push_back(without(Guard::EveryEarlierGranter, successorActs));
    instances.push_back(without(Guard::WaitStoppedGrants, quietly(takeover, movedToThirdVm)));
    instances.push_back(without(Guard::WaitInFlight, unchecked(takeover)));
    instances.push_back(without(Guard::StretchByDrift, withDrift(takeover)));
    instances.push_back(faulty(HolderFault::IgnoresSequence, withLateGrants(withTimes(takeover, 3, 0))));
    instances.push_back(faulty(HolderFault::IgnoresIncarnation, withRestarts(late, 1)));
    instances.push_back(faulty(HolderFault::IgnoresLevel, takeover));
    instances.push_back(faulty(HolderFault::CountsFromReceipt, withLateGrants(takeover)));
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
