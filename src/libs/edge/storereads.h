#pragma once

#include <edge/node.h>

/// How current the records are that this VM reads from the store itself.
namespace Edge {

/// Whether this VM's reads of every topic that it follows for its subscribers have succeeded recently.
bool hasFreshReads(const Node& node);

/// When the topic was last read whose last successful read is the oldest.
Utils::Instant oldestRead(const Node& node);

/// Whether this VM has not been able to read one of these topics for some time.
bool isReadingLate(const Node& node);

/// The same, as long as a source must be found soon for changes to be in force in time.
bool isReadingNewlyLate(const Node& node);

/// The topic that the store leaves unread for the leader although it responds to other calls, so that another
/// VM may be able to read it. Null if there is none, or if this VM has not read it in its term at all.
const TopicFollower* findUnreadableTopic(const Node& node);

/// Whether the leader has to call the store to tell a topic that is unreadable from a store that does not
/// respond.
bool needsStoreProbe(const Node& node);

} // namespace Edge
