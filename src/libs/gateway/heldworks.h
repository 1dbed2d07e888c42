#pragma once

#include <dispatch/answerwork.h>
#include <dispatch/cancelwork.h>
#include <dispatch/dropanswer.h>
#include <dispatch/replayanswer.h>
#include <dispatch/storeanswer.h>
#include <gateway/answerpart.h>
#include <gateway/networkstate.h>
#include <gateway/runwork.h>

/// Requests that this instance holds as dispatcher.
namespace Gateway {

/// Takes a request and submits it to the dispatch duty; refuses it at once when it can't.
/// \returns the work's id, or nothing when refused.
std::optional<Requests::WorkId> holdWork(
    NetworkState& state, const Origin& origin, Wire::WorkRequest message);

/// The entry has passed on \a bytes of the answer.
void creditWork(NetworkState& state, const Origin& origin, std::uint64_t bytes);

/// The caller has left.
void cancelWork(NetworkState& state, const Origin& origin);

/// The link to the entry has gone: its callers will ask again elsewhere.
void abandonWorks(NetworkState& state, const LinkId& link);

/// Sends a part of the answer to where the work came from.
void sendToOrigin(NetworkState& state, const HeldWork& work, AnswerPart part);

/// Ends a work whose answer has been passed on.
void forgetWork(NetworkState& state, const Requests::WorkId& id);

/// Carry out what the dispatch duty has decided.
void carryOut(NetworkState& state, const RunWork& action);
void carryOut(NetworkState& state, const Dispatch::AnswerWork& action);
void carryOut(NetworkState& state, const Dispatch::ReplayAnswer& action);
void carryOut(NetworkState& state, const Dispatch::CancelWork& action);
void carryOut(NetworkState& state, const Dispatch::StoreAnswer& action);
void carryOut(NetworkState& state, const Dispatch::DropAnswer& action);

} // namespace Gateway
