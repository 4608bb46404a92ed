#include "upstream/upstream_service.h"

#include "core/endpoint_address.h"
#include "upstream/member_codec.h"

#include <map>
#include <string>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace citronfall {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

/// Maximum size of an answer in bytes. A larger answer fails the exchange and closes the connection.
constexpr std::uint64_t max_answer_size = 8 * 1024 * 1024;

using notify_hook = std::function<void(const upstream_event&)>;

/// One connection to a member. Destroyed after close(), when its last asynchronous operation has ended.
class member_connection : public std::enable_shared_from_this<member_connection> {
public:
    member_connection(boost::asio::io_context& context, connection_number number, notify_hook notify)
        : stream_(context), number_(number), notify_(std::move(notify))
    {
    }

    void open(const std::string& address, instant deadline)
    {
        const auto target = endpoint_address::make(address);
        if (!ok(target)) {
            close_with_event(upstream_event_kind::open_failed);
            return;
        }
        host_ = address;
        stream_.expires_at(deadline);
        const tcp::endpoint endpoint(boost::asio::ip::make_address(value_of(target)->host), value_of(target)->port);
        stream_.async_connect(endpoint, [self = shared_from_this()](beast::error_code code) { self->opened(code); });
    }

    void start(const upstream_command& command)
    {
        exchange_ = command->exchange;
        in_exchange_ = true;
        sent_at_ = steady_now();
        const http_request request = member_codec::encode(command->call);
        request_message_ = {http::string_to_verb(request->method), request->target, 11};
        request_message_.set(http::field::host, host_);
        request_message_.set(http::field::connection, "keep-alive");
        request_message_.set(http::field::content_type, "application/json");
        request_message_.body() = request->body;
        request_message_.prepare_payload();
        parser_.emplace();
        parser_->body_limit(max_answer_size);
        stream_.expires_at(command->deadline);
        http::async_write(stream_, request_message_,
                          [self = shared_from_this()](beast::error_code code, std::size_t) { self->written(code); });
    }

    /// Fails the exchange and closes the socket.
    void abort() { close_with_event(in_exchange_ ? upstream_event_kind::failed : upstream_event_kind::closed); }

    /// Closes the socket without sending further events.
    void close()
    {
        closed_ = true;
        stream_.close();
    }

private:
    void opened(beast::error_code code)
    {
        if (closed_) {
            return;
        }
        if (code) {
            close_with_event(upstream_event_kind::open_failed);
            return;
        }
        beast::error_code ignored;
        stream_.socket().set_option(tcp::no_delay(true), ignored);
        stream_.expires_never();
        notify_(upstream_event{{.kind = upstream_event_kind::opened, .connection = number_}});
        watch_idle();
    }

    void written(beast::error_code code)
    {
        if (closed_) {
            return;
        }
        if (code) {
            close_with_event(upstream_event_kind::failed);
            return;
        }
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](beast::error_code read, std::size_t) { self->answered(read); });
    }

    void answered(beast::error_code code)
    {
        if (closed_) {
            return;
        }
        if (code) {
            close_with_event(upstream_event_kind::failed);
            return;
        }
        const auto reply = parser_->release();
        const member_answer answer =
            member_codec::decode(http_reply{{.status = static_cast<int>(reply.result_int()), .body = reply.body()}});
        in_exchange_ = false;
        stream_.expires_never();
        notify_(upstream_event{{.kind = upstream_event_kind::answered,
                                .connection = number_,
                                .exchange = exchange_,
                                .answer = answer,
                                .bytes_sent = true,
                                .sent_at = sent_at_,
                                .received_at = steady_now()}});
        if (!reply.keep_alive() && !in_exchange_) {
            close_with_event(upstream_event_kind::closed);
            return;
        }
        watch_idle();
    }

    /// Waits for the member to close the connection while no exchange is in progress.
    void watch_idle()
    {
        if (watching_) {
            return;
        }
        watching_ = true;
        stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code code) {
            self->watching_ = false;
            if (!self->closed_ && !self->in_exchange_ && !code) {
                self->close_with_event(upstream_event_kind::closed);
            }
        });
    }

    void close_with_event(upstream_event_kind kind)
    {
        const bool in_exchange = in_exchange_;
        close();
        notify_(upstream_event{{.kind = kind,
                                .connection = number_,
                                .exchange = in_exchange ? exchange_ : 0,
                                .bytes_sent = in_exchange,
                                .sent_at = sent_at_,
                                .received_at = steady_now()}});
    }

    beast::tcp_stream stream_;
    connection_number number_;
    notify_hook notify_;
    std::string host_;
    http::request<http::string_body> request_message_;
    std::optional<http::response_parser<http::string_body>> parser_;
    beast::flat_buffer buffer_;
    exchange_number exchange_ = 0;
    instant sent_at_;
    bool in_exchange_ = false;
    bool watching_ = false;
    bool closed_ = false;
};

} // namespace

class upstream_service::impl {
public:
    explicit impl(upstream_service_options options)
        : work_(boost::asio::make_work_guard(context_)), notify_(std::move(options.notify)),
          commands_({.capacity = options.ring_capacity, .on_push = [this] {
                         boost::asio::post(context_, [this] { run_commands(); });
                     }})
    {
    }

    bounded_ring<upstream_command>& commands() { return commands_; }
    void run() { context_.run(); }

    void stop()
    {
        commands_.close();
        context_.stop();
    }

private:
    void run_commands()
    {
        while (const auto command = commands_.try_pop()) {
            execute(*command);
        }
    }

    void execute(const upstream_command& command)
    {
        const connection_number number = command->connection;
        if (command->kind == upstream_command_kind::open) {
            const auto connection = std::make_shared<member_connection>(
                context_, number, [this](const upstream_event& event) { forward(event); });
            connections_.emplace(number, connection);
            connection->open(command->address, command->deadline);
            return;
        }
        const auto found = connections_.find(number);
        if (command->kind == upstream_command_kind::close) {
            if (found != connections_.end()) {
                found->second->close();
                connections_.erase(found);
            }
            return;
        }
        if (command->kind == upstream_command_kind::abort) {
            if (found != connections_.end()) {
                const auto connection = found->second; // abort() sends an event that erases it from the map.
                connection->abort();
            }
            return;
        }
        if (found != connections_.end()) {
            found->second->start(command);
            return;
        }
        // The connection was closed before the command arrived, so no byte of the call was sent.
        notify_(upstream_event{{.kind = upstream_event_kind::failed,
                                .connection = number,
                                .exchange = command->exchange,
                                .received_at = steady_now()}});
    }

    void forward(const upstream_event& event)
    {
        if (event->kind != upstream_event_kind::opened && event->kind != upstream_event_kind::answered) {
            connections_.erase(event->connection);
        }
        notify_(event);
    }

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    notify_hook notify_;
    bounded_ring<upstream_command> commands_;
    std::map<connection_number, std::shared_ptr<member_connection>> connections_;
};

upstream_service::upstream_service(upstream_service_options options) : impl_(std::make_unique<impl>(std::move(options)))
{
}

upstream_service::~upstream_service() = default;

bounded_ring<upstream_command>& upstream_service::commands()
{
    return impl_->commands();
}

void upstream_service::run()
{
    impl_->run();
}

void upstream_service::stop()
{
    impl_->stop();
}

} // namespace citronfall
