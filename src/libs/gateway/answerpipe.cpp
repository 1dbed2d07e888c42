#include <gateway/answerpipe.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Gateway {

AnswerPipe::AnswerPipe(const boost::asio::any_io_executor& executor)
    : ready(executor)
{
}

void AnswerPipe::push(AnswerPart part)
{
    this->parts.push_back(std::move(part));
    this->ready.cancel();
}

boost::asio::awaitable<std::optional<AnswerPart>> AnswerPipe::pop(Utils::Instant deadline)
{
    while (this->parts.empty()) {
        if (Utils::monotonicNow() >= deadline)
            co_return std::nullopt;
        boost::system::error_code error;
        this->ready.expires_at(deadline);
        co_await this->ready.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        const boost::asio::cancellation_state cancelled = co_await boost::asio::this_coro::cancellation_state;
        if (cancelled.cancelled() != boost::asio::cancellation_type::none)
            co_return std::nullopt;
    }
    std::optional<AnswerPart> part(std::move(this->parts.front()));
    this->parts.pop_front();
    co_return part;
}

} // namespace Gateway
