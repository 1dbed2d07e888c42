#pragma once

#include <wire/answerchunk.h>
#include <wire/answercredit.h>
#include <wire/answerend.h>
#include <wire/answerhead.h>
#include <wire/hello.h>
#include <wire/linkprobe.h>
#include <wire/workcancel.h>
#include <wire/workrefused.h>
#include <wire/workrequest.h>

#include <variant>

namespace Wire {

/// What instances send one another on a data link.
using PeerMessage = std::variant<Hello, WorkRequest, AnswerHead, AnswerChunk, AnswerEnd, WorkRefused,
    AnswerCredit, WorkCancel, LinkProbe>;

} // namespace Wire
