#pragma once

#include <dispatch/answerwork.h>
#include <dispatch/cancelwork.h>
#include <dispatch/dropanswer.h>
#include <dispatch/replayanswer.h>
#include <dispatch/startwork.h>
#include <dispatch/storeanswer.h>

#include <variant>

namespace Dispatch {

/// What the threads that carry requests have to do, in the order given.
using Action = std::variant<StartWork, AnswerWork, ReplayAnswer, CancelWork, StoreAnswer, DropAnswer>;

} // namespace Dispatch
