#include "gateway/member_client.h"

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

/// Size of one read; answers are a few hundred bytes.
constexpr std::size_t read_bytes = 16 * 1024;

connection_end_reason end_of(const error_code& code)
{
    return code == asio::error::timed_out ? connection_end_reason::silent : connection_end_reason::reset;
}

} // namespace

class member_client::parts {
public:
    explicit parts(member_client_options options)
        : options_(std::move(options)), commands_({.capacity = options_.ring_capacity, .on_push = [this] {
                                                       if (!posted_.exchange(true)) {
                                                           asio::post(context_, [this] { take_commands(); });
                                                       }
                                                   }})
    {
    }

    bounded_ring<member_command>& commands() { return commands_; }

    void run()
    {
        const auto work = asio::make_work_guard(context_);
        context_.run();
    }

    void stop()
    {
        commands_.close();
        context_.stop();
    }

private:
    struct connection {
        explicit connection(asio::io_context& context) : socket(context), timer(context) {}

        tcp::socket socket;
        asio::steady_timer timer;
        member_decoder decoder;
        std::string writing;
        std::string unsent;
        bool opened = false;
    };
    using connection_ptr = std::shared_ptr<connection>;

    void take_commands();
    void obey(const open_member_connection& command);
    void obey(const send_queries& command);
    void obey(const close_member_connection& command);
    void arm(connection_number number, const connection_ptr& each, duration limit);
    void wait_readable(connection_number number, const connection_ptr& each);
    void read(connection_number number, const connection_ptr& each);
    void pass_answers(connection_number number, const connection_ptr& each);
    void write(connection_number number, const connection_ptr& each);
    void finish(connection_number number, connection_end_reason end);
    void close(connection_number number);

    member_client_options options_;
    asio::io_context context_{1};
    std::atomic<bool> posted_{false};
    bounded_ring<member_command> commands_;
    std::unordered_map<connection_number, connection_ptr> connections_;
    std::array<char, read_bytes> buffer_{}; ///< Shared by all connections: bytes are decoded before the next read.
};

void member_client::parts::take_commands()
{
    posted_ = false;
    while (const auto command = commands_.try_pop()) {
        std::visit([this](const auto& each) { obey(each); }, *command);
    }
}

void member_client::parts::obey(const open_member_connection& command)
{
    const connection_number number = command->connection;
    const auto address = endpoint_address::make(command->address);
    const auto each = std::make_shared<connection>(context_);
    connections_.emplace(number, each);
    if (!ok(address)) {
        finish(number, connection_end_reason::refused);
        return;
    }
    each->decoder = options_.make_decoder(number);
    arm(number, each, options_.connect_timeout);
    const tcp::endpoint target(asio::ip::make_address(value_of(address)->host), value_of(address)->port);
    each->socket.async_connect(target, [this, number, each, command](error_code code) {
        if (code == asio::error::operation_aborted || !connections_.contains(number)) {
            return;
        }
        if (code) {
            finish(number, code == asio::error::connection_refused || code == asio::error::connection_reset
                               ? connection_end_reason::refused
                               : connection_end_reason::no_answer);
            return;
        }
        set_tcp_options(each->socket.native_handle(), member_tcp_timeouts);
        error_code ignored;
        each->socket.non_blocking(true, ignored);
        arm(number, each, options_.start_timeout);
        each->unsent = options_.encode_open(command);
        write(number, each);
        wait_readable(number, each);
    });
}

void member_client::parts::arm(connection_number number, const connection_ptr& each, duration limit)
{
    each->timer.expires_after(limit);
    each->timer.async_wait([this, number, each](error_code code) {
        if (!code && !each->opened) {
            finish(number, connection_end_reason::no_answer);
        }
    });
}

void member_client::parts::obey(const send_queries& command)
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

void member_client::parts::obey(const close_member_connection& command)
{
    close(command->connection);
}

void member_client::parts::wait_readable(connection_number number, const connection_ptr& each)
{
    each->socket.async_wait(tcp::socket::wait_read, [this, number, each](error_code code) {
        if (!code && each->socket.is_open()) {
            read(number, each);
        }
    });
}

void member_client::parts::read(connection_number number, const connection_ptr& each)
{
    error_code code;
    const std::size_t count = each->socket.read_some(asio::buffer(buffer_), code);
    if (code == asio::error::would_block) {
        wait_readable(number, each);
        return;
    }
    if (code) {
        finish(number, end_of(code));
        return;
    }
    each->decoder.add({buffer_.data(), count});
    pass_answers(number, each);
    if (connections_.contains(number)) {
        wait_readable(number, each);
    }
}

void member_client::parts::pass_answers(connection_number number, const connection_ptr& each)
{
    while (true) {
        const auto next = each->decoder.next();
        if (!ok(next)) {
            finish(number, connection_end_reason::protocol_error);
            return;
        }
        if (!value_of(next)) {
            return;
        }
        const member_event& event = *value_of(next);
        options_.notify(event);
        if (std::holds_alternative<member_connection_closed>(event)) {
            close(number);
            return;
        }
        if (std::holds_alternative<member_connection_opened>(event)) {
            each->opened = true;
            each->timer.cancel();
        }
    }
}

void member_client::parts::write(connection_number number, const connection_ptr& each)
{
    if (each->unsent.empty()) {
        return;
    }
    each->writing = std::exchange(each->unsent, {});
    asio::async_write(each->socket, asio::buffer(each->writing), [this, number, each](error_code code, std::size_t) {
        each->writing.clear();
        if (code == asio::error::operation_aborted) {
            return;
        }
        if (code) {
            finish(number, end_of(code));
            return;
        }
        write(number, each);
    });
}

void member_client::parts::finish(connection_number number, connection_end_reason end)
{
    if (connections_.contains(number)) {
        close(number);
        options_.notify(member_connection_closed{{.connection = number, .end = end}});
    }
}

void member_client::parts::close(connection_number number)
{
    const auto found = connections_.find(number);
    if (found == connections_.end()) {
        return;
    }
    const connection_ptr each = found->second;
    connections_.erase(found);
    error_code ignored;
    each->timer.cancel(ignored);
    each->socket.close(ignored);
}

member_client::member_client(member_client_options options) : parts_(std::make_unique<parts>(std::move(options))) {}

member_client::~member_client() = default;

bounded_ring<member_command>& member_client::commands()
{
    return parts_->commands();
}

void member_client::run()
{
    parts_->run();
}

void member_client::stop()
{
    parts_->stop();
}

} // namespace citronfall
