#pragma once

#include <edge/topicfollower.h>

namespace Edge {

/// Followers of the store topics that a VM reads while it is not subscribed to a relay source.
struct TopicFollowers {
    explicit TopicFollowers(boost::asio::io_context& context)
        : configurations(context)
        , reports(context)
        , assignments(context)
        , leader(context)
    {
    }

    TopicFollower configurations;
    TopicFollower reports;
    TopicFollower assignments;
    TopicFollower leader;
};

} // namespace Edge
