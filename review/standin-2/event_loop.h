#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace review {

using steady_time = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// Event loop of a stand-in: sockets and timers on one thread. Not thread-safe.
class event_loop {
public:
    using callback = std::function<void()>;

    /// Calls `readable` whenever the descriptor can be read, and `writable` whenever it can be written. An empty
    /// callback is never called.
    void watch(int descriptor, callback readable, callback writable);

    /// Stops watching a descriptor.
    void forget(int descriptor);

    /// Calls `due` once after `delay`.
    void after(milliseconds delay, callback due);

    /// Calls `due` every `interval` from now on.
    void every(milliseconds interval, callback due);

    /// Runs until stop() is called.
    void run();

    void stop() { stopped_ = true; }

    [[nodiscard]] static steady_time now() { return std::chrono::steady_clock::now(); }

private:
    struct watched {
        callback readable;
        callback writable;
    };

    void run_timers();
    void poll_once();

    std::map<int, watched> watched_;
    std::multimap<steady_time, callback> timers_;
    bool stopped_ = false;
};

} // namespace review
