#pragma once

#include "citronfall/daemon_settings.h"
#include "citronfall/decision_event.h"
#include "citronfall/result.h"
#include "frontend/responder_message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace citronfall {

/// Hooks and settings of an http_front_end.
struct http_front_end_options {
    daemon_settings settings;
    std::function<bool(decision_event)> submit; ///< Sends an event to the decision thread; false if its ring is full.
    std::function<void(responder_message)> respond; ///< Sends a message to the responder thread; may block.
    /// Members' answers are read up to 8 MiB, and JSON escaping can enlarge them.
    std::size_t max_response_bytes = 16 * 1024 * 1024;
};

/// HTTP server for callers, based on Pistache. Decodes requests and passes them on without waiting for their answers.
///
/// start() and stop() are called by the owning thread; requests are handled on Pistache's threads.
class http_front_end {
public:
    explicit http_front_end(http_front_end_options options);
    ~http_front_end();
    http_front_end(const http_front_end&) = delete;
    http_front_end& operator=(const http_front_end&) = delete;
    http_front_end(http_front_end&&) = delete;
    http_front_end& operator=(http_front_end&&) = delete;

    /// Starts listening and serving on its own threads. Error: bad_request if the address cannot be bound.
    [[nodiscard]] result<done> start();

    /// Stops serving. Pistache aborts the requests in progress, so the daemon must have been drained before.
    void stop();

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
