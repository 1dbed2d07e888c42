#pragma once

#include <wire/answerchunk.h>
#include <wire/answerend.h>
#include <wire/answerhead.h>
#include <wire/workrefused.h>

#include <variant>

namespace Gateway {

/// A part of what a dispatcher says to an entry about one request.
using AnswerPart = std::variant<Wire::AnswerHead, Wire::AnswerChunk, Wire::AnswerEnd, Wire::WorkRefused>;

} // namespace Gateway
