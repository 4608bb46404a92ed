#pragma once

#include "event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// Bandwidth of one machine's link, shared by the streams that send over it.
struct link_rate {
    double bytes_per_ms = 0; ///< 0: unlimited.
    double allowed = 0;      ///< Bytes that may be sent at once.
    steady_time counted_at{};
};

/// A TCP connection on loopback with buffers for both directions. Not thread-safe.
class stream : public std::enable_shared_from_this<stream> {
public:
    stream(event_loop& loop, int descriptor, std::shared_ptr<link_rate> rate);
    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    /// Starts to read. `received` is called after new bytes were added to input, `closed` when the peer has closed.
    void start(std::function<void()> received, std::function<void()> closed);

    /// Adds bytes to the output; without effect once the stream is closed.
    void send(const std::string& bytes);

    /// From now on nothing is read and nothing is sent, and the connection stays open: the other side is silent.
    void fall_silent();

    void close();

    [[nodiscard]] bool open() const { return descriptor_ >= 0; }

    std::string input; ///< Bytes received and not yet used; the user removes what it has used.

private:
    void watch();
    void read_some();
    void write_some();

    event_loop& loop_;
    int descriptor_;
    std::shared_ptr<link_rate> rate_;
    std::function<void()> received_;
    std::function<void()> closed_;
    std::string output_;
    std::size_t sent_ = 0; ///< Bytes of the output that have been sent.
    bool silent_ = false;
};

using stream_ptr = std::shared_ptr<stream>;

/// Listens on a free port of 127.0.0.1 and accepts connections. Not thread-safe.
class listener {
public:
    listener(event_loop& loop, std::function<void(stream_ptr)> accepted, std::shared_ptr<link_rate> rate = nullptr);

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// While not accepting, connections are completed by the system and get no answer.
    void set_accepting(bool accepting);

    /// Closes the port: later connections are refused.
    void stop();

private:
    void watch();

    event_loop& loop_;
    std::function<void(stream_ptr)> accepted_;
    std::shared_ptr<link_rate> rate_;
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
};

/// A loopback address and a port.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;
};

/// Connects to a loopback address; null if that is refused.
stream_ptr connect_to(event_loop& loop, const endpoint& target);

} // namespace review
