#include <edge/clock.h>
#include <edge/evacuationupdates.h>
#include <edge/firstupdates.h>
#include <edge/relaysource.h>
#include <granting/recordcodec.h>
#include <relay/framecodec.h>

#include <algorithm>

namespace Edge::Internal {

using Relay::RelayTopic;

/// Maximum age of a first update that is sent again, as it says how fresh the reads of the store are.
constexpr Utils::Duration maxFirstUpdateAge = std::chrono::milliseconds(250);
constexpr std::size_t maxFirstUpdates = 8;

/// Subscribers with offsets of reports in a range of this length get the same update, which has a few records
/// that some of them know. Most reports change nothing and are not relayed.
constexpr Utils::Offset reportsOffsetStep = 2048;

bool isMissedReport(const Relay::RelayRecord& record, const FirstUpdate& update)
{
    // A removal is relayed some time after the record that shows it, so the offset does not tell whether the
    // subscriber has it.
    return record.topic == RelayTopic::Reports && (!record.value || record.offset >= update.reports);
}

std::vector<Relay::RelayRecord> findMissedOperatorRecords(const Node& node, Utils::Offset from)
{
    std::vector<Relay::RelayRecord> records;
    for (auto it = node.relay.newestRecords.begin(); it != node.relay.newestRecords.end(); ++it) {
        if (it->first.first == RelayTopic::Configurations && it->second.offset >= from)
            records.push_back(it->second);
    }
    // A VM that has read no record yet knows of no evacuation that may have ended.
    std::optional<Relay::RelayRecord> evacuations = from == 0 ? std::nullopt : makeEvacuationList(node);
    if (evacuations)
        records.push_back(std::move(*evacuations));
    return records;
}

/// The records that a VM with the offsets in \a update has not read.
std::vector<Relay::RelayRecord> findMissedRecords(const Node& node, const FirstUpdate& update)
{
    std::vector<Relay::RelayRecord> records = findMissedOperatorRecords(node, update.configurations);
    for (auto it = node.relay.newestRecords.begin(); it != node.relay.newestRecords.end(); ++it) {
        if (isMissedReport(it->second, update))
            records.push_back(it->second);
    }
    const std::map<Utils::ServiceId, Granting::KeyAssignment>& assignments = node.clusterView.assignments;
    for (auto it = node.relay.assignmentOffsets.begin(); it != node.relay.assignmentOffsets.end(); ++it) {
        const auto assignment = assignments.find(it->first);
        if (assignment != assignments.end() && it->second >= update.assignments)
            records.push_back({ RelayTopic::Assignments, it->first.value,
                Granting::encodeAssignment(assignment->second), it->second });
    }
    return records;
}

/// Whether a VM with the offsets in \a subscription can be sent \a update, without many records that it has.
bool fits(const FirstUpdate& update, const Relay::Subscription& subscription)
{
    const auto covers = [](Utils::Offset from, Utils::Offset needed) {
        return from <= needed && (from == 0) == (needed == 0);
    };
    return covers(update.configurations, subscription.configurations)
        && update.reports <= subscription.reports && update.reports + reportsOffsetStep > subscription.reports
        && covers(update.assignments, subscription.assignments);
}

/// Makes the ages in \a update right for as long as it may be sent again.
void addStorageTime(Relay::Update& update)
{
    if (update.configurationAge)
        *update.configurationAge += maxFirstUpdateAge;
    if (update.recordsAge)
        *update.recordsAge += maxFirstUpdateAge;
}

FirstUpdate encodeFirstUpdate(const Node& node, const Relay::Subscription& subscription)
{
    FirstUpdate update;
    update.configurations = subscription.configurations;
    update.reports = subscription.reports - subscription.reports % reportsOffsetStep;
    update.assignments = subscription.assignments;
    update.encodedAt = now();
    Relay::Update content = makeUpdate(node, findMissedRecords(node, update));
    addStorageTime(content);
    update.frame = std::make_shared<const std::string>(Relay::encodeFrame(content));
    return update;
}

void sendFirstUpdate(Node& node, const LinkPtr& link, const Relay::Subscription& subscription)
{
    std::vector<FirstUpdate>& kept = node.relay.firstUpdates;
    const Utils::Instant at = now();
    std::erase_if(
        kept, [at](const FirstUpdate& update) { return at - update.encodedAt > maxFirstUpdateAge; });
    auto found = std::find_if(kept.begin(), kept.end(),
        [&subscription](const FirstUpdate& update) { return fits(update, subscription); });
    if (found == kept.end()) {
        if (kept.size() >= maxFirstUpdates)
            kept.erase(kept.begin());
        kept.push_back(encodeFirstUpdate(node, subscription));
        found = std::prev(kept.end());
    }
    sendFrame(node, link, found->frame);
}

void dropFirstUpdates(Node& node) { node.relay.firstUpdates.clear(); }

} // namespace Edge::Internal
