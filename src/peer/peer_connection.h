#pragma once

#include "citronfall/instant.h"
#include "citronfall/peer_close_reason.h"
#include "citronfall/peer_message.h"
#include "socket/event_loop.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronfall {

/// Hooks and settings of a peer connection. The hooks run on the thread of the I/O context.
struct peer_connection_options {
    std::function<void(const peer_message&, std::size_t)> received; ///< Message and size of its frame in bytes.
    std::function<void(std::size_t)> sent;                          ///< Size of a written frame in bytes.
    std::function<void(peer_close_reason)> closed;                  ///< Called once, unless close() was called before.
    duration receive_timeout;    ///< The connection is closed if no frame arrives for this long.
    duration keepalive_interval; ///< A keepalive is sent if nothing has been sent for this long.
    failure_hook failed{};       ///< Reports an unexpected exception.
};

/// One TCP connection to another daemon that carries frames in both directions.
///
/// The kernel notices an instance that is gone; the time limits here are for a process that no longer runs.
///
/// Pending operations keep the object alive. Not thread-safe: used by the thread of the I/O context.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    peer_connection(boost::asio::ip::tcp::socket socket, peer_connection_options options);

    /// Connects and starts reading. Calls `closed(connect_failed)` if there is no connection within `timeout`.
    void connect(const boost::asio::ip::tcp::endpoint& target, duration timeout);

    /// Starts reading from a connection that the peer opened.
    void start();

    /// Queues an encoded message for sending. Returns false without queuing it if the peer reads too slowly.
    [[nodiscard]] bool send(const std::string& body);

    /// Sets for how long nothing may be sent before a keepalive is.
    void set_keepalive_interval(duration interval);

    /// Closes the socket without calling any further hook.
    void close();

private:
    void read_length();
    void read_body(std::size_t length);
    [[nodiscard]] bool pass_on();
    void write_next();
    void written(std::size_t frames);
    void start_keepalive();
    void await_receive_timeout();
    void start_timer(duration limit, peer_close_reason reason);
    void close_with(peer_close_reason reason);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer keepalive_timer_;
    peer_connection_options options_;
    std::array<std::uint8_t, 4> length_{};
    std::string body_;
    std::deque<std::string> queue_;
    std::size_t queued_bytes_ = 0;
    boost::asio::steady_timer::time_point received_at_;
    boost::asio::steady_timer::time_point sent_at_;
    bool connected_ = false;
    bool writing_ = false;
    bool closed_ = false;
};

} // namespace citronfall
