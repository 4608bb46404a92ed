#include "gateway/caller_server_impl.h"
#include "gateway/message_size.h"

#include <exception>

namespace citronfall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// Marks a message that has to be answered as the first one after the notice of a close.
caller_event after_close_notice(const caller_event& event)
{
    const auto mark = [](auto& fields) {
        fields.after_close_notice = true;
    };
    if (const auto* statement = std::get_if<caller_statement>(&event)) {
        return with(*statement, mark);
    }
    if (const auto* malformed = std::get_if<malformed_caller_message>(&event)) {
        return with(*malformed, mark);
    }
    return event;
}

} // namespace

/// Keeps the timer running while the first message is awaited or a message is incomplete.
void caller_server::impl::update_message_timer(session_number session, const connection_ptr& connection)
{
    const bool complete = connection->started && connection->decoder.pending() == 0;
    if (complete && connection->message_timer_on) {
        connection->message_timer_on = false;
        connection->message_timer.cancel();
    } else if (!complete && !connection->message_timer_on) {
        connection->message_timer_on = true;
        connection->message_timer.expires_after(options_.message_timeout);
        connection->message_timer.async_wait([this, session, connection](error_code code) {
            const bool due = connection->message_timer.expiry() <= asio::steady_timer::clock_type::now();
            if (!code && connection->message_timer_on && due) {
                drop(session, session_end_reason::message_timeout);
            }
        });
    }
}

/// Waits for readability instead of reading, so that idle sessions need no buffer.
void caller_server::impl::wait_readable(session_number session, const connection_ptr& connection)
{
    connection->socket.async_wait(tcp::socket::wait_read, [this, session, connection](error_code code) {
        if (!code && connection->reading) {
            read_guarded(session, connection);
            if (connection->reading) {
                wait_readable(session, connection);
            }
        }
    });
}

/// An unexpected exception ends the caller's connection and no other.
void caller_server::impl::read_guarded(session_number session, const connection_ptr& connection)
{
    try {
        read(session, connection);
    } catch (const std::exception& problem) {
        drop(session, session_end_reason::read_failed);
        if (options_.failed) {
            options_.failed(problem.what());
        }
    }
}

void caller_server::impl::read(session_number session, const connection_ptr& connection)
{
    error_code code;
    const std::size_t count = connection->socket.read_some(asio::buffer(buffer_), code);
    if (code == asio::error::would_block) {
        return;
    }
    if (code) {
        const auto reason =
            code == asio::error::eof ? session_end_reason::caller_closed : session_end_reason::read_failed;
        drop(session, connection->close_noticed ? session_end_reason::closed_by_daemon : reason);
        return;
    }
    connection->decoder.add({buffer_.data(), count});
    pass_on_messages(session, connection);
    account(session, *connection);
    if (connection->reading) {
        update_message_timer(session, connection);
    }
}

void caller_server::impl::pass_on_messages(session_number session, const connection_ptr& connection)
{
    while (const auto event = connection->decoder.next()) {
        const auto* malformed = std::get_if<malformed_caller_message>(&*event);
        connection->started = true;
        connection->used_at = steady_now();
        if (malformed != nullptr || std::holds_alternative<caller_statement>(*event)) {
            ++connection->received;
            connection->add_unanswered(size_of(*event));
            account(session, *connection);
            if (!connection->reading) {
                return; // Disconnected: the message was one too many.
            }
        }
        const bool after_notice = std::exchange(connection->close_noticed, false);
        options_.notify(after_notice ? after_close_notice(*event) : *event);
        if (malformed != nullptr && (*malformed)->fatal) {
            connection->reading = false; // The reply closes the connection, so nothing more is read.
            return;
        }
        if (std::holds_alternative<caller_disconnected>(*event)) {
            drop(session, session_end_reason::caller_left);
            return;
        }
    }
}

/// Whether the connection is to be closed. An offer is void if a message, even an incomplete one, has arrived since.
bool caller_server::impl::may_close(session_number session, const std::optional<close_offer>& offer)
{
    const auto found = connections_.find(session);
    if (!offer || found == connections_.end()) {
        return true;
    }
    const connection_ptr connection = found->second;
    if (connection->reading) {
        read_guarded(session, connection);
    }
    connection->reading = connection->reading && !offer->last;
    const bool reads_on = connection->reading && connection->decoder.pending() != 0;
    return connection->received == offer->received && !reads_on;
}

} // namespace citronfall
