/** A bounded queue that passes items between threads. */
#pragma once

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>

namespace QuetzalRock {

/** FIFO queue of fixed capacity for any number of producer and consumer threads. */
template<typename T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
        : m_items(capacity)
    {
    }

    /** Adds @p item without blocking. Returns false and leaves @p item untouched if the queue is full or closed. */
    bool tryPush(T &&item)
    {
        {
            std::lock_guard guard(m_mutex);
            if (m_closed || m_items.full()) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_notEmpty.notify_one();
        return true;
    }

    /** Removes the oldest item, waiting until there is one. Returns nullopt once the queue is closed and empty. */
    std::optional<T> pop()
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait(lock, [this] { return m_closed || !m_items.empty(); });
        return takeFront();
    }

    /** Removes the oldest item without blocking. Returns nullopt if the queue is empty. */
    std::optional<T> tryPop()
    {
        std::lock_guard guard(m_mutex);
        return takeFront();
    }

    /** Rejects further items and wakes all waiting consumers. Items already queued can still be taken. */
    void close()
    {
        {
            std::lock_guard guard(m_mutex);
            m_closed = true;
        }
        m_notEmpty.notify_all();
    }

    std::size_t size() const
    {
        std::lock_guard guard(m_mutex);
        return m_items.size();
    }

private:
    std::optional<T> takeFront()
    {
        if (m_items.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        return item;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    boost::circular_buffer<T> m_items;
    bool m_closed = false;
};

} // namespace QuetzalRock
