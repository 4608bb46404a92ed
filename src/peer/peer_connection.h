#pragma once

#include "citronfall/instant.h"
#include "citronfall/peer_close_reason.h"
#include "citronfall/peer_message.h"
#include "peer/peer_frame.h"
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
    std::function<void(std::size_t)> holds;                         ///< Bytes of incomplete messages held from now on.
    std::function<void()> dropped; ///< A message that arrived in pieces was too long and is dropped.
    std::size_t max_message_bytes; ///< Longest message that is received.
    duration first_frame_timeout;  ///< Time for the peer to send its first frame.
    duration send_timeout;    ///< The connection is closed if the peer takes none of the waiting bytes for this long.
    duration receive_timeout; ///< The connection is closed if no frame arrives for this long.
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

    /// Queues an encoded message for sending; a long one goes in pieces, between which other messages are sent.
    /// Returns false without queuing it if the peer reads too slowly.
    [[nodiscard]] bool send(const std::string& body);

    /// Whether a message is so long that it goes in pieces. Thread-safe.
    [[nodiscard]] static bool is_long(const std::string& body);

    /// Bytes of long messages that wait to be sent.
    [[nodiscard]] std::size_t long_bytes() const { return long_bytes_; }

    /// Accepts frames of any legal length. Until then a frame has room for the first message of a daemon only.
    void accept_all_frames() { accepts_all_frames_ = true; }

    /// Sets whether the peer accepts messages in pieces. If not, a long message goes in one frame if it fits.
    void send_in_pieces(bool accepted) { sends_pieces_ = accepted; }

    /// Drops the message that is arriving in pieces, now and until its end.
    void drop_pieces();

    /// Sets for how long nothing may be sent before a keepalive is.
    void set_keepalive_interval(duration interval);

    /// Closes the socket without calling any further hook.
    void close();

private:
    struct queued_frame {
        std::string bytes;
        bool piece = false; ///< Part of a long message.
    };

    void read_header();
    void read_body(const frame_header& header);
    [[nodiscard]] bool pass_on(frame_kind kind);
    [[nodiscard]] bool decode(const std::string& message);
    void report_held();
    void write_next();
    void add_piece();
    void wait_writable();
    void fail_write();
    void written(std::size_t count);
    void start_keepalive();
    [[nodiscard]] duration receive_limit() const;
    void await_receive_timeout();
    void start_timer(duration limit, peer_close_reason reason);
    void close_with(peer_close_reason reason);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer keepalive_timer_;
    boost::asio::steady_timer send_timer_; ///< Runs while the peer takes no bytes.
    peer_connection_options options_;
    std::array<std::uint8_t, frame_header::size> header_{};
    std::string body_;
    std::string pieces_; ///< The beginning of a message that arrives in pieces.
    std::size_t reported_held_ = 0;
    std::deque<queued_frame> queue_;
    std::size_t front_sent_ = 0; ///< Bytes of the first frame that were written.
    std::size_t queued_bytes_ = 0;
    std::deque<std::string> long_messages_;
    std::size_t long_bytes_ = 0;
    std::size_t long_sent_ = 0; ///< Bytes of the first long message that are in frames.
    boost::asio::steady_timer::time_point received_at_;
    boost::asio::steady_timer::time_point sent_at_;
    bool accepts_all_frames_ = false;
    bool sends_pieces_ = false;
    bool drops_pieces_ = false;
    bool connected_ = false;
    bool waits_to_write_ = false;
    bool piece_queued_ = false;
    bool closed_ = false;
};

} // namespace citronfall
