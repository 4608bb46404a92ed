#include "gateway/caller_server.h"

#include "core/endpoint_address.h"
#include "gateway/socket_options.h"

#include <array>
#include <atomic>
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
constexpr std::size_t read_bytes = 16 * 1024;

/// Limit on the unsent bytes of a caller that does not read: twice the longest message.
constexpr std::size_t max_unsent_bytes = 2 * 1024 * 1024;

/// Time for a caller to send its first message, or to complete a message. Without the limit a silent caller could hold
/// up to a megabyte of buffers. Callers wait two seconds for the answer to their first message.
constexpr duration message_timeout = std::chrono::seconds(5);

/// Delay after a failed accept, which would fail again at once while file descriptors are exhausted.
constexpr duration accept_pause = std::chrono::milliseconds(20);

} // namespace

class caller_server::parts {
public:
    explicit parts(caller_server_options options)
        : options_(std::move(options)), acceptor_(context_), retry_(context_),
          replies_({.capacity = options_.ring_capacity, .on_push = [this] {
                        if (!posted_.exchange(true)) {
                            asio::post(context_, [this] { take_replies(); });
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
        context_.run();
    }

    void stop()
    {
        replies_.close();
        context_.stop();
    }

private:
    struct session {
        explicit session(tcp::socket accepted) : socket(std::move(accepted)), message_timer(socket.get_executor()) {}

        tcp::socket socket;
        asio::steady_timer message_timer;
        bool timed = false; ///< Whether the timer is running.
        caller_decoder decoder;
        std::string writing;
        std::string unsent;
        bool started = false;
        bool close_when_sent = false;
    };
    using session_ptr = std::shared_ptr<session>;

    void accept();
    void add_session(tcp::socket socket);
    void time_message(session_number number, const session_ptr& each);
    void wait_readable(session_number number, const session_ptr& each);
    void read(session_number number, const session_ptr& each);
    void take_replies();
    void send(session_number number, const std::string& bytes, bool close_after);
    void write(session_number number, const session_ptr& each);
    void drop(session_number number, bool tell);

    caller_server_options options_;
    asio::io_context context_{1};
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    std::atomic<bool> posted_{false};
    bounded_ring<caller_reply> replies_;
    std::unordered_map<session_number, session_ptr> sessions_;
    session_number last_session_ = 0;
    std::array<char, read_bytes> buffer_{}; ///< Shared by all sessions: bytes are decoded before the next read.
};

result<done> caller_server::parts::open()
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

void caller_server::parts::accept()
{
    acceptor_.async_accept([this](error_code code, tcp::socket socket) {
        if (code == asio::error::operation_aborted) {
            return;
        }
        if (code) {
            retry_.expires_after(accept_pause);
            retry_.async_wait([this](error_code cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        if (sessions_.size() < options_.max_sessions) {
            add_session(std::move(socket));
        }
        accept();
    });
}

void caller_server::parts::add_session(tcp::socket socket)
{
    const session_number number = ++last_session_;
    const auto each = std::make_shared<session>(std::move(socket));
    set_tcp_options(each->socket.native_handle(), caller_tcp_timeouts);
    error_code ignored;
    each->socket.non_blocking(true, ignored);
    each->decoder = options_.make_decoder(number);
    sessions_.emplace(number, each);
    time_message(number, each);
    read(number, each);
}

/// Keeps the timer running while the first message is awaited or a message is incomplete.
void caller_server::parts::time_message(session_number number, const session_ptr& each)
{
    const bool whole = each->started && each->decoder.pending() == 0;
    if (whole && each->timed) {
        each->timed = false;
        each->message_timer.cancel();
    } else if (!whole && !each->timed) {
        each->timed = true;
        each->message_timer.expires_after(message_timeout);
        each->message_timer.async_wait([this, number, each](error_code code) {
            const bool due = each->message_timer.expiry() <= asio::steady_timer::clock_type::now();
            if (!code && each->timed && due) {
                drop(number, each->started);
            }
        });
    }
}

/// Waits for readability instead of reading, so that idle sessions need no buffer.
void caller_server::parts::wait_readable(session_number number, const session_ptr& each)
{
    each->socket.async_wait(tcp::socket::wait_read, [this, number, each](error_code code) {
        if (!code && each->socket.is_open()) {
            read(number, each);
        }
    });
}

void caller_server::parts::read(session_number number, const session_ptr& each)
{
    error_code code;
    const std::size_t count = each->socket.read_some(asio::buffer(buffer_), code);
    if (code == asio::error::would_block) {
        wait_readable(number, each);
        return;
    }
    if (code) {
        drop(number, true);
        return;
    }
    each->decoder.add({buffer_.data(), count});
    while (const auto event = each->decoder.next()) {
        each->started = true;
        options_.notify(*event);
        const auto* malformed = std::get_if<malformed_caller_message>(&*event);
        if (malformed != nullptr && (*malformed)->fatal) {
            return; // The reply closes the connection, so nothing more is read.
        }
        if (std::holds_alternative<caller_disconnected>(*event)) {
            drop(number, false);
            return;
        }
    }
    time_message(number, each);
    wait_readable(number, each);
}

void caller_server::parts::take_replies()
{
    posted_ = false;
    while (const auto reply = replies_.try_pop()) {
        const std::string bytes = options_.encode(*reply);
        if (const auto* ready = std::get_if<session_ready>(&*reply)) {
            send((*ready)->session, bytes, false);
        } else if (const auto* answer = std::get_if<statement_reply>(&*reply)) {
            send((*answer)->session, bytes, (*answer)->close_after);
        } else if (const auto* close = std::get_if<session_close>(&*reply)) {
            send((*close)->session, bytes, true);
        }
    }
}

void caller_server::parts::send(session_number number, const std::string& bytes, bool close_after)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) {
        return;
    }
    const session_ptr each = found->second;
    each->close_when_sent = each->close_when_sent || close_after;
    each->unsent += bytes;
    if (each->unsent.size() > max_unsent_bytes) {
        drop(number, true);
        return;
    }
    if (each->writing.empty()) {
        write(number, each);
    }
}

void caller_server::parts::write(session_number number, const session_ptr& each)
{
    if (each->unsent.empty()) {
        if (each->close_when_sent) {
            drop(number, false);
        }
        return;
    }
    each->writing = std::exchange(each->unsent, {});
    asio::async_write(each->socket, asio::buffer(each->writing), [this, number, each](error_code code, std::size_t) {
        each->writing.clear();
        if (code == asio::error::operation_aborted) {
            return;
        }
        if (code) {
            drop(number, true);
            return;
        }
        write(number, each);
    });
}

/// Closes a connection. `tell`: whether to notify the decision thread.
void caller_server::parts::drop(session_number number, bool tell)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) {
        return;
    }
    const session_ptr each = found->second;
    sessions_.erase(found);
    error_code ignored;
    each->message_timer.cancel(ignored);
    each->socket.shutdown(tcp::socket::shutdown_both, ignored);
    each->socket.close(ignored);
    if (tell) {
        options_.notify(caller_disconnected{{.session = number}});
    }
}

caller_server::caller_server(caller_server_options options) : parts_(std::make_unique<parts>(std::move(options))) {}

caller_server::~caller_server() = default;

result<done> caller_server::open()
{
    return parts_->open();
}

bounded_ring<caller_reply>& caller_server::replies()
{
    return parts_->replies();
}

void caller_server::run()
{
    parts_->run();
}

void caller_server::stop()
{
    parts_->stop();
}

} // namespace citronfall
