#pragma once

#include "citronfall/bounded_ring.h"
#include "citronfall/upstream_command.h"
#include "citronfall/upstream_event.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace citronfall {

/// Settings of an upstream service.
struct upstream_service_options {
    std::size_t ring_capacity = 8192;                  ///< Maximum number of waiting commands.
    std::function<void(const upstream_event&)> notify; ///< Called on the service's thread; may block.
};

/// The TCP connections to database members. Each connection carries one exchange, a call and its answer, at a time.
///
/// run() is the main function of the upstream thread; commands() and stop() are thread-safe.
class upstream_service {
public:
    explicit upstream_service(upstream_service_options options);
    ~upstream_service();
    upstream_service(const upstream_service&) = delete;
    upstream_service& operator=(const upstream_service&) = delete;
    upstream_service(upstream_service&&) = delete;
    upstream_service& operator=(upstream_service&&) = delete;

    /// The ring through which the service receives its commands.
    [[nodiscard]] bounded_ring<upstream_command>& commands();

    /// Serves connections until stop() is called.
    void run();

    /// Makes run() return. Open connections are closed without further events.
    void stop();

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
