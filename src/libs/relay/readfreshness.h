#pragma once

#include <relay/topicreads.h>

/// Whether a VM that reads the store knows its newest records. Each topic is judged by its own reads: the
/// store may leave a part of its topics unread, for all VMs or for some.
namespace Relay {

/// A long poll without a response for this long after its end is given up. The next read uses another
/// connection, as the one of a lost response returns nothing further. A slow store responds earlier.
inline constexpr Utils::Duration overdueReadTimeout = std::chrono::milliseconds(300);

/// Whether a record that was appended to the topic some time ago has been read by \a now.
bool isFresh(const TopicReads& reads, Utils::Instant now);

/// Whether no read has succeeded for so long that a lost connection is no explanation.
bool isLate(const TopicReads& reads, Utils::Instant now);

/// The same, as long as another source must be found soon for changes to be in force in time.
bool isNewlyLate(const TopicReads& reads, Utils::Instant now);

/// Whether a read is overdue, so that it matters whether the store responds to other calls.
bool isOverdue(const TopicReads& reads, Utils::Instant now);

/// Whether a call that was sent at \a sentAt was sent after the last read should have ended. If the store has
/// responded to it, it has not failed as a whole.
bool isSentAfterRead(const TopicReads& reads, Utils::Instant sentAt);

} // namespace Relay
