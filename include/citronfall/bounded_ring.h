#pragma once

#include "citronfall/instant.h"

#include <cassert>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <limits>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace citronfall {

/// Options of a bounded ring of elements of type T.
template <class T>
struct bounded_ring_options {
    std::size_t capacity = 0;        ///< Maximum number of queued elements; at least 1.
    std::function<void()> on_push{}; ///< Called after each push, without the lock held; wakes an event loop.
    std::function<std::size_t(const T&)> size_of{}; ///< Size of an element in bytes; none: bytes are not counted.
    /// Maximum size of all queued elements. An element that is longer alone is accepted by an empty ring.
    std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
};

/// Queue of fixed capacity, in elements and in bytes, that connects two threads. Threads wait on a condition variable,
/// without spinning.
///
/// All methods are thread-safe. Elements are taken in the order in which they were added.
template <class T>
class bounded_ring {
public:
    /// Precondition: options.capacity > 0.
    explicit bounded_ring(bounded_ring_options<T> options) : options_(std::move(options)), slots_(options_.capacity)
    {
        assert(options_.capacity > 0);
    }

    /// Adds an element unless the ring is full or closed. Returns whether it was added. Does not block.
    [[nodiscard]] bool try_push(T element) { return try_move(element); }

    /// Like try_push(), but leaves the element as it is unless it was added.
    [[nodiscard]] bool try_move(T& element)
    {
        {
            const std::lock_guard lock(mutex_);
            if (closed_ || !fits(size_of(element))) {
                return false;
            }
            place(std::move(element));
        }
        announce();
        return true;
    }

    /// Adds an element, blocking while the ring is full. Returns false if the ring is closed.
    [[nodiscard]] bool push(T element)
    {
        {
            const std::size_t bytes = size_of(element);
            std::unique_lock lock(mutex_);
            has_space_.wait(lock, [this, bytes] { return closed_ || fits(bytes); });
            if (closed_) {
                return false;
            }
            place(std::move(element));
        }
        announce();
        return true;
    }

    /// Takes the oldest element, blocking until there is one. Returns nullopt once the ring is closed and empty.
    [[nodiscard]] std::optional<T> pop()
    {
        std::unique_lock lock(mutex_);
        has_element_.wait(lock, [this] { return closed_ || count_ > 0; });
        return take_oldest();
    }

    /// Takes the oldest element, blocking until `limit` at most. Returns nullopt on timeout, or once closed and empty.
    [[nodiscard]] std::optional<T> pop_until(instant limit)
    {
        std::unique_lock lock(mutex_);
        has_element_.wait_until(lock, limit, [this] { return closed_ || count_ > 0; });
        return take_oldest();
    }

    /// Takes the oldest element, blocking for `longest` at most. Returns nullopt on timeout, or once closed and empty.
    [[nodiscard]] std::optional<T> pop_for(duration longest)
    {
        std::unique_lock lock(mutex_);
        has_element_.wait_for(lock, longest, [this] { return closed_ || count_ > 0; });
        return take_oldest();
    }

    /// Takes the oldest element if there is one. Does not block.
    [[nodiscard]] std::optional<T> try_pop()
    {
        const std::lock_guard lock(mutex_);
        return take_oldest();
    }

    /// Closes the ring to further elements and wakes all waiting threads. Queued elements can still be taken.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        has_element_.notify_all();
        has_space_.notify_all();
    }

    [[nodiscard]] bool closed() const
    {
        const std::lock_guard lock(mutex_);
        return closed_;
    }

    /// Number of queued elements.
    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(mutex_);
        return count_;
    }

    /// Size of all queued elements; 0 if bytes are not counted.
    [[nodiscard]] std::size_t bytes() const
    {
        const std::lock_guard lock(mutex_);
        return bytes_;
    }

    /// Maximum number of queued elements.
    [[nodiscard]] std::size_t capacity() const { return options_.capacity; }

private:
    [[nodiscard]] std::size_t size_of(const T& element) const
    {
        return options_.size_of ? options_.size_of(element) : 0;
    }

    [[nodiscard]] bool fits(std::size_t bytes) const
    {
        const bool bytes_fit = bytes == 0 || bytes_ + bytes <= options_.max_bytes;
        return count_ == 0 || (count_ < slots_.size() && bytes_fit);
    }

    void place(T element)
    {
        bytes_ += size_of(element);
        slots_[(first_ + count_) % slots_.size()].emplace(std::move(element));
        ++count_;
    }

    void announce()
    {
        has_element_.notify_one();
        if (options_.on_push) {
            options_.on_push();
        }
    }

    std::optional<T> take_oldest()
    {
        if (count_ == 0) {
            return std::nullopt;
        }
        std::optional<T> oldest = std::move(slots_[first_]);
        slots_[first_].reset();
        first_ = (first_ + 1) % slots_.size();
        --count_;
        bytes_ -= size_of(*oldest);
        // Those that wait may need different room, so each of them has to look.
        has_space_.notify_all();
        return oldest;
    }

    const bounded_ring_options<T> options_;
    mutable std::mutex mutex_;
    std::condition_variable has_element_;
    std::condition_variable has_space_;
    std::vector<std::optional<T>> slots_;
    std::size_t first_ = 0;
    std::size_t count_ = 0;
    std::size_t bytes_ = 0;
    bool closed_ = false;
};

} // namespace citronfall
