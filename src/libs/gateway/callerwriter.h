#pragma once

#include <gateway/callerconnection.h>
#include <gateway/finalanswer.h>
#include <wire/answerhead.h>

#include <boost/asio/awaitable.hpp>

#include <string>

/// Writes answers to callers. Each function returns false when the caller can't be written to any more.
namespace Gateway {

/// Writes the answer to a request that was not done.
boost::asio::awaitable<bool> writeFinal(CallerConnection& caller, const FinalAnswer& answer);

/// Writes a whole answer of an upstream.
boost::asio::awaitable<bool> writeWhole(
    CallerConnection& caller, const Wire::AnswerHead& head, std::string body);

/// Writes the head of an answer whose body follows in parts.
boost::asio::awaitable<bool> writeHead(CallerConnection& caller, const Wire::AnswerHead& head);

/// Writes the next part of the body.
boost::asio::awaitable<bool> writePart(
    CallerConnection& caller, const Wire::AnswerHead& head, const std::string& bytes);

/// Writes the end of the body.
boost::asio::awaitable<bool> writeEnd(CallerConnection& caller, const Wire::AnswerHead& head);

} // namespace Gateway
