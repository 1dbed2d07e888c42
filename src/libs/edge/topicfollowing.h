#pragma once

#include <edge/node.h>
#include <edge/topicfollower.h>

namespace Edge {

/// Starts reading the topic of \a follower continuously. Each failure is recorded as a store outage.
void startFollowing(Node& node, TopicFollower& follower);

/// Cancels the read in flight and stops reading until resumeFollowing() is called.
void pauseFollowing(Node& node, TopicFollower& follower);

/// Pauses the reading of all topics.
void pauseFollowingAll(Node& node);

/// Whether reads of the store have failed repeatedly.
bool isStoreFailing(const Node& node);

/// Whether the next record of the topic is probably so large that many VMs that read it strain the links
/// between regions.
bool hasLargeRecords(const TopicFollower& follower);

/// Additional time for the response to a read.
Utils::Duration largeRecordTime(const TopicFollower& follower);

/// Continues reading at the next offset, or with a snapshot if only the newest records matter.
void resumeFollowing(Node& node, TopicFollower& follower);

} // namespace Edge
