#pragma once

#include "frontend/responder_message.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>

namespace citronfall {

/// Guards the responder's access to the socket of one caller.
///
/// Pistache queues writes by file descriptor number. A write that is queued after the descriptor was closed could reach
/// a new caller whose connection got the same number. Therefore writes and shutdowns hold a lock that close() acquires
/// before Pistache closes the descriptor. All methods are thread-safe.
class caller_socket {
public:
    explicit caller_socket(int descriptor) : descriptor_(descriptor) {}

    /// Calls `write` and returns its result, or returns `rejected` if the connection is closed.
    [[nodiscard]] send_progress send(const std::function<send_progress()>& write);

    /// Stops reading requests and shuts down the given directions of the connection.
    void shut_down(shutdown_extent extent);

    /// Marks the descriptor as closed; send() and shut_down() no longer use it.
    void close();

    /// Whether requests are still read from the connection.
    [[nodiscard]] bool reading() const { return reading_; }

    /// Stops reading requests.
    void stop_reading() { reading_ = false; }

    /// Number of unanswered requests on the connection; limits pipelining.
    [[nodiscard]] std::atomic<std::size_t>& unanswered() { return unanswered_; }

private:
    std::mutex mutex_;
    int descriptor_;
    std::atomic<bool> reading_{true};
    std::atomic<std::size_t> unanswered_{0};
};

} // namespace citronfall
