#include "gateway/member_client.h"

#include "core/endpoint_address.h"
#include "overload/byte_ledger.h"
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

/// Size of one read; answers are a few hundred bytes.
constexpr std::size_t read_buffer_size = 16 * 1024;

/// Time until a read that has to wait is tried again.
constexpr duration read_retry_delay = std::chrono::milliseconds(2);

connection_end_reason close_reason(const error_code& code)
{
    return code == asio::error::timed_out ? connection_end_reason::silent : connection_end_reason::reset;
}

} // namespace

class member_client::impl {
public:
    explicit impl(member_client_options options)
        : options_(std::move(options)), commands_({.capacity = options_.ring_capacity,
                                                   .on_push =
                                                       [this] {
                                                           if (!execute_posted_.exchange(true)) {
                                                               asio::post(context_, [this] { execute_commands(); });
                                                           }
                                                       }}),
          answers_(options_.max_answer_bytes)
    {
    }

    bounded_ring<member_command>& commands() { return commands_; }

    void run()
    {
        const auto work = asio::make_work_guard(context_);
        run_event_loop(context_, options_.failed);
    }

    void stop()
    {
        commands_.close();
        context_.stop();
    }

    [[nodiscard]] std::map<std::string, std::uint64_t> counters() const
    {
        return {{"held_bytes{part=\"member_answers\"}", answer_bytes_}, {"answers_discarded_total", discarded_}};
    }

private:
    struct connection_state {
        explicit connection_state(asio::io_context& context) : socket(context), timer(context), read_timer(context) {}

        tcp::socket socket;
        asio::steady_timer timer;
        asio::steady_timer read_timer; ///< Runs while answers may not be read.
        member_decoder decoder;
        std::string writing;
        std::string unsent;
        bool opened = false;
    };
    using connection_ptr = std::shared_ptr<connection_state>;

    void execute_commands();
    void execute(const open_member_connection& command);
    void execute(const send_queries& command);
    void execute(const close_member_connection& command);
    void arm_start_timer(connection_number id, const connection_ptr& connection, duration limit);
    void wait_readable(connection_number id, const connection_ptr& connection);
    void read_later(connection_number id, const connection_ptr& connection);
    void read(connection_number id, const connection_ptr& connection);
    void account(connection_number id, const connection_ptr& connection);
    void deliver_answers(connection_number id, const connection_ptr& connection);
    void write(connection_number id, const connection_ptr& connection);
    void close_and_notify(connection_number id, connection_end_reason end);
    void close(connection_number id);

    member_client_options options_;
    asio::io_context context_{1};
    std::atomic<bool> execute_posted_{false};
    bounded_ring<member_command> commands_;
    std::unordered_map<connection_number, connection_ptr> connections_;
    byte_ledger answers_;
    std::atomic<std::size_t> answer_bytes_{0}; ///< Total of the ledger, for other threads.
    std::atomic<std::uint64_t> discarded_{0};  ///< Answers of which rows were dropped.
    std::array<char, read_buffer_size>
        buffer_{}; ///< Shared by all connections: bytes are decoded before the next read.
};

void member_client::impl::execute_commands()
{
    execute_posted_ = false;
    while (const auto command = commands_.try_pop()) {
        std::visit([this](const auto& order) { execute(order); }, *command);
    }
}

void member_client::impl::execute(const open_member_connection& command)
{
    const connection_number id = command->connection;
    const auto address = endpoint_address::make(command->address);
    const auto connection = std::make_shared<connection_state>(context_);
    connections_.emplace(id, connection);
    if (!ok(address)) {
        close_and_notify(id, connection_end_reason::refused);
        return;
    }
    connection->decoder = options_.make_decoder(id);
    arm_start_timer(id, connection, options_.connect_timeout);
    const tcp::endpoint target(asio::ip::make_address(value_of(address)->host), value_of(address)->port);
    connection->socket.async_connect(target, [this, id, connection, command](error_code code) {
        if (code == asio::error::operation_aborted || !connections_.contains(id)) {
            return;
        }
        if (code) {
            close_and_notify(id, code == asio::error::connection_refused || code == asio::error::connection_reset
                                     ? connection_end_reason::refused
                                     : connection_end_reason::no_answer);
            return;
        }
        set_tcp_options(connection->socket.native_handle(), member_tcp_timeouts);
        error_code ignored;
        connection->socket.non_blocking(true, ignored);
        arm_start_timer(id, connection, options_.start_timeout);
        connection->unsent = options_.encode_open(command);
        write(id, connection);
        wait_readable(id, connection);
    });
}

void member_client::impl::arm_start_timer(connection_number id, const connection_ptr& connection, duration limit)
{
    connection->timer.expires_after(limit);
    connection->timer.async_wait([this, id, connection](error_code code) {
        if (!code && !connection->opened) {
            close_and_notify(id, connection_end_reason::no_answer);
        }
    });
}

void member_client::impl::execute(const send_queries& command)
{
    const auto found = connections_.find(command->connection);
    if (found == connections_.end()) {
        return; // The connection has ended, and the decision thread has been notified.
    }
    found->second->unsent += options_.encode_queries(command);
    if (found->second->writing.empty()) {
        write(command->connection, found->second);
    }
}

void member_client::impl::execute(const close_member_connection& command)
{
    close(command->connection);
}

void member_client::impl::wait_readable(connection_number id, const connection_ptr& connection)
{
    connection->socket.async_wait(tcp::socket::wait_read, [this, id, connection](error_code code) {
        if (code || !connection->socket.is_open()) {
            return;
        }
        options_.may_read() ? read(id, connection) : read_later(id, connection);
    });
}

void member_client::impl::read_later(connection_number id, const connection_ptr& connection)
{
    connection->read_timer.expires_after(read_retry_delay);
    connection->read_timer.async_wait([this, id, connection](error_code code) {
        if (!code && connections_.contains(id)) {
            wait_readable(id, connection);
        }
    });
}

void member_client::impl::read(connection_number id, const connection_ptr& connection)
{
    error_code code;
    const std::size_t count = connection->socket.read_some(asio::buffer(buffer_), code);
    if (code == asio::error::would_block) {
        wait_readable(id, connection);
        return;
    }
    if (code) {
        close_and_notify(id, close_reason(code));
        return;
    }
    try {
        connection->decoder.add({buffer_.data(), count});
        deliver_answers(id, connection);
        account(id, connection);
    } catch (const std::exception& problem) {
        close_and_notify(id, connection_end_reason::protocol_error);
        if (options_.failed) {
            options_.failed(problem.what());
        }
    }
    if (connections_.contains(id)) {
        wait_readable(id, connection);
    }
}

/// Updates what the answer on a connection holds. While answers hold too much together, the longest is not kept.
void member_client::impl::account(connection_number id, const connection_ptr& connection)
{
    if (connections_.contains(id)) {
        answers_.set(id, connection->decoder.held());
    }
    while (const auto worst = answers_.worst_offender()) {
        const member_decoder& longest = connections_.at(*worst)->decoder;
        longest.discard_answer();
        ++discarded_;
        answers_.set(*worst, 0); // Its lines come one at a time from now on.
    }
    answer_bytes_ = answers_.total();
}

void member_client::impl::deliver_answers(connection_number id, const connection_ptr& connection)
{
    while (true) {
        const auto next = connection->decoder.next();
        if (!ok(next)) {
            close_and_notify(id, connection_end_reason::protocol_error);
            return;
        }
        if (!value_of(next)) {
            return;
        }
        const member_event& event = *value_of(next);
        options_.notify(event);
        if (std::holds_alternative<member_connection_closed>(event)) {
            close(id);
            return;
        }
        if (std::holds_alternative<member_connection_opened>(event)) {
            connection->opened = true;
            connection->timer.cancel();
        }
    }
}

void member_client::impl::write(connection_number id, const connection_ptr& connection)
{
    if (connection->unsent.empty()) {
        return;
    }
    connection->writing = std::exchange(connection->unsent, {});
    asio::async_write(connection->socket, asio::buffer(connection->writing),
                      [this, id, connection](error_code code, std::size_t) {
                          connection->writing.clear();
                          if (code == asio::error::operation_aborted) {
                              return;
                          }
                          if (code) {
                              close_and_notify(id, close_reason(code));
                              return;
                          }
                          write(id, connection);
                      });
}

void member_client::impl::close_and_notify(connection_number id, connection_end_reason end)
{
    if (connections_.contains(id)) {
        close(id);
        options_.notify(member_connection_closed{{.connection = id, .end = end}});
    }
}

void member_client::impl::close(connection_number id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const connection_ptr connection = found->second;
    connections_.erase(found);
    answers_.set(id, 0);
    error_code ignored;
    connection->timer.cancel(ignored);
    connection->read_timer.cancel(ignored);
    connection->socket.close(ignored);
}

member_client::member_client(member_client_options options) : impl_(std::make_unique<impl>(std::move(options))) {}

member_client::~member_client() = default;

bounded_ring<member_command>& member_client::commands()
{
    return impl_->commands();
}

void member_client::run()
{
    impl_->run();
}

void member_client::stop()
{
    impl_->stop();
}

std::map<std::string, std::uint64_t> member_client::counters() const
{
    return impl_->counters();
}

} // namespace citronfall
