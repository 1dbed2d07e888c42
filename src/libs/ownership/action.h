#pragma once

#include <ownership/sendfence.h>
#include <ownership/sendgrant.h>
#include <ownership/sendpeermessage.h>
#include <ownership/shardserved.h>
#include <ownership/shardunserved.h>
#include <ownership/steppeddown.h>

#include <variant>

namespace Ownership {

/// An action that the daemon has to perform after a decision of the granter.
using Action = std::variant<SendGrant, SendFence, SendPeerMessage, ShardServed, ShardUnserved, SteppedDown>;

} // namespace Ownership
