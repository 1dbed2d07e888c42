#pragma once

#include <wire/answerhead.h>

#include <string>

namespace Gateway {

/// A whole small answer, kept for repeats of its request.
struct StoredAnswer {
    Wire::AnswerHead head;
    std::string body;
};

} // namespace Gateway
