#include "gateway/caller_server.h"

#include "core/endpoint_address.h"
#include "socket/socket_options.h"

#include <array>
#include <atomic>
#include <exception>
#include <unordered_map>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace citronfall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// Size of one read; statements are a few hundred bytes.
constexpr std::size_t read_buffer_size = 16 * 1024;

/// Limit on the unsent bytes of a caller that does not read: twice the longest message.
constexpr std::size_t max_unsent_bytes = 2 * 1024 * 1024;

/// Time for a caller to send its first message, or to complete a message. Without the limit a silent caller could hold
/// up to a megabyte of buffers. Callers wait two seconds for the answer to their first message.
constexpr duration message_timeout = std::chrono::seconds(5);

/// Time for a caller to close its connection after the notice of the close, before the daemon ends its side: a round
/// trip, also on a link with a full queue.
constexpr duration notice_timeout = std::chrono::milliseconds(1000);

/// Time for a caller to close its connection once the daemon has ended its side.
constexpr duration close_timeout = std::chrono::milliseconds(300);

/// Delay after a failed accept, which would fail again at once while file descriptors are exhausted.
constexpr duration accept_retry_delay = std::chrono::milliseconds(20);

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

class caller_server::impl {
public:
    explicit impl(caller_server_options options)
        : options_(std::move(options)), acceptor_(context_), accept_retry_timer_(context_),
          replies_({.capacity = options_.ring_capacity, .on_push = [this] {
                        if (!send_posted_.exchange(true)) {
                            asio::post(context_, [this] { send_replies(); });
                        }
                    }})
    {
    }

    result<done> open();
    bounded_ring<caller_reply>& replies() { return replies_; }

    void run()
    {
        accept();
        const auto work = asio::make_work_guard(context_);
        run_event_loop(context_, options_.failed);
        error_code ignored;
        acceptor_.close(ignored); // Nothing reads a connection that the kernel would accept from now on.
    }

    void stop()
    {
        replies_.close();
        context_.stop();
    }

    connections_left left() const;

private:
    struct connection_state {
        explicit connection_state(tcp::socket accepted)
            : socket(std::move(accepted)), message_timer(socket.get_executor()), close_timer(socket.get_executor())
        {
        }

        /// Upper bound: a write in progress counts in full.
        [[nodiscard]] std::size_t unsent_bytes() const { return writing.size() + unsent.size(); }

        /// Bytes that the kernel or the decoder holds.
        [[nodiscard]] std::size_t unread_bytes() const
        {
            error_code ignored;
            return decoder.pending() + socket.available(ignored);
        }

        tcp::socket socket;
        asio::steady_timer message_timer;
        asio::steady_timer close_timer; ///< Runs from the notice of a close.
        bool timer_running = false;
        caller_decoder decoder;
        std::string writing;
        std::string unsent;
        bool started = false;
        message_count received = 0; ///< Messages passed on since the start of the session.
        bool reading = true;
        bool close_noticed = false; ///< The notice of a close was sent, and no statement was read since.
        bool close_when_sent = false;
    };
    using connection_ptr = std::shared_ptr<connection_state>;

    void accept();
    void add_connection(tcp::socket socket);
    void update_message_timer(session_number session, const connection_ptr& connection);
    void wait_readable(session_number session, const connection_ptr& connection);
    void read_guarded(session_number session, const connection_ptr& connection);
    void read(session_number session, const connection_ptr& connection);
    void pass_on_messages(session_number session, const connection_ptr& connection);
    bool may_close(session_number session, const std::optional<close_offer>& offer);
    void send_replies();
    void send(session_number session, const std::string& bytes);
    void send_last(session_number session, const std::string& bytes);
    void send_notice(session_number session, const std::string& bytes);
    void write(session_number session, const connection_ptr& connection);
    void shut_down(session_number session, const connection_ptr& connection);
    void await_close(session_number session, const connection_ptr& connection);
    void drop(session_number session, session_end_reason reason);

    caller_server_options options_;
    asio::io_context context_{1};
    tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_;
    std::atomic<bool> send_posted_{false};
    bounded_ring<caller_reply> replies_;
    std::unordered_map<session_number, connection_ptr> connections_;
    session_number last_session_ = 0;
    std::array<char, read_buffer_size> buffer_{}; ///< Shared by all sessions: bytes are decoded before the next read.
};

result<done> caller_server::impl::open()
{
    const auto address = endpoint_address::make(options_.address);
    if (!ok(address)) {
        return error_of(address);
    }
    const tcp::endpoint endpoint(asio::ip::make_address(value_of(address)->host), value_of(address)->port);
    error_code code;
    acceptor_.open(endpoint.protocol(), code);
    if (!code) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), code);
    }
    if (!code) {
        acceptor_.bind(endpoint, code);
    }
    if (!code) {
        acceptor_.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
        return error{{.kind = error_kind::bad_request, .detail = options_.address + ": " + code.message()}};
    }
    return done{};
}

void caller_server::impl::accept()
{
    acceptor_.async_accept([this](error_code code, tcp::socket socket) {
        if (code == asio::error::operation_aborted) {
            return;
        }
        if (code) {
            accept_retry_timer_.expires_after(accept_retry_delay);
            accept_retry_timer_.async_wait([this](error_code cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        if (connections_.size() < options_.max_sessions) {
            add_connection(std::move(socket));
        } else {
            options_.notify(caller_disconnected{{.reason = session_end_reason::connection_limit}});
        }
        accept();
    });
}

void caller_server::impl::add_connection(tcp::socket socket)
{
    const session_number session = ++last_session_;
    const auto connection = std::make_shared<connection_state>(std::move(socket));
    set_tcp_options(connection->socket.native_handle(), caller_tcp_timeouts);
    error_code ignored;
    connection->socket.non_blocking(true, ignored);
    connection->decoder = options_.make_decoder(session);
    connections_.emplace(session, connection);
    update_message_timer(session, connection);
    wait_readable(session, connection);
}

/// Keeps the timer running while the first message is awaited or a message is incomplete.
void caller_server::impl::update_message_timer(session_number session, const connection_ptr& connection)
{
    const bool complete = connection->started && connection->decoder.pending() == 0;
    if (complete && connection->timer_running) {
        connection->timer_running = false;
        connection->message_timer.cancel();
    } else if (!complete && !connection->timer_running) {
        connection->timer_running = true;
        connection->message_timer.expires_after(message_timeout);
        connection->message_timer.async_wait([this, session, connection](error_code code) {
            const bool due = connection->message_timer.expiry() <= asio::steady_timer::clock_type::now();
            if (!code && connection->timer_running && due) {
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
    if (connection->reading) {
        update_message_timer(session, connection);
    }
}

void caller_server::impl::pass_on_messages(session_number session, const connection_ptr& connection)
{
    while (const auto event = connection->decoder.next()) {
        const auto* malformed = std::get_if<malformed_caller_message>(&*event);
        connection->started = true;
        if (malformed != nullptr || std::holds_alternative<caller_statement>(*event)) {
            ++connection->received;
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

void caller_server::impl::send_replies()
{
    send_posted_ = false;
    while (const auto reply = replies_.try_pop()) {
        const std::string bytes = options_.encode(*reply);
        if (const auto* ready = std::get_if<session_ready>(&*reply)) {
            send((*ready)->session, bytes);
        } else if (const auto* answer = std::get_if<statement_reply>(&*reply)) {
            send((*answer)->session, bytes);
        } else if (const auto* close = std::get_if<session_close>(&*reply)) {
            if (may_close((*close)->session, (*close)->offer)) {
                const bool leaves_close_to_caller = (*close)->offer && !(*close)->offer->last;
                leaves_close_to_caller ? send_notice((*close)->session, bytes) : send_last((*close)->session, bytes);
            }
        }
    }
}

/// Sends the last bytes of a connection and closes it.
void caller_server::impl::send_last(session_number session, const std::string& bytes)
{
    if (const auto found = connections_.find(session); found != connections_.end()) {
        found->second->reading = false;
        found->second->close_when_sent = true;
        send(session, bytes);
    }
}

/// Sends the error that announces a close. The caller closes the connection, or takes the error for the beginning of
/// the answer to a statement that is already on its way.
void caller_server::impl::send_notice(session_number session, const std::string& bytes)
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
    send(session, bytes);
}

void caller_server::impl::send(session_number session, const std::string& bytes)
{
    const auto found = connections_.find(session);
    if (found == connections_.end()) {
        return;
    }
    const connection_ptr connection = found->second;
    connection->unsent += bytes;
    if (connection->unsent.size() > max_unsent_bytes) {
        drop(session, session_end_reason::unsent_limit);
        return;
    }
    if (connection->writing.empty()) {
        write(session, connection);
    }
}

void caller_server::impl::write(session_number session, const connection_ptr& connection)
{
    if (connection->unsent.empty()) {
        if (connection->close_when_sent) {
            shut_down(session, connection);
        }
        return;
    }
    connection->writing = std::exchange(connection->unsent, {});
    asio::async_write(connection->socket, asio::buffer(connection->writing),
                      [this, session, connection](error_code code, std::size_t) {
                          connection->writing.clear();
                          if (code == asio::error::operation_aborted) {
                              return;
                          }
                          if (code) {
                              drop(session, session_end_reason::write_failed);
                              return;
                          }
                          write(session, connection);
                      });
}

/// Ends this side of the connection and waits until the caller closes it. Closing at once would reset the connection if
/// the caller still sends, and the answer would be lost with it.
void caller_server::impl::shut_down(session_number session, const connection_ptr& connection)
{
    error_code ignored;
    connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
    connection->timer_running = false;
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

/// Closes a connection and notifies the decision thread, unless that has ended the session itself and nothing is left.
void caller_server::impl::drop(session_number session, session_end_reason reason)
{
    const auto found = connections_.find(session);
    if (found == connections_.end()) {
        return;
    }
    const connection_ptr connection = found->second;
    connections_.erase(found);
    connection->reading = false;
    const std::uint64_t unread_bytes = connection->unread_bytes();
    error_code ignored;
    connection->message_timer.cancel(ignored);
    connection->close_timer.cancel(ignored);
    connection->socket.shutdown(tcp::socket::shutdown_both, ignored);
    connection->socket.close(ignored);
    if (reason != session_end_reason::caller_left || unread_bytes > 0) {
        options_.notify(caller_disconnected{{.session = session,
                                             .reason = reason,
                                             .unsent_bytes = connection->unsent_bytes(),
                                             .unread_bytes = unread_bytes}});
    }
}

connections_left caller_server::impl::left() const
{
    connections_left_fields left{.connections = connections_.size()};
    for (const auto& [session, connection] : connections_) {
        left.unsent_bytes += connection->unsent_bytes();
        left.unread_bytes += connection->unread_bytes();
    }
    return connections_left{left};
}

caller_server::caller_server(caller_server_options options) : impl_(std::make_unique<impl>(std::move(options))) {}

caller_server::~caller_server() = default;

result<done> caller_server::open()
{
    return impl_->open();
}

bounded_ring<caller_reply>& caller_server::replies()
{
    return impl_->replies();
}

void caller_server::run()
{
    impl_->run();
}

void caller_server::stop()
{
    impl_->stop();
}

connections_left caller_server::left() const
{
    return impl_->left();
}

} // namespace citronfall
