#pragma once

#include <edge/relaylinks.h>
#include <relay/update.h>

/// The part of the relay that runs on a subscriber of the leader or of a fallback source.
namespace Edge::Internal {

/// Applies an update of a source, or the response of another VM that names the leader.
void handleUpdate(Node& node, const LinkPtr& link, const Relay::Update& update);

/// Starts or schedules reading the other topics when the leader topic has been read for the first time.
///
/// Load pattern: all VMs restart at once. Their reads of the store saturate the link between regions for two
/// seconds, and no request gets through. VMs with a remote store therefore get all records from the leader,
/// if it is known.
void startReadingTopics(Node& node);

/// Starts reading the topics of the store after \a delay unless this VM has subscribed to a source by then.
void scheduleStoreReading(Node& node, Utils::Duration delay);

/// Reads the configurations from the store while they are unconfirmed, whatever becomes of the source and of
/// the other topics.
///
/// Load pattern: all VMs of a region lose their sources together. When their search ends they read all
/// topics, which fill the link between regions, so that the small read of the configurations fails, too.
void followUnconfirmedConfiguration(Node& node);

/// Handles the loss of \a link to the source: looks for another source, or reads the store.
void handleSourceDisconnected(Node& node, const RelayLink& link);

/// Ends the subscription and reads the store. With a remote store, looks for another source first.
void fallBackToStore(Node& node);

} // namespace Edge::Internal
