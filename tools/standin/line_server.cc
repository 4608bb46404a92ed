#include "standin/line_server.h"

#include "core/endpoint_address.h"

#include <array>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace citronfall::standin {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t read_buffer_size = 16 * 1024;

struct connection_state {
    explicit connection_state(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    std::array<char, read_buffer_size> buffer{};
    std::string received;
    std::string writing;
    std::string unsent;
    bool close_when_sent = false;
};
using connection_ptr = std::shared_ptr<connection_state>;

} // namespace

class line_server::impl : public std::enable_shared_from_this<line_server::impl> {
public:
    impl(asio::io_context& loop, line_server_options options, tcp::endpoint endpoint)
        : options_(std::move(options)), endpoint_(std::move(endpoint)), loop_(loop)
    {
    }

    result<done> listen()
    {
        error_code code;
        acceptor_.emplace(loop_);
        acceptor_->open(endpoint_.protocol(), code);
        acceptor_->set_option(tcp::acceptor::reuse_address(true), code);
        if (!acceptor_->bind(endpoint_, code)) {
            acceptor_->listen(asio::socket_base::max_listen_connections, code);
        }
        if (code) {
            acceptor_.reset();
            return error{{.kind = error_kind::bad_request, .detail = options_.address + ": " + code.message()}};
        }
        accept();
        return done{};
    }

    void stop()
    {
        acceptor_.reset();
        for (const auto& [id, connection] : std::exchange(connections_, {})) {
            error_code ignored;
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored); // Makes close() send a reset.
            connection->socket.close(ignored);
        }
    }

    void send(line_connection id, const std::string& bytes)
    {
        const auto found = connections_.find(id);
        if (found == connections_.end()) {
            return;
        }
        found->second->unsent += bytes;
        if (found->second->writing.empty()) {
            write(id, found->second);
        }
    }

    void close(line_connection id)
    {
        const auto found = connections_.find(id);
        if (found == connections_.end()) {
            return;
        }
        found->second->close_when_sent = true;
        if (found->second->writing.empty() && found->second->unsent.empty()) {
            drop(id);
        }
    }

private:
    void accept()
    {
        acceptor_->async_accept([self = shared_from_this()](error_code code, tcp::socket socket) {
            if (code || !self->acceptor_) {
                return;
            }
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const line_connection id = ++self->last_id_;
            const auto connection = std::make_shared<connection_state>(std::move(socket));
            self->connections_.emplace(id, connection);
            self->read(id, connection);
            self->accept();
        });
    }

    void read(line_connection id, const connection_ptr& connection)
    {
        connection->socket.async_read_some(
            asio::buffer(connection->buffer),
            [self = shared_from_this(), id, connection](error_code code, std::size_t count) {
                if (code) {
                    if (self->connections_.contains(id)) {
                        self->drop(id);
                        self->options_.closed(id);
                    }
                    return;
                }
                connection->received.append(connection->buffer.data(), count);
                self->deliver_lines(id, connection);
                if (self->connections_.contains(id)) {
                    self->read(id, connection);
                }
            });
    }

    void deliver_lines(line_connection id, const connection_ptr& connection)
    {
        std::size_t end = connection->received.find("\r\n");
        while (end != std::string::npos && connections_.contains(id)) {
            const std::string line = connection->received.substr(0, end);
            connection->received.erase(0, end + 2);
            options_.received(id, line);
            end = connection->received.find("\r\n");
        }
    }

    void write(line_connection id, const connection_ptr& connection)
    {
        connection->writing = std::exchange(connection->unsent, {});
        asio::async_write(connection->socket, asio::buffer(connection->writing),
                          [self = shared_from_this(), id, connection](error_code code, std::size_t) {
                              connection->writing.clear();
                              if (code || !self->connections_.contains(id)) {
                                  return; // read() handles the end of the connection.
                              }
                              if (!connection->unsent.empty()) {
                                  self->write(id, connection);
                              } else if (connection->close_when_sent) {
                                  self->drop(id);
                              }
                          });
    }

    void drop(line_connection id)
    {
        const auto found = connections_.find(id);
        error_code ignored;
        found->second->socket.close(ignored);
        connections_.erase(found);
    }

    line_server_options options_;
    tcp::endpoint endpoint_;
    asio::io_context& loop_;
    std::optional<tcp::acceptor> acceptor_;
    std::map<line_connection, connection_ptr> connections_;
    line_connection last_id_ = 0;
};

result<std::unique_ptr<line_server>> line_server::make(boost::asio::io_context& loop, line_server_options options)
{
    const auto address = endpoint_address::make(options.address);
    if (!ok(address)) {
        return error_of(address);
    }
    const tcp::endpoint endpoint(asio::ip::make_address(value_of(address)->host), value_of(address)->port);
    std::unique_ptr<line_server> server(new line_server(std::make_shared<impl>(loop, std::move(options), endpoint)));
    if (const auto listening = server->restart(); !ok(listening)) {
        return error_of(listening);
    }
    return server;
}

line_server::line_server(std::shared_ptr<impl> implementation) : impl_(std::move(implementation)) {}

line_server::~line_server()
{
    impl_->stop();
}

void line_server::send(line_connection connection, const std::string& bytes)
{
    impl_->send(connection, bytes);
}

void line_server::close(line_connection connection)
{
    impl_->close(connection);
}

void line_server::stop()
{
    impl_->stop();
}

result<done> line_server::restart()
{
    return impl_->listen();
}

} // namespace citronfall::standin
