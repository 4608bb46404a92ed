#include "event_loop.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <poll.h>

namespace review {

void event_loop::watch(int descriptor, callback readable, callback writable)
{
    watched_[descriptor] = {std::move(readable), std::move(writable)};
}

void event_loop::forget(int descriptor)
{
    watched_.erase(descriptor);
}

void event_loop::after(milliseconds delay, callback due)
{
    timers_.emplace(now() + delay, std::move(due));
}

void event_loop::every(milliseconds interval, callback due)
{
    after(interval, [this, interval, due] {
        due();
        every(interval, due);
    });
}

void event_loop::run()
{
    while (!stopped_) {
        run_timers();
        poll_once();
    }
}

void event_loop::run_timers()
{
    while (!stopped_ && !timers_.empty() && timers_.begin()->first <= now()) {
        const callback due = timers_.begin()->second;
        timers_.erase(timers_.begin());
        due();
    }
}

void event_loop::poll_once()
{
    constexpr int longest_wait_ms = 20;
    std::vector<pollfd> descriptors;
    descriptors.reserve(watched_.size());
    for (const auto& [descriptor, each] : watched_) {
        const int events = (each.readable ? POLLIN : 0) | (each.writable ? POLLOUT : 0);
        if (events != 0) {
            descriptors.push_back({.fd = descriptor, .events = static_cast<short>(events), .revents = 0});
        }
    }
    int wait_ms = longest_wait_ms;
    if (!timers_.empty()) {
        const auto left = std::chrono::ceil<milliseconds>(timers_.begin()->first - now()).count();
        wait_ms = static_cast<int>(std::clamp<long>(left, 0, longest_wait_ms));
    }
    if (poll(descriptors.data(), descriptors.size(), wait_ms) <= 0) {
        return;
    }
    for (const pollfd& each : descriptors) {
        if ((each.revents & POLLOUT) != 0) {
            if (const auto found = watched_.find(each.fd); found != watched_.end() && found->second.writable) {
                const callback writable = found->second.writable;
                writable();
            }
        }
        if ((each.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            if (const auto found = watched_.find(each.fd); found != watched_.end() && found->second.readable) {
                const callback readable = found->second.readable;
                readable();
            }
        }
    }
}

} // namespace review
