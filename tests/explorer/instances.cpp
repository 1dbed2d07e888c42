#include "instances.h"

#include <utility>

namespace Explorer {

namespace {

using Ownership::Guard;

Instance plain(std::string name, unsigned horizon)
{
    Instance instance;
    instance.name = std::move(name);
    instance.horizon = horizon;
    instance.late = 0;
    return instance;
}

Instance withLate(Instance instance, unsigned late)
{
    instance.late = late;
    return instance;
}

Instance withWindow(Instance instance, unsigned proofWindow)
{
    instance.proofWindow = proofWindow;
    return instance;
}

Instance withRestarts(Instance instance, unsigned restarts)
{
    instance.restarts = restarts;
    return instance;
}

/// The log gets a second record; its dispatcher is a third VM.
Instance withRecord(Instance instance, RecordPlan plan)
{
    instance.records.push_back(plan);
    return instance;
}

/// One clock may miss a tick, and waits allow for that.
Instance withDrift(Instance instance)
{
    instance.stalls = 1;
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
    instance.waived = { guard };
    return instance;
}

Instance faulty(HolderFault fault, Instance instance)
{
    instance.name = Utils::enumName(holderFaultNames, fault);
    instance.fault = fault;
    return instance;
}

const RecordPlan movedToThirdVm { 2, 1, 1, 0 };
const RecordPlan movedToThirdUpstream { 2, 1, 2, 1 };
const RecordPlan swappedVms { 1, 0, 0, 1 };

} // namespace

std::vector<Instance> ruleInstances()
{
    std::vector<Instance> instances;
    instances.push_back(plain("takeover", 5));
    instances.push_back(withLate(plain("takeover_late", 2), 1));
    instances.push_back(withRestarts(plain("takeover_restart", 3), 1));
    instances.push_back(withRecord(plain("record", 2), movedToThirdVm));
    instances.push_back(withRecord(plain("record_swapped", 2), swappedVms));
    instances.push_back(withDrift(plain("drift", 3)));
    instances.push_back(unchecked(plain("unchecked", 5)));
    return instances;
}

std::vector<Instance> weakenedInstances()
{
    std::vector<Instance> instances;
    const Instance takeover = plain("", 4);
    const Instance late = withLate(takeover, 1);
    const Instance record = withRecord(takeover, movedToThirdVm);
    instances.push_back(without(Guard::AttestedGrant, takeover));
    instances.push_back(without(Guard::ProofFromAsk, withWindow(late, 0)));
    instances.push_back(without(Guard::HolderIsNoAttestor, takeover));
    instances.push_back(
        without(Guard::NamedUpstreamAttests, withRestarts(withRecord(takeover, movedToThirdUpstream), 1)));
    instances.push_back(without(Guard::GrantNamedStart, withRestarts(takeover, 2)));
    instances.push_back(without(Guard::NamedVmStart, withRestarts(record, 1)));
    instances.push_back(without(Guard::HigherLevelEndsAttesting, takeover));
    instances.push_back(without(Guard::SettleEarlier, takeover));
    instances.push_back(without(Guard::WaitNamedLease, late));
    instances.push_back(without(Guard::WaitOwnGrants, takeover));
    instances.push_back(without(Guard::CountUnanswered, late));
    instances.push_back(without(Guard::EveryAttestor, takeover));
    instances.push_back(without(Guard::WaitProofWindow, takeover));
    instances.push_back(without(Guard::EveryEarlierGranter, record));
    instances.push_back(without(Guard::WaitStoppedGrants, record));
    instances.push_back(without(Guard::WaitInFlight, unchecked(takeover)));
    instances.push_back(without(Guard::StretchByDrift, withDrift(takeover)));
    instances.push_back(faulty(HolderFault::IgnoresSequence, late));
    instances.push_back(faulty(HolderFault::IgnoresIncarnation, withRestarts(late, 1)));
    instances.push_back(faulty(HolderFault::IgnoresLevel, takeover));
    instances.push_back(faulty(HolderFault::CountsFromReceipt, late));
    return instances;
}

std::vector<Instance> allInstances()
{
    std::vector<Instance> instances = ruleInstances();
    const std::vector<Instance> weakened = weakenedInstances();
    instances.insert(instances.end(), weakened.begin(), weakened.end());
    return instances;
}

} // namespace Explorer
