#pragma once

#include "citronfall/instant.h"
#include "gateway/caller_decoder.h"
#include "gateway/output_queue.h"
#include "overload/session_eviction.h"

#include <cstddef>
#include <deque>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronfall {

/// One caller's connection: its socket, its decoder, its statements without an answer and its unsent bytes.
///
/// Not thread-safe: owned by the caller thread.
class caller_connection {
public:
    caller_connection(boost::asio::ip::tcp::socket accepted, caller_decoder made_decoder, instant now);

    /// Notes that a message was passed on that will be answered.
    void add_unanswered(std::size_t bytes);

    /// Notes that the oldest unanswered message is answered.
    void remove_unanswered();

    /// Memory that the caller's messages take, here and on other threads.
    [[nodiscard]] std::size_t input_bytes() const;

    /// Bytes that the kernel or the decoder holds.
    [[nodiscard]] std::size_t unread_bytes() const;

    /// Sends unsent bytes until none is left or the caller takes no more. Returns the error of the socket, if any;
    /// would_block if bytes are left.
    boost::system::error_code send_some(instant now);

    /// How the connection counts when a new one finds no room.
    [[nodiscard]] connection_use use(std::uint64_t number) const;

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer message_timer;
    boost::asio::steady_timer output_timer;
    boost::asio::steady_timer close_timer; ///< Runs from the notice of a close.
    caller_decoder decoder;
    output_queue output;
    instant used_at;               ///< When it was accepted or last sent a message.
    instant sent_at;               ///< When the caller last took bytes.
    bool message_timer_on = false; ///< A first message or the rest of a message is awaited.
    bool writing = false;          ///< Unsent bytes wait for the socket.
    bool started = false;          ///< The first message has arrived.
    bool in_transaction = false;   ///< As of the last answer.
    std::uint64_t received = 0;    ///< Messages passed on since the start of the session.
    bool reading = true;
    bool close_noticed = false; ///< The notice of a close was sent, and no statement was read since.
    bool close_when_sent = false;

private:
    std::deque<std::size_t> unanswered_; ///< Sizes of the messages without an answer.
    std::size_t unanswered_bytes_ = 0;
};

} // namespace citronfall
