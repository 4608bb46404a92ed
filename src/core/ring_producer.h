#pragma once

#include "citronfall/bounded_ring.h"

#include <deque>
#include <utility>

namespace citronfall {

/// Producer end of a bounded ring for a thread that must neither block nor drop elements: elements that do not fit wait
/// in order in an unbounded overflow queue until flush() finds space. Not thread-safe: owned by the producing thread.
template <class T>
class ring_producer {
public:
    /// Precondition: `ring` outlives this object.
    explicit ring_producer(bounded_ring<T>& ring) : ring_(ring) {}

    /// Appends an element, after those in the overflow queue.
    void push(T element)
    {
        if (!flush() || !ring_.try_move(element)) {
            overflow_.push_back(std::move(element));
        }
    }

    /// Appends an element unless others wait in the overflow queue or the ring is full. Returns whether it was added.
    [[nodiscard]] bool try_push(T element) { return flush() && ring_.try_push(std::move(element)); }

    /// Moves elements from the overflow queue into the ring while it has space. Returns whether the queue is empty.
    bool flush()
    {
        while (!overflow_.empty() && ring_.try_move(overflow_.front())) {
            overflow_.pop_front();
        }
        return overflow_.empty();
    }

    /// Whether the overflow queue is empty.
    [[nodiscard]] bool empty() const { return overflow_.empty(); }

private:
    bounded_ring<T>& ring_;
    std::deque<T> overflow_;
};

} // namespace citronfall
