#pragma once

#include <edge/node.h>
#include <edge/topicfollower.h>

namespace Edge {

/// Reads \a follower's topic from now on. Each failure counts as a disturbance of the store.
void startFollowing(Node& node, TopicFollower& follower);

/// Ends what is under way, until resumeFollowing().
void pauseFollowing(Node& node, TopicFollower& follower);

/// Reads on where it was left.
void resumeFollowing(Node& node, TopicFollower& follower);

} // namespace Edge
