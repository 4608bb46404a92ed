#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace citronfall {

/// Bytes to send on a connection, in order. A long answer is kept as it came, so that it is never copied.
///
/// Not thread-safe.
class output_queue {
public:
    void add(std::string bytes);

    /// Unsent part of the oldest bytes; empty if there are none.
    [[nodiscard]] std::string_view front() const;

    /// Removes bytes that were sent. Precondition: `count` is at most the size of front().
    void remove(std::size_t count);

    [[nodiscard]] bool empty() const { return size_ == 0; }

    /// Number of unsent bytes.
    [[nodiscard]] std::size_t size() const { return size_; }

private:
    std::deque<std::string> parts_;
    std::size_t sent_ = 0; ///< Bytes of the first part that were sent.
    std::size_t size_ = 0;
};

} // namespace citronfall
