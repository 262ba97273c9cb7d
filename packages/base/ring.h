/** A bounded ring that joins the thread of one duty to that of another. */
#pragma once

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>

namespace QuetzalRock {

/** First in, first out, never more than its capacity; any number of producers and consumers. */
template<typename T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
        : m_items(capacity)
    {
    }

    /** Adds @p item; false, with @p item untouched, where the ring is full or closed. Never blocks. */
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

    /** Takes the oldest item, waiting for one; nothing once the ring is closed and empty. */
    std::optional<T> pop()
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait(lock, [this] { return m_closed || !m_items.empty(); });
        return takeFront();
    }

    /** Takes the oldest item if there is one. */
    std::optional<T> tryPop()
    {
        std::lock_guard guard(m_mutex);
        return takeFront();
    }

    /** Refuses further items and wakes every consumer; what is in the ring can still be taken. */
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
