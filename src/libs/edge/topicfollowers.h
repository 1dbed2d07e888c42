#pragma once

#include <edge/topicfollower.h>

namespace Edge {

/// The topics of the store that a VM reads, as long as no leader passes them on.
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
