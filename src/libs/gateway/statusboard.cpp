#include <gateway/statusboard.h>

namespace Gateway {

void StatusBoard::post(std::string text, bool ready)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->statusText = std::move(text);
    this->isReady = ready;
}

std::string StatusBoard::text() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->statusText;
}

bool StatusBoard::ready() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->isReady;
}

} // namespace Gateway
