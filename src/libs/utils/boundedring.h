#pragma once

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace Utils {

/// The bounded queue that joins two duties' threads. Any thread pushes, one thread pops.
/// A full ring refuses; the pusher decides what that means.
template <typename Item> class BoundedRing {
public:
    /// \param capacity the most items held at a time.
    explicit BoundedRing(std::size_t capacity)
        : items(capacity)
    {
    }

    /// Adds \a item; false, and nothing added, if the ring is full or closed.
    [[nodiscard]] bool push(Item item)
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->closed || this->items.full())
                return false;
            this->items.push_back(std::move(item));
        }
        this->ready.notify_one();
        return true;
    }

    /// The oldest item, if there is one now.
    std::optional<Item> tryPop()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->takeFront();
    }

    /// The oldest item, waiting up to \a timeout for one; nothing on timeout or when closed and empty.
    template <typename Rep, typename Period>
    std::optional<Item> popFor(std::chrono::duration<Rep, Period> timeout)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->ready.wait_for(lock, timeout, [this] { return this->closed || !this->items.empty(); });
        return this->takeFront();
    }

    /// Refuses further items and wakes the popping thread; what is held can still be popped.
    void close()
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->closed = true;
        }
        this->ready.notify_all();
    }

    /// Items held now.
    std::size_t size() const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->items.size();
    }

private:
    std::optional<Item> takeFront()
    {
        if (this->items.empty())
            return std::nullopt;
        std::optional<Item> item(std::move(this->items.front()));
        this->items.pop_front();
        return item;
    }

    mutable std::mutex mutex;
    std::condition_variable ready;
    boost::circular_buffer<Item> items;
    bool closed = false;
};

} // namespace Utils
