#pragma once

#include <dispatch/answerwork.h>
#include <dispatch/cancelwork.h>
#include <dispatch/dropanswer.h>
#include <dispatch/replayanswer.h>
#include <dispatch/storeanswer.h>
#include <gateway/routingtable.h>
#include <gateway/runwork.h>

#include <memory>
#include <variant>

namespace Gateway {

/// A new routing table is in force.
using RoutingChanged = std::shared_ptr<const RoutingTable>;

/// What other duties tell the network duty.
using NetworkEvent = std::variant<RoutingChanged, RunWork, Dispatch::AnswerWork, Dispatch::ReplayAnswer,
    Dispatch::CancelWork, Dispatch::StoreAnswer, Dispatch::DropAnswer>;

} // namespace Gateway
