#pragma once

#include <gateway/answerpart.h>
#include <utils/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <optional>

namespace Gateway {

/// The parts of one answer on their way to the coroutine that passes them to the caller. One thread. Its size
/// is bounded by the answer's window.
class AnswerPipe {
public:
    explicit AnswerPipe(const boost::asio::any_io_executor& executor);

    void push(AnswerPart part);

    /// The next part; nothing when \a deadline passes first.
    boost::asio::awaitable<std::optional<AnswerPart>> pop(Utils::Instant deadline);

private:
    std::deque<AnswerPart> parts;
    boost::asio::steady_timer ready;
};

} // namespace Gateway
