#include "standin/http_server.h"

#include "core/endpoint_address.h"

#include <cctype>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace citronfall::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr std::uint64_t max_body_bytes = 8 * 1024 * 1024;

std::string lower(beast::string_view text)
{
    std::string lowered(text.data(), text.size());
    for (char& c : lowered) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return lowered;
}

/// A client's connection; handles one request at a time.
class server_session : public std::enable_shared_from_this<server_session> {
public:
    server_session(tcp::socket socket, session_number number, const http_port_options& port,
                   std::function<void(session_number)> ended)
        : socket_(std::move(socket)), number_(number), port_(port), on_closed_(std::move(ended))
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(max_body_bytes);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](beast::error_code code, std::size_t) { self->received(code); });
    }

    void silence() { silent_ = true; }

    void close()
    {
        beast::error_code ignored;
        socket_.close(ignored);
        end();
    }

private:
    void received(beast::error_code code)
    {
        if (code) {
            close();
            return;
        }
        if (silent_ || closed_) {
            return;
        }
        const auto message = parser_->release();
        http_request_fields fields{.method = std::string(message.method_string()),
                                   .target = std::string(message.target()),
                                   .body = message.body()};
        for (const auto& header : message) {
            fields.headers[lower(header.name_string())] = std::string(header.value());
        }
        keep_alive_ = message.keep_alive();
        watch();
        port_.handle(number_, http_request{std::move(fields)},
                     [self = shared_from_this()](const http_reply& reply) { self->reply(reply); });
    }

    /// Detects that the client closes the connection while its request is being handled.
    void watch()
    {
        handling_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code code) {
            if (code || !self->handling_ || self->silent_) {
                return;
            }
            beast::error_code peek;
            char byte = 0;
            self->socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peek);
            if (peek) {
                self->close();
            }
        });
    }

    void reply(const http_reply& reply)
    {
        handling_ = false;
        if (silent_ || closed_) {
            return;
        }
        beast::error_code ignored;
        socket_.cancel(ignored);
        message_ = {static_cast<http::status>(reply->status), 11};
        message_.keep_alive(keep_alive_);
        message_.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : reply->headers) {
            message_.set(name, value);
        }
        message_.body() = reply->body;
        message_.prepare_payload();
        http::async_write(socket_, message_, [self = shared_from_this()](beast::error_code code, std::size_t) {
            if (code || !self->keep_alive_) {
                self->close();
            } else {
                self->read();
            }
        });
    }

    void end()
    {
        if (!std::exchange(closed_, true)) {
            if (port_.closed) {
                port_.closed(number_);
            }
            on_closed_(number_);
        }
    }

    tcp::socket socket_;
    session_number number_;
    const http_port_options& port_;
    std::function<void(session_number)> on_closed_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> message_;
    bool keep_alive_ = true;
    bool handling_ = false;
    bool silent_ = false;
    bool closed_ = false;
};

/// A listening port and its connections.
struct server_port {
    http_port_options options;
    tcp::acceptor acceptor;
    bool cut = false;
    std::map<session_number, std::shared_ptr<server_session>> sessions;
};

} // namespace

class http_server::impl {
public:
    impl() : work_(asio::make_work_guard(context_)) {}

    result<done> listen(http_port_options options)
    {
        const auto address = endpoint_address::make(options.address);
        if (!ok(address)) {
            return error_of(address);
        }
        try {
            const tcp::endpoint endpoint(asio::ip::make_address(value_of(address)->host), value_of(address)->port);
            auto port = std::make_unique<server_port>(
                server_port{.options = options, .acceptor = tcp::acceptor(context_, endpoint), .sessions = {}});
            accept(*port);
            ports_.emplace(options.address, std::move(port));
        } catch (const std::exception& problem) {
            return error{{.kind = error_kind::bad_request, .detail = options.address + ": " + problem.what()}};
        }
        return done{};
    }

    void cut(const std::string& address)
    {
        server_port& port = *ports_.at(address);
        port.cut = true;
        const auto sessions = port.sessions;
        for (const auto& [number, session] : sessions) {
            session->close();
        }
    }

    void silence(const std::string& address)
    {
        for (const auto& [number, session] : ports_.at(address)->sessions) {
            session->silence();
        }
    }

    void restore(const std::string& address) { ports_.at(address)->cut = false; }

    [[nodiscard]] std::size_t connections(const std::string& address) const
    {
        return ports_.at(address)->sessions.size();
    }

    void after(duration delay, std::function<void()> action)
    {
        const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
        timer->async_wait([timer, action = std::move(action)](beast::error_code code) {
            if (!code) {
                action();
            }
        });
    }

    asio::io_context& loop() { return context_; }
    void run() { context_.run(); }
    void stop() { context_.stop(); }

private:
    void accept(server_port& port)
    {
        port.acceptor.async_accept([this, &port](beast::error_code code, tcp::socket socket) {
            if (code == asio::error::operation_aborted) {
                return;
            }
            if (!code && !port.cut && port.sessions.size() < port.options.max_connections) {
                add_session(port, std::move(socket));
            }
            accept(port);
        });
    }

    void add_session(server_port& port, tcp::socket socket)
    {
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const session_number number = ++last_session_;
        const auto session = std::make_shared<server_session>(
            std::move(socket), number, port.options, [&port](session_number ended) { port.sessions.erase(ended); });
        port.sessions.emplace(number, session);
        after(port.options.accept_delay, [session] { session->read(); });
    }

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::map<std::string, std::unique_ptr<server_port>> ports_;
    session_number last_session_ = 0;
};

http_server::http_server() : impl_(std::make_unique<impl>()) {}
http_server::~http_server() = default;

result<done> http_server::listen(http_port_options options)
{
    return impl_->listen(std::move(options));
}

void http_server::cut(const std::string& address)
{
    impl_->cut(address);
}

void http_server::silence(const std::string& address)
{
    impl_->silence(address);
}

void http_server::restore(const std::string& address)
{
    impl_->restore(address);
}

std::size_t http_server::connections(const std::string& address) const
{
    return impl_->connections(address);
}

void http_server::after(duration delay, std::function<void()> action)
{
    impl_->after(delay, std::move(action));
}

boost::asio::io_context& http_server::loop()
{
    return impl_->loop();
}

void http_server::run()
{
    impl_->run();
}

void http_server::stop()
{
    impl_->stop();
}

} // namespace citronfall::standin
