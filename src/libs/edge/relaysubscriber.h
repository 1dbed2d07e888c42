#pragma once

#include <edge/relaylinks.h>
#include <relay/update.h>

/// What a VM does with the leader, or another source, that it relies on.
namespace Edge::Internal {

/// Takes what the leader passes on, or the word of another VM on who leads.
void handleUpdate(Node& node, const LinkPtr& link, const Relay::Update& update);

/// The leader's topic has been read for the first time: decides when the others are read.
///
/// Load pattern: all VMs start anew at once. What they read of the store fills the link between regions for
/// two seconds, and no request gets through. VMs far from the store take all from the VM that is known to
/// lead.
void startReadingTopics(Node& node);

/// Reads the topics of the store after \a wait unless a source has been found by then.
void scheduleStoreReading(Node& node, Utils::Duration wait);

/// The link to the source is lost: looks for another, or reads the store.
void handleSourceDisconnected(Node& node);

/// Reads the store itself from now on; far from it only after another source has been looked for.
void fallBackToStore(Node& node);

/// Keeps a link to the leader: connects, gives up a silent one, asks other VMs.
void checkSourceLink(Node& node, Utils::Instant at);

} // namespace Edge::Internal
