#pragma once

#include "gateway/caller_connection.h"
#include "gateway/caller_server.h"
#include "gateway/message_size.h"
#include "overload/byte_ledger.h"
#include "socket/tcp_listener.h"

#include <array>
#include <atomic>
#include <unordered_map>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace citronfall {

/// Implementation of caller_server: connections in caller_server.cc, what callers send in caller_server_input.cc, what
/// is sent to them in caller_server_output.cc.
class caller_server::impl {
public:
    explicit impl(caller_server_options options)
        : options_(std::move(options)), listener_(context_),
          replies_({.capacity = options_.ring_capacity,
                    .on_push =
                        [this] {
                            if (!send_posted_.exchange(true)) {
                                boost::asio::post(context_, [this] { send_replies(); });
                            }
                        },
                    .size_of =
                        [](const caller_reply& reply) {
                            return size_of(reply);
                        }}),
          input_(options_.max_input_bytes), output_(options_.max_output_bytes)
    {
    }

    result<done> open() { return listener_.open(options_.address); }
    bounded_ring<caller_reply>& replies() { return replies_; }

    void run()
    {
        listener_.accept([this](boost::asio::ip::tcp::socket socket) { accept(std::move(socket)); });
        const auto work = boost::asio::make_work_guard(context_);
        run_event_loop(context_, options_.failed);
        listener_.close(); // Nothing reads a connection that the kernel would accept from now on.
    }

    void stop()
    {
        replies_.close();
        context_.stop();
    }

    connections_left left() const;
    [[nodiscard]] std::map<std::string, std::uint64_t> counters() const;

private:
    using connection_ptr = std::shared_ptr<caller_connection>;

    /// Size of one read; statements are a few hundred bytes.
    static constexpr std::size_t read_buffer_size = 16 * 1024;

    void accept(boost::asio::ip::tcp::socket socket);
    bool make_room();
    void add_connection(boost::asio::ip::tcp::socket socket);
    void update_message_timer(session_number session, const connection_ptr& connection);
    void wait_readable(session_number session, const connection_ptr& connection);
    void read_guarded(session_number session, const connection_ptr& connection);
    void read(session_number session, const connection_ptr& connection);
    void account(session_number session, const caller_connection& connection);
    void pass_on_messages(session_number session, const connection_ptr& connection);
    bool may_close(session_number session, const std::optional<close_offer>& offer);
    void send_replies();
    void send_answer(const statement_reply& answer, std::string bytes);
    void send(session_number session, std::string bytes);
    void send_last(session_number session, std::string bytes);
    void send_notice(session_number session, std::string bytes);
    void write(session_number session, const connection_ptr& connection);
    void wait_writable(session_number session, const connection_ptr& connection);
    void await_progress(session_number session, const connection_ptr& connection);
    void shut_down(session_number session, const connection_ptr& connection);
    void await_close(session_number session, const connection_ptr& connection);
    void drop(session_number session, session_end_reason reason);

    caller_server_options options_;
    boost::asio::io_context context_{1};
    tcp_listener listener_;
    std::atomic<bool> send_posted_{false};
    bounded_ring<caller_reply> replies_;
    std::unordered_map<session_number, connection_ptr> connections_;
    session_number last_session_ = 0;
    byte_ledger input_;
    byte_ledger output_;
    std::atomic<std::size_t> input_bytes_{0}; ///< Total of the ledger, for other threads.
    std::atomic<std::size_t> output_bytes_{0};
    std::array<std::atomic<std::uint64_t>, session_end_reason_names.size()> ended_{}; ///< Connections, by reason.
    std::array<char, read_buffer_size> buffer_{}; ///< Shared by all sessions: bytes are decoded before the next read.
};

} // namespace citronfall
