#include "gateway/caller_server_impl.h"

#include <utility>

namespace citronfall {
namespace {

using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

/// Time for a caller to close its connection after the notice of the close, before the daemon ends its side: a round
/// trip, also on a link with a full queue.
constexpr duration notice_timeout = std::chrono::milliseconds(1000);

/// Time for a caller to close its connection once the daemon has ended its side.
constexpr duration close_timeout = std::chrono::milliseconds(300);

} // namespace

void caller_server::impl::send_replies()
{
    send_posted_ = false;
    while (const auto reply = replies_.try_pop()) {
        std::string bytes = options_.encode(*reply);
        if (const auto* ready = std::get_if<session_ready>(&*reply)) {
            send((*ready)->session, std::move(bytes));
        } else if (const auto* answer = std::get_if<statement_reply>(&*reply)) {
            send_answer(*answer, std::move(bytes));
        } else if (const auto* close = std::get_if<session_close>(&*reply)) {
            if (may_close((*close)->session, (*close)->offer)) {
                const bool leaves_close_to_caller = (*close)->offer && !(*close)->offer->last;
                leaves_close_to_caller ? send_notice((*close)->session, std::move(bytes))
                                       : send_last((*close)->session, std::move(bytes));
            }
        }
    }
}

void caller_server::impl::send_answer(const statement_reply& answer, std::string bytes)
{
    if (const auto found = connections_.find(answer->session); found != connections_.end()) {
        found->second->remove_unanswered();
        found->second->in_transaction = answer->state != transaction_state::none;
        send(answer->session, std::move(bytes));
    }
}

/// Sends the last bytes of a connection and closes it.
void caller_server::impl::send_last(session_number session, std::string bytes)
{
    if (const auto found = connections_.find(session); found != connections_.end()) {
        found->second->reading = false;
        found->second->close_when_sent = true;
        send(session, std::move(bytes));
    }
}

/// Sends the error that announces a close. The caller closes the connection, or takes the error for the beginning of
/// the answer to a statement that is already on its way.
void caller_server::impl::send_notice(session_number session, std::string bytes)
{
    const auto found = connections_.find(session);
    if (found == connections_.end()) {
        return;
    }
    const connection_ptr connection = found->second;
    connection->close_noticed = true;
    connection->close_timer.expires_after(notice_timeout);
    connection->close_timer.async_wait([this, session, connection](error_code code) {
        if (!code && connection->close_noticed) {
            send_last(session, {});
        }
    });
    send(session, std::move(bytes));
}

void caller_server::impl::send(session_number session, std::string bytes)
{
    const auto found = connections_.find(session);
    if (found == connections_.end()) {
        return;
    }
    const connection_ptr connection = found->second;
    if (connection->output.empty()) {
        connection->sent_at = steady_now();
    }
    connection->output.add(std::move(bytes));
    if (!connection->writing) {
        write(session, connection);
    }
    account(session, *connection);
}

void caller_server::impl::write(session_number session, const connection_ptr& connection)
{
    const error_code code = connection->send_some(steady_now());
    if (code == boost::asio::error::would_block) {
        wait_writable(session, connection);
    } else if (code) {
        drop(session, session_end_reason::write_failed);
    } else if (connection->close_when_sent) {
        shut_down(session, connection);
    }
}

void caller_server::impl::wait_writable(session_number session, const connection_ptr& connection)
{
    if (!std::exchange(connection->writing, true)) {
        await_progress(session, connection);
    }
    connection->socket.async_wait(tcp::socket::wait_write, [this, session, connection](error_code code) {
        if (code || !connections_.contains(session)) {
            return;
        }
        connection->writing = false;
        write(session, connection);
        account(session, *connection);
    });
}

/// Disconnects a caller that takes none of the bytes that wait for it.
void caller_server::impl::await_progress(session_number session, const connection_ptr& connection)
{
    connection->output_timer.expires_at(connection->sent_at + options_.output_timeout);
    connection->output_timer.async_wait([this, session, connection](error_code code) {
        if (code || connection->output.empty()) {
            return;
        }
        if (steady_now() - connection->sent_at >= options_.output_timeout) {
            drop(session, session_end_reason::output_timeout);
        } else {
            await_progress(session, connection);
        }
    });
}

/// Ends this side of the connection and waits until the caller closes it. Closing at once would reset the connection if
/// the caller still sends, and the answer would be lost with it.
void caller_server::impl::shut_down(session_number session, const connection_ptr& connection)
{
    error_code ignored;
    connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
    connection->message_timer_on = false;
    connection->message_timer.expires_after(close_timeout);
    connection->message_timer.async_wait([this, session](error_code code) {
        if (!code) {
            drop(session, session_end_reason::closed_by_daemon);
        }
    });
    await_close(session, connection);
}

/// Messages that arrive now are not read: a message that was read would have to be answered.
void caller_server::impl::await_close(session_number session, const connection_ptr& connection)
{
    connection->socket.async_wait(tcp::socket::wait_read, [this, session, connection](error_code code) {
        error_code ignored;
        if (!code && connection->socket.available(ignored) == 0) {
            drop(session, session_end_reason::closed_by_daemon);
        }
    });
}

} // namespace citronfall
