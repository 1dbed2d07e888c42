#pragma once

#include <gateway/answerpipe.h>
#include <gateway/linkid.h>
#include <requests/work.h>
#include <utils/ids.h>

#include <memory>
#include <optional>

namespace Gateway {

/// An attempt of this entry that waits for its dispatcher's answer.
struct PendingAttempt {
    std::shared_ptr<AnswerPipe> pipe;
    /// The link that it was sent on; nothing when this instance dispatches it.
    std::optional<LinkId> link;
    /// The held work when this instance dispatches it.
    std::optional<Requests::WorkId> localWork;
};

} // namespace Gateway
