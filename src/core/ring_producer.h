#pragma once

#include "citronfall/bounded_ring.h"

#include <deque>
#include <utility>

namespace citronfall {

/// Feeds a ring from a thread that must neither wait nor lose an element: what finds no place is kept in order and
/// offered again. Not thread-safe: owned by the producing thread.
template <class T>
class ring_producer {
public:
    /// Precondition: the ring outlives the feeder.
    explicit ring_producer(bounded_ring<T>& ring) : ring_(ring) {}

    /// Adds an element behind those that wait.
    void push(T element)
    {
        waiting_.push_back(std::move(element));
        flush();
    }

    /// Offers waiting elements. Returns whether none is left.
    bool flush()
    {
        while (!waiting_.empty() && ring_.try_push(waiting_.front())) {
            waiting_.pop_front();
        }
        return waiting_.empty();
    }

    /// Whether nothing waits.
    [[nodiscard]] bool empty() const { return waiting_.empty(); }

private:
    bounded_ring<T>& ring_;
    std::deque<T> waiting_;
};

} // namespace citronfall
