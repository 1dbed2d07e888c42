#pragma once

#include <edge/node.h>
#include <platform/storerecord.h>
#include <relay/relayrecord.h>

#include <optional>
#include <vector>

/// Evacuations of availability zones in the cluster view.
///
/// A snapshot of the operator's topic lacks what has ended, and so may the records that a relay source keeps.
/// Both therefore come as complete lists: a zone that is missing is no longer evacuated.
namespace Edge {

/// Starts or, if it has no value, ends the evacuation that \a record names.
void applyEvacuation(Node& node, const Platform::StoreRecord& record);

/// Ends the evacuations that the complete \a records of the operator's topic, read up to \a end, lack.
void endMissingEvacuations(Node& node, const std::vector<Platform::StoreRecord>& records, Utils::Offset end);

/// Whether \a record is the list of evacuations that makeEvacuationList() returns.
bool isEvacuationList(const Platform::StoreRecord& record);

/// The evacuations in force, for a subscriber that may have missed the end of one. Returns nothing while this
/// VM has not read the operator's topic.
std::optional<Relay::RelayRecord> makeEvacuationList(const Node& node);

/// Ends the evacuations that the list \a record lacks.
void applyEvacuationList(Node& node, const Platform::StoreRecord& record);

} // namespace Edge
