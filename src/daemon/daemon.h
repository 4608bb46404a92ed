#pragma once

#include "citronfall/daemon_settings.h"
#include "citronfall/result.h"

#include <memory>

namespace citronfall {

/// One running daemon: its threads and the bounded rings that connect them.
class daemon {
public:
    /// Builds all parts and binds the ports for callers and peers. Error: bad_request if a part cannot be built or a
    /// port cannot be bound.
    [[nodiscard]] static result<std::unique_ptr<daemon>> make(const daemon_settings& settings);

    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;

    /// Serves requests until the daemon has drained. To be called once, by the thread that made the daemon.
    void run();

    /// Starts a drain: the daemon finishes its work in progress, then run() returns. Thread-safe, but must not be
    /// called from a signal handler.
    void drain();

private:
    class impl;

    explicit daemon(std::unique_ptr<impl> all);

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
