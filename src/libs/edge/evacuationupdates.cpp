#include <edge/clock.h>
#include <edge/configurationage.h>
#include <edge/evacuationupdates.h>
#include <edge/exchanges.h>
#include <edge/recorddecoding.h>
#include <edge/relay.h>
#include <logging/log.h>
#include <platform/evacuationrecord.h>
#include <routing/evacuations.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace Edge {

namespace Internal {

/// Key of the list among relayed records; never a key of the operator's topic. VMs of a former build skip it.
constexpr std::string_view evacuationListKey = "evacuations";
constexpr char zoneSeparator = '\n';

void handleEvacuationChange(
    Node& node, std::string_view event, const Utils::ZoneId& zone, Utils::Offset offset)
{
    Logging::write(Logging::Level::Info, event,
        { { "zone", zone.value }, { "offset", offset },
            { "delay_ms",
                node.relay.isApplyingUpdate ? Utils::toMilliseconds(node.relay.sourceDelay) : 0 } });
    // Makes the leader plan the placement of keys again without waiting for the interval.
    node.leader.plannedAt = {};
    resumeWaitingExchanges(node);
}

void relayEvacuation(Node& node, const Platform::StoreRecord& record)
{
    queueForRelay(node, { Relay::RelayTopic::Configurations, record.key, record.value, record.offset });
}

void endEvacuationOf(Node& node, const Utils::ZoneId& zone, Utils::Offset offset)
{
    if (Routing::endEvacuation(node.clusterView.evacuations, zone, offset, now()))
        handleEvacuationChange(node, "evacuation_ended", zone, offset);
    relayEvacuation(node, { offset, Platform::makeEvacuationKey(zone), std::nullopt });
}

void endAllBut(Node& node, const std::set<Utils::ZoneId>& inForce, Utils::Offset lastRead)
{
    for (const Utils::ZoneId& zone :
        Routing::findEndedEvacuations(node.clusterView.evacuations, inForce, lastRead))
        endEvacuationOf(node, zone, lastRead);
}

} // namespace Internal

void applyEvacuation(Node& node, const Platform::StoreRecord& record)
{
    if (!record.value) {
        Internal::endEvacuationOf(node, Platform::evacuatedZone(record.key), record.offset);
        return;
    }
    const std::optional<Utils::ZoneId> zone
        = Internal::decodeOrSkip<Utils::ZoneId>(node, record, [&node, &record] {
              return Platform::decodeEvacuation(record.key, *record.value, node.settings.regionByZone);
          });
    if (!zone)
        return;
    if (Routing::startEvacuation(
            node.clusterView.evacuations, *zone, record.offset, configurationConfirmedAt(node)))
        Internal::handleEvacuationChange(node, "evacuation_started", *zone, record.offset);
    Internal::relayEvacuation(node, record);
}

void endMissingEvacuations(Node& node, const std::vector<Platform::StoreRecord>& records, Utils::Offset end)
{
    std::set<Utils::ZoneId> inForce;
    for (const Platform::StoreRecord& record : records) {
        if (Platform::isEvacuationKey(record.key) && record.value)
            inForce.insert(Platform::evacuatedZone(record.key));
    }
    Internal::endAllBut(node, inForce, end > 0 ? end - 1 : 0);
    flushRelay(node);
}

bool isEvacuationList(const Platform::StoreRecord& record)
{
    return record.key == Internal::evacuationListKey;
}

std::optional<Relay::RelayRecord> makeEvacuationList(const Node& node)
{
    const std::optional<Utils::Offset> next = node.topicFollowers.configurations.nextOffset;
    if (!next || *next == 0)
        return std::nullopt;
    std::string zones;
    const std::map<Utils::ZoneId, Routing::Evacuation>& byZone = node.clusterView.evacuations.byZone;
    for (auto it = byZone.begin(); it != byZone.end(); ++it) {
        if (it->second.isInForce)
            zones += it->first.value + Internal::zoneSeparator;
    }
    return Relay::RelayRecord { Relay::RelayTopic::Configurations, std::string(Internal::evacuationListKey),
        std::move(zones), *next - 1 };
}

void applyEvacuationList(Node& node, const Platform::StoreRecord& record)
{
    std::set<Utils::ZoneId> inForce;
    std::istringstream zones(record.value.value_or(""));
    for (std::string zone; std::getline(zones, zone, Internal::zoneSeparator);)
        inForce.insert({ zone });
    Internal::endAllBut(node, inForce, record.offset);
}

} // namespace Edge
